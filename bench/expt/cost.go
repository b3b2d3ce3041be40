package expt

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/core"
	"oriolebarrow/io/remote"
	"oriolebarrow/io/telem"
	"oriolebarrow/standin/server"
)

const (
	costSlots    = 64 // more than a query needs, so that no call waits for a slot
	costHosts    = 3  // hosts while the number of shards varies
	costShards   = 20 // shards while the number of hosts varies
	costWarmup   = 10 // at least this many queries before the measurement
	costDeadline = 5 * time.Second
	costIdleTime = 300 * time.Millisecond
)

// cost measures the resources that a query uses in the whole process, which
// contains the load generator, the hosts and the stand-in servers.
//
// The variants leave out parts: one_host has no links between hosts, thin_owner
// is one host whose owner is a baseline without queue, hedges and health checks,
// and direct makes the same shard calls without a host. The differences give the
// cost of each part: design - one_host that of the links, one_host - thin_owner
// that of the scheduler, thin_owner - direct that of the entry, and direct alone
// that of the backend calls. All variants include the stand-in servers, and all
// but direct the load generator, so the cost of the entry includes that of the
// load generator, and the cost of the backend calls that of the stand-in servers.
func cost() experiment {
	return experiment{
		name:     "cost",
		rounds:   2,
		expected: 50 * time.Second,
		shown:    []string{"cpu_us_per_shard_call", "allocations_per_shard_call"},
		about:    "processor time, allocations and bytes by number of shards and hosts",
		variants: func(settings) []variant {
			return []variant{
				{name: string(design), run: func(ctx context.Context, s settings) (Points, error) {
					return costPoints(s, func(l layout) (Figures, error) { return costOfDesign(ctx, l, s) })
				}},
				{name: "one_host", run: func(ctx context.Context, s settings) (Points, error) {
					return costPoints(s, func(l layout) (Figures, error) { return costOnOneHost(ctx, l, s, design) })
				}},
				{name: "thin_owner", run: func(ctx context.Context, s settings) (Points, error) {
					return costPoints(s, func(l layout) (Figures, error) { return costOnOneHost(ctx, l, s, base.Random) })
				}},
				{name: "direct", run: func(ctx context.Context, s settings) (Points, error) {
					return costPoints(s, func(l layout) (Figures, error) { return costOfDirect(ctx, l, s) })
				}},
			}
		},
		conclude: func(r *Result) {
			r.Slopes = make(map[string]map[string]Spread)
			for name, rounds := range r.raw {
				r.Slopes[name] = spreads(slopes(rounds))["slope"]
			}
		},
	}
}

// decisionLog measures the cost of the decision log by comparing the program's
// log handler, in JSON format, with no log. Dropped lines cost less than written
// ones, so their number is reported too.
func decisionLog() experiment {
	return experiment{
		name:     "log",
		expected: 10 * time.Second,
		shown:    []string{"cpu_us_per_query", "log_lines_dropped"},
		about:    "cost of the decision log",
		variants: func(settings) []variant {
			run := func(logs bool) func(context.Context, settings) (Points, error) {
				return func(ctx context.Context, s settings) (Points, error) {
					out := make(Points)
					for _, shards := range pick(s, []int{20}, []int{20, 130}) {
						l := costLayout(shards, costHosts, s.seed)
						figures, err := costWithLog(ctx, l, s, logs)
						if err != nil {
							return nil, err
						}
						out[pointName(shards, costHosts)] = figures
					}
					return out, nil
				}
			}
			return []variant{{name: string(design), run: run(true)}, {name: "no_log", run: run(false)}}
		},
	}
}

func costWithLog(ctx context.Context, l layout, s settings, logs bool) (Figures, error) {
	if !logs {
		return costOfDesign(ctx, l, s)
	}
	handler := telem.NewHandler(io.Discard, telem.Options{Format: "json", Level: slog.LevelInfo, Metrics: telem.NewRegistry()})
	l.log = slog.New(handler)
	figures, err := costOfDesign(ctx, l, s)
	if err != nil {
		return nil, err
	}
	if err := handler.Close(ctx); err != nil {
		return nil, err
	}
	figures["log_lines_dropped"] = float64(handler.Dropped())
	return figures, nil
}

func pointName(shards, hosts int) string { return fmt.Sprintf("shards_%d_hosts_%d", shards, hosts) }

func costLayout(shards, hosts int, seed uint64) layout {
	return layout{
		hosts: hosts, groups: shards, replicas: 1, slots: costSlots, connections: 4 * costSlots,
		deadline: costDeadline, seed: seed,
	}
}

