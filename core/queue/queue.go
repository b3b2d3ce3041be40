// Package queue schedules the calls of one replica group. It keeps one queue
// for the group and binds a call to a replica only when a slot is free, so that
// a slow replica delays only the calls that it has already.
//
// The scheduler is driven by events and returns the actions to carry out. It
// starts no goroutine and reads no clock.
//
// # Order of service
//
// Higher priorities go first. Within a priority, pending hedges and retries go
// before waiting first attempts: they belong to queries that already wait for
// their last shards, and the budgets bound how many there are. Among first
// attempts, callers take turns and each caller's earliest deadline goes first.
//
// # Usage
//
//	s := queue.New(queue.Options{
//		Replicas: 2, Slots: 2, Length: 256,
//		Budget: budget.New(limits), Health: eject.New(eject.Options{Replicas: 2, Slots: 2}),
//	})
//	for _, a := range s.Add(now, queue.Task{ID: 1, Deadline: deadline}) {
//		// start the call that a describes, then report it:
//		more := s.Done(time.Now(), a.Attempt, queue.Result{Status: queue.OK})
//	}
package queue

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pool"
)

// Options configures a scheduler. The switches take one mechanism out each.
type Options struct {
	Replicas int // number of replicas in the group
	Slots    int // concurrent calls for each replica
	Length   int // waiting tasks at most
	Budget   core.Budget
	Health   core.Health

	NoHedge      bool // no second attempt while one runs
	NoRetry      bool // a refusal ends the task
	NoExclusion  bool // a retry may go to the replica that just refused
	NoInfeasible bool // work that cannot finish in time is queued all the same
	NoFairness   bool // callers of a priority share one queue
	HedgeNow     bool // a hedge that finds no free slot when due is dropped
	PerReplica   bool // a queue for each replica instead of one for the group
}

// Scheduler is the queue of one replica group. It is not safe for concurrent use.
type Scheduler struct {
	opts     Options
	inUse    []int
	lines    []*line
	extras   []*task // due hedges, retries and repeats, oldest first
	alarms   *pool.Heap[*alarm]
	off      int // alarms in the heap that no longer count
	tasks    map[uint64]*task
	attempts map[uint64]*attempt
	next     uint64
	serial   uint64
	turn     int
	wake     time.Time // when health lets a replica back without an event
}

// New returns an empty scheduler.
func New(opts Options) *Scheduler {
	s := &Scheduler{
		opts:     opts,
		inUse:    make([]int, opts.Replicas),
		alarms:   pool.NewHeap(func(a, b *alarm) bool { return a.at.Before(b.at) }),
		tasks:    make(map[uint64]*task),
		attempts: make(map[uint64]*attempt),
	}
	s.lines = make([]*line, 1)
	if opts.PerReplica {
		s.lines = make([]*line, opts.Replicas)
	}
	for i := range s.lines {
		s.lines[i] = &line{fair: !opts.NoFairness}
	}
	return s
}

// Add queues a task.
func (s *Scheduler) Add(now time.Time, t Task) []Action {
	home := s.home(now, t)
	if reason := s.refuse(now, t, home); reason != "" {
		return []Action{{Kind: Fail, Task: t.ID, Reason: reason, NotRun: true}}
	}
	s.serial++
	entry := &task{Task: t, serial: s.serial, avoid: noReplica, next: First, home: home}
	s.tasks[t.ID] = entry
	entry.deadline = s.alarm(entry, t.Deadline)
	s.lines[home].push(entry)
	s.opts.Budget.Call()
	return s.bind(now, nil)
}

// home returns the line of a new task: with a queue for each replica the
// shortest one whose replica has slots now and can run the task, or else the
// shortest one whose replica may get it later.
func (s *Scheduler) home(now time.Time, t Task) int {
	if !s.opts.PerReplica {
		return 0
	}
	h := s.opts.Health
	best, least, serving := 0, -1, false
	for i, l := range s.lines {
		if !h.Available(i) || !h.Holds(i, t.Snapshot, t.Shard) {
			continue
		}
		serves := h.Slots(now, i) > 0 && !(t.Once && h.Trial(now, i))
		n := l.live + s.inUse[i]
		if least < 0 || (serves && !serving) || (serves == serving && n < least) {
			best, least, serving = i, n, serves
		}
	}
	return best
}

// refuse returns why a task cannot be taken, or nothing.
func (s *Scheduler) refuse(now time.Time, t Task, home int) core.Reason {
	if !t.Deadline.After(now) {
		return core.ReasonDeadline
	}
	if reason := s.unservable(t); reason != "" {
		return reason
	}
	if s.Waiting() >= s.opts.Length {
		return core.ReasonOverload
	}
	if !s.opts.NoInfeasible && now.Add(s.wait(now, t, home)).After(t.Deadline) {
		return core.ReasonOverload
	}
	return ""
}

