package server

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
)

// Options configures the servers of a fleet.
type Options struct {
	MeanService time.Duration // mean service time of calls that are not slow
	SlowShare   float64       // share of calls that take ten times as long
	Seed        uint64
	JournalMax  int // largest number of entries in the journal; defaultJournalMax when 0
	RowBytes    int // size to which each row is padded
	// Listen opens the listener of a server; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// defaultJournalMax entries take about 100 MB.
const defaultJournalMax = 500_000

// Execution describes one execution of a call.
type Execution struct {
	Kind      string `json:"kind"` // read or order
	ID        string `json:"id"`   // id of the call or the order
	RequestID string `json:"request_id"`
	Replica   string `json:"replica"`
	Service   string `json:"service"`
	Snapshot  uint64 `json:"snapshot"`
	Shard     int32  `json:"shard"`
}

// Fleet is a set of servers with one journal of their executions. It is safe for
// concurrent use.
type Fleet struct {
	opts       Options
	shed       atomic.Int64 // calls refused because all slots were in use
	executions atomic.Int64

	mu      sync.Mutex         // guards the fields below
	servers map[string]*Server // by address
	journal []Execution
	dropped int64 // executions that were not recorded because the journal was full
}

// NewFleet returns a fleet without servers.
func NewFleet(opts Options) *Fleet {
	if opts.JournalMax == 0 {
		opts.JournalMax = defaultJournalMax
	}
	if opts.Listen == nil {
		opts.Listen = net.Listen
	}
	return &Fleet{opts: opts, servers: make(map[string]*Server)}
}

// Start starts a server for each replica of a service, at the address of the replica.
func (f *Fleet) Start(s core.Service) error {
	for g, replicas := range s.Groups() {
		for _, r := range replicas {
			f.mu.Lock()
			srv := newServer(f, s, g, r.Address(), uint64(len(f.servers)))
			f.servers[r.Address()] = srv
			f.mu.Unlock()
			if err := srv.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close stops all servers.
func (f *Fleet) Close() {
	for _, s := range f.all() {
		s.stop()
	}
}

func (f *Fleet) all() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		out = append(out, s)
	}
	return out
}

// record counts an execution and adds it to the journal unless that is full.
func (f *Fleet) record(e Execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions.Add(1)
	if len(f.journal) >= f.opts.JournalMax {
		f.dropped++
		return
	}
	f.journal = append(f.journal, e)
}

// Journal returns a copy of the executions recorded so far.
func (f *Fleet) Journal() []Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Execution(nil), f.journal...)
}

// UpdateFaults changes the faults of the server at an address, or of all servers when the
// address is empty.
func (f *Fleet) UpdateFaults(address string, change func(*Faults)) {
	for _, s := range f.all() {
		if address != "" && s.address != address {
			continue
		}
		s.mu.Lock()
		change(&s.faults)
		s.mu.Unlock()
	}
}

// Stats counts the refusals, executions and connections of all servers.
type Stats struct {
	Shed            int64 `json:"shed"` // calls refused because all slots were in use
	Executions      int64 `json:"executions"`
	JournalDropped  int64 `json:"journal_dropped"`  // executions not recorded because the journal was full
	MaxConnections  int64 `json:"max_connections"`  // largest number of connections at one server since ResetPeaks
	OverConnections int64 `json:"over_connections"` // connections closed because of the limit
}

// Stats returns the counts so far.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	out := Stats{Shed: f.shed.Load(), Executions: f.executions.Load(), JournalDropped: f.dropped}
	f.mu.Unlock()
	for _, s := range f.all() {
		out.MaxConnections = max(out.MaxConnections, s.peakConns.Load())
		out.OverConnections += s.overLimit.Load()
	}
	return out
}

// ResetPeaks sets each server's largest number of connections to the number open now.
func (f *Fleet) ResetPeaks() {
	for _, s := range f.all() {
		s.peakConns.Store(s.conns.Load())
	}
}

// Register adds the control interface of the fleet to a mux.
func (f *Fleet) Register(mux *http.ServeMux) {
	f.registerEvents(mux)
	mux.HandleFunc("GET /servers/journal", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Journal())
	})
	mux.HandleFunc("GET /servers/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Stats())
	})
	mux.HandleFunc("PATCH /servers/faults", func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		var patch json.RawMessage
		if err := decoder.Decode(&patch); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// Decoding into the current faults keeps the values that the patch does not contain.
		f.UpdateFaults(r.URL.Query().Get("address"), func(faults *Faults) { _ = json.Unmarshal(patch, faults) })
	})
}
