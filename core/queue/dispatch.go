package queue

import (
	"slices"
	"time"

	"oriolebarrow/core"
)

// dispatch starts attempts until no free slot has a task that can use it. It
// appends the actions to out.
func (s *Scheduler) dispatch(now time.Time, out []Action) []Action {
	for {
		a, ok := s.dispatchOne(now, &out)
		if !ok {
			s.healthChange = time.Time{}
			if s.Waiting() > 0 || len(s.extras) > 0 {
				s.healthChange = s.opts.Health.NextChange(now)
			}
			return out
		}
		out = append(out, a)
	}
}

// dispatchOne starts one attempt, or returns false if none can start. Extra
// attempts go before first attempts, unless a first attempt of a higher
// priority can start.
func (s *Scheduler) dispatchOne(now time.Time, out *[]Action) (Action, bool) {
	if !s.anyFree(now) {
		return Action{}, false
	}
	spent := false // no hedge is left in the budget
	for _, t := range s.extras {
		if spent && t.next == Hedge {
			continue
		}
		replica := s.choose(now, t)
		if replica < 0 {
			continue
		}
		if a, ok := s.dispatchWaiting(now, t.Priority+1, out); ok {
			return a, true
		}
		if spent = t.next == Hedge && !s.opts.Budget.TakeHedge(); spent {
			continue
		}
		s.dropExtra(t)
		return s.start(now, t, replica), true
	}
	return s.dispatchWaiting(now, 0, out)
}

// dispatchWaiting starts the first attempt of the next waiting task whose
// priority is at least the given one. On the way it fails the tasks that can no
// longer finish in time.
func (s *Scheduler) dispatchWaiting(now time.Time, priority int, out *[]Action) (Action, bool) {
	_, _, fast := s.opts.Budget.Times()
	for i, q := range s.queues {
		replica := noReplica
		t := q.pop(priority, func(t *task) bool {
			if s.infeasible(now, t, fast) {
				return true
			}
			if s.opts.PerReplica {
				replica = s.chooseIn(now, t, i, i+1)
			}
			// The tasks that wait for an ejected replica go to the other replicas.
			if !s.opts.PerReplica || (replica < 0 && s.opts.Health.Slots(now, i) == 0) {
				replica = s.choose(now, t)
			}
			return replica >= 0
		})
		switch {
		case t == nil:
			continue
		case s.infeasible(now, t, fast):
			*out = s.fail(t, core.ReasonDeadline, Expired, *out)
			return s.dispatchWaiting(now, priority, out)
		}
		return s.start(now, t, replica), true
	}
	return Action{}, false
}

// infeasible reports whether a waiting task can no longer finish before its
// deadline, even if its call is as short as fast.
func (s *Scheduler) infeasible(now time.Time, t *task, fast time.Duration) bool {
	if s.opts.NoInfeasible {
		fast = 0
	}
	return !t.Deadline.After(now.Add(fast))
}