// unservable returns why no replica of the group can run a task, or nothing.
func (s *Scheduler) unservable(t Task) core.Reason {
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

// wait estimates the time until a new task could have its result: its turn in
// the queue at the mean service time, then a fast call.
func (s *Scheduler) wait(now time.Time, t Task, home int) time.Duration {
	mean, _, fast := s.opts.Budget.Times()
	slots, free := 0, 0
	for r := range s.inUse {
		if s.opts.PerReplica && r != home {
			continue
		}
		n := min(s.opts.Slots, s.opts.Health.Slots(now, r))
		slots += n
		free += max(0, n-s.inUse[r])
	}
	turn := s.lines[home].ahead(t) + 1 - free
	if turn <= 0 {
		return fast
	}
	return time.Duration(turn)*mean/time.Duration(max(1, slots)) + fast
}

// Done reports the end of an attempt, which frees its slot.
func (s *Scheduler) Done(now time.Time, id uint64, r Result) []Action {
	a, ok := s.attempts[id]
	if !ok {
		return nil
	}
	delete(s.attempts, id)
	s.inUse[a.replica]--
	t := a.task
	t.running = slices.DeleteFunc(t.running, func(x *attempt) bool { return x == a })
	s.learn(now, a, r)
	if t.gone {
		return s.bind(now, nil)
	}
	if r.Status == OK {
		return s.bind(now, s.finish(t, id, nil))
	}
	t.unclear = t.unclear || r.Status == Failed
	t.avoid = a.replica
	var out []Action
	if !s.again(now, t, r) {
		out = s.fail(t, r.Reason, Abandoned, nil)
	}
	if r.Reason == core.ReasonDraining || r.Reason == core.ReasonSnapshotGone {
		return append(out, s.Recheck(now)...)
	}
	return s.bind(now, out)
}

// learn passes the end of a call on to health and budget.
func (s *Scheduler) learn(now time.Time, a *attempt, r Result) {
	took := now.Sub(a.started)
	_, median, _ := s.opts.Budget.Times()
	// A call that ended with its deadline would have taken longer, too.
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

// Withdraw ends a task whose caller no longer waits and cancels its attempts.
func (s *Scheduler) Withdraw(now time.Time, id uint64) []Action {
	t, ok := s.tasks[id]
	if !ok {
		return nil
	}
	return s.bind(now, s.fail(t, core.ReasonDeadline, Withdrawn, nil))
}

// Tick ends tasks whose deadline has passed and makes due hedges pending.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	for {
		a, ok := s.alarms.Peek()
		if !ok || (!a.off && a.at.After(now)) {
			return s.bind(now, out)
		}
		s.alarms.Pop()
		switch {
		case a.off:
			s.off--
		case a == a.task.deadline:
			out = s.fail(a.task, core.ReasonDeadline, Expired, out)
		default:
			s.due(now, a.task)
		}
	}
}

// NextTick returns when Tick must be called next, or the zero time.
func (s *Scheduler) NextTick() time.Time {
	for {
		a, ok := s.alarms.Peek()
		if !ok {
			return s.wake
		}
		if !a.off {
			if s.wake.IsZero() || a.at.Before(s.wake) {
				return a.at
			}
			return s.wake
		}
		s.alarms.Pop()
		s.off--
	}
}

// Recheck takes a change of health into account: waiting tasks that no replica
// can run end, and free slots are used. It visits every waiting task.
func (s *Scheduler) Recheck(now time.Time) []Action {
	waiting := slices.Clone(s.extras)
	for _, l := range s.lines {
		waiting = append(waiting, l.all()...)
	}
	var out []Action
	for _, t := range waiting {
		if reason := s.unservable(t.Task); reason != "" && len(t.running) == 0 && !t.gone {
			out = s.fail(t, reason, Abandoned, out)
		}
	}
	return s.bind(now, out)
}

// Waiting returns the number of tasks that wait for their first attempt.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, l := range s.lines {
		n += l.live
	}
	return n
}

// InUse returns the slots in use on a replica.
func (s *Scheduler) InUse(replica int) int { return s.inUse[replica] }

func (s *Scheduler) alarm(t *task, at time.Time) *alarm {
	a := &alarm{at: at, task: t}
	s.alarms.Push(a)
	return a
}

// silence takes an alarm out of force. Its entry is dropped when it comes up,
// or when such entries are most of the heap.
func (s *Scheduler) silence(a *alarm) {
	if a == nil || a.off {
		return
	}
	a.off = true
	s.off++
	if s.off > 64 && 2*s.off > s.alarms.Len() {
		s.alarms.Filter(func(x *alarm) bool { return !x.off })
		s.off = 0
	}
}

func (s *Scheduler) finish(t *task, attempt uint64, out []Action) []Action {
	s.forget(t)
	out = append(out, Action{Kind: Finish, Task: t.ID, Attempt: attempt})
	return s.cancelAll(t, Lost, out)
}

func (s *Scheduler) fail(t *task, reason core.Reason, why Choice, out []Action) []Action {
	notRun := !t.unclear && len(t.running) == 0
	s.forget(t)
	out = append(out, Action{Kind: Fail, Task: t.ID, Reason: reason, NotRun: notRun})
	return s.cancelAll(t, why, out)
}

func (s *Scheduler) forget(t *task) {
	t.gone = true
	delete(s.tasks, t.ID)
	s.lines[t.home].leave(t)
	s.dropExtra(t)
	s.silence(t.deadline)
	s.silence(t.hedge)
}

func (s *Scheduler) cancelAll(t *task, why Choice, out []Action) []Action {
	for _, a := range t.running {
		// An order that was sent is not cancelled: whether it ran stays open.
		if a.cancelled || t.Once {
			continue
		}
		a.cancelled = true
		out = append(out, Action{Kind: Cancel, Task: t.ID, Attempt: a.id, Replica: a.replica, Choice: why})
	}
	return out
}
