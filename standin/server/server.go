// Package server is a stand-in for backend servers. It models slots, a connection
// limit, the set-up cost of connections, service times with stragglers, snapshots,
// draining, load shedding, cold starts, cancellation and calls that arrive without
// remaining time, and keeps a journal of the calls that ran.
//
// # Usage
//
//	f := server.NewFleet(server.Options{MeanService: 10 * time.Millisecond, Seed: 1})
//	err := f.Start(service)
//	entries := f.Journal()
package server

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
	"oriolebarrow/standin/flood"
)

const (
	maxBodyBytes = 2 << 20
	slowFactor   = 10
	// FirstSnapshot is the snapshot that all servers hold at the start.
	FirstSnapshot = 41
)

// Faults is the state of one server and the faults that it simulates.
type Faults struct {
	State      string  `json:"state"`       // ready, cold or draining
	SlowFactor float64 `json:"slow_factor"` // multiplies every service time
	ColdFactor float64 `json:"cold_factor"` // multiplies service times of a cold server
	Shed       float64 `json:"shed"`        // share of calls refused as busy
	Corrupt    float64 `json:"corrupt"`     // share of answers with a flipped byte
	Truncate   float64 `json:"truncate"`    // share of answers cut to half their length
	WrongShard float64 `json:"wrong_shard"` // share of answers for another shard
	Reset      float64 `json:"reset"`       // share of calls that run but whose connection closes without an answer
	// EndlessHead and EndlessBody are shares of answers whose head or body has no end.
	EndlessHead float64         `json:"endless_head"`
	EndlessBody float64         `json:"endless_body"`
	Lost        bool            `json:"lost"`        // every connection closes without an answer
	Stuck       bool            `json:"stuck"`       // calls end only when they are cancelled
	Snapshots   []SnapshotState `json:"snapshots"`   // snapshots that the server holds
	LoadLagMS   int64           `json:"load_lag_ms"` // minimum age of the reported load
	LoadBias    int             `json:"load_bias"`   // added to the reported load
}

// SnapshotState lists the shards of one snapshot that a server holds.
type SnapshotState struct {
	Snapshot   uint64  `json:"snapshot"`
	ShardCount int     `json:"shard_count"`
	Shards     []int32 `json:"shards"`
}

// Server is a stand-in for one backend server. It is safe for concurrent use.
type Server struct {
	fleet   *Fleet
	service core.ServiceName
	group   int
	address string
	limits  core.Limits

	conns     atomic.Int64 // open connections
	peakConns atomic.Int64 // largest number of open connections since ResetPeaks
	overLimit atomic.Int64 // connections closed because of the limit
	running   atomic.Int64 // calls that hold a slot

	mu          sync.Mutex // guards the fields below
	http        *http.Server
	faults      Faults
	random      *rand.Rand
	incarnation uint64
	cancels     map[string]context.CancelFunc // running calls by call id
	warmStart   time.Time                     // time of the last restart
	warmTime    time.Duration                 // how long a restarted server is cold; 0 means until State changes
	reports     []loadReport                  // loads, oldest first
}

func newServer(f *Fleet, s core.Service, group int, address string, seed uint64) *Server {
	return &Server{
		fleet:       f,
		service:     s.Name(),
		group:       group,
		address:     address,
		limits:      s.Limits(),
		random:      rand.New(rand.NewPCG(f.opts.Seed, seed)),
		incarnation: 1,
		cancels:     make(map[string]context.CancelFunc),
		faults: Faults{State: string(core.ReplicaReady), SlowFactor: 1, Snapshots: []SnapshotState{{
			Snapshot: FirstSnapshot, ShardCount: len(s.Groups()), Shards: []int32{int32(group)},
		}}},
	}
}

