package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/queue"
)

// job is what a task of the scheduler stands for.
type job struct {
	shard   core.ShardID
	batch   core.ReadBatch
	order   *core.OrderRun
	read    func(core.ShardResult)
	ordered func(core.OrderResult)
	tries   int
	added   time.Time
	hedge   uint64 // attempt that is a hedge, or zero
}

// group runs one scheduler. Its lock guards all fields below it; actions are
// carried out after it is released.
type group struct {
	owner  *Owner
	serial uint64

	service  core.Service
	id       core.GroupID
	replicas []core.Replica
	first    sync.Once
	polling  []atomic.Bool // by replica

	mu       sync.Mutex
	sched    *queue.Scheduler
	health   *eject.Group
	states   []eject.State // as last counted
	jobs     map[uint64]*job
	calls    map[uint64]*job // by attempt, until the call returns
	next     uint64
	used     time.Time
	timer    *time.Timer
	payloads map[uint64][]byte // rows by attempt, until the scheduler decides
}

func newGroup(o *Owner, serial uint64, s core.Service, id core.GroupID, b core.Budget) *group {
	replicas := s.Group(id)
	health := o.opts.Eject
	health.Replicas, health.Slots, health.StaleAfter = len(replicas), s.Limits().CallSlots(), staleAfter
	g := &group{
		owner:    o,
		serial:   serial,
		service:  s,
		id:       id,
		replicas: replicas,
		polling:  make([]atomic.Bool, len(replicas)),
		health:   eject.New(health),
		states:   readyStates(len(replicas)),
		jobs:     make(map[uint64]*job),
		calls:    make(map[uint64]*job),
		used:     time.Now(),
		payloads: make(map[uint64][]byte),
	}
	sched := o.opts.Queue
	sched.Replicas, sched.Slots, sched.Length = len(replicas), s.Limits().CallSlots(), s.Limits().QueueLength
	sched.Budget, sched.Health = b, g.health
	g.sched = queue.New(sched)
	if bounder, ok := o.backend.(core.Bounder); ok {
		for _, r := range replicas {
			bounder.Bound(r.Address(), s.Limits().ConnectionCap())
		}
	}
	return g
}

func (g *group) matches(s core.Service, replicas []core.Replica) bool {
	return g.service.Limits() == s.Limits() && slices.Equal(g.replicas, replicas)
}

func (g *group) idleSince(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.jobs) > 0 || len(g.calls) > 0 {
		return 0
	}
	return now.Sub(g.used)
}

func (g *group) read(b core.ReadBatch, shard core.ShardID, done func(core.ShardResult)) uint64 {
	return g.add(&job{batch: b, shard: shard, read: done}, queue.Task{
		Caller:   b.Query.Caller,
		Priority: b.Query.Priority,
		Snapshot: b.Snapshot,
		Shard:    shard,
		Deadline: b.Query.Deadline,
		Once:     !b.Query.Repeatable,
	})
}

func (g *group) order(run core.OrderRun, done func(core.OrderResult)) {
	g.add(&job{order: &run, ordered: done}, queue.Task{Priority: orderPriority, Deadline: run.Deadline, Once: true})
}

func (g *group) withdraw(id uint64) {
	g.step(func(now time.Time) []queue.Action { return g.sched.Withdraw(now, id) })
}

// add queues a task. Replicas without a fresh status are asked at once, since
// the task waits for it.
func (g *group) add(j *job, t queue.Task) uint64 {
	stale := false
	g.step(func(now time.Time) []queue.Action {
		g.next++
		t.ID = g.next
		g.jobs[t.ID] = j
		j.added = now
		g.used = now
		for i := range g.replicas {
			stale = stale || g.health.Stale(now, i)
		}
		return g.sched.Add(now, t)
	})
	if stale {
		go g.poll(context.Background())
	}
	return t.ID
}

// step runs one event of the scheduler and carries out what it asks for.
func (g *group) step(event func(now time.Time) []queue.Action) {
	now := time.Now()
	g.mu.Lock()
	actions := event(now)
	work := make([]func(), 0, len(actions))
	for _, a := range actions {
		g.count(now, a)
		work = append(work, g.prepare(a))
	}
	g.noteStates()
	g.arm(now)
	g.mu.Unlock()
	for _, f := range work {
		f()
	}
}

func (g *group) arm(now time.Time) {
	next := g.sched.NextTick()
	if next.IsZero() {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, func() { g.step(g.sched.Tick) })
		return
	}
	g.timer.Reset(wait)
}

