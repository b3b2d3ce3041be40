// Package eject keeps the health of the replicas of one group: what each says
// about itself, which are ejected as stragglers, and how many slots each may
// use now.
//
// # Usage
//
//	h := eject.New(eject.Options{Replicas: 2, Slots: 2})
//	h.Status(asked, 0, status)
//	if h.Slots(now, 0) > running {
//		h.Started(now, 0)
//	}
package eject

import (
	"maps"
	"slices"
	"time"

	"oriolebarrow/core"
)

const (
	// slowFactor times the median of the service counts as slow: 6% of calls
	// with exponential service times are, and 87% on a replica 20x slow.
	slowFactor = 4
	// weight of one call in the share of slow calls.
	weight = 0.2
	// ejectShare and returnShare are far apart, so that a replica near the
	// limit is not ejected and taken back again and again.
	ejectShare  = 0.6
	returnShare = 0.2
	// minCalls before a replica may be ejected.
	minCalls = 5
	// trialMin and trialMax are the pauses between trial calls.
	trialMin = time.Second
	trialMax = 8 * time.Second
	// rampCalls successful calls add one slot.
	rampCalls = 4
	// goneAfter failures in a row to connect, a replica counts as gone.
	goneAfter = 3
	// drainHold is how long a draining statement outweighs the state ready of
	// the same incarnation, since status endpoints lag.
	drainHold = 30 * time.Second
	// busyMin and busyMax are the pauses of a replica that refused the only
	// call of this host as busy: calls of other hosts use all its slots.
	busyMin = 10 * time.Millisecond
	busyMax = time.Second
	// holdMin and holdMax are how long a replica that was busy gets no further
	// slot. With two owners on two slots each try costs a few refusals, and
	// one every 8 s keeps them below 0.5% of 200 calls/s. The first try comes
	// early, since the calls of a host that was lost soon end; each refusal
	// makes the next wait holdGrowth times as long.
	holdMin    = 50 * time.Millisecond
	holdGrowth = 4
	holdMax    = 8 * time.Second
	// dropHold is how long a refusal snapshot_gone outweighs a status that
	// still lists the shard.
	dropHold = 5 * time.Second
)

// State is the health of a replica.
type State string

// States of a replica.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
	Gone     State = "gone"
	Ejected  State = "ejected"
)

// Options configures the health of one group.
type Options struct {
	Replicas int
	Slots    int
	NoEject  bool // never ejects stragglers

	// StaleAfter is the age beyond which a status is not relied on: the
	// replica gets no call until it is asked again, since it may have begun to
	// drain. Zero relies on any status.
	StaleAfter time.Duration
	NoRamp     bool // gives all slots at once
	NoBackoff  bool // keeps the slots of a replica that is busy with others' calls
}

// holding is one shard of one snapshot.
type holding struct {
	snapshot core.SnapshotID
	shard    core.ShardID
}

type replica struct {
	status  core.ReplicaStatus
	known   bool
	asked   time.Time // when the status was asked for
	heard   time.Time // when the last poll that ended was started
	stated  State     // ready, cold or draining
	drained time.Time
	renewed time.Time // when the first status of this incarnation was asked for
	missed  int       // failures in a row to connect
	dropped map[holding]time.Time

	ejected bool
	slow    float64 // share of slow calls, newest weigh most
	calls   int
	running int
	trialAt time.Time
	pause   time.Duration

	allowed int
	good    int // successful calls since the last change of allowed
	backoff backoff
}

// Group is the health of one replica group. It is not safe for concurrent use.
type Group struct {
	opts     Options
	replicas []replica
}

var _ core.Health = (*Group)(nil)

// New returns a group of ready replicas with one slot each, since calls of a
// previous owner may still be running.
func New(opts Options) *Group {
	g := &Group{opts: opts, replicas: make([]replica, opts.Replicas)}
	for i := range g.replicas {
		g.replicas[i].stated = Ready
		g.ramp(i)
	}
	return g
}

func (g *Group) ramp(i int) {
	r := &g.replicas[i]
	r.good = 0
	r.allowed = 1
	if g.opts.NoRamp {
		r.allowed = g.opts.Slots
	}
}