func (s *Server) start() error {
	l, err := s.fleet.opts.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("POST /v1/read", s.read)
	mux.HandleFunc("POST /v1/order", s.order)
	mux.HandleFunc("POST /v1/cancel", s.cancel)
	h := &http.Server{Handler: echoCallID(s.closeWhenLost(mux)), ReadHeaderTimeout: 5 * time.Second, ConnState: s.connState}
	s.mu.Lock()
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(&delayedListener{Listener: l, cost: s.limits.NewConnectionCost}) }()
	return nil
}

// echoCallID adds the id of the call to each answer.
func echoCallID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(remote.CallIDHeader); id != "" {
			w.Header().Set(remote.CallIDHeader, id)
		}
		next.ServeHTTP(w, r)
	})
}

// stop closes the listener and all connections.
func (s *Server) stop() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// currentFaults returns the faults and ends the cold state of a server that has warmed
// up.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.State == string(core.ReplicaCold) && s.warmTime > 0 && time.Since(s.warmStart) >= s.warmTime {
		s.faults.State, s.warmTime = string(core.ReplicaReady), 0
	}
	return s.faults
}

// chance returns true with the probability share.
func (s *Server) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

// serviceTime draws the service time of a call.
func (s *Server) serviceTime(f Faults) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.random.ExpFloat64() * float64(s.fleet.opts.MeanService)
	if s.random.Float64() < s.fleet.opts.SlowShare {
		d *= slowFactor
	}
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	if f.State == string(core.ReplicaCold) && f.ColdFactor > 0 {
		factor := f.ColdFactor
		if s.warmTime > 0 {
			factor = ColdFactor(factor, time.Since(s.warmStart), s.warmTime)
		}
		d *= factor
	}
	return time.Duration(d)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	f := s.currentFaults()
	s.mu.Lock()
	inc := s.incarnation
	load := f.LoadBias + s.laggingLoad(time.Now(), int(s.running.Load()), time.Duration(f.LoadLagMS)*time.Millisecond)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"incarnation": inc, "state": f.State, "load": load, "slots": s.limits.Slots, "snapshots": f.Snapshots,
	})
}

// callBody is the body of a read, an order or a cancellation.
type callBody struct {
	CallID      string          `json:"call_id"`
	OrderID     string          `json:"order_id"`
	RequestID   string          `json:"request_id"`
	Service     string          `json:"service"`
	Snapshot    uint64          `json:"snapshot"`
	Shard       int32           `json:"shard"`
	Key         string          `json:"key"`
	RemainingUS int64           `json:"remaining_us"`
	Body        json.RawMessage `json:"body"`
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request) (callBody, bool) {
	var in callBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", false)
		return in, false
	}
	return in, true
}

// refuse answers a call with an error status, the reason and whether the call ran.
func refuse(w http.ResponseWriter, status int, reason string, ran bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"refused": reason, "ran": ran})
}

// acquireSlot takes a slot or answers with the reason why the call does not run, and
// reports whether it took one. The caller releases the slot with s.running.Add(-1).
func (s *Server) acquireSlot(w http.ResponseWriter, in callBody, f Faults) bool {
	switch {
	case f.State == string(core.ReplicaDraining):
		refuse(w, http.StatusServiceUnavailable, "draining", false)
	case in.RemainingUS <= 0:
		refuse(w, http.StatusGatewayTimeout, "deadline", false)
	case s.chance(f.Shed):
		refuse(w, http.StatusServiceUnavailable, "busy", false)
	case s.running.Add(1) > int64(s.limits.Slots):
		s.running.Add(-1)
		s.fleet.shed.Add(1)
		refuse(w, http.StatusServiceUnavailable, "busy", false)
	default:
		return true
	}
	return false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	in, ok := s.decode(w, r)
	if !ok {
		return
	}
	f := s.currentFaults()
	if !holdsShard(f, in) {
		refuse(w, http.StatusConflict, "snapshot_gone", false)
		return
	}
	if !s.acquireSlot(w, in, f) {
		return
	}
	defer s.running.Add(-1)
	s.fleet.record(Execution{
		Kind: "read", ID: in.CallID, RequestID: in.RequestID, Replica: s.address,
		Service: string(s.service), Snapshot: in.Snapshot, Shard: in.Shard,
	})
	if !s.execute(r.Context(), in, f) {
		refuse(w, http.StatusGatewayTimeout, "cancelled", true)
		return
	}
	shard := in.Shard
	if s.chance(f.WrongShard) {
		shard++
	}
	s.respond(w, f, map[string]any{
		"snapshot": in.Snapshot,
		"shard":    shard,
		"rows":     s.paddedRows(in),
	})
}

