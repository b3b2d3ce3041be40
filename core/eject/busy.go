package eject

import "time"

// backoff is what is kept of a replica that refused calls as busy. A refusal as
// busy means that calls of another host run there: an owner that was paused,
// cut off or replaced. Owner and successor each give way until their slots
// together fit, and try for more only now and then.
type backoff struct {
	at     time.Time // last refusal that counted
	until  time.Time // no call before
	pause  time.Duration
	growAt time.Time // no further slot before
	hold   time.Duration
}

// busy takes slots from a replica that refused a call started at a time.
func (g *Group) busy(now time.Time, i int, started time.Time) {
	r := &g.replicas[i]
	b := &r.backoff
	if g.opts.NoBackoff || started.Before(b.at) {
		return // calls of one burst count once
	}
	b.at = now
	r.good = 0
	if now.After(b.growAt.Add(holdMax)) {
		b.hold = 0
	}
	b.hold = min(holdMax, max(holdMin, holdGrowth*b.hold))
	b.growAt = now.Add(b.hold)
	r.allowed = max(1, min(r.allowed-1, r.running))
	if r.running == 0 {
		b.pause = min(busyMax, max(busyMin, 2*b.pause))
		b.until = now.Add(b.pause)
	}
}

// NextChange implements core.Health.
func (g *Group) NextChange(now time.Time) time.Time {
	var next time.Time
	for i := range g.replicas {
		r := &g.replicas[i]
		at := r.backoff.until
		if (r.ejected || r.missed >= goneAfter) && at.Before(r.trialAt) {
			at = r.trialAt
		}
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// Stale reports whether the replica must be asked for its status before it may
// get a call, as after a pause of this process or before the first status.
func (g *Group) Stale(now time.Time, i int) bool {
	return g.opts.StaleAfter > 0 && now.Sub(g.replicas[i].heard) > g.opts.StaleAfter
}
