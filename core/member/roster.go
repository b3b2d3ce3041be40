// Package member decides which hosts can be used now.
//
// # Usage
//
//	r := member.NewRoster(self)
//	r.Publish(entries)
//	view := r.View(now)
package member

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

// downTime is how long a host stays out of the view after a failed dial.
const downTime = time.Second

// Roster derives the live view from the published host list and from failed
// dials. It is safe for concurrent use; its one lock covers all fields.
type Roster struct {
	self core.Host

	mu      sync.Mutex
	hosts   []core.Host
	listed  map[core.HostID]core.Host // every host of the list, leaving ones too
	down    map[core.HostID]time.Time
	version uint64
}

// NewRoster returns a roster that knows only self.
func NewRoster(self core.Host) *Roster {
	return &Roster{self: self, hosts: []core.Host{self}, down: make(map[core.HostID]time.Time)}
}

// Publish takes a host list. An empty list is not news.
func (r *Roster) Publish(entries []core.HostEntry) {
	if len(entries) == 0 {
		return
	}
	hosts := []core.Host{r.self}
	listed := make(map[core.HostID]core.Host, len(entries))
	for _, e := range entries {
		listed[e.Host.ID()] = e.Host
		if !e.Leaving && e.Host.ID() != r.self.ID() {
			hosts = append(hosts, e.Host)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = hosts
	r.listed = listed
	r.version++
}

// Locate returns a listed host whether or not it is in the view.
func (r *Roster) Locate(id core.HostID) (core.Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.listed[id]
	return h, ok
}

// MarkDown takes a host out of the view for a while.
func (r *Roster) MarkDown(now time.Time, id core.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[id] = now.Add(downTime)
	r.version++
}

// View returns the hosts that are usable now.
func (r *Roster) View(now time.Time) core.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := make([]core.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		if until, ok := r.down[h.ID()]; !ok || !until.After(now) {
			hosts = append(hosts, h)
		}
	}
	return core.NewView(r.version, hosts)
}
