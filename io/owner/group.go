package owner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/queue"
)

// job is what a task of the scheduler stands for.
type job struct {
	ctx     context.Context
	shard   core.ShardID
	batch   core.ReadBatch
	order   *core.OrderRun
	read    func(core.ShardResult)
	ordered func(core.OrderResult)
	tries   int
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

	mu       sync.Mutex
	sched    *queue.Scheduler
	jobs     map[uint64]*job
	next     uint64
	statuses []core.ReplicaStatus
	known    []bool
	used     time.Time
	timer    *time.Timer
	payloads map[uint64][]byte // rows by attempt, until the scheduler decides
}

func newGroup(o *Owner, serial uint64, s core.Service, id core.GroupID, replicas []core.Replica) *group {
	g := &group{
		owner:  o,
		serial: serial,

		service:  s,
		id:       id,
		replicas: replicas,
		jobs:     make(map[uint64]*job),
		statuses: make([]core.ReplicaStatus, len(replicas)),
		known:    make([]bool, len(replicas)),
		used:     time.Now(),
		payloads: make(map[uint64][]byte),
	}
	g.sched = queue.New(queue.Options{
		Replicas: len(replicas),
		Slots:    s.Limits().Slots,
		Length:   s.Limits().QueueLength,
	})
	return g
}

func (g *group) matches(s core.Service, replicas []core.Replica) bool {
	return g.service.Limits() == s.Limits() && slices.Equal(g.replicas, replicas)
}

func (g *group) idleSince(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.jobs) > 0 {
		return 0
	}
	return now.Sub(g.used)
}

func (g *group) read(ctx context.Context, b core.ReadBatch, shard core.ShardID, done func(core.ShardResult)) {
	g.add(&job{ctx: ctx, batch: b, shard: shard, read: done}, queue.Task{
		Priority: b.Query.Priority,
		Deadline: b.Query.Deadline,
		Once:     !b.Query.Repeatable,
	})
}

func (g *group) order(ctx context.Context, run core.OrderRun, done func(core.OrderResult)) {
	g.add(&job{ctx: ctx, order: &run, ordered: done}, queue.Task{Deadline: run.Deadline, Once: true})
}

func (g *group) add(j *job, t queue.Task) {
	g.step(func(now time.Time) []queue.Action {
		g.next++
		t.ID = g.next
		g.jobs[t.ID] = j
		g.used = now
		return g.sched.Add(now, t)
	})
}

// step runs one event of the scheduler and carries out what it asks for.
func (g *group) step(event func(now time.Time) []queue.Action) {
	now := time.Now()
	g.mu.Lock()
	actions := event(now)
	work := make([]func(), 0, len(actions))
	for _, a := range actions {
		work = append(work, g.prepare(a))
	}
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
		tries := j.tries
		return func() { go g.call(a, j, tries) }
	case queue.Finish:
		delete(g.jobs, a.Task)
		payload := g.payloads[a.Attempt]
		delete(g.payloads, a.Attempt)
		return func() { j.finish(payload) }
	case queue.Fail:
		delete(g.jobs, a.Task)
		return func() { j.fail(a) }
	default:
		address := g.replicas[a.Replica].Address()
		return func() { go g.cancel(address, a.Attempt) }
	}
}

func (j *job) finish(payload []byte) {
	if j.order != nil {
		j.ordered(core.OrderResult{Outcome: core.Complete, Body: payload})
		return
	}
	j.read(core.ShardResult{Shard: j.shard, Snapshot: j.batch.Snapshot, Rows: payload, Attempts: j.tries})
}

func (j *job) fail(a queue.Action) {
	if j.order == nil {
		j.read(core.ShardResult{Shard: j.shard, Missing: a.Reason, Attempts: j.tries})
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

func (g *group) call(a queue.Action, j *job, tries int) {
	address := g.replicas[a.Replica].Address()
	g.owner.log.Info("owner: call starts",
		"request_id", j.requestID(), "service", g.service.Name(), "group", g.id, "shard", j.shard,
		"replica", address, "attempt", tries, "reason", "free_slot")
	payload, err := g.send(a, j, address)
	result := queue.Result{Status: queue.OK}
	var call *core.CallError
	switch {
	case errors.As(err, &call):
		result = queue.Result{Status: queue.Failed, Reason: call.Reason}
		if call.NotRun {
			result.Status = queue.Refused
		}
	case err != nil:
		result = queue.Result{Status: queue.Failed, Reason: core.ReasonBackendError}
	}
	if err != nil {
		g.owner.log.Warn("owner: call failed", "request_id", j.requestID(), "replica", address, "err", err)
	}
	g.step(func(now time.Time) []queue.Action {
		if err == nil {
			g.payloads[a.Attempt] = payload
		}
		actions := g.sched.Done(now, a.Attempt, result)
		if !slices.ContainsFunc(actions, func(x queue.Action) bool { return x.Kind == queue.Finish && x.Attempt == a.Attempt }) {
			delete(g.payloads, a.Attempt)
		}
		return actions
	})
}

func (g *group) send(a queue.Action, j *job, address string) ([]byte, error) {
	// The call outlives its request's context: a cancelled call keeps its slot
	// until the server has answered or the deadline has passed.
	deadline := j.deadline()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
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

func (g *group) cancel(address string, attempt uint64) {
	ctx, stop := context.WithTimeout(context.Background(), pollTimeout)
	defer stop()
	_ = g.owner.backend.Cancel(ctx, address, g.callID(attempt))
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

// poll asks every replica for its status.
func (g *group) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, r := range g.replicas {
		wait.Go(func() {
			status, err := g.owner.backend.Status(ctx, r.Address())
			g.mu.Lock()
			defer g.mu.Unlock()
			g.known[i] = err == nil
			g.statuses[i] = status
		})
	}
	wait.Wait()
}

// held returns the snapshots that a live replica of the group holds.
func (g *group) held() []core.GroupSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = time.Now()
	seen := make(map[core.SnapshotID]bool)
	var out []core.GroupSnapshot
	for i, status := range g.statuses {
		if !g.known[i] || status.State == core.ReplicaDraining {
			continue
		}
		for _, s := range status.Snapshots {
			if !seen[s.Snapshot] {
				seen[s.Snapshot] = true
				s.Group = g.id
				out = append(out, s)
			}
		}
	}
	return out
}
