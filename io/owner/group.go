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

// job is the shard read or order behind a task of the scheduler.
type job struct {
	shard    core.ShardID
	batch    core.ReadBatch
	order    *core.OrderCall
	lease    core.Lease             // of the caller's request; held while a call runs
	onRead   func(core.ShardResult) // called once with the result of a shard read
	onOrder  func(core.OrderResult) // called once with the result of an order
	attempts int                    // attempts started so far
	queuedAt time.Time
	hedge    uint64 // attempt id of the hedge, or zero
}

// group runs the scheduler of one replica group. The lock mu guards the fields
// below it; the scheduler's actions are carried out after mu is released.
type group struct {
	owner  *Owner
	serial uint64

	service   core.Service
	id        core.GroupID
	replicas  []core.Replica
	firstPoll sync.Once     // polls the group before the first report of its snapshots
	polling   []atomic.Bool // by replica; true while a status request is running

	mu       sync.Mutex
	sched    *queue.Scheduler
	health   *eject.Group
	states   []eject.State   // by replica, as last reported to the meter
	jobs     map[uint64]*job // by task id
	calls    map[uint64]*job // by attempt id, until the call returns
	lastTask uint64          // id of the newest task
	lastUsed time.Time
	timer    *time.Timer
	payloads map[uint64][]byte // answers by attempt id, until the scheduler has accepted or dropped them
}

func newGroup(o *Owner, serial uint64, s core.Service, id core.GroupID, b core.Budget) *group {
	replicas := s.Group(id)
	healthOpts := o.opts.Eject
	healthOpts.Replicas, healthOpts.Slots, healthOpts.StaleAfter = len(replicas), s.Limits().CallSlots(), staleAfter
	g := &group{
		owner:    o,
		serial:   serial,
		service:  s,
		id:       id,
		replicas: replicas,
		polling:  make([]atomic.Bool, len(replicas)),
		health:   eject.New(healthOpts),
		states:   readyStates(len(replicas)),
		jobs:     make(map[uint64]*job),
		calls:    make(map[uint64]*job),
		lastUsed: time.Now(),
		payloads: make(map[uint64][]byte),
	}
	schedOpts := o.opts.Queue
	schedOpts.Replicas, schedOpts.Slots, schedOpts.Length = len(replicas), s.Limits().CallSlots(), s.Limits().QueueLength
	schedOpts.Budget, schedOpts.Health = b, g.health
	g.sched = queue.New(schedOpts)
	if limiter, ok := o.backend.(core.ConnectionLimiter); ok {
		for _, r := range replicas {
			limiter.SetConnectionLimit(r.Address(), s.Limits().ConnectionCap())
		}
	}
	return g
}

// matches reports whether the group was created with these limits and replicas.
func (g *group) matches(s core.Service, replicas []core.Replica) bool {
	return g.service.Limits() == s.Limits() && slices.Equal(g.replicas, replicas)
}

// idleTime returns the time since the last use, or zero while work is running or
// queued.
func (g *group) idleTime(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.jobs) > 0 || len(g.calls) > 0 {
		return 0
	}
	return now.Sub(g.lastUsed)
}

func (g *group) read(l core.Lease, b core.ReadBatch, shard core.ShardID, done func(core.ShardResult)) uint64 {
	return g.add(&job{lease: l, batch: b, shard: shard, onRead: done}, queue.Task{
		Caller:   b.Query.Caller,
		Priority: b.Query.Priority,
		Snapshot: b.Snapshot,
		Shard:    shard,
		Deadline: b.Query.Deadline,
		Once:     !b.Query.Repeatable,
	})
}

func (g *group) order(l core.Lease, call core.OrderCall, done func(core.OrderResult)) {
	g.add(&job{lease: l, order: &call, onOrder: done}, queue.Task{Priority: orderPriority, Deadline: call.Deadline, Once: true})
}

func (g *group) withdraw(id uint64) {
	g.step(func(now time.Time) []queue.Action { return g.sched.Withdraw(now, id) })
}

