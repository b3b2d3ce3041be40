package picker

import (
	"math"
	"time"

	"oriolebarrow/core"
)

const (
	// sampleWeight is the weight of the newest call in the moving averages of the
	// slowness and the failure share. A replica that becomes slow loses its calls after
	// two or three of them.
	sampleWeight = 0.4
	// statsHalfLife is the time in which the slowness and the failure share of a replica
	// without calls decay by half, so that a replica that has recovered is tried again.
	statsHalfLife = 3 * time.Second
	// maxSlowness limits the effect of one slow call, since pauses are short.
	maxSlowness = 12
	// failureCost is the cost of a failed call, in expected call durations: the call
	// itself and its retry at another replica.
	failureCost = 5
	// remoteCost is the cost of a call to another data centre: the round trip.
	// remoteCostShare of the expected duration is added for the transfer, so that the
	// usual variation of service times does not move calls to other data centres.
	remoteCost      = 4 * time.Millisecond
	remoteCostShare = 0.8
	// usualServiceTimePct is the Load.ServiceTimePct of a replica that is not slowed down.
	usualServiceTimePct = 100
	// maxLoadAge is the age up to which a load report is used.
	maxLoadAge = 100 * time.Millisecond
	// maxQueueAge is the age up to which a reported queue indicates an overload. It
	// exceeds maxLoadAge since an overload lasts longer than the reported queue.
	maxQueueAge = 500 * time.Millisecond
	// stuckFactor is the multiple of its expected duration after which a running call
	// counts as stuck. Its replica is presumably paused or gone, and a new call would
	// wait too.
	stuckFactor = 3
	// minExpected is the smallest expected duration, assumed while nothing is known.
	minExpected = 2 * time.Millisecond
	// ejectAfterSilent is the number of consecutive calls without an answer or a
	// connection after which a replica is ejected.
	ejectAfterSilent = 3
	// silenceTimeout is the duration from which an abandoned call counts as silent.
	// Pauses of a replica are shorter.
	silenceTimeout = 250 * time.Millisecond
	// minProbeDelay and maxProbeDelay limit the delay between the probes of an ejected
	// replica.
	minProbeDelay = 400 * time.Millisecond
	maxProbeDelay = 2 * time.Second
)

// Load is the load that a replica reports with an answer.
type Load struct {
	Running        int
	Waiting        int
	Slots          int
	ServiceTimePct int // current service time as a percentage of the usual one; 0 if not reported
}

// CallEnd describes how a call ended.
type CallEnd struct {
	Took          time.Duration
	Expected      time.Duration
	Failed        bool  // error of the replica, or invalid answer
	Refused       bool  // the replica did not execute the call
	Silent        bool  // no answer at all, or no connection
	AddressReused bool  // another instance now has the address
	Abandoned     bool  // abandoned by the caller; only Took says something about the replica
	Load          *Load // nil if not reported
}

// Notice is what a replica states about itself in an answer.
type Notice struct {
	Leaving bool          // it is about to stop and wants no further requests
	Wait    time.Duration // it wants no requests for so long; 0 if it states nothing
	Invalid bool          // it states a time that can't be understood, which is ignored
	Warmup  time.Duration // it is cold for so long; 0 if it states nothing
}

// Replica is one backend server as this host sees it. The lock of the table guards
// its fields.
type Replica struct {
	initial      core.Instance // first directory entry; never changes, so reading it needs no lock
	inst         core.Instance // last directory entry
	missingSince time.Time     // when its entry vanished; zero if it did not
	removed      bool
	evacuated    bool      // its data centre is evacuated
	inSubset     bool      // in the subset of the replicas that this host uses
	warmUntil    time.Time // end of the warm-up, in which it is slow
	statedAt     time.Time // when an entry last stated a warm-up, by inst.Warmup

	// What the replica stated in Notices.
	leaving   bool
	invalid   bool
	waitUntil time.Time

	running   int
	calls     []runningCall
	usualWork float64 // moving average of the expected durations of its calls; 0 if unknown
	load      Load
	loadAt    time.Time

	slowness     float64   // average duration of its calls, without queueing, relative to the expected one
	failureShare float64   // average share of failed calls
	updatedAt    time.Time // of slowness and failureShare
	pauses       pauseFilter

	silentCalls int // consecutive silent calls, see trackSilence
	ejected     bool
	probing     bool
	probeAt     time.Time
	probeDelay  time.Duration
}

// runningCall is a call in flight from this host.
type runningCall struct {
	at          time.Time     // start
	expected    time.Duration // 0 if not stated
	queueFactor float64       // see Replica.queueFactor, at the start
}

func newReplica(now time.Time, in core.Instance) *Replica {
	return &Replica{initial: in, inst: in, slowness: 1, updatedAt: now, warmUntil: now.Add(in.Warmup)}
}

// Instance returns the first directory entry of the replica. ID, Service, Address and
// Born are the same in all of its entries, since Table.Put makes a new Replica if one
// of them differs.
func (r *Replica) Instance() core.Instance { return r.initial }

// usable reports whether requests may be sent to the replica.
func (r *Replica) usable(now time.Time) bool {
	return r.staying() && !r.ejected && !now.Before(r.waitUntil)
}

