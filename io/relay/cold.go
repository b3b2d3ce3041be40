package relay

import (
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/warm"
)

// turnCounts counts the subrequests of each service that wait for a turn at a cold replica.
type turnCounts struct {
	mu     sync.Mutex
	counts map[core.ServiceName]int
}

func (t *turnCounts) count(s core.ServiceName) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[s]
}

func (t *turnCounts) add(s core.ServiceName, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[core.ServiceName]int)
	}
	t.counts[s] += n
	if t.counts[s] <= 0 {
		delete(t.counts, s)
	}
}

// awaitTurn makes a subrequest wait for its turn if only cold replicas at their limit are left to
// try and the turn comes early enough. Otherwise it returns false: the subrequest is given up at
// once. A hedge does not wait.
func (j *job) awaitTurn(now time.Time, sub *subrequest) bool {
	if sub.running > 0 || !sub.turnAt.IsZero() {
		return !sub.turnAt.IsZero()
	}
	at, withheld, ok := j.relay.Replicas.Turn(now, sub.service, sub.tried, j.relay.turns.count(sub.service))
	if !withheld {
		return false
	}
	if !ok || at.After(j.latestStart) {
		j.relay.Meter.Count("relay_cold_given_up", 1)
		// With fewer queries, each would find more turns.
		sub.reason, sub.overloaded = core.ReasonCold, true
		return false
	}
	j.relay.Meter.Count("relay_cold_waits", 1)
	j.relay.turns.add(sub.service, 1)
	sub.turnAt = at
	return true
}

// takeTurn starts the call of a subrequest whose turn has come.
func (j *job) takeTurn(now time.Time, sub *subrequest) {
	if sub.turnAt.IsZero() || now.Before(sub.turnAt) {
		return
	}
	j.leaveTurn(sub)
	if !j.attempt(now, sub, retrySent) && sub.running == 0 && sub.refusedRetryAt.IsZero() {
		j.settle(sub)
	}
}

// leaveTurn ends the wait of a subrequest for a turn.
func (j *job) leaveTurn(sub *subrequest) {
	if sub.turnAt.IsZero() {
		return
	}
	sub.turnAt = time.Time{}
	j.relay.turns.add(sub.service, -1)
}

// sendBy returns the time after which a call must not be sent any more: a request to a cold replica
// must arrive soon after it was counted.
func (j *job) sendBy(now time.Time, replica *picker.Replica) time.Time {
	if !j.relay.Replicas.IsCold(now, replica) {
		return time.Time{}
	}
	return now.Add(warm.MaxSendDelay)
}

// coldWait returns after which time this host may call a replica of a service again if all usable
// ones are cold and at their limit, and 0 otherwise.
func (r *Relay) coldWait(now time.Time, s core.ServiceName) time.Duration {
	at, ok := r.Replicas.AllWithheld(now, s)
	if !ok {
		return 0
	}
	if at.IsZero() {
		return retryNoReplica // only other hosts may call them
	}
	return at.Sub(now)
}

// LogCold logs the replicas that became cold and counts the withheld requests. total is the count
// at the last call; LogCold returns the new one.
func (r *Relay) LogCold(total int64) int64 {
	cold, withheld := r.Replicas.NewlyCold()
	if n := withheld - total; n > 0 {
		r.Meter.Count("relay_cold_withheld", n)
	}
	for _, c := range cold {
		r.Meter.Count("relay_replicas_cold", 1)
		if skipped, ok := r.allowLine(false); ok {
			r.Log.Info("relay: replica is cold", "replica", c.Instance.ID, "service", c.Instance.Service,
				"left_ms", c.Left.Milliseconds(), "quota", c.Quota, "left_out", skipped)
		}
	}
	return withheld
}
