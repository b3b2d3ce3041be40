package fleet

import (
	"math"
	"time"

	"oriolebarrow/core"
)

const (
	// sampleWeight of the newest call in the slowness and the failure share: a
	// replica that turns slow is left after two or three calls.
	sampleWeight = 0.4
	// forgetAfter halves what was learnt of a replica that gets no calls, so
	// that one that recovered is tried again.
	forgetAfter = 3 * time.Second
	// maxRatio bounds what one slow call says of a replica; pauses are short.
	maxRatio = 12
	// failureCost is the cost of a failed call in expected call times: the call
	// itself, and its repetition elsewhere.
	failureCost = 5
	// remoteCost is the cost of a call to another data centre: the way there
	// and back. remoteShare of the usual time is added for its bytes, so that the
	// ordinary variation of service times does not send calls away.
	remoteCost  = 4 * time.Millisecond
	remoteShare = 0.8
	// usualPace is the stated pace of a machine that nothing slows.
	usualPace = 100
	// loadAge is how long a reported load is used; later it says nothing.
	loadAge = 100 * time.Millisecond
	// crowdAge is how long a reported queue tells of an overload, which lasts for longer
	// than the queue itself.
	crowdAge = 500 * time.Millisecond
	// stuckFactor times the expected time, a call counts as stuck: the replica
	// is paused or gone, and its other calls wait too.
	stuckFactor = 3
	// minExpected is assumed for calls of which nothing is known yet.
	minExpected = 2 * time.Millisecond
	// ejectSilent is how many calls in a row stay without any answer, or fail
	// to connect, before a replica is ejected.
	ejectSilent = 3
	// silentAfter is how long a call without answer counts as silence; pauses
	// of a replica are shorter.
	silentAfter = 250 * time.Millisecond
	// probeMin and probeMax bound the delay between the probes of an ejected
	// replica.
	probeMin = 400 * time.Millisecond
	probeMax = 2 * time.Second
)

// Load is what a replica reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    int // time of work in percent of the usual time; 0 when not stated
}

// End tells how a call ended.
type End struct {
	Took     time.Duration
	Expected time.Duration
	Failed   bool // an error of the replica, or a broken answer
	Refused  bool // the replica did not run the call
	Silent   bool // no answer at all, or no connection
	Moved    bool // another instance has the address
	Left     bool // the caller left; the call says nothing but its age
	Load     *Load
}

// Replica is one backend server as this host sees it. Its fields are guarded by
// the lock of its table.
type Replica struct {
	fixed   core.Instance // the entry of its first sight; safe to read without lock
	inst    core.Instance
	missing time.Time // when its entry vanished
	removed bool
	chosen  bool      // this host uses it
	warm    time.Time // end of the slow time after its start

	running int
	starts  []start // of the calls that run
	load    Load
	loadAt  time.Time

	slow   float64 // time of its calls against the expected time, waiting left out
	fails  float64 // share of failed calls
	seenAt time.Time

	silent  int // calls in a row without an answer
	ejected bool
	probing bool
	probeAt time.Time
	pause   time.Duration
}

// start is the start of a call that runs.
type start struct {
	at    time.Time
	queue float64 // by how much the calls before it lengthen it
}

func newReplica(now time.Time, in core.Instance) *Replica {
	return &Replica{fixed: in, inst: in, slow: 1, seenAt: now, warm: now.Add(in.Warmup)}
}

// Instance returns the published entry as first seen. Its identity, service,
// address and data centre never change.
func (r *Replica) Instance() core.Instance { return r.fixed }

func (r *Replica) usable() bool { return !r.inst.Draining && !r.removed && !r.ejected }

// cost estimates the time until an answer, in nanoseconds.
func (r *Replica) cost(now time.Time, expected time.Duration, home core.DataCentre) float64 {
	base := float64(max(expected, minExpected))
	fade := math.Exp2(-float64(now.Sub(r.seenAt)) / float64(forgetAfter))
	slow := 1 + (r.slow-1)*fade
	if now.Before(r.warm) {
		slow = max(slow, 1.5)
	}
	if now.Sub(r.loadAt) < loadAge {
		slow = max(slow, float64(r.load.Pace)/usualPace)
	}
	cost := base * slow * r.queue(now)
	cost += base * failureCost * r.fails * fade
	for _, s := range r.starts {
		if age := now.Sub(s.at); age > stuckFactor*max(expected, minExpected) {
			cost += float64(age)
		}
	}
	if r.inst.DataCentre != home {
		cost += float64(remoteCost) + remoteShare*base
	}
	if !r.missing.IsZero() {
		cost += base * failureCost
	}
	return cost
}

// queue returns by how much the calls that are there lengthen another one.
func (r *Replica) queue(now time.Time) float64 {
	busy := r.running
	if now.Sub(r.loadAt) < loadAge {
		busy = max(busy, r.load.Running+r.load.Waiting)
	}
	return 1 + float64(busy)/float64(max(1, r.inst.Slots))
}

func (r *Replica) started(now time.Time) {
	r.starts = append(r.starts, start{at: now, queue: r.queue(now)})
	r.running++
}

func (r *Replica) ended(now time.Time, e End) bool {
	r.running--
	queue := r.dropStart(now.Add(-e.Took))
	if e.Load != nil {
		r.load, r.loadAt = *e.Load, now
	}
	if e.Left && e.Took < e.Expected {
		return false
	}
	fade := math.Exp2(-float64(now.Sub(r.seenAt)) / float64(forgetAfter))
	r.slow = 1 + (r.slow-1)*fade
	r.fails *= fade
	r.seenAt = now
	failed := 0.0
	if e.Failed || e.Refused || e.Silent {
		failed = 1
	} else if e.Expected > 0 {
		ratio := min(maxRatio, float64(e.Took)/(float64(e.Expected)*queue))
		r.slow += sampleWeight * (ratio - r.slow)
	}
	if !e.Left {
		r.fails += sampleWeight * (failed - r.fails)
	}
	return r.noteSilence(now, e)
}

// dropStart removes the start nearest to at and returns what was ahead of it.
func (r *Replica) dropStart(at time.Time) (queue float64) {
	best := -1
	for i, s := range r.starts {
		if best < 0 || s.at.Sub(at).Abs() < r.starts[best].at.Sub(at).Abs() {
			best = i
		}
	}
	if best < 0 {
		return 1
	}
	queue = r.starts[best].queue
	r.starts[best] = r.starts[len(r.starts)-1]
	r.starts = r.starts[:len(r.starts)-1]
	return queue
}

func (r *Replica) noteSilence(now time.Time, e End) bool {
	switch {
	case e.Silent, e.Left && e.Took >= silentAfter:
		r.silent++
	case e.Left:
	default:
		r.silent = 0
	}
	if r.ejected || r.silent < ejectSilent && !e.Moved {
		return false
	}
	r.ejected = true
	r.pause = probeMin
	r.probeAt = now.Add(r.pause)
	return true
}

func (r *Replica) probed(now time.Time, healthy bool) bool {
	r.probing = false
	if !r.ejected {
		return false
	}
	if !healthy {
		r.pause = min(probeMax, 2*r.pause)
		r.probeAt = now.Add(r.pause)
		return false
	}
	r.ejected = false
	r.silent = 0
	return true
}