// Slots returns how many calls the replica may run now.
func (g *Group) Slots(now time.Time, i int) int {
	r := &g.replicas[i]
	switch {
	case r.stated == Draining || g.Stale(now, i) || now.Before(r.backoff.until):
		return 0
	case r.missed >= goneAfter || r.ejected:
		if !g.otherInService(i) {
			return r.allowed
		}
		if g.Trial(now, i) {
			return 1
		}
		return 0
	case r.stated == Cold && !g.opts.NoRamp:
		return 1
	}
	return r.allowed
}

// Trial reports whether the next call to the replica is a trial call.
func (g *Group) Trial(now time.Time, i int) bool {
	r := &g.replicas[i]
	out := r.stated != Draining && (r.missed >= goneAfter || r.ejected) && g.otherInService(i)
	return out && r.running == 0 && !now.Before(r.trialAt)
}

// Available reports whether the replica may get calls now or later, unless its
// own statement changes.
func (g *Group) Available(i int) bool { return g.replicas[i].stated != Draining }

// State returns the health of a replica.
func (g *Group) State(i int) State {
	r := &g.replicas[i]
	switch {
	case r.stated == Draining:
		return Draining
	case r.missed >= goneAfter:
		return Gone
	case r.ejected:
		return Ejected
	}
	return r.stated
}

// otherInService reports whether another replica takes calls without trials
// and holds every snapshot of this one. Otherwise this one is the last replica
// of some query and must not be ejected.
func (g *Group) otherInService(i int) bool {
	for n := range g.replicas {
		if s := g.State(n); n != i && (s == Ready || s == Cold) && g.covers(n, i) {
			return true
		}
	}
	return false
}

func (g *Group) covers(n, i int) bool {
	for _, s := range g.replicas[i].status.Snapshots {
		for _, shard := range s.Shards {
			if !g.Holds(n, s.Snapshot, shard) {
				return false
			}
		}
	}
	return true
}

// Holds reports whether the replica holds a shard of a snapshot. A replica
// without a status is asked: it refuses if it does not.
func (g *Group) Holds(i int, snapshot core.SnapshotID, shard core.ShardID) bool {
	r := &g.replicas[i]
	if snapshot == 0 {
		return true
	}
	if _, gone := r.dropped[holding{snapshot, shard}]; gone {
		return false
	}
	if !r.known {
		return true
	}
	for _, s := range r.status.Snapshots {
		if s.Snapshot == snapshot && slices.Contains(s.Shards, shard) {
			return true
		}
	}
	return false
}

