package relay

import (
	"slices"
	"time"

	"oriolebarrow/core"
)

// outcomeWait bounds the wait for proof that no replica has run a request: replicas that
// refuse do so within a round trip, and a cancelled task that was not sent ends at once.
const outcomeWait = 3 * time.Millisecond

// callHandled records the end of a call whose event is being handled.
func (j *job) callHandled(e event) {
	e.sub.running--
	e.sub.ran = e.sub.ran || !e.result.NotRun
	j.calls[e.call].ended = true
}

// mayHaveRun reports whether any replica has run the request or may still do so. It ends the
// calls and the tasks of the request: those whose send has not begun never run then. If no
// replica is known to have run it, mayHaveRun waits up to outcomeWait for the outcome of the
// others.
func (j *job) mayHaveRun() bool {
	if j.anyRan() {
		return true
	}
	for _, c := range j.calls {
		c.Abandon(abandonLinger)
	}
	if j.tasksOpen > 0 {
		j.cancelTasks()
	}
	timer := time.NewTimer(outcomeWait)
	defer timer.Stop()
	for !j.anyRan() && (j.tasksOpen > 0 || j.callsOpen()) {
		select {
		case e := <-j.results:
			j.recordCall(*e)
		case e := <-j.tasks:
			j.recordOutcome(e)
		case <-timer.C:
			return true
		}
	}
	return j.anyRan()
}

// callsOpen reports whether the outcome of a call that was sent is not known.
func (j *job) callsOpen() bool {
	return slices.ContainsFunc(j.calls, func(c sentCall) bool { return !c.ended && !c.Unsent() })
}

// recordCall records the end of a call that is not needed any more, or passes on a free slot.
func (j *job) recordCall(e event) {
	if e.slot {
		e.sub.waiting = false
		j.relay.offerSlot(time.Now(), e.sub.service)
		return
	}
	j.callHandled(e)
}

func (j *job) anyRan() bool {
	for i := range j.subs {
		if j.subs[i].ran {
			return true
		}
	}
	return false
}

// drainResults records the ends of calls that have been reported and not been handled.
func (j *job) drainResults() {
	for {
		select {
		case e := <-j.results:
			j.recordCall(*e)
		default:
			return
		}
	}
}

// recordOutcome records whether a cancelled task may have run.
func (j *job) recordOutcome(e taskEvent) {
	if e.result != nil {
		j.recordNotRun(e.batch, e.result)
	} else {
		j.tasksOpen--
	}
	for _, s := range e.batch.Shards {
		sub := &j.subs[s]
		switch {
		case e.result != nil:
			sub.ran = sub.ran || len(e.result.Parts) > 0
		default:
			sub.ran = sub.ran || !notStarted(e.err) && !sub.notRun
		}
	}
}

// endedReply returns the reply to a request that ends without an answer: the status, or 503 if
// no replica has run the request nor will.
func (j *job) endedReply(status int, reason core.Reason) Reply {
	if !j.mayHaveRun() {
		return unavailable(reason, retrySoon)
	}
	return Reply{Status: status, Reason: reason}
}

// recordNotRun records which shards of a task its delegate states not to have run.
func (j *job) recordNotRun(b *core.TaskBatch, r *core.TaskResult) {
	for _, s := range r.NotRun {
		if s >= 0 && s < len(b.Shards) {
			j.subs[b.Shards[s]].notRun = true
		}
	}
}

// notRunShards returns the shards of a task that no replica has run and none will. It ends
// their calls, so it returns none before the task is done.
func (j *job) notRunShards(done bool) (shards []int) {
	if !done {
		return nil
	}
	for _, c := range j.calls {
		c.Abandon(abandonLinger)
	}
	j.drainResults()
	mayRun := make([]bool, len(j.subs))
	for _, c := range j.calls {
		mayRun[c.sub.index] = mayRun[c.sub.index] || !c.ended && !c.Unsent()
	}
	for i := range j.subs {
		if !j.subs[i].ran && !mayRun[i] {
			shards = append(shards, i)
		}
	}
	return shards
}
