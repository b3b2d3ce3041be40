package server

import (
	"net/http"
	"strconv"
	"time"

	"oriolebarrow/core"
)

// maxLoadReports bounds the history of loads that a server keeps for Faults.LoadLagMS.
const maxLoadReports = 256

// AddSnapshot adds a snapshot with its own number of shards to the servers of a service.
// Shard i belongs to group i modulo the number of groups, so some groups hold several
// shards if there are more shards than groups.
func (f *Fleet) AddSnapshot(service core.ServiceName, snapshot uint64, shards int) {
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
		// Copied, since running calls may still read the old slice.
		s.faults.Snapshots = append(append([]SnapshotState(nil), s.faults.Snapshots...), held)
		s.mu.Unlock()
	}
}

// RemoveSnapshot removes a snapshot from the servers of a service. Calls that already
// run on the snapshot finish.
func (f *Fleet) RemoveSnapshot(service core.ServiceName, snapshot uint64) {
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

// Restart restarts the server at an address as a new incarnation, which is cold for the
// duration warm. It cancels the running calls and closes all connections.
func (f *Fleet) Restart(address string, warm time.Duration) error {
	for _, s := range f.all() {
		if s.address != address {
			continue
		}
		s.mu.Lock()
		s.incarnation++
		s.faults.State = string(core.ReplicaCold)
		s.warmStart, s.warmTime = time.Now(), warm
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

// ColdFactor returns the factor by which service times are multiplied at the time since
// after a restart. It falls linearly from full to 1 over the duration warm.
func ColdFactor(full float64, since, warm time.Duration) float64 {
	if since >= warm || full <= 1 {
		return 1
	}
	return 1 + (full-1)*(1-float64(since)/float64(warm))
}

// loadReport is the load of a server at one time.
type loadReport struct {
	at   time.Time
	load int
}

// laggingLoad records the current load and returns the newest one that is at least lag
// old, or 0 if there is none yet. The caller holds s.mu.
func (s *Server) laggingLoad(now time.Time, load int, lag time.Duration) int {
	s.reports = append(s.reports, loadReport{at: now, load: load})
	if len(s.reports) > maxLoadReports {
		s.reports = s.reports[1:]
	}
	out := 0
	for _, r := range s.reports {
		if now.Sub(r.at) >= lag {
			out = r.load
		}
	}
	return out
}

// registerEvents adds snapshots, restarts and drains to the control interface.
func (f *Fleet) registerEvents(mux *http.ServeMux) {
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
		f.AddSnapshot(service(r), n, int(shards))
	})
	mux.HandleFunc("DELETE /servers/snapshot", func(_ http.ResponseWriter, r *http.Request) {
		f.RemoveSnapshot(service(r), number(r, "snapshot"))
	})
	mux.HandleFunc("PUT /servers/restart", func(w http.ResponseWriter, r *http.Request) {
		if err := f.Restart(r.URL.Query().Get("address"), time.Duration(number(r, "warm_ms"))*time.Millisecond); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("PUT /servers/drain", func(_ http.ResponseWriter, r *http.Request) {
		f.UpdateFaults(r.URL.Query().Get("address"), func(faults *Faults) { faults.State = string(core.ReplicaDraining) })
	})
}
