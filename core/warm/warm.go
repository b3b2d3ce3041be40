// Package warm limits the requests to cold replicas. A replica that has just started tolerates few
// requests per second until it is warm. The hosts together must not exceed that rate, although
// each of them decides by itself and they may disagree on which hosts exist.
//
// Each host has a quota for each cold replica: the number of requests that it may send within any
// Window. The quotas follow from the hosts of this host's data centre and from rendezvous hashing.
// They are planned for half of the bound, so that the sum also holds while the hosts of each data
// centre form two groups that do not know of each other. docs/design/warm-up-limit.md has the proof.
//
// # Usage
//
//	l := warm.New("host-1", "mixco")
//	l.SetBounds(now, warm.Bounds{Overshoot: 1.5, Slack: 5})
//	l.SetRates(now, map[core.ServiceName]float64{"tickets": 20})
//	l.SetMembers(now, warm.Members{Known: true, Local: hosts, DataCentres: 3}) // also every 100 ms
//	l.MarkCold(now, instance, left, true)
//	if l.Allow(now, instance.ID) {
//		l.Sent(now, instance.ID)
//	}
package warm

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// Window is the time in which a host counts its requests to a cold replica. It exceeds the
	// second of the bound by the largest difference between the delays of two requests from
	// their counting to their arrival.
	Window = time.Second + maxDelay
	// MaxSendDelay is how long after it was counted a request to a cold replica may be written.
	MaxSendDelay = 100 * time.Millisecond
	// maxPause is the longest time without a call of the limiter that does not count as a pause
	// of the process.
	maxPause = 150 * time.Millisecond
	maxDelay = MaxSendDelay + maxPause
	// outdatedAfter is the length of a pause after which the known hosts are outdated.
	// settleTime is the time after the end of such a pause or after a start in which this host
	// and the others learn of each other: a round of pings and its spreading.
	outdatedAfter = time.Second
	settleTime    = 2 * time.Second
	// memory is how long a host that was lost still counts: as long as usual warm-ups take, so
	// that the parts of a split data centre divide the quotas as before.
	memory = time.Minute
	// remoteDivisor is the planned requests divided by those for the other data centres.
	remoteDivisor = 8
	// othersDivisor is the requests of a data centre divided by those for hosts that are not
	// the owner.
	othersDivisor = 8
	// rampStep is the time in which the planned requests double after the warm-up, and rampTime
	// the time after which there is no limit.
	rampStep = 500 * time.Millisecond
	rampTime = 3 * time.Second
)

// Bounds are the platform's bounds on the requests to a cold replica in any second: the tolerated
// rate times Overshoot, plus Slack. Without both there is no limit.
type Bounds struct {
	Overshoot float64
	Slack     float64
}

// limited reports whether there is a limit for a tolerated rate.
func (b Bounds) limited(rate float64) bool { return rate > 0 && (b.Overshoot > 0 || b.Slack > 0) }

// planned returns the requests per Window of all hosts together: at most the tolerated rate, and at
// most half of the bound.
func (b Bounds) planned(rate float64) int {
	return max(1, int(min(rate, (rate*b.Overshoot+b.Slack)/2)))
}

// Members describes the hosts as this host knows them.
type Members struct {
	Known       bool          // whether the hosts are known; otherwise no request is sent to cold replicas
	Local       []core.HostID // hosts of this host's data centre, including this one
	DataCentres int           // data centres of the deployment, the same number on all hosts
	// Owned has an entry for each service whose calls are divided among owners, which is true if
	// this host is the owner in its data centre.
	Owned map[core.ServiceName]bool
}

// Limiter is the limit of one host. It is not safe for concurrent use.
type Limiter struct {
	self   core.HostID
	local  core.DataCentre
	bounds Bounds
	rates  map[core.ServiceName]float64

	members   Members
	hosts     []core.HostID // Members.Local and those that were in it within memory, sorted
	seen      map[core.HostID]time.Time
	changedAt time.Time // when the last change happened on which the quotas depend
	lastCall  time.Time
	settledAt time.Time // before this, the hosts may not know of each other

	replicas map[core.InstanceID]*replica
	withheld int64
}

// New returns a limiter for the host self in the data centre local. It limits nothing until bounds
// and rates are set, and then allows no requests to cold replicas until the hosts are known.
func New(self core.HostID, local core.DataCentre) *Limiter {
	return &Limiter{
		self:     self,
		local:    local,
		seen:     make(map[core.HostID]time.Time),
		replicas: make(map[core.InstanceID]*replica),
	}
}

// SetBounds sets the bounds.
func (l *Limiter) SetBounds(now time.Time, b Bounds) {
	if l.bounds != b {
		l.bounds = b
		l.changed(l.observe(now))
	}
}