// prepare reads what an action needs under the lock and returns its work.
func (g *group) prepare(a queue.Action) func() {
	j := g.jobs[a.Task]
	switch a.Kind {
	case queue.Start:
		j.tries++
		g.calls[a.Attempt] = j
		tries := j.tries
		return func() { go g.call(a, j, tries) }
	case queue.Finish:
		delete(g.jobs, a.Task)
		payload, tries := g.payloads[a.Attempt], j.tries
		delete(g.payloads, a.Attempt)
		return func() { j.finish(payload, tries) }
	case queue.Fail:
		delete(g.jobs, a.Task)
		tries := j.tries
		return func() { j.fail(a, tries) }
	default:
		j = g.calls[a.Attempt]
		return func() { go g.cancel(a, j) }
	}
}

func (j *job) finish(payload []byte, tries int) {
	if j.order != nil {
		j.ordered(core.OrderResult{Outcome: core.Complete, Body: payload})
		return
	}
	j.read(core.ShardResult{Shard: j.shard, Snapshot: j.batch.Snapshot, Rows: payload, Attempts: tries})
}

func (j *job) fail(a queue.Action, tries int) {
	if j.order == nil {
		j.read(core.ShardResult{Shard: j.shard, Missing: a.Reason, Attempts: tries})
		return
	}
	outcome := core.Unknown
	if a.NotRun {
		outcome = core.NotRun
	}
	j.ordered(core.OrderResult{Outcome: outcome, Reason: a.Reason})
}

func (g *group) callID(attempt uint64) string {
	return fmt.Sprintf("%s-%d-%d", g.owner.name, g.serial, attempt)
}

// decided writes the decision log line of a start or a cancellation.
func (g *group) decided(a queue.Action, j *job, text string) {
	g.owner.log.Info(text, "request_id", j.requestID(), "service", g.service.Name(), "group", g.id,
		"shard", j.shard, "choice", g.replicas[a.Replica].Address(), "reason", a.Choice, "call_id", g.callID(a.Attempt))
}

func (g *group) call(a queue.Action, j *job, tries int) {
	g.decided(a, j, texts[a.Choice])
	payload, err := g.send(a, j, g.replicas[a.Replica].Address())
	if err != nil {
		g.owner.log.Warn("owner: call failed", "request_id", j.requestID(), "service", g.service.Name(),
			"shard", j.shard, "attempt", tries, "call_id", g.callID(a.Attempt), "err", err)
	}
	g.step(func(now time.Time) []queue.Action {
		delete(g.calls, a.Attempt)
		if err == nil {
			g.payloads[a.Attempt] = payload
		}
		actions := g.sched.Done(now, a.Attempt, resultOf(err))
		if !slices.ContainsFunc(actions, func(x queue.Action) bool { return x.Kind == queue.Finish && x.Attempt == a.Attempt }) {
			delete(g.payloads, a.Attempt)
		}
		return actions
	})
}

// texts are the log messages of starts; the field reason tells them apart for
// programs.
var texts = map[queue.Choice]string{
	queue.First:  "owner: call starts",
	queue.Hedge:  "owner: hedge starts",
	queue.Retry:  "owner: retry starts",
	queue.Repeat: "owner: repeat starts",
}

func resultOf(err error) queue.Result {
	if err == nil {
		return queue.Result{Status: queue.OK}
	}
	var call *core.CallError
	if !errors.As(err, &call) {
		return queue.Result{Status: queue.Failed, Reason: core.ReasonBackendError}
	}
	if call.NotRun {
		return queue.Result{Status: queue.Refused, Reason: call.Reason}
	}
	return queue.Result{Status: queue.Failed, Reason: call.Reason}
}

func (g *group) send(a queue.Action, j *job, address string) ([]byte, error) {
	// The call outlives its request's context: a cancelled call keeps its slot
	// until the server has answered or answerGrace has passed.
	deadline := j.deadline()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(answerGrace))
	defer cancel()
	if j.order != nil {
		return g.owner.backend.Order(ctx, address, *j.order)
	}
	return g.owner.backend.Read(ctx, address, core.ReadCall{
		CallID:    g.callID(a.Attempt),
		RequestID: j.batch.Query.ID,
		Service:   g.service.Name(),
		Snapshot:  j.batch.Snapshot,
		Shard:     j.shard,
		Body:      j.batch.Query.Body,
		Deadline:  deadline,
		MaxBytes:  g.service.Limits().MaxRowsBytes,
	})
}

// cancel asks the server to end a call. The slot stays taken until it returns.
func (g *group) cancel(a queue.Action, j *job) {
	g.decided(a, j, "owner: call cancelled")
	ctx, stop := context.WithTimeout(context.Background(), pollTimeout)
	defer stop()
	_ = g.owner.backend.Cancel(ctx, g.replicas[a.Replica].Address(), g.callID(a.Attempt))
}

func (j *job) deadline() time.Time {
	if j.order != nil {
		return j.order.Deadline
	}
	return j.batch.Query.Deadline
}

func (j *job) requestID() core.RequestID {
	if j.order != nil {
		return j.order.RequestID
	}
	return j.batch.Query.ID
}
