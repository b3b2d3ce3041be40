package queue

import (
	"slices"
	"time"

	"oriolebarrow/core"
)

// bind starts what fits into free slots.
func (s *Scheduler) bind(now time.Time, out []Action) []Action {
	for {
		a, ok := s.bindOne(now, &out)
		if !ok {
			s.wake = time.Time{}
			if s.Waiting() > 0 || len(s.extras) > 0 {
				s.wake = s.opts.Health.NextChange(now)
			}
			return out
		}
		out = append(out, a)
	}
}

// bindOne starts one attempt. Extra attempts go before first attempts, unless
// a first attempt of a higher priority waits.
func (s *Scheduler) bindOne(now time.Time, out *[]Action) (Action, bool) {
	if !s.anyFree(now) {
		return Action{}, false
	}
	spent := false // the hedge budget
	for _, t := range s.extras {
		if spent && t.next == Hedge {
			continue
		}
		replica := s.choose(now, t)
		if replica < 0 {
			continue
		}
		if a, ok := s.bindFirst(now, t.Priority+1, out); ok {
			return a, true
		}
		if spent = t.next == Hedge && !s.opts.Budget.TakeHedge(); spent {
			continue
		}
		s.dropExtra(t)
		return s.start(now, t, replica), true
	}
	return s.bindFirst(now, 0, out)
}

// bindFirst starts the first attempt that goes first among those of at least a
// priority.
func (s *Scheduler) bindFirst(now time.Time, priority int, out *[]Action) (Action, bool) {
	_, _, fast := s.opts.Budget.Times()
	for i, l := range s.lines {
		replica := noReplica
		t := l.pop(priority, func(t *task) bool {
			if s.late(now, t, fast) {
				return true
			}
			if s.opts.PerReplica {
				replica = s.chooseIn(now, t, i, i+1)
			}
			// The tasks of a replica that was ejected go to the others.
			if !s.opts.PerReplica || (replica < 0 && s.opts.Health.Slots(now, i) == 0) {
				replica = s.choose(now, t)
			}
			return replica >= 0
		})
		switch {
		case t == nil:
			continue
		case s.late(now, t, fast):
			*out = s.fail(t, core.ReasonDeadline, Expired, *out)
			return s.bindFirst(now, priority, out)
		}
		return s.start(now, t, replica), true
	}
	return Action{}, false
}

// late reports whether a waiting task cannot finish in time any more.
func (s *Scheduler) late(now time.Time, t *task, fast time.Duration) bool {
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

// choose returns the replica with the most free slots that can run a task, or
// noReplica; ties go round.
func (s *Scheduler) choose(now time.Time, t *task) int {
	return s.chooseIn(now, t, 0, len(s.inUse))
}

func (s *Scheduler) chooseIn(now time.Time, t *task, from, to int) int {
	best, most := noReplica, 0
	for i := range to - from {
		r := from + (s.turn+i)%(to-from)
		n := s.free(now, r)
		if n <= 0 || !s.mayRun(now, t, r) {
			continue
		}
		if s.opts.Health.Trial(now, r) {
			// A trial needs a call that can be hedged, and it goes first: at low
			// load another replica always has more free slots.
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
	// The replica that refused is asked again only when it is the only one left.
	return t.next == Retry && !s.other(now, t, r)
}

// other reports whether a replica other than r takes calls of a task now,
// trials apart.
func (s *Scheduler) other(now time.Time, t *task, r int) bool {
	h := s.opts.Health
	for n := range s.inUse {
		if n != r && h.Slots(now, n) > 0 && !h.Trial(now, n) && h.Holds(n, t.Snapshot, t.Shard) {
			return true
		}
	}
	return false
}

func (s *Scheduler) start(now time.Time, t *task, replica int) Action {
	s.next++
	s.turn++
	a := &attempt{id: s.next, task: t, replica: replica, started: now}
	s.attempts[a.id] = a
	s.inUse[replica]++
	t.running = append(t.running, a)
	t.tried++
	s.opts.Health.Started(now, replica)
	action := Action{Kind: Start, Task: t.ID, Attempt: a.id, Replica: replica, Choice: t.next}
	if s.mayHedge(t) {
		s.silence(t.hedge)
		t.hedge = s.alarm(t, now.Add(s.opts.Budget.HedgeDelay()))
	}
	return action
}

// mayHedge reports whether a task may have a second attempt while one runs.
func (s *Scheduler) mayHedge(t *task) bool {
	return !s.opts.NoHedge && !t.Once && len(t.running) == 1 && s.opts.Replicas > 1
}

// due makes a hedge pending, or later when the delay has risen since the start
// of the call.
func (s *Scheduler) due(now time.Time, t *task) {
	t.hedge = nil
	if !s.mayHedge(t) || t.extra {
		return
	}
	if at := t.running[0].started.Add(s.opts.Budget.HedgeDelay()); at.After(now) {
		t.hedge = s.alarm(t, at)
		return
	}
	t.next = Hedge
	if s.opts.HedgeNow && s.choose(now, t) < 0 {
		return
	}
	s.addExtra(t)
}

// again decides how a task goes on after an attempt that was refused or
// failed: with the attempt that still runs, or with another one if the rules
// and the budgets allow it. It returns false if the task ends.
func (s *Scheduler) again(now time.Time, t *task, r Result) bool {
	if len(t.running) > 0 {
		s.hedgeAgain(now, t, r)
		return true
	}
	if t.extra && t.next != Hedge {
		return true
	}
	s.dropExtra(t) // a hedge without a first attempt is a retry or a repeat
	if t.Once || t.tried >= s.maxTries() || !t.Deadline.After(now) || s.unservable(t.Task) != "" {
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
	if s.opts.NoHedge || !s.other(now, t, t.avoid) || !s.opts.Budget.TakeHedge() {
		return false
	}
	t.next = Repeat
	s.addExtra(t)
	return true
}

// hedgeAgain arms the hedge once more after a replica refused it.
func (s *Scheduler) hedgeAgain(now time.Time, t *task, r Result) {
	if r.Status != Refused || t.extra || t.hedge != nil || !s.mayHedge(t) || t.tried >= s.maxTries() {
		return
	}
	t.avoid = noReplica
	t.hedge = s.alarm(t, now.Add(s.opts.Budget.HedgeDelay()))
}

// maxTries bounds the attempts of one task whatever the budgets hold.
func (s *Scheduler) maxTries() int { return 2 * s.opts.Replicas }

// addExtra keeps the list in order of priority, then of time.
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
