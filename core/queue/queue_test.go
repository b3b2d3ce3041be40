package queue_test

import (
	"fmt"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/queue"
)

func task(id uint64, caller core.CallerName, remaining time.Duration) queue.Task {
	return queue.Task{ID: id, Caller: caller, Snapshot: 41, Deadline: start.Add(remaining)}
}

// TestMechanisms guards against a mechanism that no longer works and against an
// option that does not disable its mechanism: the property of each case must hold
// with the mechanism and not without it.
func TestMechanisms(t *testing.T) {
	cases := []struct {
		name    string
		disable func(*queue.Options)
		holds   func(queue.Options) bool
	}{
		{"a due hedge waits for the next free slot", func(o *queue.Options) { o.NoPendingHedge = true }, hedgeWaits},
		{"a due hedge starts on another replica", func(o *queue.Options) { o.NoHedge = true }, hedgeStarts},
		{"a refused read is retried", func(o *queue.Options) { o.NoRetry = true }, refusalRetried},
		{"a retry avoids the replica that refused", func(o *queue.Options) { o.NoExclusion = true }, retryAvoidsReplica},
		{"a task that cannot finish in time is rejected", func(o *queue.Options) { o.NoInfeasible = true }, infeasibleRejected},
		{"a burst of one caller does not delay another", func(o *queue.Options) { o.NoFairness = true }, callersTakeTurns},
		{"a slow replica delays only its own calls", func(o *queue.Options) { o.PerReplica = true }, slowReplicaIsolated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !c.holds(options(2, 1)) {
				t.Error("does not hold with the mechanism")
			}
			o := options(2, 1)
			c.disable(&o)
			if c.holds(o) {
				t.Error("holds without the mechanism too")
			}
		})
	}
}

func hedgeStarts(o queue.Options) bool {
	s := queue.New(o)
	first := starts(s.Add(start, task(1, "a", time.Second)))[0]
	early := starts(s.Tick(start.Add(hedgeDelay - 1)))
	due := starts(s.Tick(start.Add(hedgeDelay)))
	return len(early) == 0 && len(due) == 1 && due[0].Replica != first.Replica && due[0].Cause == queue.Hedge
}

// hedgeWaits reports whether a due hedge waits for a free slot and then goes before
// a first attempt. Both replicas are busy when the hedge of task 1 is due. The
// replica of task 2 becomes free while task 3 waits for its first attempt.
func hedgeWaits(o queue.Options) bool {
	s := queue.New(o)
	s.Add(start, task(1, "a", time.Second))
	other := starts(s.Add(start.Add(hedgeDelay/2), task(2, "a", time.Second)))[0]
	s.Add(start.Add(hedgeDelay/2), task(3, "a", time.Second))
	s.Tick(start.Add(hedgeDelay))
	got := starts(s.Done(start.Add(hedgeDelay+1), other.Attempt, queue.Result{Status: queue.OK}))
	return len(got) == 1 && got[0].Task == 1 && got[0].Cause == queue.Hedge
}

func refusalRetried(o queue.Options) bool {
	s := queue.New(o)
	a := starts(s.Add(start, task(1, "a", time.Second)))[0]
	got := starts(s.Done(start, a.Attempt, queue.Result{Status: queue.Refused, Reason: "busy"}))
	return len(got) == 1 && got[0].Cause == queue.Retry
}

// retryAvoidsReplica reports whether a retry waits while only the replica that
// refused has a free slot, because the other replica is busy.
func retryAvoidsReplica(o queue.Options) bool {
	s := queue.New(o)
	a := starts(s.Add(start, task(1, "a", time.Second)))[0]
	s.Add(start, task(2, "a", time.Second))
	return len(starts(s.Done(start, a.Attempt, queue.Result{Status: queue.Refused, Reason: "busy"}))) == 0
}

