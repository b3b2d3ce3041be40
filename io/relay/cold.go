package relay

import (
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/warm"
)

// turnCounts counts the subrequests of each service that wait for a turn at a cold replica. Its
// lock is taken before that of the replica table.
type turnCounts struct {
	mu     sync.Mutex
	counts map[core.ServiceName]int
}

// addIf adds a subrequest if admit allows it, which gets the number of those that wait. Both
// happen at once: two subrequests that were admitted behind the same number would get one turn,
// and one of them would be given up only when it comes.
func (t *turnCounts) addIf(s core.ServiceName, admit func(waiting int) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !admit(t.counts[s]) {
		return
	}
	if t.counts == nil {
		t.counts = make(map[core.ServiceName]int)
	}
	t.counts[s]++
}

func (t *turnCounts) remove(s core.ServiceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts[s]--; t.counts[s] <= 0 {
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
	var at time.Time
	var withheld, ok bool
	j.relay.turns.addIf(sub.service, func(waiting int) bool {
		at, withheld, ok = j.relay.Replicas.Turn(now, sub.service, sub.tried, waiting)
		ok = withheld && ok && !at.After(j.latestStart)
		return ok
	})
	if !withheld {
		return false
	}
	if !ok {
		j.relay.Meter.Count("relay_cold_given_up", 1)
		// With fewer queries, each would find more turns.
		sub.reason, sub.overloaded = core.ReasonCold, true
		return false
	}
	j.relay.Meter.Count("relay_cold_waits", 1)
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
	j.relay.turns.remove(sub.service)
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