// add queues a task and returns its id. If any replica's status is stale, it
// polls the group at once: a replica gets no call until its status is fresh.
func (g *group) add(j *job, t queue.Task) uint64 {
	stale := false
	g.step(func(now time.Time) []queue.Action {
		g.lastTask++
		t.ID = g.lastTask
		g.jobs[t.ID] = j
		j.queuedAt = now
		g.lastUsed = now
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

// step passes one event to the scheduler and carries out the resulting actions.
func (g *group) step(event func(now time.Time) []queue.Action) {
	now := time.Now()
	g.mu.Lock()
	actions := event(now)
	work := make([]func(), 0, len(actions))
	for _, a := range actions {
		g.countAction(now, a)
		work = append(work, g.prepare(a))
	}
	g.countStateChanges()
	g.setTimer(now)
	g.mu.Unlock()
	for _, f := range work {
		f()
	}
}

// setTimer schedules the next tick of the scheduler. The caller holds group.mu.
func (g *group) setTimer(now time.Time) {
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

// prepare updates the group's state for an action and returns a function that
// carries the action out without the lock. The caller holds group.mu.
func (g *group) prepare(a queue.Action) func() {
	j := g.jobs[a.Task]
	switch a.Kind {
	case queue.Start:
		j.attempts++
		g.calls[a.Attempt] = j
		attempts := j.attempts
		j.lease.Hold() // until the call has returned
		return func() { go g.call(a, j, attempts) }
	case queue.Finish:
		delete(g.jobs, a.Task)
		payload, attempts := g.payloads[a.Attempt], j.attempts
		delete(g.payloads, a.Attempt)
		return func() { j.finish(payload, attempts) }
	case queue.Fail:
		delete(g.jobs, a.Task)
		attempts := j.attempts
		return func() { j.fail(a, attempts) }
	default:
		j = g.calls[a.Attempt]
		return func() { go g.cancel(a, j) }
	}
}

func (j *job) finish(payload []byte, attempts int) {
	if j.order != nil {
		j.onOrder(core.OrderResult{Outcome: core.Complete, Body: payload})
		return
	}
	j.onRead(core.ShardResult{Shard: j.shard, Snapshot: j.batch.Snapshot, Rows: payload, Attempts: attempts})
}

func (j *job) fail(a queue.Action, attempts int) {
	if j.order == nil {
		j.onRead(core.ShardResult{Shard: j.shard, Missing: a.Reason, Attempts: attempts})
		return
	}
	outcome := core.Unknown
	if a.NotRun {
		outcome = core.NotRun
	}
	j.onOrder(core.OrderResult{Outcome: outcome, Reason: a.Reason})
}

// callID returns the id of an attempt's call. It is unique across hosts, runs of a host
// and groups.
func (g *group) callID(attempt uint64) string {
	return fmt.Sprintf("%s-%d-%d", g.owner.name, g.serial, attempt)
}

// logDecision logs why a call starts or is cancelled, and at which replica.
func (g *group) logDecision(a queue.Action, j *job, msg string) {
	g.owner.log.Info(msg, "request_id", j.requestID(), "service", g.service.Name(), "group", g.id,
		"shard", j.shard, "choice", g.replicas[a.Replica].Address(), "reason", a.Cause, "call_id", g.callID(a.Attempt))
}

func (g *group) call(a queue.Action, j *job, attempts int) {
	defer j.lease.Release()
	g.logDecision(a, j, startMessages[a.Cause])
	payload, err := g.send(a, j, g.replicas[a.Replica].Address())
	if err != nil {
		g.owner.log.Warn("owner: call failed", "request_id", j.requestID(), "service", g.service.Name(),
			"shard", j.shard, "attempt", attempts, "call_id", g.callID(a.Attempt), "err", err)
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

// startMessages contains the log message of a call's start for each cause. Programs can
// distinguish the causes by the attribute reason.
var startMessages = map[queue.Cause]string{
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
	// The call doesn't use the context of its request: a cancelled call keeps its
	// slot until the server answers, at most until answerGrace after the deadline.
	deadline := j.deadline()
	ctx, cancel := context.WithDeadline(core.WithLease(context.Background(), j.lease), deadline.Add(answerGrace))
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

// cancel asks the server to end a call. The slot stays in use until the call
// returns.
func (g *group) cancel(a queue.Action, j *job) {
	g.logDecision(a, j, "owner: call cancelled")
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
