// Package picker keeps the replicas of all services, with their directory entries
// and statistics of the calls that this host sent to them. For each call it picks
// the replica that is expected to answer first. Calls to other data centres have a
// cost, so that replicas of the local data centre are preferred.
//
// # Usage
//
//	t := picker.New("host-1", "mixco")
//	t.Put(now, instance)
//	r, _ := t.Pick(now, "tickets", expected, nil)
//	t.StartCall(now, r, expected)
//	t.Ended(now, r, picker.CallEnd{Took: took, Expected: expected})
package picker

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// holdMissing is the time for which a replica stays usable after its entry vanished
// during a failure of the directory. A running replica is published again within
// about two seconds after the directory is back.
const holdMissing = 2 * time.Second

const (
	// minSubset is the smallest number of replicas of a service that a host uses, so
	// that one of them can fail or be slow.
	minSubset = 2
	// outsideSubsetCost is added to the cost of replicas outside this host's subset,
	// so that they are used only if there is no other. A connection of this host may
	// exceed the connection limit of such a replica.
	outsideSubsetCost = float64(time.Hour)
)

// Table holds the replicas. It is safe for concurrent use. Its lock also guards the
// fields of the replicas, and no other lock is acquired while it is held.
type Table struct {
	self    core.HostID
	localDC core.DataCentre

	mu         sync.Mutex
	byID       map[core.InstanceID]*Replica
	byService  map[core.ServiceName][]*Replica
	hostLimits map[core.ServiceName]HostLimits
	evacuated  map[core.DataCentre]bool
	warm       *warm.Limiter
	cold       []Cold // see NewlyCold
}

// HostLimits limits this host's use of the replicas of a service to its share of their
// connections.
type HostLimits struct {
	// Calls is the largest number of concurrent calls to a replica. Each call needs a
	// connection.
	Calls int
	// Share is the share of the replicas that this host uses, from 0 to 1. It is below
	// 1 if a replica accepts fewer connections than there are hosts.
	Share float64
}

// New returns an empty table for the host self, which runs in localDC.
func New(self core.HostID, localDC core.DataCentre) *Table {
	return &Table{
		self:       self,
		localDC:    localDC,
		byID:       make(map[core.InstanceID]*Replica),
		byService:  make(map[core.ServiceName][]*Replica),
		hostLimits: make(map[core.ServiceName]HostLimits),
		warm:       warm.New(self, localDC),
	}
}

// Put adds or updates an instance. It reports whether the instance is new, started
// or stopped draining, or was held as missing.
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
		r.evacuated = t.evacuated[in.DataCentre]
		t.byID[in.ID] = r
		t.byService[in.Service] = append(t.byService[in.Service], r)
		t.selectSubset(in.Service)
		r.statedAt = now
		t.markCold(now, r, in.Warmup, true)
		return true
	}
	if statesWarmup(r.inst, in) {
		r.statedAt = now
		t.markCold(now, r, in.Warmup, false)
	}
	changed := r.inst.Draining != in.Draining || !r.missingSince.IsZero()
	r.missingSince = time.Time{}
	r.inst = in
	return t.updateEvacuated(r) || changed
}

// Remove removes an instance. If hold is set, it only marks the instance as missing,
// and Expire removes it later unless its entry comes back; this is for entries that
// vanish around a failure of the directory. Remove reports whether the instance was
// known.
func (t *Table) Remove(now time.Time, id core.InstanceID, hold bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return false
	}
	if hold {
		if r.missingSince.IsZero() {
			r.missingSince = now
		}
		return true
	}
	t.remove(r)
	return true
}

// Retain calls Remove for each instance for which keep returns false, and returns
// those instances.
func (t *Table) Retain(now time.Time, hold bool, keep func(core.InstanceID) bool) []core.InstanceID {
	var removed []core.InstanceID
	for _, id := range t.ids() {
		if !keep(id) && t.Remove(now, id, hold) {
			removed = append(removed, id)
		}
	}
	return removed
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

// Expire removes the instances that have been missing for holdMissing, and returns
// them. Only time in which the directory is readable counts: since is when it became
// readable.
func (t *Table) Expire(now, since time.Time) []core.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []core.InstanceID
	for id, r := range t.byID {
		if r.missingSince.IsZero() {
			continue
		}
		start := r.missingSince
		if since.After(start) {
			start = since
		}
		if now.Sub(start) >= holdMissing {
			t.remove(r)
			removed = append(removed, id)
		}
	}
	return removed
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
	t.selectSubset(s)
}

// SetHostLimits sets the limits for the replicas of a service.
func (t *Table) SetHostLimits(s core.ServiceName, limits HostLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hostLimits[s] != limits {
		t.hostLimits[s] = limits
		t.selectSubset(s)
	}
}

// selectSubset selects the replicas of a service that this host uses. Replicas
// of the local data centre come first; otherwise the order is by rendezvous hashing.
// This spreads the hosts evenly over the replicas. A change of the replicas affects
// few hosts, and the loss of another host does not change the ranking.
func (t *Table) selectSubset(s core.ServiceName) {
	replicas := t.byService[s]
	limits, limited := t.hostLimits[s]
	n := countNotEvacuated(replicas)
	if limited && limits.Share < 1 {
		n = min(n, max(minSubset, int(limits.Share*float64(n))))
	}
	ranked := slices.Clone(replicas)
	slices.SortFunc(ranked, func(a, b *Replica) int {
		return cmp.Or(
			compareTrue(!a.evacuated, !b.evacuated),
			compareTrue(a.inst.DataCentre == t.localDC, b.inst.DataCentre == t.localDC),
			cmp.Compare(t.rendezvousWeight(b), t.rendezvousWeight(a)),
		)
	})
	for i, r := range ranked {
		r.inSubset = i < n
	}
}

