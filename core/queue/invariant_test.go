package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/queue"
)

// model applies the actions of a scheduler to its own record of tasks and calls
// and checks that each action is valid.
type model struct {
	t          *rapid.T
	now        time.Time
	opts       queue.Options
	health     *fakeHealth
	sched      *queue.Scheduler
	lastID     uint64 // of the latest task
	tasks      map[uint64]queue.Task
	ended      map[uint64]bool
	started    map[uint64]int
	mayHaveRun map[uint64]bool           // an attempt ended as OK or failed
	running    map[uint64]queue.Action   // by attempt
	startOrder []uint64                  // running attempts in order of start
	byReplica  map[int]map[uint64]uint64 // replica -> attempt -> task
}

func newModel(t *rapid.T) *model {
	replicas := rapid.IntRange(1, 4).Draw(t, "replicas")
	slots := rapid.IntRange(1, 3).Draw(t, "slots")
	health := newFakeHealth(slots)
	m := &model{
		t: t, now: start, health: health,
		opts: queue.Options{
			Replicas: replicas, Slots: slots, Length: rapid.IntRange(1, 12).Draw(t, "length"),
			Health: health,
			Budget: &fakeBudget{
				hedges:   rapid.IntRange(0, 8).Draw(t, "hedges"),
				retries:  rapid.IntRange(0, 8).Draw(t, "retries"),
				hasTimes: rapid.Bool().Draw(t, "has times"),
			},
			PerReplica:     rapid.Bool().Draw(t, "per replica"),
			NoPendingHedge: rapid.Bool().Draw(t, "hedge now"),
			NoExclusion:    rapid.Bool().Draw(t, "no exclusion"),
			NoFairness:     rapid.Bool().Draw(t, "no fairness"),
		},
		tasks: map[uint64]queue.Task{}, ended: map[uint64]bool{}, started: map[uint64]int{},
		mayHaveRun: map[uint64]bool{}, running: map[uint64]queue.Action{}, byReplica: map[int]map[uint64]uint64{},
	}
	m.sched = queue.New(m.opts)
	return m
}

func (m *model) apply(actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Start:
			m.start(a)
		case queue.Cancel:
			if _, ok := m.running[a.Attempt]; !ok || !m.ended[a.Task] || m.tasks[a.Task].Once {
				m.t.Fatalf("cancel of an attempt that has ended, is still needed or must not run twice: %+v", a)
			}
		default:
			m.end(a)
		}
	}
}

func (m *model) start(a queue.Action) {
	task := m.tasks[a.Task]
	if m.ended[a.Task] {
		m.t.Fatalf("start after the end of task %d", a.Task)
	}
	if m.started[a.Task]++; task.Once && m.started[a.Task] > 1 {
		m.t.Fatalf("task %d must not run twice and starts again", a.Task)
	}
	if m.health.draining[a.Replica] || m.health.missing[a.Replica] {
		m.t.Fatalf("start on replica %d, which drains or does not hold the snapshot", a.Replica)
	}
	if !task.Deadline.After(m.now) {
		m.t.Fatalf("start of task %d after its deadline", a.Task)
	}
	for _, other := range m.byReplica[a.Replica] {
		if other == a.Task {
			m.t.Fatalf("task %d runs twice on replica %d", a.Task, a.Replica)
		}
	}
	if m.byReplica[a.Replica] == nil {
		m.byReplica[a.Replica] = map[uint64]uint64{}
	}
	m.byReplica[a.Replica][a.Attempt] = a.Task
	if len(m.byReplica[a.Replica]) > m.opts.Slots {
		m.t.Fatalf("replica %d runs %d calls with %d slots", a.Replica, len(m.byReplica[a.Replica]), m.opts.Slots)
	}
	m.running[a.Attempt] = a
	m.startOrder = append(m.startOrder, a.Attempt)
}