// SetRates sets the requests per second that cold replicas of each service tolerate. A service
// without a rate has no limit.
func (l *Limiter) SetRates(now time.Time, rates map[core.ServiceName]float64) {
	if !maps.Equal(l.rates, rates) {
		l.rates = rates
		l.changed(l.observe(now))
	}
}

// SetMembers sets the known hosts. It must be called at least every 100 ms, since it also detects
// pauses of the process.
func (l *Limiter) SetMembers(now time.Time, m Members) {
	now = l.observe(now)
	maps.DeleteFunc(l.replicas, func(_ core.InstanceID, r *replica) bool { return now.Sub(r.coldUntil) > rampTime+Window })
	if l.bounds == (Bounds{}) {
		return
	}
	for _, h := range m.Local {
		l.seen[h] = now
	}
	maps.DeleteFunc(l.seen, func(_ core.HostID, at time.Time) bool { return now.Sub(at) > memory })
	hosts := slices.Sorted(maps.Keys(l.seen))
	if m.Known && !l.members.Known {
		l.settledAt = now.Add(settleTime) // the others may not count this host yet
	}
	same := l.members.Known == m.Known && l.members.DataCentres == m.DataCentres &&
		maps.Equal(l.members.Owned, m.Owned) && slices.Equal(l.hosts, hosts)
	l.members, l.hosts = m, hosts
	if !same {
		l.changed(now)
	}
}

// Limited reports whether cold replicas of a service have a limit.
func (l *Limiter) Limited(s core.ServiceName) bool { return l.bounds.limited(l.rates[s]) }

// MarkCold records that a replica is cold for a time, and reports whether it was not cold before.
// unused states that this host cannot have sent requests to it without a limit.
func (l *Limiter) MarkCold(now time.Time, in core.Instance, left time.Duration, unused bool) (news bool) {
	if left <= 0 {
		return false
	}
	now = l.observe(now)
	until := now.Add(left)
	r, ok := l.replicas[in.ID]
	if ok && now.Before(r.coldUntil) {
		r.coldUntil = later(r.coldUntil, until)
		return false
	}
	if !ok {
		r = &replica{id: in.ID}
		l.replicas[in.ID] = r
	}
	r.service, r.dataCentre, r.coldUntil = in.Service, in.DataCentre, until
	r.rank = l.rank(in.ID)
	r.quota = l.quota(r, l.planned(r))
	if unused {
		// Another host may have had this quota until the last change.
		r.use(l.changedAt, r.quota)
	} else {
		r.use(now, r.quota)
	}
	return true
}

// Cold reports whether a replica is cold and has a limit.
func (l *Limiter) Cold(now time.Time, id core.InstanceID) bool {
	r, ok := l.replicas[id]
	return ok && l.Limited(r.service) && now.Before(r.coldUntil)
}

// Limits reports whether requests to a replica are limited now.
func (l *Limiter) Limits(now time.Time, id core.InstanceID) bool {
	return l.Quota(now, id) < math.MaxInt
}

// Quota returns how many requests this host may send to a replica within Window; math.MaxInt if
// there is no limit.
func (l *Limiter) Quota(now time.Time, id core.InstanceID) int {
	r, ok := l.replicas[id]
	if !ok {
		return math.MaxInt
	}
	return l.limit(l.observe(now), r)
}

// Allow reports whether a request may be sent to a replica now, and counts it as withheld if not.
func (l *Limiter) Allow(now time.Time, id core.InstanceID) bool {
	r, ok := l.replicas[id]
	if !ok || !l.Limited(r.service) {
		return true
	}
	now = l.observe(now)
	r.prune(now)
	if len(r.used) < l.limit(now, r) {
		return true
	}
	l.withheld++
	return false
}

// Sent records that a request is sent to a replica, after Allow has allowed it. It must be written
// within MaxSendDelay.
func (l *Limiter) Sent(now time.Time, id core.InstanceID) {
	if r, ok := l.replicas[id]; ok && l.Limited(r.service) {
		r.use(l.observe(now), 1)
	}
}

// Turns returns the times, in order, at which this host may send its next requests to a replica,
// one for each request of its quota. There are none if the quota is 0.
func (l *Limiter) Turns(now time.Time, id core.InstanceID) []time.Time {
	r, ok := l.replicas[id]
	if !ok || !l.Limited(r.service) {
		return nil
	}
	now = l.observe(now)
	r.prune(now)
	quota := l.limit(now, r)
	if quota == math.MaxInt {
		return []time.Time{now}
	}
	var turns []time.Time
	for i := len(r.used) - quota; i < len(r.used); i++ {
		if i < 0 {
			turns = append(turns, now)
			continue
		}
		turns = append(turns, r.used[i].Add(Window))
	}
	return turns
}

// Withheld returns how many requests were not allowed.
func (l *Limiter) Withheld() int64 { return l.withheld }