// costPoints measures at several numbers of shards, then at several numbers of hosts.
func costPoints(s settings, measure func(layout) (Figures, error)) (Points, error) {
	out := make(Points)
	add := func(shards, hosts int) error {
		figures, err := measure(costLayout(shards, hosts, s.seed))
		if err == nil {
			figures["shards"], figures["hosts"] = float64(shards), float64(hosts)
			out[pointName(shards, hosts)] = figures
		}
		return err
	}
	for _, shards := range pick(s, []int{20, 60}, []int{20, 30, 60, 130}) {
		if err := add(shards, costHosts); err != nil {
			return nil, err
		}
	}
	for _, hosts := range pick(s, []int{9}, []int{9, 30}) {
		if err := add(costShards, hosts); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func costOnOneHost(ctx context.Context, l layout, s settings, p base.Policy) (Figures, error) {
	l.hosts = 1
	return costOf(ctx, l, s, p)
}

func costOfDesign(ctx context.Context, l layout, s settings) (Figures, error) {
	return costOf(ctx, l, s, design)
}

func costOf(ctx context.Context, l layout, s settings, p base.Policy) (Figures, error) {
	c, err := startCluster(ctx, l, p)
	if err != nil {
		return nil, err
	}
	defer c.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	return c.measureCost(ctx, s, func(i int) error {
		q, err := load.Query(ctx, client, c.callers[i%len(c.callers)], c.kind)
		if err == nil && q.Outcome != string(core.Complete) {
			err = errors.Errorf("expt: query %d was %q", i, q.Outcome)
		}
		return err
	})
}

func costOfDirect(ctx context.Context, l layout, s settings) (Figures, error) {
	c := &cluster{layout: l, stop: func() {}}
	defer c.close()
	if _, err := c.startServers(); err != nil {
		return nil, err
	}
	backend := remote.New(remote.Options{Connections: l.slots})
	defer backend.Close()
	return c.measureCost(ctx, s, func(i int) error { return readAll(ctx, backend, c.service, i, l.deadline) })
}

// readAll calls the first replica of every group concurrently and returns the
// first error in the order of the groups.
func readAll(ctx context.Context, backend core.Backend, s core.Service, i int, deadline time.Duration) error {
	var wait sync.WaitGroup
	errs := make([]error, len(s.Groups()))
	for g := range s.Groups() {
		wait.Go(func() {
			_, errs[g] = backend.Read(ctx, s.Group(core.GroupID(g))[0].Address(), core.ReadCall{
				CallID:    fmt.Sprintf("direct-%d-%d", i, g),
				RequestID: core.RequestID(fmt.Sprintf("direct-%d", i)),
				Service:   s.Name(),
				Snapshot:  server.FirstSnapshot,
				Shard:     core.ShardID(g),
				Deadline:  time.Now().Add(deadline),
			})
		})
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// usage holds the resources used by the process since its start and the bytes
// transferred by the cluster.
type usage struct {
	at             time.Time
	cpu            time.Duration
	mallocs        uint64
	allocatedBytes uint64
	peerBytes      int64
	backendBytes   int64
}

func (c *cluster) usage() usage {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at:             time.Now(),
		cpu:            processorTime(),
		mallocs:        m.Mallocs,
		allocatedBytes: m.TotalAlloc,
		peerBytes:      c.peerBytes.Load(),
		backendBytes:   c.backendBytes.Load(),
	}
}

// measureCost returns the resources used per query while queries run one after
// another. The usage of the idle hosts is measured beforehand and subtracted.
func (c *cluster) measureCost(ctx context.Context, s settings, query func(i int) error) (Figures, error) {
	for i := range max(costWarmup, 2*c.hosts) {
		if err := query(i); err != nil {
			return nil, err
		}
	}
	idle := c.idleRates(ctx)
	n := pick(s, 40, 80)
	before := c.usage()
	for i := range n {
		if err := query(i); err != nil {
			return nil, err
		}
	}
	after := c.usage()
	seconds := after.at.Sub(before.at).Seconds()
	out := Figures{}
	used := difference(before, after)
	for name, x := range used {
		x = max(0, x-idle[name]*seconds)
		out[name+"_per_query"] = x / float64(n)
		out[name+"_per_shard_call"] = x / float64(n*c.groups)
		out[name+"_idle_per_host_s"] = idle[name] / float64(c.hosts)
	}
	out["latency_us"] = seconds * 1e6 / float64(n)
	return out, nil
}

// idleRates returns the resources used per second without queries.
func (c *cluster) idleRates(ctx context.Context) Figures {
	before := c.usage()
	t := time.NewTimer(costIdleTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	after := c.usage()
	out := difference(before, after)
	for name := range out {
		out[name] /= after.at.Sub(before.at).Seconds()
	}
	return out
}

// difference returns the resources used between a and b, by figure name.
func difference(a, b usage) Figures {
	return Figures{
		"cpu_us":          float64((b.cpu - a.cpu).Microseconds()),
		"allocations":     float64(b.mallocs - a.mallocs),
		"allocated_bytes": float64(b.allocatedBytes - a.allocatedBytes),
		"peer_bytes":      float64(b.peerBytes - a.peerBytes),
		"backend_bytes":   float64(b.backendBytes - a.backendBytes),
	}
}

// slopes fits each cost of a query over the number of shards and over the number
// of hosts, separately for each round.
func slopes(rounds []Points) []Points {
	var out []Points
	for _, points := range rounds {
		fitted := make(Figures)
		for _, name := range []string{"cpu_us", "allocations", "allocated_bytes", "peer_bytes", "backend_bytes"} {
			fitted[name+"_per_shard"] = slope(points, "shards", name+"_per_query", "hosts", costHosts)
			fitted[name+"_per_host"] = slope(points, "hosts", name+"_per_query", "shards", costShards)
		}
		out = append(out, Points{"slope": fitted})
	}
	return out
}

// slope returns the least-squares slope of figure y over figure x, computed from
// the points whose figure fixed equals value.
func slope(points Points, x, y, fixed string, value float64) float64 {
	var xs, ys []float64
	for _, f := range points {
		if f[fixed] == value {
			xs = append(xs, f[x])
			ys = append(ys, f[y])
		}
	}
	slope, _ := FitLine(xs, ys)
	return slope
}

// FitLine returns the slope and the intercept of the least-squares line. The slope
// is 0 if xs contains fewer than two different values.
func FitLine(xs, ys []float64) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for i, x := range xs {
		n++
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / max(1, n)
}
