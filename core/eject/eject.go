// Package eject tracks the health of the replicas of one replica group: the status
// that each reports, which replicas are ejected because they are too slow, and how
// many calls this host may run on each of them.
//
// # Usage
//
//	h := eject.New(eject.Options{Replicas: 2, Slots: 2})
//	h.SetStatus(polled, 0, status)
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
	// slowFactor times the median service time is the limit above which a call
	// counts as slow. With exponential service times, that is 6% of the calls, and
	// 87% on a replica that is 20 times slower than the others.
	slowFactor = 4
	// sampleWeight is the weight of the newest call in the share of slow calls.
	sampleWeight = 0.2
	// ejectShare and returnShare are the shares of slow calls at which a replica is
	// ejected and returned to service. They are far apart so that a replica near
	// the limit does not alternate between the two.
	ejectShare  = 0.6
	returnShare = 0.2
	// minCalls is the number of calls before a replica may be ejected.
	minCalls = 5
	// trialPauseMin and trialPauseMax limit the pause between trial calls.
	trialPauseMin = time.Second
	trialPauseMax = 8 * time.Second
	// rampCalls is the number of calls, neither slow nor failed, after which a
	// replica gets one more slot.
	rampCalls = 4
	// goneAfter is the number of connection failures in a row after which a replica
	// counts as gone.
	goneAfter = 3
	// drainHold is how long a replica counts as draining although the same
	// incarnation reports the state ready, since status endpoints lag.
	drainHold = 30 * time.Second
	// busyPauseMin and busyPauseMax limit the pause after a replica refused the only
	// call of this host as busy: calls of other hosts use all its slots.
	busyPauseMin = 10 * time.Millisecond
	busyPauseMax = time.Second
	// growDelayMin and growDelayMax limit how long a replica that was busy gets no
	// further slot. With two owners on two slots, each try costs a few refusals;
	// one try every 8 s keeps them below 0.5% of 200 calls/s. The first try comes
	// early, since the calls of a lost host end soon. Each refusal makes the next
	// delay growDelayFactor times as long.
	growDelayMin    = 50 * time.Millisecond
	growDelayFactor = 4
	growDelayMax    = 8 * time.Second
	// dropHold is how long a shard that was refused as snapshot_gone counts as
	// dropped although the status still lists it.
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

// Options configures a Group.
type Options struct {
	Replicas int
	Slots    int  // most calls that this host may run on a replica
	NoEject  bool // ejects no slow replicas

	// StaleAfter is the age of the latest poll above which the replica gets no call
	// until it has been polled again, since it may have begun to drain. With zero, a
	// poll of any age is enough.
	StaleAfter time.Duration
	NoRamp     bool // allows all slots at once
	NoBackoff  bool // keeps the slots of a replica that refuses calls as busy
}

// snapshotShard identifies one shard of one snapshot.
type snapshotShard struct {
	snapshot core.SnapshotID
	shard    core.ShardID
}

type replica struct {
	status        core.ReplicaStatus
	hasStatus     bool
	statusAt      time.Time // start of the poll that returned status
	polledAt      time.Time // start of the latest poll that ended, with or without a status
	reported      State     // ready, cold or draining, as the replica itself reported
	drainingAt    time.Time // when the replica reported that it drains
	incarnationAt time.Time // start of the first poll that returned this incarnation, if it replaced another

	connectFailures int                         // in a row
	dropped         map[snapshotShard]time.Time // when each shard was refused as gone

	ejected    bool
	slowShare  float64 // moving average of the share of calls that were slow or failed
	calls      int     // calls that slowShare covers
	running    int
	trialAt    time.Time // no trial call before this time
	trialPause time.Duration

	allowed   int // slots that this host may use
	goodCalls int // calls, neither slow nor failed, since the last change of allowed
	backoff   backoff
}

// Group tracks the health of one replica group. Its methods identify a replica by
// its index. It is not safe for concurrent use.
type Group struct {
	opts     Options
	replicas []replica
}

var _ core.Health = (*Group)(nil)

// New returns a group of ready replicas with one slot each, since calls of the
// previous owner may still run on them.
func New(opts Options) *Group {
	g := &Group{opts: opts, replicas: make([]replica, opts.Replicas)}
	for i := range g.replicas {
		g.replicas[i].reported = Ready
		g.restartRamp(i)
	}
	return g
}

// restartRamp reduces the slots of a replica to one, from which they grow again.
// With NoRamp it allows all slots.
func (g *Group) restartRamp(i int) {
	r := &g.replicas[i]
	r.goodCalls = 0
	r.allowed = 1
	if g.opts.NoRamp {
		r.allowed = g.opts.Slots
	}
}

