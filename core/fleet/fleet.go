// Package fleet knows the replicas of all services: what the directory says of
// them and what this host has seen of their answers. It chooses the replica of
// each call: the one that is expected to answer first, with a preference for
// the host's own data centre.
//
// # Usage
//
//	f := fleet.New("host-1", "mixco")
//	f.Put(now, instance)
//	r, _ := f.Pick(now, "tickets", expected, nil)
//	f.Started(now, r)
//	f.Ended(now, r, fleet.End{Took: took, Expected: expected})
package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

// holdMissing is how long an entry that vanished while the directory was
// disturbed still names a replica: a living replica is published again within
// about two seconds of the directory's return.
const holdMissing = 2 * time.Second

const (
	// minChosen replicas of a service are used by each host, so that one can
	// fail or be slow.
	minChosen = 2
	// strangerCost keeps a host from replicas that it does not use, unless it has
	// no other: its connection may be one too many there.
	strangerCost = float64(time.Hour)
)

// Table holds the replicas. It is safe for concurrent use; its lock guards the
// replicas too, and nothing is called while it is held.
type Table struct {
	self core.HostID
	home core.DataCentre

	mu        sync.Mutex
	byID      map[core.InstanceID]*Replica
	byService map[core.ServiceName][]*Replica
	caps      map[core.ServiceName]Cap
}

// Cap is this host's part of the connections to the replicas of a service.
type Cap struct {
	// Calls run at most at once on a replica: each takes a connection.
	Calls int
	// Share of the replicas that this host uses, 0 to 1. Below 1, the limit of a
	// replica is smaller than the number of hosts.
	Share float64
}

// New returns an empty table of a host in a data centre.
func New(self core.HostID, home core.DataCentre) *Table {
	return &Table{
		self:      self,
		home:      home,
		byID:      make(map[core.InstanceID]*Replica),
		byService: make(map[core.ServiceName][]*Replica),
		caps:      make(map[core.ServiceName]Cap),
	}
}

// Put adds or updates an instance. It reports whether anything but the entry's
// revision changed.
func (t *Table) Put(now time.Time, in core.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[in.ID]
	if ok && (r.inst.Born != in.Born || r.inst.Service != in.Service || r.inst.Address != in.Address) {
		t.remove(r)
		ok = false
	}
	if !ok {
		r = newReplica(now, in)
		t.byID[in.ID] = r
		t.byService[in.Service] = append(t.byService[in.Service], r)
		t.choose(in.Service)
		return true
	}
	changed := r.inst.Draining != in.Draining || !r.missing.IsZero()
	r.missing = time.Time{}
	r.inst = in
	return changed
}

// Remove forgets an instance, or holds it for a while if the directory was
// disturbed lately and its entry may come back.
func (t *Table) Remove(now time.Time, id core.InstanceID, hold bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return false
	}
	if hold {
		if r.missing.IsZero() {
			r.missing = now
		}
		return true
	}
	t.remove(r)
	return true
}

// Retain removes the instances that keep refuses, as Remove does.
func (t *Table) Retain(now time.Time, hold bool, keep func(core.InstanceID) bool) []core.InstanceID {
	var gone []core.InstanceID
	for _, id := range t.ids() {
		if !keep(id) && t.Remove(now, id, hold) {
			gone = append(gone, id)
		}
	}
	return gone
}

func (t *Table) ids() []core.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]core.InstanceID, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	return ids
}

// Expire removes the held instances whose entries did not come back. Time in
// which the directory cannot be read does not count: the caller passes
// since, the start of the time in which it could.
func (t *Table) Expire(now, since time.Time) []core.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []core.InstanceID
	for id, r := range t.byID {
		if r.missing.IsZero() {
			continue
		}
		start := r.missing
		if since.After(start) {
			start = since
		}
		if now.Sub(start) >= holdMissing {
			t.remove(r)
			gone = append(gone, id)
		}
	}
	return gone
}

func (t *Table) remove(r *Replica) {
	r.removed = true
	delete(t.byID, r.inst.ID)
	s := r.inst.Service
	t.byService[s] = slices.DeleteFunc(t.byService[s], func(o *Replica) bool { return o == r })
	if len(t.byService[s]) == 0 {
		delete(t.byService, s)
		return
	}
	t.choose(s)
}

