// Package fleet knows the replicas of all services: what the directory says of
// them and what this host has seen of their answers. It chooses the replica of
// each call: the one that is expected to answer first, with a preference for
// the host's own data centre.
//
// # Usage
//
//	f := fleet.New("mixco")
//	f.Put(now, instance)
//	r, _ := f.Pick(now, "tickets", expected, nil)
//	f.Started(now, r)
//	f.Ended(now, r, fleet.End{Took: took, Expected: expected})
package fleet

import (
	"slices"
	"sync"
	"time"

	"oriolebarrow/core"
)

// holdMissing is how long an entry that vanished while the directory was
// disturbed still names a replica: a living replica is published again within
// about two seconds of the directory's return.
const holdMissing = 2 * time.Second

// Table holds the replicas. It is safe for concurrent use; its lock guards the
// replicas too, and nothing is called while it is held.
type Table struct {
	home core.DataCentre

	mu        sync.Mutex
	byID      map[core.InstanceID]*Replica
	byService map[core.ServiceName][]*Replica
	caps      map[core.ServiceName]int // connections of this host to a replica
}

// New returns an empty table of a host in a data centre.
func New(home core.DataCentre) *Table {
	return &Table{
		home:      home,
		byID:      make(map[core.InstanceID]*Replica),
		byService: make(map[core.ServiceName][]*Replica),
		caps:      make(map[core.ServiceName]int),
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
	}
}

// SetCap limits the calls of this host that run at once on a replica of a
// service: each takes a connection.
func (t *Table) SetCap(s core.ServiceName, calls int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caps[s] = calls
}

// Instances returns all instances that may get calls.
func (t *Table) Instances() []core.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]core.Instance, 0, len(t.byID))
	for _, r := range t.byID {
		if !r.inst.Draining {
			all = append(all, r.inst)
		}
	}
	return all
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
		if limit, ok := t.caps[s]; ok && r.running >= limit {
			busy = true
			continue
		}
		cost := r.cost(now, expected, t.home)
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
