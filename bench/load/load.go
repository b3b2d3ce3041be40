// Package load is an open-loop load generator. It computes all arrivals before the load
// starts and measures latency from the scheduled time, so that a slow system can't slow the
// load down and thereby hide its own delay.
//
// # Usage
//
//	result, err := load.Run(ctx, load.Options{
//		Hosts: hosts, Kinds: kinds, Rate: 100, Length: 5 * time.Second, Seed: 1,
//	})
package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"oriolebarrow/bench/verify"
)

const (
	// scheduleStream separates the schedule's random numbers from other uses of a seed.
	scheduleStream     = 0x10ad
	defaultMaxArrivals = 200_000
	defaultMaxInFlight = 4096
	clientSlack        = 2 * time.Second // how long a request may outlast its deadline
	maxReplyBytes      = 64 << 20
	maxLatencyMicros   = int64(5 * time.Minute / time.Microsecond)
	histogramDigits    = 3
	progressInterval   = time.Second
	countInterval      = 250 * time.Millisecond
)

// Fault is a scheduled change to the stand-ins, which Do makes.
type Fault struct {
	At   time.Duration // from the start of the load
	Name string
	Do   func(ctx context.Context) error
}

// SortFaults returns the faults sorted by time. Faults at the same time keep their order.
func SortFaults(faults []Fault) []Fault {
	return slices.SortedStableFunc(slices.Values(faults), func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// Options configures a load.
type Options struct {
	Hosts        []string // caller addresses
	Kinds        []RequestKind
	Rate         float64 // arrivals per second
	Length       time.Duration
	MaxArrivals  int // 0 means defaultMaxArrivals
	MaxInFlight  int // arrivals beyond it are counted as dropped; 0 means defaultMaxInFlight
	Seed         uint64
	Faults       []Fault   // in any order
	KeepQueries  bool      // keep all answers for bench/verify in Result.Queries
	SampleWriter io.Writer // receives each Sample as one line of JSON; may be nil
	Progress     io.Writer // receives one line per second; may be nil
	// CountCalls returns the number of backend calls so far. It is called every
	// countInterval unless it is nil.
	CountCalls func(ctx context.Context) (int64, error)
}

// Sample describes a request, an injected fault (Fault is set) or a count of backend calls
// (Calls is set). It is written as one line of JSON.
type Sample struct {
	AtUS      int64  `json:"at_us"`
	LatencyUS int64  `json:"latency_us"`
	Caller    string `json:"caller,omitempty"`
	Host      string `json:"host,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	Reason    string `json:"reason,omitempty"`
	Answered  int    `json:"answered"`
	Total     int    `json:"total"`
	Fault     string `json:"fault,omitempty"`
	Calls     *int64 `json:"calls,omitempty"`
	Error     string `json:"error,omitempty"`
}

// Result holds the measurements of a load.
type Result struct {
	Latency         *hdrhistogram.Histogram // of every request, in microseconds
	CompleteLatency *hdrhistogram.Histogram // of complete answers only
	Outcomes        map[string]int
	Samples         []Sample
	Queries         []verify.Query // only with Options.KeepQueries
	Dropped         int            // arrivals that exceeded Options.MaxInFlight
	Scheduled       int            // all arrivals, including dropped ones
	ShardsAnswered  int            // sum over all queries
	ShardsTotal     int            // sum over all queries
}

// Quantile returns the q-th percentile of the latency, with q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Coverage returns the share of answered shards over all answers that report a total.
func (r *Result) Coverage() float64 {
	if r.ShardsTotal == 0 {
		return 0
	}
	return float64(r.ShardsAnswered) / float64(r.ShardsTotal)
}

// generator runs one load.
type generator struct {
	opts     Options
	http     *http.Client
	started  time.Time
	inFlight chan struct{}

	mu     sync.Mutex // guards result and opts.SampleWriter
	result *Result
}

// Run sends the load and returns when every request has ended.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.MaxArrivals == 0 {
		o.MaxArrivals = defaultMaxArrivals
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	arrivals := Schedule(o.Seed, o.Rate, o.Length, o.Kinds, len(o.Hosts), o.MaxArrivals)
	if len(arrivals) == 0 {
		return nil, errors.New("load: no arrivals: want hosts, a mix, a rate and a length")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		opts:     o,
		http:     &http.Client{Transport: transport},
		inFlight: make(chan struct{}, o.MaxInFlight),
		result: &Result{
			Latency:         hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
			CompleteLatency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
			Outcomes:        make(map[string]int),
			Scheduled:       len(arrivals),
		},
		started: time.Now(),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { g.injectFaults(ctx) })
	if o.CountCalls != nil {
		background.Go(func() { g.sampleCalls(ctx) })
	}
	if o.Progress != nil {
		background.Go(func() { g.printProgress(ctx) })
	}
	err := g.send(ctx, arrivals)
	cancel()
	background.Wait()
	return g.result, err
}

func (g *generator) send(ctx context.Context, arrivals []Arrival) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, a := range arrivals {
		if !sleepUntil(ctx, g.started.Add(a.At)) {
			return errors.Wrap(ctx.Err(), "load: ended early")
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.mu.Lock()
			g.result.Dropped++
			g.mu.Unlock()
			continue
		}
		wait.Go(func() {
			g.sendRequest(ctx, a)
			<-g.inFlight
		})
	}
	return nil
}

// sleepUntil waits until a time. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *generator) injectFaults(ctx context.Context) {
	for _, f := range SortFaults(g.opts.Faults) {
		if !sleepUntil(ctx, g.started.Add(f.At)) {
			return
		}
		s := Sample{AtUS: time.Since(g.started).Microseconds(), Fault: f.Name}
		if err := f.Do(ctx); err != nil {
			s.Error = err.Error()
		}
		g.record(s, nil)
	}
}

func (g *generator) sampleCalls(ctx context.Context) {
	for at := time.Duration(0); sleepUntil(ctx, g.started.Add(at)); at += countInterval {
		calls, err := g.opts.CountCalls(ctx)
		if err != nil {
			continue // the samples show that a count is missing
		}
		g.record(Sample{AtUS: time.Since(g.started).Microseconds(), Calls: &calls}, nil)
	}
}

func (g *generator) printProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			done, total := len(g.result.Samples), g.result.Scheduled
			p99 := g.result.Quantile(99)
			g.mu.Unlock()
			_, _ = fmt.Fprintf(g.opts.Progress, "load: %d of %d requests ended, p99 %s\n", done, total, p99)
		}
	}
}

// Reply holds those fields of a host's answer that the benchmarks use.
type Reply struct {
	RequestID string `json:"request_id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Snapshot  uint64 `json:"snapshot"`
	Coverage  struct {
		Answered int `json:"answered"`
		Total    int `json:"total"`
		Missing  []struct {
			Shard int32 `json:"shard"`
		} `json:"missing"`
	} `json:"coverage"`
	Rows []json.RawMessage `json:"rows"`
}

func (g *generator) sendRequest(ctx context.Context, a Arrival) {
	kind, host := g.opts.Kinds[a.Kind], g.opts.Hosts[a.Host]
	sent := time.Now()
	r, err := Query(ctx, g.http, host, kind)
	ended := time.Now()
	s := Sample{
		AtUS:      a.At.Microseconds(),
		LatencyUS: ended.Sub(g.started.Add(a.At)).Microseconds(),
		Caller:    kind.Caller,
		Host:      host,
		RequestID: r.RequestID,
		Outcome:   r.Outcome,
		Answered:  r.Answered,
		Total:     r.Total,
	}
	if err != nil {
		s.Outcome, s.Error = "connection_lost", err.Error()
	}
	// The deadline starts when the request is sent; the host doesn't know the scheduled time.
	r.Elapsed = ended.Sub(sent)
	g.record(s, &r)
}

func (g *generator) record(s Sample, q *verify.Query) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.Samples = append(r.Samples, s)
	if g.opts.SampleWriter != nil {
		_ = json.NewEncoder(g.opts.SampleWriter).Encode(s)
	}
	if q == nil {
		return
	}
	r.Outcomes[s.Outcome]++
	latency := min(max(s.LatencyUS, 1), maxLatencyMicros)
	_ = r.Latency.RecordValue(latency)
	if s.Outcome == "complete" {
		_ = r.CompleteLatency.RecordValue(latency)
	}
	r.ShardsAnswered += s.Answered
	r.ShardsTotal += s.Total
	if g.opts.KeepQueries {
		r.Queries = append(r.Queries, *q)
	}
}

// Query sends one query to a host and returns its answer.
func Query(ctx context.Context, client *http.Client, host string, k RequestKind) (verify.Query, error) {
	q := verify.Query{Deadline: k.Deadline}
	ctx, cancel := context.WithTimeout(ctx, k.Deadline+clientSlack)
	defer cancel()
	raw, err := json.Marshal(map[string]any{
		"caller": k.Caller, "service": k.Service, "deadline_ms": k.Deadline.Milliseconds(),
		"body": map[string]string{"plate": "P-123"},
	})
	if err != nil {
		return q, errors.Wrap(err, "load: encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/query", bytes.NewReader(raw))
	if err != nil {
		return q, errors.Wrap(err, "load: create request")
	}
	started := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return q, errors.Wrap(err, "load: send request")
	}
	defer func() { _ = res.Body.Close() }()
	var r Reply
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&r); err != nil {
		return q, errors.Wrap(err, "load: decode answer")
	}
	q.Elapsed = time.Since(started)
	q.RequestID, q.Outcome, q.Snapshot = r.RequestID, r.Outcome, r.Snapshot
	q.Answered, q.Total, q.Rows = r.Coverage.Answered, r.Coverage.Total, r.Rows
	for _, missing := range r.Coverage.Missing {
		q.Missing = append(q.Missing, missing.Shard)
	}
	return q, nil
}