// staying reports whether the replica may get requests later, if not now. The end of an
// evacuation is not foreseeable, so an evacuated replica does not count.
func (r *Replica) staying() bool {
	return !r.inst.Draining && !r.removed && !r.leaving && !r.evacuated
}

// note records a notice and reports whether it is news.
func (r *Replica) note(now time.Time, n Notice) bool {
	news := n.Leaving && !r.leaving || n.Invalid && !r.invalid || n.Wait > 0 && !now.Before(r.waitUntil)
	r.leaving, r.invalid = r.leaving || n.Leaving, r.invalid || n.Invalid
	if until := now.Add(n.Wait); n.Wait > 0 && until.After(r.waitUntil) {
		r.waitUntil = until
	}
	return news
}

// cost returns the estimated time until the answer to a new call, in nanoseconds, plus
// penalties for likely failures.
func (r *Replica) cost(now time.Time, expected time.Duration, localDC core.DataCentre) float64 {
	base := float64(max(expected, minExpected))
	decay := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(statsHalfLife))
	slowness := 1 + (r.slowness-1)*decay
	if now.Before(r.warmUntil) {
		slowness = max(slowness, 1.5)
	}
	if now.Sub(r.loadAt) < maxLoadAge {
		slowness = max(slowness, float64(r.load.ServiceTimePct)/usualServiceTimePct)
	}
	cost := slowness * (base + r.queuedWork(now, base))
	cost += base * failureCost * r.failureShare * decay
	for _, c := range r.calls {
		if age := now.Sub(c.at); age > stuckFactor*c.expectedOr(max(expected, minExpected)) {
			cost += float64(age)
		}
	}
	if r.inst.DataCentre != localDC {
		cost += float64(remoteCost) + remoteCostShare*base
	}
	if !r.missingSince.IsZero() {
		cost += base * failureCost
	}
	return cost
}

// queueFactor returns the factor by which the calls that run or wait at the replica
// delay a new one.
func (r *Replica) queueFactor(now time.Time) float64 {
	busy := r.running
	if now.Sub(r.loadAt) < maxLoadAge {
		busy = max(busy, r.load.Running+r.load.Waiting)
	}
	return 1 + float64(busy)/float64(max(1, r.inst.Slots))
}

// ended records the end of a call and reports whether this ejected the replica.
func (r *Replica) ended(now time.Time, e CallEnd) bool {
	r.running--
	queueFactor := r.removeCall(now.Add(-e.Took))
	if e.Load != nil {
		r.load, r.loadAt = *e.Load, now
	}
	// A call that was abandoned so early says nothing about the replica.
	if e.Abandoned && e.Took < e.Expected {
		return false
	}
	decay := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(statsHalfLife))
	r.slowness = 1 + (r.slowness-1)*decay
	r.failureShare *= decay
	r.updatedAt = now
	failure := 0.0
	if e.Failed || e.Refused || e.Silent {
		failure = 1
	} else if e.Expected > 0 {
		usual := float64(e.Expected) * queueFactor
		if !r.pauses.isPause(now.Add(-e.Took), now, time.Duration(usual)) {
			ratio := min(maxSlowness, float64(e.Took)/usual)
			r.slowness += sampleWeight * (ratio - r.slowness)
		}
	}
	if !e.Abandoned {
		r.failureShare += sampleWeight * (failure - r.failureShare)
	}
	return r.trackSilence(now, e)
}

// removeCall removes the running call whose start is nearest to at, and returns its
// queueFactor.
func (r *Replica) removeCall(at time.Time) (queueFactor float64) {
	best := -1
	for i, c := range r.calls {
		if best < 0 || c.at.Sub(at).Abs() < r.calls[best].at.Sub(at).Abs() {
			best = i
		}
	}
	if best < 0 {
		return 1
	}
	queueFactor = r.calls[best].queueFactor
	r.calls[best] = r.calls[len(r.calls)-1]
	r.calls = r.calls[:len(r.calls)-1]
	return queueFactor
}

// trackSilence counts consecutive silent calls. It ejects the replica after
// ejectAfterSilent of them, or if another instance has its address, and reports
// whether it did.
func (r *Replica) trackSilence(now time.Time, e CallEnd) bool {
	switch {
	case e.Silent, e.Abandoned && e.Took >= silenceTimeout:
		r.silentCalls++
	case e.Abandoned:
	default:
		r.silentCalls = 0
	}
	if r.ejected || r.silentCalls < ejectAfterSilent && !e.AddressReused {
		return false
	}
	r.ejected = true
	r.probeDelay = minProbeDelay
	r.probeAt = now.Add(r.probeDelay)
	return true
}

// probed records the result of a probe and reports whether this ended the ejection.
func (r *Replica) probed(now time.Time, healthy bool) bool {
	r.probing = false
	if !r.ejected {
		return false
	}
	if !healthy {
		r.probeDelay = min(maxProbeDelay, 2*r.probeDelay)
		r.probeAt = now.Add(r.probeDelay)
		return false
	}
	r.ejected = false
	r.silentCalls = 0
	return true
}