func (s *Scheduler) anyFree(now time.Time) bool {
	for r := range s.inUse {
		if s.free(now, r) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) free(now time.Time, r int) int {
	return min(s.opts.Slots, s.opts.Health.Slots(now, r)) - s.inUse[r]
}

// choose returns the replica with the most free slots among those that may run
// the next attempt of a task, or noReplica. Replicas with equally many free slots
// are chosen in rotation.
func (s *Scheduler) choose(now time.Time, t *task) int {
	return s.chooseIn(now, t, 0, len(s.inUse))
}

// chooseIn is like choose, but considers only the replicas r with from <= r < to.
func (s *Scheduler) chooseIn(now time.Time, t *task, from, to int) int {
	best, most := noReplica, 0
	for i := range to - from {
		r := from + (s.rotation+i)%(to-from)
		n := s.free(now, r)
		if n <= 0 || !s.mayRun(now, t, r) {
			continue
		}
		if s.opts.Health.Trial(now, r) {
			// A trial call must be one that can be hedged. It has precedence over
			// the number of free slots: at low load another replica always has
			// more of them, and the trial would never start.
			if t.next == First && !t.Once {
				return r
			}
			continue
		}
		if n > most {
			best, most = r, n
		}
	}
	return best
}

// mayRun reports whether a replica may get the next attempt of a task.
func (s *Scheduler) mayRun(now time.Time, t *task, r int) bool {
	if !s.opts.Health.Holds(r, t.Snapshot, t.Shard) {
		return false
	}
	for _, a := range t.running {
		if a.replica == r {
			return false
		}
	}
	if t.avoid != r {
		return true
	}
	if t.next == Retry && s.opts.NoExclusion {
		return true
	}
	// A retry goes to the replica that refused only if no other replica can run it.
	return t.next == Retry && !s.hasAlternative(now, t, r)
}

// hasAlternative reports whether a replica other than r can run calls of a task
// now. Replicas that accept only a trial call don't count.
func (s *Scheduler) hasAlternative(now time.Time, t *task, r int) bool {
	h := s.opts.Health
	for other := range s.inUse {
		if other != r && h.Slots(now, other) > 0 && !h.Trial(now, other) && h.Holds(other, t.Snapshot, t.Shard) {
			return true
		}
	}
	return false
}

// start starts an attempt of a task and sets the timer of its hedge.
func (s *Scheduler) start(now time.Time, t *task, replica int) Action {
	s.lastAttempt++
	s.rotation++
	a := &attempt{id: s.lastAttempt, task: t, replica: replica, started: now}
	s.attempts[a.id] = a
	s.inUse[replica]++
	t.running = append(t.running, a)
	t.tries++
	s.opts.Health.Started(now, replica)
	action := Action{Kind: Start, Task: t.ID, Attempt: a.id, Replica: replica, Cause: t.next}
	if s.mayHedge(t) {
		s.stopTimer(t.hedgeTimer)
		t.hedgeTimer = s.addTimer(t, now.Add(s.opts.Budget.HedgeDelay()))
	}
	return action
}

// mayHedge reports whether a task may have a second attempt while one runs.
func (s *Scheduler) mayHedge(t *task) bool {
	return !s.opts.NoHedge && !t.Once && len(t.running) == 1 && s.opts.Replicas > 1
}

// hedgeDue makes a hedge pending when its timer expires. If the hedge delay has
// grown since the call started, it sets the timer again instead.
func (s *Scheduler) hedgeDue(now time.Time, t *task) {
	t.hedgeTimer = nil
	if !s.mayHedge(t) || t.extra {
		return
	}
	if at := t.running[0].started.Add(s.opts.Budget.HedgeDelay()); at.After(now) {
		t.hedgeTimer = s.addTimer(t, at)
		return
	}
	t.next = Hedge
	if s.opts.NoPendingHedge && s.choose(now, t) < 0 {
		return
	}
	s.addExtra(t)
}

// continueTask decides how a task continues after an attempt that was refused or
// failed: with the attempt that still runs, or with another attempt if the rules
// and the budgets allow it. It returns false if the task must end.
func (s *Scheduler) continueTask(now time.Time, t *task, r Result) bool {
	if len(t.running) > 0 {
		s.rearmHedge(now, t, r)
		return true
	}
	if t.extra && t.next != Hedge {
		return true
	}
	s.dropExtra(t) // without a running call, the next attempt is a retry or a repeat, not a hedge
	if t.Once || t.tries >= s.maxTries() || !t.Deadline.After(now) || s.unservableReason(t.Task) != "" {
		return false
	}
	if r.Status == Refused {
		if s.opts.NoRetry || !s.opts.Budget.TakeRetry() {
			return false
		}
		t.next = Retry
		s.addExtra(t)
		return true
	}
	if s.opts.NoHedge || !s.hasAlternative(now, t, t.avoid) || !s.opts.Budget.TakeHedge() {
		return false
	}
	t.next = Repeat
	s.addExtra(t)
	return true
}

// rearmHedge sets the hedge timer again after a replica refused one of two attempts.
func (s *Scheduler) rearmHedge(now time.Time, t *task, r Result) {
	if r.Status != Refused || t.extra || t.hedgeTimer != nil || !s.mayHedge(t) || t.tries >= s.maxTries() {
		return
	}
	t.avoid = noReplica
	t.hedgeTimer = s.addTimer(t, now.Add(s.opts.Budget.HedgeDelay()))
}

// maxTries returns the number of attempts after which a task gets no further
// retry, repeat or renewed hedge, even if the budgets allow one.
func (s *Scheduler) maxTries() int { return 2 * s.opts.Replicas }

// addExtra inserts a task into the pending extra attempts, which are ordered by
// priority and then by the time of insertion.
func (s *Scheduler) addExtra(t *task) {
	t.extra = true
	i := len(s.extras)
	for i > 0 && s.extras[i-1].Priority < t.Priority {
		i--
	}
	s.extras = slices.Insert(s.extras, i, t)
}

func (s *Scheduler) dropExtra(t *task) {
	if !t.extra {
		return
	}
	t.extra = false
	i := slices.Index(s.extras, t)
	s.extras = slices.Delete(s.extras, i, i+1)
}