// observe returns the time of a call, which is never before that of an earlier call: a goroutine
// may have read the clock before a pause. After a pause, it counts the requests that may not have
// been written before the pause as sent now.
func (l *Limiter) observe(now time.Time) time.Time {
	last := l.lastCall
	if now.Before(last) {
		return last
	}
	l.lastCall = now
	if gap := now.Sub(last); !last.IsZero() && gap > maxPause {
		for _, r := range l.replicas {
			r.resend(last.Add(-MaxSendDelay), now)
		}
		if gap > outdatedAfter {
			l.settledAt = now.Add(settleTime)
			l.changed(now)
		}
	}
	if last.Before(l.settledAt) && !now.Before(l.settledAt) {
		l.changed(now)
	}
	return now
}

// changed updates the quotas after a change of what they depend on.
func (l *Limiter) changed(now time.Time) {
	l.changedAt = now
	for _, r := range l.replicas {
		r.prune(now)
		r.rank = l.rank(r.id)
		quota := l.quota(r, l.planned(r))
		r.use(now, quota-r.quota)
		r.quota = quota
	}
}

// limit returns the quota for a replica, which grows after its warm-up.
func (l *Limiter) limit(now time.Time, r *replica) int {
	over := now.Sub(r.coldUntil)
	switch {
	case !l.Limited(r.service) || over >= rampTime:
		return math.MaxInt
	case over < 0:
		return r.quota
	}
	growth := math.Exp2(float64(over) / float64(rampStep))
	return max(r.quota, l.quota(r, int(growth*float64(l.planned(r)))))
}

// planned returns the requests per Window of all hosts together to a replica.
func (l *Limiter) planned(r *replica) int { return l.bounds.planned(l.rates[r.service]) }

// quota returns this host's part of the planned requests to a replica.
func (l *Limiter) quota(r *replica, planned int) int {
	if !l.members.Known || l.lastCall.Before(l.settledAt) || !l.Limited(r.service) {
		return 0
	}
	share := l.share(planned, r.dataCentre)
	isOwner, divided := l.members.Owned[r.service]
	if !divided {
		return l.part(share, r.rank)
	}
	others := share / othersDivisor
	if isOwner {
		return share - others
	}
	return l.part(others, r.rank)
}

// share returns the part of the planned requests that the hosts of this data centre send to a
// replica in dc.
func (l *Limiter) share(planned int, dc core.DataCentre) int {
	others := max(1, l.members.DataCentres) - 1
	if others == 0 {
		if dc == l.local {
			return planned
		}
		return 0
	}
	remote := planned / remoteDivisor / others
	if dc == l.local {
		return planned - others*remote
	}
	return remote
}

// part returns the part of a number of requests that a host with a rank gets if they are dealt to
// the known hosts in turn, in the order of their ranks.
func (l *Limiter) part(requests, rank int) int {
	if rank < 0 || rank >= requests {
		return 0
	}
	n := len(l.hosts)
	return (requests - rank + n - 1) / n
}

// rank returns the position of this host among the known ones by rendezvous hashing for a replica;
// -1 if it is not one of them.
func (l *Limiter) rank(id core.InstanceID) int {
	rank, known := 0, false
	own := weight(id, l.self)
	for _, h := range l.hosts {
		w := weight(id, h)
		known = known || h == l.self
		if w > own || w == own && h < l.self {
			rank++
		}
	}
	if !known {
		return -1
	}
	return rank
}

func weight(id core.InstanceID, h core.HostID) uint64 {
	return xxhash.Sum64String("warm\x00" + string(id) + "\x00" + string(h))
}

// replica is a replica that is cold or was until recently.
type replica struct {
	id         core.InstanceID
	service    core.ServiceName
	dataCentre core.DataCentre
	coldUntil  time.Time
	rank       int // see Limiter.rank
	quota      int // while it is cold
	// used has the time of each request within Window, oldest first, and the times at which the
	// quota rose, once for each request that it rose by.
	used []time.Time
}

// use enters n requests, not before the last one: used stays in order.
func (r *replica) use(at time.Time, n int) {
	if len(r.used) > 0 {
		at = later(at, r.used[len(r.used)-1])
	}
	for range n {
		r.used = append(r.used, at)
	}
}

// prune drops the requests that are no longer within Window.
func (r *replica) prune(now time.Time) {
	n := slices.IndexFunc(r.used, func(at time.Time) bool { return now.Sub(at) < Window })
	if n < 0 {
		n = len(r.used)
	}
	r.used = slices.Delete(r.used, 0, n)
}

// resend counts the requests that were entered at from or later as sent at another time.
func (r *replica) resend(from, at time.Time) {
	for i := range r.used {
		if !r.used[i].Before(from) {
			r.used[i] = at
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
