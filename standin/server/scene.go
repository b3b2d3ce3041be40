package server

import (
	"net/http"
	"strconv"
	"time"

	"oriolebarrow/core"
)

// loadReports bounds the reports kept for a lagging load report.
const loadReports = 256

// Publish adds a snapshot of a service with its own shard count. Shard i is
// held by group i modulo the number of groups, so some groups hold two shards
// when there are more shards than groups.
func (f *Fleet) Publish(service core.ServiceName, snapshot uint64, shards int) {
	groups := 0
	for _, s := range f.all() {
		if s.service == service {
			groups = max(groups, s.group+1)
		}
	}
	for _, s := range f.all() {
		if s.service != service {
			continue
		}
		held := SnapshotState{Snapshot: snapshot, ShardCount: shards, Shards: []int32{}}
		for shard := s.group; shard < shards; shard += groups {
			held.Shards = append(held.Shards, int32(shard))
		}
		s.mu.Lock()
		// A new slice, since calls may still read the old one.
		s.faults.Snapshots = append(append([]SnapshotState(nil), s.faults.Snapshots...), held)
		s.mu.Unlock()
	}
}

// Drop removes a snapshot of a service. Calls that run on it finish.
func (f *Fleet) Drop(service core.ServiceName, snapshot uint64) {
	for _, s := range f.all() {
		if s.service != service {
			continue
		}
		s.mu.Lock()
		var kept []SnapshotState
		for _, held := range s.faults.Snapshots {
			if held.Snapshot != snapshot {
				kept = append(kept, held)
			}
		}
		s.faults.Snapshots = kept
		s.mu.Unlock()
	}
}

// Restart brings a server back as a new incarnation: running calls end without
// an answer, and it is cold for warm.
func (f *Fleet) Restart(address string, warm time.Duration) error {
	for _, s := range f.all() {
		if s.address != address {
			continue
		}
		s.mu.Lock()
		s.incarnation++
		s.faults.State = string(core.ReplicaCold)
		s.warmFrom, s.warmFor = time.Now(), warm
		for _, cancel := range s.cancels {
			cancel()
		}
		s.mu.Unlock()
		s.stop()
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

// ColdFactor returns the factor on service times at a time after a restart: it
// falls evenly from full to 1 while the server warms up.
func ColdFactor(full float64, since, warm time.Duration) float64 {
	if since >= warm || full <= 1 {
		return 1
	}
	return 1 + (full-1)*(1-float64(since)/float64(warm))
}

type loadReport struct {
	at   time.Time
	load int
}

// report notes a load and returns the newest one that is at least lag old. The
// lock of the server must be held.
func (s *Server) report(now time.Time, load int, lag time.Duration) int {
	s.reports = append(s.reports, loadReport{at: now, load: load})
	if len(s.reports) > loadReports {
		s.reports = s.reports[1:]
	}
	out := 0 // what a server that has just started reports
	for _, r := range s.reports {
		if now.Sub(r.at) >= lag {
			out = r.load
		}
	}
	return out
}

// registerScenes adds the larger changes to the control interface.
func (f *Fleet) registerScenes(mux *http.ServeMux) {
	number := func(r *http.Request, key string) uint64 {
		n, _ := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
		return n
	}
	service := func(r *http.Request) core.ServiceName { return core.ServiceName(r.URL.Query().Get("service")) }
	mux.HandleFunc("PUT /servers/snapshot", func(w http.ResponseWriter, r *http.Request) {
		n, shards := number(r, "snapshot"), number(r, "shards")
		if n == 0 || shards == 0 || shards > 1<<16 {
			http.Error(w, "want service, snapshot and shards", http.StatusBadRequest)
			return
		}
		f.Publish(service(r), n, int(shards))
	})
	mux.HandleFunc("DELETE /servers/snapshot", func(_ http.ResponseWriter, r *http.Request) {
		f.Drop(service(r), number(r, "snapshot"))
	})
	mux.HandleFunc("PUT /servers/restart", func(w http.ResponseWriter, r *http.Request) {
		if err := f.Restart(r.URL.Query().Get("address"), time.Duration(number(r, "warm_ms"))*time.Millisecond); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("PUT /servers/drain", func(_ http.ResponseWriter, r *http.Request) {
		f.Update(r.URL.Query().Get("address"), func(faults *Faults) { faults.State = string(core.ReplicaDraining) })
	})
}
