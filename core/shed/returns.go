package shed

import (
	"slices"
	"time"
)

const (
	// maxInvited limits the invitations of a kind.
	maxInvited = 512
	// earlySlack is how much earlier than told a caller may return: its clock and the network
	// are not exact.
	earlySlack = 5 * time.Millisecond
	// inviteTTL is how long after its time an invitation is kept.
	inviteTTL = time.Second
	// minWait is the shortest time after which a rejected caller is told to return: below it,
	// the replicas have hardly served what they hold.
	minWait = 50 * time.Millisecond
	// maxWaitFraction of the remaining time is the longest wait that callers observe.
	maxWaitFraction = 1.0 / 3
	// lateSpread is the part of the longest wait over which the returns are spread that have
	// no place before it.
	lateSpread = 0.6
	// spreadFactor makes the spread of the returns independent of the decision, which the same
	// hash makes: the golden ratio times 2^64.
	spreadFactor = 0x9E3779B97F4A7C15
	// recentContents, minContents and commonTTL: see contents.
	recentContents = 64
	minContents    = 16
	commonTTL      = 10 * time.Second
)

// invitation tells a rejected caller when to return.
type invitation struct {
	who identity
	due time.Time
}

// identity tells the requests of callers apart.
type identity struct {
	caller  string
	content uint64
}

// contents observes whether different requests of a kind have the same content. Then a
// request that equals a rejected one may be that of another caller.
type contents struct {
	recent [recentContents]identity // of admitted requests
	next   int
	seenAt time.Time // when an admitted request equalled a recent one
	seen   bool
}

func (c *contents) add(now time.Time, who identity) {
	if slices.Contains(c.recent[:], who) {
		c.seen, c.seenAt = true, now
	}
	c.recent[c.next%recentContents] = who
	c.next++
}

// common reports whether different requests may have the same content: some had lately, or too
// few have been admitted to tell.
func (c *contents) common(now time.Time) bool {
	return c.next < minContents || c.seen && now.Sub(c.seenAt) < commonTTL
}

// early returns how long a caller that has repeated a rejected request too soon still has to
// wait, or 0. While different requests have the same content, none counts as a repetition.
func (k *kind) early(now time.Time, who identity) time.Duration {
	if k.repeats.common(now) {
		return 0
	}
	for _, in := range k.invited {
		if in.who == who && now.Before(in.due.Add(-earlySlack)) {
			return in.due.Sub(now)
		}
	}
	return 0
}

// takeInvitation removes the oldest invitation of a caller whose time has come, and reports
// whether there is one.
func (k *kind) takeInvitation(now time.Time, who identity) bool {
	k.invited = slices.DeleteFunc(k.invited, func(in invitation) bool { return now.Sub(in.due) > inviteTTL })
	i := slices.IndexFunc(k.invited, func(in invitation) bool { return in.who == who && !now.Before(in.due.Add(-earlySlack)) })
	if i < 0 {
		return false
	}
	k.invited = slices.Delete(k.invited, i, i+1)
	return true
}

// invite returns after which time a rejected caller has its place among those that return, 0
// if it could not be served in time then. share is the admitted share of its kind.
func (k *kind) invite(now time.Time, d Demand, share float64) time.Duration {
	longest := time.Duration(maxWaitFraction * float64(d.Remaining))
	spread := d.spread()
	place := now.Add(max(minWait, d.Queue) + time.Duration(spread*float64(minWait)))
	if next := k.lastPlace.Add(k.gap(now, share)); next.After(place) {
		place = next
	}
	wait := place.Sub(now)
	if wait > longest {
		wait = longest - time.Duration(lateSpread*spread*float64(longest))
	} else {
		k.lastPlace = place
	}
	if wait <= 0 || wait+d.Target > d.Remaining {
		return 0
	}
	if len(k.invited) >= maxInvited {
		k.invited = slices.Delete(k.invited, 0, 1)
	}
	k.invited = append(k.invited, invitation{who: d.identity(), due: now.Add(wait)})
	return wait
}

// gap returns the time between two returns that the admitted share of a kind allows.
func (k *kind) gap(now time.Time, share float64) time.Duration {
	rate := returnPart * share * k.count.rate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// spread returns a number from 0 to 1 that differs between requests.
func (d Demand) spread() float64 { return float64((d.Hash*spreadFactor)>>11) / (1 << 53) }

func (d Demand) identity() identity { return identity{d.Caller, d.Content} }