// infeasibleRejected reports whether a task is rejected if it cannot finish in
// time. With 2 slots of 10 ms each, 20 waiting tasks take about 100 ms.
func infeasibleRejected(o queue.Options) bool {
	o.Budget = &fakeBudget{hasTimes: true}
	s := queue.New(o)
	for id := range uint64(22) {
		s.Add(start, task(id+1, "a", time.Second))
	}
	late := s.Add(start, task(30, "a", 50*time.Millisecond))
	inTime := s.Add(start, task(31, "a", 200*time.Millisecond))
	return len(late) == 1 && late[0].Kind == queue.Fail && late[0].NotRun && len(inTime) == 0
}

// callersTakeTurns reports whether a caller's only task starts among the next three
// although another caller added many tasks before it.
func callersTakeTurns(o queue.Options) bool {
	s := queue.New(o)
	running := starts(s.Add(start, task(1, "storm", time.Second)))
	running = append(running, starts(s.Add(start, task(2, "storm", time.Second)))...)
	for id := uint64(3); id < 100; id++ {
		s.Add(start, task(id, "storm", time.Second))
	}
	s.Add(start, task(200, "quiet", 2*time.Second))
	for range 3 {
		a := running[0]
		running = append(running[1:], starts(s.Done(start, a.Attempt, queue.Result{Status: queue.OK}))...)
		if running[len(running)-1].Task == 200 {
			return true
		}
	}
	return false
}

// slowReplicaIsolated reports whether all waiting tasks run on one replica while
// the other never answers.
func slowReplicaIsolated(o queue.Options) bool {
	s := queue.New(o)
	s.Add(start, task(1, "a", time.Second))
	running := starts(s.Add(start, task(2, "a", time.Second)))
	for id := uint64(3); id < 7; id++ {
		s.Add(start, task(id, "a", time.Second))
	}
	done := 0
	for len(running) > 0 {
		done++
		running = starts(s.Done(start, running[0].Attempt, queue.Result{Status: queue.OK}))
	}
	return done == 5
}

// TestRoundRobinAfterIdle guards against a caller that is served several times in
// a row because it was idle, and against one that goes first each time it returns.
func TestRoundRobinAfterIdle(t *testing.T) {
	s := queue.New(options(1, 1))
	var id uint64
	add := func(caller core.CallerName, n int) []queue.Action {
		var out []queue.Action
		for range n {
			id++
			out = append(out, starts(s.Add(start, task(id, caller, time.Second)))...)
		}
		return out
	}
	callerOf := map[uint64]core.CallerName{}
	running := add("a", 40)
	for i := range 40 {
		callerOf[uint64(i+1)] = "a"
	}
	next := func() core.CallerName {
		running = starts(s.Done(start, running[0].Attempt, queue.Result{Status: queue.OK}))
		if c, ok := callerOf[running[0].Task]; ok {
			return c
		}
		return "b"
	}
	for range 20 {
		next()
	}
	add("b", 8)
	count := map[core.CallerName]int{}
	for range 8 {
		count[next()]++
	}
	if count["a"] != 4 || count["b"] != 4 {
		t.Errorf("the next 8 calls are divided as %v, want 4 for each caller", count)
	}
	// From here on b has one task at a time, added as soon as the previous one starts.
	for range 8 {
		next()
	}
	clear(count)
	add("b", 1)
	for range 6 {
		c := next()
		if count[c]++; c == "b" {
			add("b", 1)
		}
	}
	if count["a"] < 3 {
		t.Errorf("the next 6 calls are divided as %v, want at least 3 for a while b returns repeatedly", count)
	}
}

// TestCancelledAttemptKeepsSlot guards against a slot that is reused while the
// replica still works on the cancelled call, and against a further call of the task
// after the answer.
func TestCancelledAttemptKeepsSlot(t *testing.T) {
	s := queue.New(options(2, 1))
	first := starts(s.Add(start, task(1, "a", time.Second)))[0]
	hedge := starts(s.Tick(start.Add(hedgeDelay)))[0]
	actions := s.Done(start.Add(hedgeDelay+1), hedge.Attempt, queue.Result{Status: queue.OK})
	if len(actions) != 2 || actions[0].Kind != queue.Finish || actions[1].Kind != queue.Cancel || actions[1].Attempt != first.Attempt {
		t.Fatalf("want the finish of the task and the cancellation of its first attempt, got %+v", actions)
	}
	if s.InUse(first.Replica) != 1 || s.InUse(hedge.Replica) != 0 {
		t.Fatal("the slot of the cancelled attempt is free before its call ended")
	}
	s.Done(start.Add(hedgeDelay+2), first.Attempt, queue.Result{Status: queue.Failed, Reason: "cancelled"})
	if s.InUse(first.Replica) != 0 {
		t.Fatal("the slot of the cancelled attempt is still in use after its call ended")
	}
}

