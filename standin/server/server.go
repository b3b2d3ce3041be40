// Package server is a stand-in for backend servers: slots, a connection limit,
// connection set-up cost, service times with stragglers, snapshots, drain, shed,
// cold start, cancellation, deadlines, and a journal of what ran.
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
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

const (
	maxBodyBytes = 2 << 20
	slowFactor   = 10
	// FirstSnapshot is the snapshot that a new fleet holds.
	FirstSnapshot = 41
)

// Faults are the switches of one server.
type Faults struct {
	State      string          `json:"state"`       // ready, cold or draining
	SlowFactor float64         `json:"slow_factor"` // multiplies every service time
	ColdFactor float64         `json:"cold_factor"`
	Shed       float64         `json:"shed"`    // share of calls refused as busy
	Corrupt    float64         `json:"corrupt"` // share of answers with a flipped byte
	Truncate   float64         `json:"truncate"`
	WrongShard float64         `json:"wrong_shard"` // share of answers for another shard
	Reset      float64         `json:"reset"`       // share of calls whose connection closes after they ran
	Lost       bool            `json:"lost"`        // every connection closes without an answer
	Stuck      bool            `json:"stuck"`       // calls never end by themselves
	Snapshots  []SnapshotState `json:"snapshots"`   // replaces what the server holds
	LoadLagMS  int64           `json:"load_lag_ms"` // age of the reported load
	LoadBias   int             `json:"load_bias"`   // added to the reported load
}

// SnapshotState is one snapshot that a server holds.
type SnapshotState struct {
	Snapshot   uint64  `json:"snapshot"`
	ShardCount int     `json:"shard_count"`
	Shards     []int32 `json:"shards"`
}

// Server is one backend server.
type Server struct {
	fleet   *Fleet
	service core.ServiceName
	group   int
	address string
	limits  core.Limits

	conns    atomic.Int64
	maxConns atomic.Int64
	overConn atomic.Int64
	running  atomic.Int64

	mu          sync.Mutex // guards the fields below
	http        *http.Server
	faults      Faults
	random      *rand.Rand
	incarnation uint64
	cancels     map[string]context.CancelFunc
	warmFrom    time.Time
	warmFor     time.Duration
	reports     []loadReport
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
	h := &http.Server{Handler: s.reachable(mux), ReadHeaderTimeout: 5 * time.Second, ConnState: s.connState}
	s.mu.Lock()
	s.http = h
	s.mu.Unlock()
	go func() { _ = h.Serve(&costlyListener{Listener: l, cost: s.limits.NewConnectionCost}) }()
	return nil
}

// stop ends the server and its connections.
func (s *Server) stop() {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

func (s *Server) snapshot() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.State == string(core.ReplicaCold) && s.warmFor > 0 && time.Since(s.warmFrom) >= s.warmFor {
		s.faults.State, s.warmFor = string(core.ReplicaReady), 0
	}
	return s.faults
}

// chance draws whether a fault with this share happens.
func (s *Server) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share
}

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
		if s.warmFor > 0 {
			factor = ColdFactor(factor, time.Since(s.warmFrom), s.warmFor)
		}
		d *= factor
	}
	return time.Duration(d)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	f := s.snapshot()
	s.mu.Lock()
	inc := s.incarnation
	load := f.LoadBias + s.report(time.Now(), int(s.running.Load()), time.Duration(f.LoadLagMS)*time.Millisecond)
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"incarnation": inc, "state": f.State, "load": load, "slots": s.limits.Slots, "snapshots": f.Snapshots,
	})
}

type callIn struct {
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

func (s *Server) decode(w http.ResponseWriter, r *http.Request) (callIn, bool) {
	var in callIn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", false)
		return in, false
	}
	return in, true
}

func refuse(w http.ResponseWriter, status int, reason string, ran bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"refused": reason, "ran": ran})
}

// enter takes a slot or refuses. The caller must call leave.
func (s *Server) enter(w http.ResponseWriter, in callIn, f Faults) bool {
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
	f := s.snapshot()
	if !holds(f, in) {
		refuse(w, http.StatusConflict, "snapshot_gone", false)
		return
	}
	if !s.enter(w, in, f) {
		return
	}
	defer s.running.Add(-1)
	s.fleet.record(Entry{
		Kind: "read", ID: in.CallID, RequestID: in.RequestID, Replica: s.address,
		Service: string(s.service), Snapshot: in.Snapshot, Shard: in.Shard,
	})
	if !s.work(r.Context(), in, f) {
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
		"rows":     Rows(in.Snapshot, in.Shard),
	})
}

// Row is one row of an answer.
type Row struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int32  `json:"shard"`
	Ticket   string `json:"ticket"`
}

// Rows returns the rows of a shard; a checker computes the same.
func Rows(snapshot uint64, shard int32) []Row {
	return []Row{{Snapshot: snapshot, Shard: shard, Ticket: fmt.Sprintf("t-%d-%d", snapshot, shard)}}
}

func holds(f Faults, in callIn) bool {
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
	f := s.snapshot()
	if !s.enter(w, in, f) {
		return
	}
	defer s.running.Add(-1)
	s.fleet.record(Entry{Kind: "order", ID: in.OrderID, RequestID: in.RequestID, Replica: s.address, Service: string(s.service)})
	// An order that has started always runs to its end.
	s.work(context.WithoutCancel(r.Context()), in, f)
	s.respond(w, f, map[string]any{"order_id": in.OrderID, "result": map[string]string{"booked": in.Key}})
}

// work spends the service time; false when the call was cancelled.
func (s *Server) work(ctx context.Context, in callIn, f Faults) bool {
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

func (s *Server) respond(w http.ResponseWriter, f Faults, body any) {
	raw, _ := json.Marshal(body)
	if s.snapshot().Lost && hangUp(w) { // lost while the call ran
		return
	}
	if s.chance(f.Reset) && hangUp(w) {
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
