// Package queue schedules the calls to one replica group. It keeps one queue
// for the group and assigns a call to a replica only when that replica has a free
// slot, so that a slow replica delays only the calls that it is already running.
//
// The scheduler is driven by events: each of its methods that reports an event
// returns the actions that the user of the package must carry out. It starts no
// goroutine and reads no clock.
//
// # Order of service
//
// Higher priorities go first. Within a priority, pending hedges and retries go
// before waiting first attempts: they belong to queries that already wait for
// their last shards, and the budgets limit how many there are. Among first
// attempts, callers are served round robin, and each caller's task with the
// earliest deadline goes first.
//
// # Usage
//
//	s := queue.New(queue.Options{
//		Replicas: 2, Slots: 2, Length: 256,
//		Budget: budget.New(limits), Health: eject.New(eject.Options{Replicas: 2, Slots: 2}),
//	})
//	actions := s.Add(now, queue.Task{ID: 1, Deadline: deadline})
//	for len(actions) > 0 {
//		a := actions[0]
//		actions = actions[1:]
//		if a.Kind == queue.Start {
//			// call the replica a.Replica, then report the result, which may cause more actions:
//			actions = append(actions, s.Done(time.Now(), a.Attempt, queue.Result{Status: queue.OK})...)
//		}
//	}
package queue

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pqueue"
)

// Options configures a scheduler. Each boolean option disables one mechanism.
type Options struct {
	Replicas int // number of replicas in the group
	Slots    int // maximum number of concurrent calls to each replica
	Length   int // maximum number of waiting tasks
	Budget   core.Budget
	Health   core.Health

	NoHedge        bool // no second attempt while one is running, and no repeat of a failed read
	NoRetry        bool // a refusal ends the task
	NoExclusion    bool // a retry may go to the replica that just refused
	NoInfeasible   bool // tasks that cannot finish before their deadline are queued instead of rejected
	NoFairness     bool // callers of a priority share one queue
	NoPendingHedge bool // a hedge that finds no free slot when due is dropped
	PerReplica     bool // one queue for each replica instead of one for the group
}

// Scheduler queues the tasks of one replica group and starts their calls. It is
// not safe for concurrent use.
type Scheduler struct {
	opts          Options
	inUse         []int // running calls of each replica
	queues        []*waitQueue
	extras        []*task // due hedges, retries and repeats by priority, then oldest first
	timers        *pqueue.Heap[*timer]
	stoppedTimers int // stopped timers that are still in the heap
	tasks         map[uint64]*task
	attempts      map[uint64]*attempt
	lastAttempt   uint64    // ID of the latest attempt
	serial        uint64    // of the latest task
	rotation      int       // attempts so far; rotates the choice between equal replicas
	healthChange  time.Time // when Health may allow more calls without an event; zero if nothing waits
}

// New returns an empty scheduler.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts:     opts,
		inUse:    make([]int, opts.Replicas),
		timers:   pqueue.NewHeap(func(a, b *timer) bool { return a.at.Before(b.at) }),
		tasks:    make(map[uint64]*task),
		attempts: make(map[uint64]*attempt),
	}
	s.queues = make([]*waitQueue, 1)
	if opts.PerReplica {
		s.queues = make([]*waitQueue, opts.Replicas)
	}
	for i := range s.queues {
		s.queues[i] = &waitQueue{fair: !opts.NoFairness}
	}
	return s
}

// Add queues a task, or rejects it with a Fail action.
func (s *Scheduler) Add(now time.Time, t Task) []Action {
	index := s.queueFor(now, t)
	if reason := s.rejectReason(now, t, index); reason != "" {
		return []Action{{Kind: Fail, Task: t.ID, Reason: reason, NotRun: true}}
	}
	s.serial++
	entry := &task{Task: t, serial: s.serial, avoid: noReplica, next: First, queueIndex: index}
	s.tasks[t.ID] = entry
	entry.deadlineTimer = s.addTimer(entry, t.Deadline)
	s.queues[index].push(entry)
	s.opts.Budget.RecordCall()
	return s.dispatch(now, nil)
}