// TestBudgets guards against hedges and retries beyond the budget, and against a
// repeat of a failed call that is not counted as a hedge.
func TestBudgets(t *testing.T) {
	for _, c := range []struct {
		name   string
		status queue.Status
		budget *fakeBudget
		want   int
	}{
		{"retry with budget", queue.Refused, &fakeBudget{retries: 1}, 1},
		{"retry without budget", queue.Refused, &fakeBudget{hedges: 9}, 0},
		{"repeat with budget", queue.Failed, &fakeBudget{hedges: 1}, 1},
		{"repeat without budget", queue.Failed, &fakeBudget{retries: 9}, 0},
	} {
		o := options(2, 1)
		o.Budget = c.budget
		s := queue.New(o)
		a := starts(s.Add(start, task(1, "a", time.Second)))[0]
		got := starts(s.Done(start, a.Attempt, queue.Result{Status: c.status, Reason: "busy"}))
		if len(got) != c.want {
			t.Errorf("%s: want %d attempts, got %d", c.name, c.want, len(got))
		}
	}
}

// TestNoReplica guards against tasks that wait until their deadline although no
// replica holds the snapshot or all replicas drain, and against a wrong reason.
func TestNoReplica(t *testing.T) {
	health := newFakeHealth(1)
	o := options(2, 1)
	o.Health = health
	s := queue.New(o)
	s.Add(start, task(1, "a", time.Second))
	s.Add(start, task(2, "a", time.Second))
	s.Add(start, task(3, "a", time.Second))
	health.missing[0], health.missing[1] = true, true
	got := s.HealthChanged(start)
	if len(got) != 1 || got[0].Task != 3 || got[0].Reason != core.ReasonSnapshotGone || !got[0].NotRun {
		t.Errorf("want task 3 to end as snapshot_gone, got %+v", got)
	}
	health.draining[0], health.draining[1] = true, true
	got = s.Add(start, task(4, "a", time.Second))
	if len(got) != 1 || got[0].Reason != core.ReasonNoReplica || !got[0].NotRun {
		t.Errorf("want no_replica, got %+v", got)
	}
}

// zeroSlots is a core.Health whose replica 0 is available but has no slots, like a
// replica that is ejected.
type zeroSlots struct{ *fakeHealth }

func (h zeroSlots) Slots(now time.Time, r int) int {
	if r == 0 {
		return 0
	}
	return h.fakeHealth.Slots(now, r)
}

// TestPerReplicaEjected guards against tasks that wait in the queue of an ejected
// replica although another replica can run them.
func TestPerReplicaEjected(t *testing.T) {
	o := options(2, 1)
	o.PerReplica, o.NoHedge = true, true
	o.Health = zeroSlots{newFakeHealth(1)}
	s := queue.New(o)
	for id := range uint64(4) {
		running := starts(s.Add(start, task(id+1, "a", time.Second)))
		if len(running) != 1 || running[0].Replica != 1 {
			t.Fatalf("task %d: want a start on replica 1, got %+v", id+1, running)
		}
		s.Done(start, running[0].Attempt, queue.Result{Status: queue.OK})
	}
}

// BenchmarkTick measures a tick with many tasks whose timers have not expired.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{100, 100_000} {
		o := options(2, 1)
		o.Length = size
		s := queue.New(o)
		for id := range size {
			s.Add(start, task(uint64(id+1), "a", time.Hour+time.Duration(id)))
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				s.Tick(start)
				s.NextTick()
			}
		})
	}
}