// SetCap sets this host's part of the connections to a service.
func (t *Table) SetCap(s core.ServiceName, c Cap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caps[s] != c {
		t.caps[s] = c
		t.choose(s)
	}
}

// choose marks the replicas of a service that this host uses. Hosts prefer
// replicas of their own data centre and choose the others by rendezvous hashing,
// so that the choices of all hosts are even and a change moves few of them.
func (t *Table) choose(s core.ServiceName) {
	replicas := t.byService[s]
	limit, limited := t.caps[s]
	n := len(replicas)
	if limited && limit.Share < 1 {
		n = min(n, max(minChosen, int(limit.Share*float64(n))))
	}
	ranked := slices.Clone(replicas)
	slices.SortFunc(ranked, func(a, b *Replica) int {
		return cmp.Or(
			compareTrue(a.inst.DataCentre == t.home, b.inst.DataCentre == t.home),
			cmp.Compare(t.weight(b), t.weight(a)),
		)
	})
	for i, r := range ranked {
		r.chosen = i < n
	}
}

func (t *Table) weight(r *Replica) uint64 {
	return xxhash.Sum64String(string(t.self) + "/" + string(r.fixed.ID))
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Instances returns the instances that this host uses.
func (t *Table) Instances() []core.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]core.Instance, 0, len(t.byID))
	for _, r := range t.byID {
		if !r.inst.Draining && r.chosen {
			all = append(all, r.inst)
		}
	}
	return all
}

// Chosen returns an instance if this host uses it.
func (t *Table) Chosen(id core.InstanceID) (core.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok || !r.chosen || !r.usable() {
		return core.Instance{}, false
	}
	return r.inst, true
}

// Running returns the number of calls that run.
func (t *Table) Running() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		n += r.running
	}
	return n
}

// Size returns the number of replicas, drained and ejected ones included.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Pick returns the replica of a service that is expected to answer first.
// expected is the usual time of such a call. Replicas in tried are left out.
// When there is none, busy tells whether one may become free soon.
func (t *Table) Pick(now time.Time, s core.ServiceName, expected time.Duration, tried []*Replica) (best *Replica, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost float64
	for _, r := range t.byService[s] {
		if !r.usable() || slices.Contains(tried, r) {
			continue
		}
		if limit, ok := t.caps[s]; ok && r.running >= limit.Calls {
			busy = true
			continue
		}
		cost := r.cost(now, expected, t.home)
		if !r.chosen {
			cost += strangerCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best, busy && best == nil
}

// Available reports whether any replica of a service may get calls.
func (t *Table) Available(s core.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.byService[s], (*Replica).usable)
}

// Again returns the best of some replicas that were called before; nil when none
// may get a call now.
func (t *Table) Again(now time.Time, expected time.Duration, tried []*Replica) (best *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost float64
	for _, r := range tried {
		limit, limited := t.caps[r.inst.Service]
		if !r.usable() || limited && r.running >= limit.Calls {
			continue
		}
		if cost := r.cost(now, expected, t.home); best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// Crowded reports whether as many calls waited at a replica as it has slots, when it told
// its load lately.
func (t *Table) Crowded(now time.Time, r *Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(r.loadAt) < crowdAge && r.load.Waiting >= max(1, r.load.Slots)
}

// Near reports whether a service has a usable replica in a data centre.
func (t *Table) Near(s core.ServiceName, dc core.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.byService[s], func(r *Replica) bool { return r.usable() && r.inst.DataCentre == dc })
}

// Started notes the start of a call.
func (t *Table) Started(now time.Time, r *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.started(now)
}

// Ended notes the end of a call, and reports whether the replica was ejected
// for it.
func (t *Table) Ended(now time.Time, r *Replica, e End) (ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.ended(now, e)
}

// Probes returns the ejected replicas that are due for a probe.
func (t *Table) Probes(now time.Time) []*Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*Replica
	for _, r := range t.byID {
		if r.ejected && !r.inst.Draining && !r.probing && !now.Before(r.probeAt) {
			r.probing = true
			due = append(due, r)
		}
	}
	return due
}

// Probed notes the result of a probe and reports whether the replica is back.
func (t *Table) Probed(now time.Time, r *Replica, healthy bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.probed(now, healthy)
}
