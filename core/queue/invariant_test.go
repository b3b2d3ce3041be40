package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/queue"
)

// world replays the actions of a scheduler and checks them against what it
// counted itself.
type world struct {
	t       *rapid.T
	now     time.Time
	opts    queue.Options
	health  *ward
	sched   *queue.Scheduler
	next    uint64
	tasks   map[uint64]queue.Task
	ended   map[uint64]bool
	started map[uint64]int
	mayRan  map[uint64]bool           // an attempt ended as OK or failed
	running map[uint64]queue.Action   // by attempt
	order   []uint64                  // running attempts in order of start
	on      map[int]map[uint64]uint64 // replica -> attempt -> task
}

func newWorld(t *rapid.T) *world {
	replicas := rapid.IntRange(1, 4).Draw(t, "replicas")
	slots := rapid.IntRange(1, 3).Draw(t, "slots")
	health := newWard(slots)
	w := &world{
		t: t, now: start, health: health,
		opts: queue.Options{
			Replicas: replicas, Slots: slots, Length: rapid.IntRange(1, 12).Draw(t, "length"),
			Health: health,
			Budget: &purse{
				hedges:  rapid.IntRange(0, 8).Draw(t, "hedges"),
				retries: rapid.IntRange(0, 8).Draw(t, "retries"),
				learnt:  rapid.Bool().Draw(t, "learnt"),
			},
			PerReplica:  rapid.Bool().Draw(t, "per replica"),
			HedgeNow:    rapid.Bool().Draw(t, "hedge now"),
			NoExclusion: rapid.Bool().Draw(t, "no exclusion"),
			NoFairness:  rapid.Bool().Draw(t, "no fairness"),
		},
		tasks: map[uint64]queue.Task{}, ended: map[uint64]bool{}, started: map[uint64]int{},
		mayRan: map[uint64]bool{}, running: map[uint64]queue.Action{}, on: map[int]map[uint64]uint64{},
	}
	w.sched = queue.New(w.opts)
	return w
}

func (w *world) apply(actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Start:
			w.start(a)
		case queue.Cancel:
			if _, ok := w.running[a.Attempt]; !ok || !w.ended[a.Task] || w.tasks[a.Task].Once {
				w.t.Fatalf("cancel of an attempt that does not run, is needed or must not repeat: %+v", a)
			}
		default:
			w.end(a)
		}
	}
}

func (w *world) start(a queue.Action) {
	task := w.tasks[a.Task]
	if w.ended[a.Task] {
		w.t.Fatalf("start after the end of task %d", a.Task)
	}
	if w.started[a.Task]++; task.Once && w.started[a.Task] > 1 {
		w.t.Fatalf("task %d must not repeat and starts again", a.Task)
	}
	if w.health.draining[a.Replica] || w.health.missing[a.Replica] {
		w.t.Fatalf("start on replica %d, which drains or lacks the snapshot", a.Replica)
	}
	if !task.Deadline.After(w.now) {
		w.t.Fatalf("start of task %d after its deadline", a.Task)
	}
	for _, other := range w.on[a.Replica] {
		if other == a.Task {
			w.t.Fatalf("task %d runs twice on replica %d", a.Task, a.Replica)
		}
	}
	if w.on[a.Replica] == nil {
		w.on[a.Replica] = map[uint64]uint64{}
	}
	w.on[a.Replica][a.Attempt] = a.Task
	if len(w.on[a.Replica]) > w.opts.Slots {
		w.t.Fatalf("replica %d runs %d calls with %d slots", a.Replica, len(w.on[a.Replica]), w.opts.Slots)
	}
	w.running[a.Attempt] = a
	w.order = append(w.order, a.Attempt)
}

func (w *world) end(a queue.Action) {
	if w.ended[a.Task] {
		w.t.Fatalf("task %d ends twice", a.Task)
	}
	w.ended[a.Task] = true
	if !a.NotRun {
		return
	}
	for _, r := range w.running {
		if r.Task == a.Task {
			w.t.Fatalf("task %d is not_run while attempt %d runs", a.Task, r.Attempt)
		}
	}
	if w.mayRan[a.Task] {
		w.t.Fatalf("task %d is not_run although an attempt may have run", a.Task)
	}
}

func (w *world) add(t *rapid.T) {
	w.next++
	task := queue.Task{
		ID:       w.next,
		Caller:   core.CallerName(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Snapshot: 41,
		Deadline: w.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "deadline")) * time.Millisecond),
		Once:     rapid.Bool().Draw(t, "once"),
	}
	w.tasks[task.ID] = task
	w.apply(w.sched.Add(w.now, task))
}

func (w *world) done(t *rapid.T) {
	if len(w.order) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(w.order)-1).Draw(t, "attempt")
	reason := rapid.SampledFrom([]core.Reason{"busy", core.ReasonDraining, core.ReasonSnapshotGone, core.ReasonBackendError}).Draw(t, "reason")
	w.finish(i, queue.Result{Status: queue.Status(rapid.IntRange(0, 2).Draw(t, "status")), Reason: reason})
}

func (w *world) finish(i int, r queue.Result) {
	a := w.running[w.order[i]]
	w.order = append(w.order[:i:i], w.order[i+1:]...)
	delete(w.running, a.Attempt)
	delete(w.on[a.Replica], a.Attempt)
	w.mayRan[a.Task] = w.mayRan[a.Task] || r.Status != queue.Refused
	w.apply(w.sched.Done(w.now, a.Attempt, r))
}

// check states what holds after each event: slots as counted from the actions,
// and no first attempt waits while a replica that can run it is idle.
func (w *world) check(t *rapid.T) {
	idle := false
	for r := range w.opts.Replicas {
		if got := w.sched.InUse(r); got != len(w.on[r]) {
			t.Fatalf("replica %d: %d slots in use, %d calls run", r, got, len(w.on[r]))
		}
		idle = idle || (len(w.on[r]) < w.opts.Slots && !w.health.draining[r] && !w.health.missing[r])
	}
	if idle && !w.opts.PerReplica && w.sched.Waiting() > 0 {
		t.Fatalf("%d tasks wait beside an idle replica", w.sched.Waiting())
	}
}

// TestInvariants guards against slots that are exceeded or leak, tasks that end
// twice or never, orders that start twice, hedges on the replica of the first
// attempt, false not_run, and idle slots beside waiting work.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":  w.add,
			"more": w.add,
			"done": w.done,
			"withdraw": func(t *rapid.T) {
				w.apply(w.sched.Withdraw(w.now, uint64(rapid.IntRange(0, int(w.next)).Draw(t, "task"))))
			},
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				w.apply(w.sched.Tick(w.now))
			},
			"health": func(t *rapid.T) {
				r := rapid.IntRange(0, w.opts.Replicas-1).Draw(t, "replica")
				w.health.draining[r] = rapid.Bool().Draw(t, "draining")
				w.health.missing[r] = rapid.Bool().Draw(t, "missing")
				w.apply(w.sched.Recheck(w.now))
			},
			"": w.check,
		})
		for len(w.order) > 0 {
			w.finish(0, queue.Result{Status: queue.OK})
		}
		w.now = w.now.Add(time.Hour)
		w.apply(w.sched.Tick(w.now))
		for len(w.order) > 0 {
			w.finish(0, queue.Result{Status: queue.OK})
		}
		for id := range w.tasks {
			if !w.ended[id] {
				t.Fatalf("task %d never ends", id)
			}
		}
		if next := w.sched.NextTick(); !next.IsZero() {
			t.Fatalf("an empty scheduler wants a tick at %v", next)
		}
		w.check(t)
	})
}