// Snapshots returns what a replica that takes calls holds.
func (g *Group) Snapshots(i int) []core.GroupSnapshot {
	if s := g.State(i); s == Draining || s == Gone {
		return nil
	}
	r := &g.replicas[i]
	if len(r.dropped) == 0 {
		return r.status.Snapshots
	}
	var out []core.GroupSnapshot
	for _, s := range r.status.Snapshots {
		s.Shards = slices.DeleteFunc(slices.Clone(s.Shards), func(shard core.ShardID) bool {
			_, gone := r.dropped[holding{s.Snapshot, shard}]
			return gone
		})
		if len(s.Shards) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// Known reports whether it is known what the replica offers: it gave a status,
// drains or is gone.
func (g *Group) Known(i int) bool {
	s := g.State(i)
	return g.replicas[i].known || s == Draining || s == Gone
}

// Started tells that a call to the replica starts.
func (g *Group) Started(now time.Time, i int) {
	r := &g.replicas[i]
	r.running++
	if r.ejected || r.missed >= goneAfter {
		r.pause = min(trialMax, max(trialMin, 2*r.pause))
		r.trialAt = now.Add(r.pause)
	}
}

// Ended tells how a call ended and its share of the service's median time.
func (g *Group) Ended(now time.Time, i int, e core.CallEnd) {
	r := &g.replicas[i]
	r.running--
	switch {
	case e.Reason == core.ReasonDraining:
		// A refusal of an earlier incarnation may arrive after the new one's status.
		if started := now.Add(-e.Took); !started.Before(r.renewed) {
			r.stated, r.drained = Draining, now
		}
		return
	case e.Reason == core.ReasonSnapshotGone:
		r.missed = 0
		g.drop(now, i, holding{e.Snapshot, e.Shard})
		return
	case e.Refused && e.Reason == core.ReasonBackendError:
		g.miss(now, i)
		return
	case e.Refused && e.Reason == core.ReasonBusy:
		r.missed = 0
		g.busy(now, i, now.Add(-e.Took))
		return
	case e.Refused && e.Reason == core.ReasonDeadline:
		return // never sent, so it says nothing about the replica
	case e.Refused:
		r.missed = 0 // shedding says nothing about the service time
		return
	}
	slow := e.Failed || (e.Median > 0 && e.Took > slowFactor*e.Median)
	if e.Cancelled && !slow {
		return
	}
	if !e.Failed {
		r.missed = 0
	}
	g.judge(now, i, slow)
}

// judge applies one call to the share of slow calls and to the ramp.
func (g *Group) judge(now time.Time, i int, slow bool) {
	r := &g.replicas[i]
	r.calls++
	sample := 0.0
	if slow {
		sample = 1
	}
	r.slow += weight * (sample - r.slow)
	if !slow {
		r.backoff.pause = 0
		if r.good++; r.good >= rampCalls && !now.Before(r.backoff.growAt) {
			r.good = 0
			r.allowed = min(g.opts.Slots, r.allowed+1)
		}
	}
	switch {
	case r.ejected && !slow:
		r.pause = trialMin / 2
		r.trialAt = now
		if r.slow <= returnShare {
			r.ejected = false
			g.ramp(i)
		}
	case !r.ejected && !g.opts.NoEject && r.calls >= minCalls && r.slow >= ejectShare && g.otherInService(i):
		r.ejected = true
		r.pause = trialMin
		r.trialAt = now.Add(trialMin)
	}
}

func (g *Group) miss(now time.Time, i int) {
	r := &g.replicas[i]
	if r.missed++; r.missed == goneAfter {
		// The last replica of a group stays in use, and by now another host may
		// own the group and run calls there.
		g.ramp(i)
		r.pause = trialMin
		r.trialAt = now.Add(trialMin)
	}
}

// drop corrects the table after a replica refused a shard of a snapshot.
func (g *Group) drop(now time.Time, i int, h holding) {
	r := &g.replicas[i]
	if r.dropped == nil {
		r.dropped = make(map[holding]time.Time)
	}
	r.dropped[h] = now
}

// Unreachable tells that the replica gave no status when asked at a time.
func (g *Group) Unreachable(asked time.Time, i int) {
	g.replicas[i].heard = asked
	g.miss(asked, i)
}

// Status takes the replica's own report, which was asked for at a time.
func (g *Group) Status(asked time.Time, i int, s core.ReplicaStatus) {
	r := &g.replicas[i]
	if r.known && (s.Incarnation < r.status.Incarnation || asked.Before(r.asked)) {
		return
	}
	// After a gap another host may have owned the group and run calls.
	resumed := r.known && g.opts.StaleAfter > 0 && asked.Sub(r.heard) > g.opts.StaleAfter
	r.asked, r.heard = asked, asked
	// Until the first status the incarnation is not known, so a statement made
	// before it is taken to be of the incarnation that the status names.
	renewed := r.known && r.status.Incarnation != 0 && s.Incarnation > r.status.Incarnation
	held := r.stated == Draining && !renewed && asked.Before(r.drained.Add(drainHold))
	if renewed {
		r.renewed = asked
	}
	if renewed || resumed || r.missed >= goneAfter {
		g.ramp(i)
	}
	r.missed = 0
	r.status, r.known = s, true
	maps.DeleteFunc(r.dropped, func(_ holding, at time.Time) bool {
		return renewed || asked.After(at.Add(dropHold))
	})
	if renewed {
		r.ejected, r.slow, r.calls = false, 0, 0
	}
	g.state(asked, i, held)
}

// state applies the state that the replica reports. A held draining statement
// stays.
func (g *Group) state(asked time.Time, i int, held bool) {
	r := &g.replicas[i]
	stated := Ready
	switch r.status.State {
	case core.ReplicaDraining:
		stated = Draining
	case core.ReplicaCold:
		stated = Cold
	}
	switch {
	case stated == Draining && r.stated != Draining:
		r.stated, r.drained = Draining, asked
	case stated == Draining || held:
		return
	case r.stated != Ready:
		g.ramp(i)
		r.stated = stated
	default:
		r.stated = stated
	}
}
