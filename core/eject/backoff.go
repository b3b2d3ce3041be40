package eject

import "time"

// backoff limits the calls of this host to a replica that refused some of them as
// busy. Such a refusal means that the replica also runs calls of another host: an
// owner that was paused, disconnected or replaced. Each of the two hosts uses fewer
// slots until the replica can run the calls of both, and rarely tries to use more.
type backoff struct {
	refusedAt time.Time     // last refusal that was counted
	until     time.Time     // no call before this time
	pause     time.Duration // length of the last pause without calls
	growAt    time.Time     // no further slot before this time
	growDelay time.Duration // length of the last wait for a further slot
}

// backOff reduces the slots of a replica that refused a call as busy. The call was
// started at the given time.
func (g *Group) backOff(now time.Time, i int, started time.Time) {
	r := &g.replicas[i]
	b := &r.backoff
	if g.opts.NoBackoff || started.Before(b.refusedAt) {
		return // the refusals of one burst of calls count once
	}
	b.refusedAt = now
	r.goodCalls = 0
	if now.After(b.growAt.Add(growDelayMax)) {
		b.growDelay = 0
	}
	b.growDelay = min(growDelayMax, max(growDelayMin, growDelayFactor*b.growDelay))
	b.growAt = now.Add(b.growDelay)
	r.allowed = max(1, min(r.allowed-1, r.running))
	if r.running == 0 {
		b.pause = min(busyPauseMax, max(busyPauseMin, 2*b.pause))
		b.until = now.Add(b.pause)
	}
}

// NextChange returns the next time at which a replica may get calls again after a
// pause or for a trial. It returns the zero time if no replica waits for one.
func (g *Group) NextChange(now time.Time) time.Time {
	var next time.Time
	for i := range g.replicas {
		r := &g.replicas[i]
		at := r.backoff.until
		if (r.ejected || r.connectFailures >= goneAfter) && at.Before(r.trialAt) {
			at = r.trialAt
		}
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// Stale reports whether the replica may get no call until its status has been
// polled again, for example after a pause of this process or before the first poll.
func (g *Group) Stale(now time.Time, i int) bool {
	return g.opts.StaleAfter > 0 && now.Sub(g.replicas[i].polledAt) > g.opts.StaleAfter
}
