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

// Options configures a fleet.
type Options struct {
	MeanService time.Duration
	SlowShare   float64 // share of calls that take ten times as long
	Seed        uint64
	JournalMax  int // entries kept at most; defaultJournalMax when 0
	// Listen opens the listener of a server; net.Listen when nil.
	Listen func(network, address string) (net.Listener, error)
}

// defaultJournalMax bounds the journal to about 100 MB.
const defaultJournalMax = 500_000

// Entry is one execution in the journal.
type Entry struct {
	Kind      string `json:"kind"` // read or order
	ID        string `json:"id"`   // call or order id
	RequestID string `json:"request_id"`
	Replica   string `json:"replica"`
	Service   string `json:"service"`
	Snapshot  uint64 `json:"snapshot"`
	Shard     int32  `json:"shard"`
}

// Fleet holds servers and their common journal.
type Fleet struct {
	opts Options
	shed atomic.Int64
	ran  atomic.Int64

	mu      sync.Mutex // guards the fields below
	servers map[string]*Server
	journal []Entry
	dropped int64 // entries that the full journal did not take
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

// Start starts a server for each replica of a service.
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

func (f *Fleet) record(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran.Add(1)
	if len(f.journal) >= f.opts.JournalMax {
		f.dropped++
		return
	}
	f.journal = append(f.journal, e)
}

// Journal returns what ran so far.
func (f *Fleet) Journal() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Entry(nil), f.journal...)
}

// Update changes the faults of one server, or of all with an empty address.
func (f *Fleet) Update(address string, change func(*Faults)) {
	for _, s := range f.all() {
		if address != "" && s.address != address {
			continue
		}
		s.mu.Lock()
		change(&s.faults)
		s.mu.Unlock()
	}
}

// Stats counts refusals and connections of all servers.
type Stats struct {
	Shed            int64 `json:"shed"`
	Executions      int64 `json:"executions"`
	JournalDropped  int64 `json:"journal_dropped"`  // executions that the journal does not hold
	MaxConnections  int64 `json:"max_connections"`  // largest number at one server
	OverConnections int64 `json:"over_connections"` // closed for the limit
}

// Stats returns the counts so far.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	out := Stats{Shed: f.shed.Load(), Executions: f.ran.Load(), JournalDropped: f.dropped}
	f.mu.Unlock()
	for _, s := range f.all() {
		out.MaxConnections = max(out.MaxConnections, s.maxConns.Load())
		out.OverConnections += s.overConn.Load()
	}
	return out
}

// ResetPeaks starts the largest number of connections again from the open ones.
func (f *Fleet) ResetPeaks() {
	for _, s := range f.all() {
		s.maxConns.Store(s.conns.Load())
	}
}

// Register adds the control interface to a mux.
func (f *Fleet) Register(mux *http.ServeMux) {
	f.registerScenes(mux)
	mux.HandleFunc("GET /servers/journal", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Journal())
	})
	mux.HandleFunc("GET /servers/stats", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Stats())
	})
	mux.HandleFunc("PATCH /servers/faults", func(w http.ResponseWriter, r *http.Request) {
		raw := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		var patch json.RawMessage
		if err := raw.Decode(&patch); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// Keys that the patch leaves out keep their value.
		f.Update(r.URL.Query().Get("address"), func(faults *Faults) { _ = json.Unmarshal(patch, faults) })
	})
}