// Slots returns how many calls of this host the replica may run now.
func (g *Group) Slots(now time.Time, i int) int {
	r := &g.replicas[i]
	switch {
	case r.reported == Draining || g.Stale(now, i) || now.Before(r.backoff.until):
		return 0
	case r.connectFailures >= goneAfter || r.ejected:
		if !g.otherInService(i) {
			return r.allowed
		}
		if g.Trial(now, i) {
			return 1
		}
		return 0
	case r.reported == Cold && !g.opts.NoRamp:
		return 1
	}
	return r.allowed
}

// Trial reports whether the next call to the replica is a trial call.
func (g *Group) Trial(now time.Time, i int) bool {
	r := &g.replicas[i]
	excluded := r.reported != Draining && (r.connectFailures >= goneAfter || r.ejected) && g.otherInService(i)
	return excluded && r.running == 0 && !now.Before(r.trialAt)
}

// Available reports whether the replica may get calls now or later without a new
// report of its own: it is false while the replica drains.
func (g *Group) Available(i int) bool { return g.replicas[i].reported != Draining }

// State returns the health of a replica.
func (g *Group) State(i int) State {
	r := &g.replicas[i]
	switch {
	case r.reported == Draining:
		return Draining
	case r.connectFailures >= goneAfter:
		return Gone
	case r.ejected:
		return Ejected
	}
	return r.reported
}

// otherInService reports whether another replica is ready or cold and holds every
// snapshot of replica i. If none does, some queries can only be answered by
// replica i, which must stay in service.
func (g *Group) otherInService(i int) bool {
	for n := range g.replicas {
		if s := g.State(n); n != i && (s == Ready || s == Cold) && g.covers(n, i) {
			return true
		}
	}
	return false
}

// covers reports whether replica n holds every shard that the status of replica i
// lists.
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

// Holds reports whether the replica holds a shard of a snapshot; snapshot 0 stands
// for any. It returns true for a replica without a status, which refuses the call
// if it lacks the shard.
func (g *Group) Holds(i int, snapshot core.SnapshotID, shard core.ShardID) bool {
	r := &g.replicas[i]
	if snapshot == 0 {
		return true
	}
	if _, dropped := r.dropped[snapshotShard{snapshot, shard}]; dropped {
		return false
	}
	if !r.hasStatus {
		return true
	}
	for _, s := range r.status.Snapshots {
		if s.Snapshot == snapshot && slices.Contains(s.Shards, shard) {
			return true
		}
	}
	return false
}

// Snapshots returns the snapshots and shards that the replica holds, or nil if it
// drains or is gone.
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
			_, dropped := r.dropped[snapshotShard{s.Snapshot, shard}]
			return dropped
		})
		if len(s.Shards) > 0 {
			out = append(out, s)
		}
	}
	return out
}

// SnapshotsKnown reports whether it is known which snapshots the replica offers: it
// has reported a status, drains or is gone.
func (g *Group) SnapshotsKnown(i int) bool {
	s := g.State(i)
	return g.replicas[i].hasStatus || s == Draining || s == Gone
}

// Started records the start of a call to the replica.
func (g *Group) Started(now time.Time, i int) {
	r := &g.replicas[i]
	r.running++
	if r.ejected || r.connectFailures >= goneAfter {
		r.trialPause = min(trialPauseMax, max(trialPauseMin, 2*r.trialPause))
		r.trialAt = now.Add(r.trialPause)
	}
}

// Ended records the end of a call to the replica.
func (g *Group) Ended(now time.Time, i int, e core.CallEnd) {
	r := &g.replicas[i]
	r.running--
	switch {
	case e.Reason == core.ReasonDraining:
		// The refusal may come from an earlier incarnation and arrive after the
		// status of the new one.
		if started := now.Add(-e.Took); !started.Before(r.incarnationAt) {
			r.reported, r.drainingAt = Draining, now
		}
		return
	case e.Reason == core.ReasonSnapshotGone:
		r.connectFailures = 0
		g.dropShard(now, i, snapshotShard{e.Snapshot, e.Shard})
		return
	case e.Refused && e.Reason == core.ReasonBackendError:
		g.connectFailed(now, i)
		return
	case e.Refused && e.Reason == core.ReasonBusy:
		r.connectFailures = 0
		g.backOff(now, i, now.Add(-e.Took))
		return
	case e.Refused && e.Reason == core.ReasonDeadline:
		return // the call was never sent, so this is no sign of the replica's health
	case e.Refused:
		r.connectFailures = 0 // load shedding is no sign of slow calls
		return
	}
	slow := e.Failed || (e.Median > 0 && e.Took > slowFactor*e.Median)
	if e.Cancelled && !slow {
		return
	}
	if !e.Failed {
		r.connectFailures = 0
	}
	g.recordCall(now, i, slow)
}

