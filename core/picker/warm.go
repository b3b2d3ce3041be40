package picker

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// maxNewlyCold bounds the replicas that NewlyCold returns at once.
const maxNewlyCold = 64

// Cold is a replica that became cold.
type Cold struct {
	Instance core.Instance
	Left     time.Duration // for which it stays cold
	Quota    int           // requests that this host may send within warm.Window
}

// statesWarmup reports whether a new version of an entry states a warm-up. An entry that is read
// again, or an older version, says nothing about now.
func statesWarmup(old, in core.Instance) bool {
	return in.Warmup > 0 && (in.Sequence > old.Sequence || in.Sequence == old.Sequence && in.Warmup != old.Warmup)
}

// markCold records that a replica is cold for a time. unused states that it is a new replica.
// Without a limit, only the first entry counts.
func (t *Table) markCold(now time.Time, r *Replica, left time.Duration, unused bool) {
	news := t.warm.MarkCold(now, r.inst, left, unused)
	if !t.warm.Limited(r.inst.Service) {
		return
	}
	if until := now.Add(left); until.After(r.warmUntil) {
		r.warmUntil = until
	}
	if news && len(t.cold) < maxNewlyCold {
		t.cold = append(t.cold, Cold{Instance: r.inst, Left: left, Quota: t.warm.Quota(now, r.initial.ID)})
	}
}

// ResumeWarmup continues the warm-up of the replicas of a data centre that got no requests from any
// host since a time: a replica warms up while there is traffic, so they are as cold as then.
func (t *Table) ResumeWarmup(now time.Time, dc core.DataCentre, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		if r.inst.DataCentre != dc {
			continue
		}
		left := r.inst.Warmup
		if since.After(r.statedAt) {
			left -= since.Sub(r.statedAt)
		}
		t.markCold(now, r, left, false)
	}
}

// NewlyCold returns the replicas that became cold since its last call, and how many requests to
// cold replicas were withheld in all.
func (t *Table) NewlyCold() (cold []Cold, withheld int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold, t.cold = t.cold, nil
	return cold, t.warm.Withheld()
}

// SetWarmBounds sets the bounds on the requests to cold replicas.
func (t *Table) SetWarmBounds(now time.Time, b warm.Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warm.SetBounds(now, b)
}

// SetWarmRates sets the requests per second that cold replicas of each service tolerate.
func (t *Table) SetWarmRates(now time.Time, upstreams []core.Upstream) {
	rates := make(map[core.ServiceName]float64)
	for _, u := range upstreams {
		if u.WarmupRate > 0 {
			rates[u.Name] = u.WarmupRate
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warm.SetRates(now, rates)
}

// SetWarmMembers sets the hosts that share the requests to cold replicas. It must be called at
// least every 100 ms, see warm.Limiter.SetMembers.
func (t *Table) SetWarmMembers(now time.Time, m warm.Members) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warm.SetMembers(now, m)
}

// IsCold reports whether a replica is cold and has a limit. A request to it must be sent within
// warm.MaxSendDelay.
func (t *Table) IsCold(now time.Time, r *Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.warm.Cold(now, r.initial.ID)
}

// AllWithheld reports whether all usable replicas of a service are cold and at their limit, and
// when this host may send a request to one of them; at is zero if there is no such time.
func (t *Table) AllWithheld(now time.Time, s core.ServiceName) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byService[s] {
		if !r.usable(now) {
			continue
		}
		if !t.warm.Limits(now, r.initial.ID) {
			return time.Time{}, false
		}
		ok = true
		if turns := t.warm.Turns(now, r.initial.ID); len(turns) > 0 {
			if !turns[0].After(now) {
				return time.Time{}, false
			}
			if at.IsZero() || turns[0].Before(at) {
				at = turns[0]
			}
		}
	}
	return at, ok
}

// Turn returns when this host may send its next request to a cold replica of a service that it
// can't send one to now, after ahead other requests that wait for a turn already. ok is false if
// there is no such time. withheld reports whether such replicas exist. Replicas in tried are skipped.
func (t *Table) Turn(now time.Time, s core.ServiceName, tried []*Replica, ahead int) (at time.Time, withheld, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var turns []time.Time
	for _, r := range t.byService[s] {
		if r.usable(now) && r.running < t.maxCalls(r) && !slices.Contains(tried, r) && t.warm.Limits(now, r.initial.ID) {
			withheld = true
			turns = append(turns, t.warm.Turns(now, r.initial.ID)...)
		}
	}
	if ahead >= len(turns) {
		return time.Time{}, withheld, false
	}
	slices.SortFunc(turns, time.Time.Compare)
	return turns[ahead], withheld, true
}