// rendezvousWeight returns the weight of a replica in rendezvous hashing.
func (t *Table) rendezvousWeight(r *Replica) uint64 {
	return xxhash.Sum64String(string(t.self) + "/" + string(r.initial.ID))
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

// Instances returns the instances in this host's subsets that are not draining or leaving.
func (t *Table) Instances() []core.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]core.Instance, 0, len(t.byID))
	for _, r := range t.byID {
		if r.staying() && r.inSubset {
			all = append(all, r.inst)
		}
	}
	return all
}

// InSubset returns an instance if it is in this host's subset and usable.
func (t *Table) InSubset(now time.Time, id core.InstanceID) (core.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok || !r.inSubset || !r.usable(now) {
		return core.Instance{}, false
	}
	return r.inst, true
}

// Running returns the number of calls of this host that are in flight.
func (t *Table) Running() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		n += r.running
	}
	return n
}

// Size returns the number of replicas, including draining and ejected ones.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Pick returns the replica of a service that is expected to answer first.
// expected is the usual duration of such a call. Replicas in tried are skipped.
// If best is nil, busy reports whether a replica was skipped because it already runs as many
// calls of this host as it has slots, or as HostLimits.Calls allows.
func (t *Table) Pick(now time.Time, s core.ServiceName, expected time.Duration, tried []*Replica) (best *Replica, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost float64
	for _, r := range t.byService[s] {
		if !r.usable(now) || slices.Contains(tried, r) {
			continue
		}
		if r.running >= t.maxCalls(r) {
			busy = true
			continue
		}
		if !t.warm.Allow(now, r.initial.ID) {
			continue
		}
		cost := r.cost(now, expected, t.localDC)
		if !r.inSubset {
			cost += outsideSubsetCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best, busy && best == nil
}

// maxCalls returns how many calls to a replica this host may have in flight.
func (t *Table) maxCalls(r *Replica) int {
	n := math.MaxInt
	if limits, ok := t.hostLimits[r.inst.Service]; ok {
		n = limits.Calls
	}
	if r.inst.Slots > 0 {
		n = min(n, r.inst.Slots)
	}
	return n
}

// Available reports whether any replica of a service is usable.
func (t *Table) Available(now time.Time, s core.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.byService[s], func(r *Replica) bool { return r.usable(now) })
}

// Wait returns how long it takes until a replica of a service is usable again that asked for
// no requests; 0 if there is none. It is meant for a service without a usable replica.
func (t *Table) Wait(now time.Time, s core.ServiceName) (least time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byService[s] {
		if d := r.waitUntil.Sub(now); d > 0 && r.staying() && !r.ejected && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// Note records what a replica states about itself in an answer, and reports whether it is
// news. A leaving replica gets no more requests, and one that asks to wait gets none until
// then, health probes included. The record ends with the replica's lifetime.
func (t *Table) Note(now time.Time, r *Replica, n Notice) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markCold(now, r, n.Warmup, false)
	return r.note(now, n)
}

// PickTried returns the replica of tried that is expected to answer first; nil if none of
// them is usable and below the limits of Pick.
func (t *Table) PickTried(now time.Time, expected time.Duration, tried []*Replica) (best *Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var bestCost float64
	for _, r := range tried {
		if !r.usable(now) || r.running >= t.maxCalls(r) || !t.warm.Allow(now, r.initial.ID) {
			continue
		}
		if cost := r.cost(now, expected, t.localDC); best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// Overloaded reports whether a replica is overloaded: in its last load report, which must
// be recent, at least as many calls waited as it has slots.
func (t *Table) Overloaded(now time.Time, r *Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(r.loadAt) < maxQueueAge && r.load.Waiting >= max(1, r.load.Slots)
}

// AvailableIn reports whether a service has a usable replica in a data centre.
func (t *Table) AvailableIn(now time.Time, s core.ServiceName, dc core.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.byService[s], func(r *Replica) bool { return r.usable(now) && r.inst.DataCentre == dc })
}

// Start is StartCall for a call whose expected duration is that of any other call.
func (t *Table) Start(now time.Time, r *Replica) bool { return t.StartCall(now, r, 0) }

// StartCall records the start of a call with its expected duration. It returns false if since Pick the replica has become
// unusable or calls have used up the limits of Pick; the call must then not be sent.
func (t *Table) StartCall(now time.Time, r *Replica, expected time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.usable(now) || r.running >= t.maxCalls(r) || !t.warm.Allow(now, r.initial.ID) {
		return false
	}
	t.warm.Sent(now, r.initial.ID)
	r.started(now, expected)
	return true
}

// Ended records the end of a call and reports whether this ejected the replica.
func (t *Table) Ended(now time.Time, r *Replica, e CallEnd) (ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.ended(now, e)
}

// Probes returns the ejected replicas that are due for a probe. The caller must
// probe them and call Probed; until then they are not returned again.
func (t *Table) Probes(now time.Time) []*Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*Replica
	for _, r := range t.byID {
		if r.ejected && r.staying() && !r.probing && !now.Before(r.probeAt) && !now.Before(r.waitUntil) {
			r.probing = true
			due = append(due, r)
		}
	}
	return due
}

// Probed records the result of a probe and reports whether this ended the ejection of
// the replica.
func (t *Table) Probed(now time.Time, r *Replica, healthy bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.probed(now, healthy)
}