// queueFor returns the index of the queue that a new task joins. With a queue for
// each replica, this is the shortest queue whose replica may run calls now and
// holds the task's shard, or else the shortest queue whose replica may run the task
// later.
func (s *Scheduler) queueFor(now time.Time, t Task) int {
	if !s.opts.PerReplica {
		return 0
	}
	h := s.opts.Health
	best, shortest, bestServes := 0, -1, false
	for i, q := range s.queues {
		if !h.Available(i) || !h.Holds(i, t.Snapshot, t.Shard) {
			continue
		}
		serves := h.Slots(now, i) > 0 && !(t.Once && h.Trial(now, i))
		n := q.waiting + s.inUse[i]
		if shortest < 0 || (serves && !bestServes) || (serves == bestServes && n < shortest) {
			best, shortest, bestServes = i, n, serves
		}
	}
	return best
}

// rejectReason returns why a new task must be rejected, or an empty reason.
func (s *Scheduler) rejectReason(now time.Time, t Task, index int) core.Reason {
	if !t.Deadline.After(now) {
		return core.ReasonDeadline
	}
	if reason := s.unservableReason(t); reason != "" {
		return reason
	}
	if s.Waiting() >= s.opts.Length {
		return core.ReasonOverload
	}
	if !s.opts.NoInfeasible && now.Add(s.estimateWait(now, t, index)).After(t.Deadline) {
		return core.ReasonOverload
	}
	return ""
}

// unservableReason returns why no replica of the group can run a task, or an empty
// reason if one can.
func (s *Scheduler) unservableReason(t Task) core.Reason {
	reason := core.ReasonNoReplica
	for r := range s.inUse {
		if !s.opts.Health.Available(r) {
			continue
		}
		if s.opts.Health.Holds(r, t.Snapshot, t.Shard) {
			return ""
		}
		reason = core.ReasonSnapshotGone
	}
	return reason
}

// estimateWait estimates the shortest time until a new task can have its result:
// the tasks before it take the mean service time each, and its own call is fast.
func (s *Scheduler) estimateWait(now time.Time, t Task, index int) time.Duration {
	mean, _, fast := s.opts.Budget.Times()
	slots, free := 0, 0
	for r := range s.inUse {
		if s.opts.PerReplica && r != index {
			continue
		}
		n := min(s.opts.Slots, s.opts.Health.Slots(now, r))
		slots += n
		free += max(0, n-s.inUse[r])
	}
	position := s.queues[index].ahead(t) + 1 - free
	if position <= 0 {
		return fast
	}
	return time.Duration(position)*mean/time.Duration(max(1, slots)) + fast
}

// Done reports that an attempt ended with result r, which frees its slot.
func (s *Scheduler) Done(now time.Time, id uint64, r Result) []Action {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	delete(s.attempts, id)
	s.inUse[a.replica]--
	t := a.task
	t.running = slices.DeleteFunc(t.running, func(x *attempt) bool { return x == a })
	s.recordEnd(now, a, r)
	if t.ended {
		return s.dispatch(now, nil)
	}
	if r.Status == OK {
		return s.dispatch(now, s.finish(t, id, nil))
	}
	t.mayHaveRun = t.mayHaveRun || r.Status == Failed
	t.avoid = a.replica
	var out []Action
	if !s.continueTask(now, t, r) {
		out = s.fail(t, r.Reason, Abandoned, nil)
	}
	if r.Reason == core.ReasonDraining || r.Reason == core.ReasonSnapshotGone {
		return append(out, s.HealthChanged(now)...)
	}
	return s.dispatch(now, out)
}

// recordEnd reports the end of a call to Health and Budget.
func (s *Scheduler) recordEnd(now time.Time, a *attempt, r Result) {
	took := now.Sub(a.started)
	_, median, _ := s.opts.Budget.Times()
	// A call that ended at its deadline counts as cancelled: it would have taken
	// longer as well.
	cancelled := r.Status == Failed && (a.cancelled || r.Reason == core.ReasonDeadline)
	s.opts.Health.Ended(now, a.replica, core.CallEnd{
		Took:      took,
		Median:    median,
		Refused:   r.Status == Refused,
		Failed:    r.Status == Failed && !cancelled && r.Reason != core.ReasonTooLarge,
		Cancelled: cancelled,
		Reason:    r.Reason,
		Snapshot:  a.task.Snapshot,
		Shard:     a.task.Shard,
	})
	if r.Status == OK || cancelled {
		s.opts.Budget.Observe(took)
	}
}