func (m *model) end(a queue.Action) {
	if m.ended[a.Task] {
		m.t.Fatalf("task %d ends twice", a.Task)
	}
	m.ended[a.Task] = true
	if !a.NotRun {
		return
	}
	for _, r := range m.running {
		if r.Task == a.Task {
			m.t.Fatalf("task %d is not_run while attempt %d runs", a.Task, r.Attempt)
		}
	}
	if m.mayHaveRun[a.Task] {
		m.t.Fatalf("task %d is not_run although an attempt may have run", a.Task)
	}
}

func (m *model) add(t *rapid.T) {
	m.lastID++
	task := queue.Task{
		ID:       m.lastID,
		Caller:   core.CallerName(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "caller"))),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Snapshot: 41,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "deadline")) * time.Millisecond),
		Once:     rapid.Bool().Draw(t, "once"),
	}
	m.tasks[task.ID] = task
	m.apply(m.sched.Add(m.now, task))
}

func (m *model) done(t *rapid.T) {
	if len(m.startOrder) == 0 {
		t.Skip("no attempt is running")
	}
	i := rapid.IntRange(0, len(m.startOrder)-1).Draw(t, "attempt")
	reason := rapid.SampledFrom([]core.Reason{"busy", core.ReasonDraining, core.ReasonSnapshotGone, core.ReasonBackendError}).Draw(t, "reason")
	m.finish(i, queue.Result{Status: queue.Status(rapid.IntRange(0, 2).Draw(t, "status")), Reason: reason})
}

func (m *model) finish(i int, r queue.Result) {
	a := m.running[m.startOrder[i]]
	m.startOrder = append(m.startOrder[:i:i], m.startOrder[i+1:]...)
	delete(m.running, a.Attempt)
	delete(m.byReplica[a.Replica], a.Attempt)
	m.mayHaveRun[a.Task] = m.mayHaveRun[a.Task] || r.Status != queue.Refused
	m.apply(m.sched.Done(m.now, a.Attempt, r))
}

// check fails the test unless the slots in use equal the running calls and no
// first attempt waits while a replica that can run it has a free slot.
func (m *model) check(t *rapid.T) {
	idle := false
	for r := range m.opts.Replicas {
		if got := m.sched.InUse(r); got != len(m.byReplica[r]) {
			t.Fatalf("replica %d: %d slots in use, %d calls run", r, got, len(m.byReplica[r]))
		}
		idle = idle || (len(m.byReplica[r]) < m.opts.Slots && !m.health.draining[r] && !m.health.missing[r])
	}
	if idle && !m.opts.PerReplica && m.sched.Waiting() > 0 {
		t.Fatalf("%d tasks wait although a replica has a free slot", m.sched.Waiting())
	}
}

// TestInvariants guards against slots that are exceeded or leak, tasks that end
// twice or never, orders that start twice, hedges on the replica of the first
// attempt, not_run for a task that may have run, and slots that stay free while
// tasks wait.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"add":  m.add,
			"more": m.add, // makes this action twice as likely
			"done": m.done,
			"withdraw": func(t *rapid.T) {
				m.apply(m.sched.Withdraw(m.now, uint64(rapid.IntRange(0, int(m.lastID)).Draw(t, "task"))))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				m.apply(m.sched.Tick(m.now))
			},
			"health": func(t *rapid.T) {
				r := rapid.IntRange(0, m.opts.Replicas-1).Draw(t, "replica")
				m.health.draining[r] = rapid.Bool().Draw(t, "draining")
				m.health.missing[r] = rapid.Bool().Draw(t, "missing")
				m.apply(m.sched.HealthChanged(m.now))
			},
			"": m.check,
		})
		for len(m.startOrder) > 0 {
			m.finish(0, queue.Result{Status: queue.OK})
		}
		m.now = m.now.Add(time.Hour)
		m.apply(m.sched.Tick(m.now))
		for len(m.startOrder) > 0 {
			m.finish(0, queue.Result{Status: queue.OK})
		}
		for id := range m.tasks {
			if !m.ended[id] {
				t.Fatalf("task %d never ends", id)
			}
		}
		if next := m.sched.NextTick(); !next.IsZero() {
			t.Fatalf("an empty scheduler asks for a tick at %v", next)
		}
		m.check(t)
	})
}
