// Package queue schedules the calls of one replica group. It keeps one queue
// for the group and binds a call to a replica only when a slot is free, so that
// a slow replica delays only the calls that it has already.
//
// The scheduler is driven by events and returns the actions to carry out. It
// starts no goroutine and reads no clock.
//
// # Usage
//
//	s := queue.New(queue.Options{Replicas: 2, Slots: 2, Length: 256})
//	for _, a := range s.Add(now, queue.Task{ID: 1, Deadline: deadline}) {
//		// start the call that a describes, then report it:
//		more := s.Done(time.Now(), a.Attempt, queue.Result{Status: queue.OK})
//	}
package queue

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pool"
)

// Options configures a scheduler.
type Options struct {
	Replicas int // number of replicas in the group
	Slots    int // concurrent calls for each replica
	Length   int // waiting tasks at most
}

// Task is one shard read or one order that waits for a replica.
type Task struct {
	ID       uint64
	Priority int // higher goes first
	Deadline time.Time
	Once     bool // never sent a second time, whatever the result
}

// Kind says what an action asks for.
type Kind int

// Kinds of action.
const (
	Start  Kind = iota // call Replica for Task
	Finish             // Task has its result from Attempt
	Fail               // Task ends without a result
	Cancel             // ask Replica to end Attempt
)

// Action is one thing to carry out.
type Action struct {
	Kind    Kind
	Task    uint64
	Attempt uint64
	Replica int
	Reason  core.Reason
	NotRun  bool // with Fail: no attempt can have run
}

// Status is the result of an attempt.
type Status int

// Results of an attempt.
const (
	OK      Status = iota
	Refused        // proof that it did not run
	Failed         // it may have run
)

// Result tells how an attempt ended.
type Result struct {
	Status Status
	Reason core.Reason
}

type task struct {
	Task
	attempts int  // running
	unclear  bool // an attempt may have run
	tried    int
	last     core.Reason
	gone     bool // finished or withdrawn
}

type attempt struct {
	task    *task
	replica int
	started time.Time
}

// Scheduler is the queue of one replica group. It is not safe for concurrent use.
type Scheduler struct {
	opts     Options
	inUse    []int
	waiting  *pool.Heap[*task]
	tasks    map[uint64]*task
	attempts map[uint64]*attempt
	next     uint64
	turn     int
}

// New returns an empty scheduler.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:     opts,
		inUse:    make([]int, opts.Replicas),
		waiting:  pool.NewHeap(before),
		tasks:    make(map[uint64]*task),
		attempts: make(map[uint64]*attempt),
	}
}

func before(a, b *task) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// Add queues a task.
func (s *Scheduler) Add(now time.Time, t Task) []Action {
	if !t.Deadline.After(now) {
		return []Action{{Kind: Fail, Task: t.ID, Reason: core.ReasonDeadline, NotRun: true}}
	}
	if s.waiting.Len() >= s.opts.Length {
		return []Action{{Kind: Fail, Task: t.ID, Reason: core.ReasonOverload, NotRun: true}}
	}
	entry := &task{Task: t}
	s.tasks[t.ID] = entry
	s.waiting.Push(entry)
	return s.bind(now, nil)
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
	t.attempts--
	if t.gone {
		return s.bind(now, nil)
	}
	var out []Action
	switch {
	case r.Status == OK:
		out = s.finish(t, id, out)
	case r.Status == Refused && s.mayRetry(now, t, r):
		t.last = r.Reason
		s.waiting.Push(t)
	default:
		t.unclear = t.unclear || r.Status == Failed
		out = s.fail(t, r.Reason, out)
	}
	return s.bind(now, out)
}

// Withdraw drops a task whose caller no longer waits and cancels its attempts.
func (s *Scheduler) Withdraw(now time.Time, id uint64) []Action {
	t, ok := s.tasks[id]
	if !ok {
		return nil
	}
	s.forget(t)
	return s.bind(now, s.cancelAll(t, nil))
}

// Tick ends waiting tasks whose deadline has passed.
func (s *Scheduler) Tick(now time.Time) []Action {
	var out []Action
	for _, t := range s.tasks {
		if t.Deadline.After(now) {
			continue
		}
		out = s.cancelAll(t, out)
		out = s.fail(t, core.ReasonDeadline, out)
	}
	return s.bind(now, out)
}

// NextTick returns when Tick must be called next, or the zero time.
func (s *Scheduler) NextTick() time.Time {
	var next time.Time
	for _, t := range s.tasks {
		if next.IsZero() || t.Deadline.Before(next) {
			next = t.Deadline
		}
	}
	return next
}

// Waiting returns the number of tasks without a replica.
func (s *Scheduler) Waiting() int { return s.waiting.Len() }

// InUse returns the slots in use on a replica.
func (s *Scheduler) InUse(replica int) int { return s.inUse[replica] }

func (s *Scheduler) mayRetry(now time.Time, t *task, r Result) bool {
	if t.Once || r.Reason == core.ReasonSnapshotGone {
		return false
	}
	return t.tried < 2*s.opts.Replicas && t.Deadline.After(now)
}

func (s *Scheduler) bind(now time.Time, out []Action) []Action {
	for {
		replica := s.freeReplica()
		if replica < 0 {
			return out
		}
		t, ok := s.waiting.Pop()
		if !ok {
			return out
		}
		if t.gone {
			continue
		}
		if !t.Deadline.After(now) {
			out = s.fail(t, core.ReasonDeadline, out)
			continue
		}
		out = append(out, s.start(now, t, replica))
	}
}

func (s *Scheduler) start(now time.Time, t *task, replica int) Action {
	s.next++
	s.attempts[s.next] = &attempt{task: t, replica: replica, started: now}
	s.inUse[replica]++
	t.attempts++
	t.tried++
	return Action{Kind: Start, Task: t.ID, Attempt: s.next, Replica: replica}
}

// freeReplica returns the replica with the most free slots; ties go round.
func (s *Scheduler) freeReplica() int {
	best := -1
	for i := range s.inUse {
		r := (s.turn + i) % len(s.inUse)
		if s.inUse[r] < s.opts.Slots && (best < 0 || s.inUse[r] < s.inUse[best]) {
			best = r
		}
	}
	s.turn++
	return best
}

func (s *Scheduler) finish(t *task, attempt uint64, out []Action) []Action {
	s.forget(t)
	out = append(out, Action{Kind: Finish, Task: t.ID, Attempt: attempt})
	return s.cancelAll(t, out)
}

func (s *Scheduler) fail(t *task, reason core.Reason, out []Action) []Action {
	notRun := !t.unclear && t.attempts == 0
	s.forget(t)
	return append(out, Action{Kind: Fail, Task: t.ID, Reason: reason, NotRun: notRun})
}

func (s *Scheduler) forget(t *task) {
	t.gone = true
	delete(s.tasks, t.ID)
}

func (s *Scheduler) cancelAll(t *task, out []Action) []Action {
	if t.attempts == 0 {
		return out
	}
	for id, a := range s.attempts {
		if a.task == t {
			out = append(out, Action{Kind: Cancel, Task: t.ID, Attempt: id, Replica: a.replica})
		}
	}
	return out
}