// Withdraw fails a task whose result is no longer needed and cancels its
// attempts.
func (s *Scheduler) Withdraw(now time.Time, id uint64) []Action {
	t, ok := s.tasks[id]
	if !ok {
		return nil
	}
	return s.dispatch(now, s.fail(t, core.ReasonDeadline, Withdrawn, nil))
}

// Tick fails tasks whose deadline has passed and makes due hedges pending.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	for {
		tm, ok := s.timers.Peek()
		if !ok || (!tm.stopped && tm.at.After(now)) {
			return s.dispatch(now, out)
		}
		s.timers.Pop()
		switch {
		case tm.stopped:
			s.stoppedTimers--
		case tm == tm.task.deadlineTimer:
			out = s.fail(tm.task, core.ReasonDeadline, Expired, out)
		default:
			s.hedgeDue(now, tm.task)
		}
	}
}

// NextTick returns when Tick must be called next, or the zero time if no call is
// needed.
func (s *Scheduler) NextTick() time.Time {
	for {
		tm, ok := s.timers.Peek()
		if !ok {
			return s.healthChange
		}
		if !tm.stopped {
			if s.healthChange.IsZero() || tm.at.Before(s.healthChange) {
				return tm.at
			}
			return s.healthChange
		}
		s.timers.Pop()
		s.stoppedTimers--
	}
}

// HealthChanged must be called after the health of a replica has changed. It
// fails the waiting tasks that no replica can run any more and starts attempts in
// free slots. Its cost grows with the number of waiting tasks.
func (s *Scheduler) HealthChanged(now time.Time) []Action {
	waiting := slices.Clone(s.extras)
	for _, q := range s.queues {
		waiting = append(waiting, q.all()...)
	}
	var out []Action
	for _, t := range waiting {
		if reason := s.unservableReason(t.Task); reason != "" && len(t.running) == 0 && !t.ended {
			out = s.fail(t, reason, Abandoned, out)
		}
	}
	return s.dispatch(now, out)
}

// Waiting returns the number of tasks that wait for their first attempt.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, q := range s.queues {
		n += q.waiting
	}
	return n
}

// InUse returns the number of slots in use on a replica.
func (s *Scheduler) InUse(replica int) int { return s.inUse[replica] }

func (s *Scheduler) addTimer(t *task, at time.Time) *timer {
	tm := &timer{at: at, task: t}
	s.timers.Push(tm)
	return tm
}

// stopTimer stops a timer. Its heap entry stays until it reaches the top, or until
// more than half of a large heap are stopped timers.
func (s *Scheduler) stopTimer(tm *timer) {
	if tm == nil || tm.stopped {
		return
	}
	tm.stopped = true
	s.stoppedTimers++
	if s.stoppedTimers > 64 && 2*s.stoppedTimers > s.timers.Len() {
		s.timers.Filter(func(x *timer) bool { return !x.stopped })
		s.stoppedTimers = 0
	}
}

// finish ends a task with the result of an attempt and cancels the other attempts.
func (s *Scheduler) finish(t *task, attempt uint64, out []Action) []Action {
	s.removeTask(t)
	out = append(out, Action{Kind: Finish, Task: t.ID, Attempt: attempt})
	return s.cancelAll(t, Lost, out)
}

// fail ends a task without a result and cancels its attempts.
func (s *Scheduler) fail(t *task, reason core.Reason, cause Cause, out []Action) []Action {
	notRun := !t.mayHaveRun && len(t.running) == 0
	s.removeTask(t)
	out = append(out, Action{Kind: Fail, Task: t.ID, Reason: reason, NotRun: notRun})
	return s.cancelAll(t, cause, out)
}

func (s *Scheduler) removeTask(t *task) {
	t.ended = true
	delete(s.tasks, t.ID)
	s.queues[t.queueIndex].remove(t)
	s.dropExtra(t)
	s.stopTimer(t.deadlineTimer)
	s.stopTimer(t.hedgeTimer)
}

func (s *Scheduler) cancelAll(t *task, cause Cause, out []Action) []Action {
	for _, a := range t.running {
		// A call that must not run twice is not cancelled: cancelling it would
		// leave open whether it ran.
		if a.cancelled || t.Once {
			continue
		}
		a.cancelled = true
		out = append(out, Action{Kind: Cancel, Task: t.ID, Attempt: a.id, Replica: a.replica, Cause: cause})
	}
	return out
}