// paddedRows returns the rows of a shard with Options.RowBytes.
func (s *Server) paddedRows(in callBody) []Row {
	rows := Rows(in.Snapshot, in.Shard)
	for i := range rows {
		if missing := s.fleet.opts.RowBytes - len(rows[i].Ticket); missing > 0 {
			rows[i].Ticket += strings.Repeat("-", missing)
		}
	}
	return rows
}

// Row is one row of an answer.
type Row struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int32  `json:"shard"`
	Ticket   string `json:"ticket"`
}

// Rows returns the rows of a shard. They depend only on the snapshot and the shard, so
// that a checker can compute them too.
func Rows(snapshot uint64, shard int32) []Row {
	return []Row{{Snapshot: snapshot, Shard: shard, Ticket: fmt.Sprintf("t-%d-%d", snapshot, shard)}}
}

// holdsShard reports whether the server holds the shard of the call in its snapshot.
func holdsShard(f Faults, in callBody) bool {
	for _, held := range f.Snapshots {
		if held.Snapshot != in.Snapshot {
			continue
		}
		for _, shard := range held.Shards {
			if shard == in.Shard {
				return true
			}
		}
	}
	return false
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	in, ok := s.decode(w, r)
	if !ok {
		return
	}
	f := s.currentFaults()
	if !s.acquireSlot(w, in, f) {
		return
	}
	defer s.running.Add(-1)
	s.fleet.record(Execution{Kind: "order", ID: in.OrderID, RequestID: in.RequestID, Replica: s.address, Service: string(s.service)})
	// A started order runs to its end even if the caller has gone.
	s.execute(context.WithoutCancel(r.Context()), in, f)
	s.respond(w, f, map[string]any{"order_id": in.OrderID, "result": map[string]string{"booked": in.Key}})
}

// execute waits for the service time of a call. It returns false if the call is cancelled
// before that.
func (s *Server) execute(ctx context.Context, in callBody, f Faults) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if in.CallID != "" {
		s.mu.Lock()
		s.cancels[in.CallID] = cancel
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			delete(s.cancels, in.CallID)
			s.mu.Unlock()
		}()
	}
	if f.Stuck {
		<-ctx.Done()
		return false
	}
	t := time.NewTimer(s.serviceTime(f))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// cancel cancels the running call with the call id of the request, if there is one.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	in, ok := s.decode(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	cancel := s.cancels[in.CallID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// respond writes an answer with its checksum, or simulates the loss, truncation or
// corruption of the answer.
func (s *Server) respond(w http.ResponseWriter, f Faults, body any) {
	raw, _ := json.Marshal(body)
	if s.currentFaults().Lost && closeConn(w) { // lost while the call ran
		return
	}
	if s.chance(f.Reset) && closeConn(w) {
		return
	}
	const head = "HTTP/1.1 200 OK\r\n"
	o := flood.Options{Interval: time.Millisecond}
	switch {
	case s.chance(f.EndlessHead):
		flood.Head(head, o).Send(w)
		return
	case s.chance(f.EndlessBody):
		flood.Body(head+remote.CallIDHeader+": "+w.Header().Get(remote.CallIDHeader)+"\r\n\r\n", o).Send(w)
		return
	}
	w.Header().Set(remote.ChecksumHeader, remote.Checksum(raw))
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	switch {
	case s.chance(f.Corrupt):
		raw[len(raw)/2] ^= 1
	case s.chance(f.Truncate):
		raw = raw[:len(raw)/2]
	}
	_, _ = w.Write(raw)
}
