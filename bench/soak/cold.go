package soak

import (
	"fmt"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// replicaCold starts a new lifetime of the replica, under another ID, in which it is cold until the
// end of the fault. Hosts that have not read its entry send requests to the old ID, which don't run.
const replicaCold = "cold"

const (
	coldRate   = 4.0 // requests per second that a cold replica tolerates, by the routing document
	coldWarmup = 30 * time.Second
	// coldOutcome names the most requests in one second in the counts of a run.
	coldOutcome = "most requests a second at a cold replica"
	// heldTime is how long after a fault of its proxy a replica may get requests that were held back.
	heldTime = 2 * time.Second
)

// coldBounds are the bounds in the settings files.
var coldBounds = warm.Bounds{Overshoot: 1.5, Slack: 2}

// maxColdRequests returns how many requests a cold replica may get in one second.
func maxColdRequests() int { return int(coldRate*coldBounds.Overshoot + coldBounds.Slack) }

// lifetimes holds the current lifetime of a replica, and the requests that it got while it was cold.
type lifetimes struct {
	mu        sync.Mutex
	current   core.Instance // as its entry states
	heldUntil time.Time
	arrivals  []time.Time // within the last second
	most      int         // most requests in one second while it was cold
}

// renew starts a new lifetime, which is cold for a time. It returns its entry and the ID of the
// previous one.
func (l *lifetimes) renew(base core.InstanceID, born int64, left time.Duration) (in core.Instance, previous core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous = l.current.ID
	l.current.ID = core.InstanceID(fmt.Sprint(base, "-", born))
	l.current.Born, l.current.Warmup = born, left
	l.arrivals = nil
	return l.current, previous
}

// reborn starts a new lifetime under the same ID and returns its entry.
func (l *lifetimes) reborn(born int64) core.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Born = born
	return l.current
}

func (l *lifetimes) instance() core.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// hold leaves out the requests that arrive until a time: they may have been held back.
func (l *lifetimes) hold(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil, l.arrivals = until, nil
}

// arrived records a request to a lifetime, which the replica does not answer with 421.
func (l *lifetimes) arrived(now time.Time, id core.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != l.current.ID || l.current.Warmup == 0 || now.Before(l.heldUntil) {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > time.Second {
		l.arrivals = l.arrivals[1:]
	}
	l.most = max(l.most, len(l.arrivals))
}

// mostCold returns the most requests that the replica got in one second while it was cold.
func (l *lifetimes) mostCold() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}

// checkCold checks that the hosts kept the warm-up limit.
func (g *gateway) checkCold() {
	for _, r := range g.replicas {
		n := r.lives.mostCold()
		if n > maxColdRequests() {
			g.report.fail("%s got %d requests in one second while it was cold, more than %d", r.instance.ID, n, maxColdRequests())
		}
		if n > g.report.Requests[coldOutcome] {
			g.report.Requests[coldOutcome] = n
		}
	}
}

// startLifetime ends the current lifetime of a replica and starts one that is cold for a time.
func (r *replica) startLifetime(left time.Duration) {
	in, previous := r.lives.renew(r.instance.ID, r.lifetime.Add(1), left)
	r.retire(previous)
	r.publish(in)
}