// recordCall updates the share of slow calls and the slots of a replica after a
// call. It ejects the replica or returns it to service when the share reaches the
// limit.
func (g *Group) recordCall(now time.Time, i int, slow bool) {
	r := &g.replicas[i]
	r.calls++
	sample := 0.0
	if slow {
		sample = 1
	}
	r.slowShare += sampleWeight * (sample - r.slowShare)
	if !slow {
		r.backoff.pause = 0
		if r.goodCalls++; r.goodCalls >= rampCalls && !now.Before(r.backoff.growAt) {
			r.goodCalls = 0
			r.allowed = min(g.opts.Slots, r.allowed+1)
		}
	}
	switch {
	case r.ejected && !slow:
		r.trialPause = trialPauseMin / 2
		r.trialAt = now
		if r.slowShare <= returnShare {
			r.ejected = false
			g.restartRamp(i)
		}
	case !r.ejected && !g.opts.NoEject && r.calls >= minCalls && r.slowShare >= ejectShare && g.otherInService(i):
		r.ejected = true
		r.trialPause = trialPauseMin
		r.trialAt = now.Add(trialPauseMin)
	}
}

// connectFailed records a connection failure.
func (g *Group) connectFailed(now time.Time, i int) {
	r := &g.replicas[i]
	if r.connectFailures++; r.connectFailures == goneAfter {
		// The last replica of a group stays in service although it is gone, and
		// another host may own the group by now and run calls on it.
		g.restartRamp(i)
		r.trialPause = trialPauseMin
		r.trialAt = now.Add(trialPauseMin)
	}
}

// dropShard records that a replica refused a shard of a snapshot as gone.
func (g *Group) dropShard(now time.Time, i int, key snapshotShard) {
	r := &g.replicas[i]
	if r.dropped == nil {
		r.dropped = make(map[snapshotShard]time.Time)
	}
	r.dropped[key] = now
}

// PollFailed records that a poll started at the given time returned no status.
func (g *Group) PollFailed(polled time.Time, i int) {
	g.replicas[i].polledAt = polled
	g.connectFailed(polled, i)
}

// SetStatus records the status that a poll started at the given time returned. It
// ignores a status of an earlier incarnation or of an earlier poll.
func (g *Group) SetStatus(polled time.Time, i int, s core.ReplicaStatus) {
	r := &g.replicas[i]
	if r.hasStatus && (s.Incarnation < r.status.Incarnation || polled.Before(r.statusAt)) {
		return
	}
	// During a gap without polls, another host may have owned the group and run calls.
	resumed := r.hasStatus && g.opts.StaleAfter > 0 && polled.Sub(r.polledAt) > g.opts.StaleAfter
	r.statusAt, r.polledAt = polled, polled
	// Until the first status, the incarnation is not known. A refusal as draining
	// before it is assumed to come from the incarnation that the status reports.
	restarted := r.hasStatus && r.status.Incarnation != 0 && s.Incarnation > r.status.Incarnation
	keepDraining := r.reported == Draining && !restarted && polled.Before(r.drainingAt.Add(drainHold))
	if restarted {
		r.incarnationAt = polled
	}
	if restarted || resumed || r.connectFailures >= goneAfter {
		g.restartRamp(i)
	}
	r.connectFailures = 0
	r.status, r.hasStatus = s, true
	maps.DeleteFunc(r.dropped, func(_ snapshotShard, at time.Time) bool {
		return restarted || polled.After(at.Add(dropHold))
	})
	if restarted {
		r.ejected, r.slowShare, r.calls = false, 0, 0
	}
	g.setState(polled, i, keepDraining)
}

// setState applies the state of the replica's newest status. If keepDraining is
// set, the replica stays draining.
func (g *Group) setState(polled time.Time, i int, keepDraining bool) {
	r := &g.replicas[i]
	next := Ready
	switch r.status.State {
	case core.ReplicaDraining:
		next = Draining
	case core.ReplicaCold:
		next = Cold
	}
	switch {
	case next == Draining && r.reported != Draining:
		r.reported, r.drainingAt = Draining, polled
	case next == Draining || keepDraining:
		return
	case r.reported != Ready:
		g.restartRamp(i)
		r.reported = next
	default:
		r.reported = next
	}
}
