package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/gather"
)

const (
	// taskMargin is how long before a query's closing time its delegates send the
	// parts that they have. It covers the network delay between data centres and the
	// merging on a busy host. Later parts follow one by one.
	taskMargin = 9 * time.Millisecond
	// taskEventBuffer is the capacity of a job's task channel for each task, whose
	// events are a result, late parts and the end.
	taskEventBuffer = 8
)

// ErrNoTable is returned for a task on a host that has no routing document yet.
var ErrNoTable = errors.New("relay: no routing document")

// taskEvent is a result of a delegated task, or the end of the task.
type taskEvent struct {
	batch  *core.TaskBatch
	result *core.TaskResult // nil at the end of the task
	err    error            // why the task failed; only at its end
}

// delegate sends the tasks that TaskClient.Plan assigns to other hosts. The
// subrequests that it assigns to this host are not delegated.
func (j *job) delegate(ctx context.Context, now time.Time, closeAt time.Time) {
	if j.relay.Tasks == nil {
		return
	}
	batches := j.relay.Tasks.Plan(now, j.route.Gather, j.set.demand.Short(now))
	if !slices.ContainsFunc(batches, func(b core.TaskBatch) bool { return b.Host.ID() != j.relay.Self }) {
		return
	}
	request := j.taskRequest()
	if request == nil {
		return
	}
	j.tasks = make(chan taskEvent, taskEventBuffer*len(batches))
	for i := range batches {
		b := &batches[i]
		if b.Host.ID() == j.relay.Self {
			continue
		}
		for _, s := range b.Shards {
			j.subs[s].delegated = true
		}
		j.taskCount++
		j.tasksOpen++
		j.lease.Hold()
		go j.runTask(ctx, b, j.newTask(now, b, closeAt, request))
	}
}

// taskRequest returns what the tasks of the query share. It returns nil if there is no room
// for it; then this host calls the replicas itself, which takes no further memory.
func (j *job) taskRequest() *core.TaskRequest {
	r := &core.TaskRequest{ID: j.req.ID, Method: j.req.Method, URI: j.req.URI, Host: j.req.Host, Header: j.req.Header, Body: j.req.Body}
	if !j.lease.Charge(r.HeadBytes()) {
		return nil
	}
	r.EncodeHead()
	return r
}

func (j *job) newTask(now time.Time, b *core.TaskBatch, closeAt time.Time, r *core.TaskRequest) core.Task {
	t := core.Task{
		Request:      r,
		Route:        j.route.Name,
		Services:     make([]core.ServiceName, len(b.Shards)),
		Attempts:     j.route.Attempts,
		TopK:         j.route.TopK,
		TargetUS:     j.route.Target.Microseconds(),
		CloseUS:      (closeAt.Sub(now) - taskMargin).Microseconds(),
		FirstService: j.route.Gather[0],
		MinRatio:     j.route.MinRatio,
		Queries:      j.queries,
		Deadline:     j.deadline,
	}
	for i, s := range b.Shards {
		t.Services[i] = j.route.Gather[s]
	}
	return t
}

// runTask runs a task, and releases the lease of the query in the end.
func (j *job) runTask(ctx context.Context, b *core.TaskBatch, t core.Task) {
	defer j.lease.Release()
	post := func(e taskEvent) {
		// The end of a task is awaited after ctx has ended, see awaitTasks.
		select {
		case j.tasks <- e:
			return
		default:
		}
		select {
		case j.tasks <- e:
		case <-ctx.Done():
		}
	}
	err := j.relay.Tasks.Run(ctx, b.Host, t, func(r core.TaskResult) { post(taskEvent{batch: b, result: &r}) })
	post(taskEvent{batch: b, err: err})
}

// handleTask handles an event of a delegated task.
func (j *job) handleTask(now time.Time, e taskEvent) {
	if e.result != nil {
		j.taskOverload.add(e.result)
		if j.set.demand.ObservePeer(now, e.result.SlotsInUse) {
			j.relay.logDemand(now, j.set)
		}
		j.merge(e.batch, e.result)
		j.recordNotRun(e.batch, e.result)
		return
	}
	j.tasksOpen--
	lost := 0
	for _, s := range e.batch.Shards {
		if sub := &j.subs[s]; !sub.settled {
			lost++
			j.reclaim(now, sub, e.err)
		}
	}
	if lost > 0 {
		j.addTaskLost(now, e.batch.Host.ID(), lost, e.err)
	}
}

// merge adds the parts of a task result to the query. If one of them cannot be added,
// none is, since the delegate has already merged the records of all parts. A duplicate
// within the result is only logged.
func (j *job) merge(b *core.TaskBatch, r *core.TaskResult) {
	for _, p := range r.Parts {
		if p.Shard < 0 || p.Shard >= len(b.Shards) || !j.query.CanAdd(b.Shards[p.Shard], p.Stamp) {
			j.relay.Log.Error("relay: task result cannot be merged", "request", j.req.ID, "peer", b.Host.ID(), "shard", p.Shard)
			return
		}
	}
	for _, p := range r.Parts {
		sub := &j.subs[b.Shards[p.Shard]]
		if !j.query.Add(sub.index, p.Stamp, nil) {
			j.relay.Log.Error("relay: duplicate part in a task result", "request", j.req.ID, "peer", b.Host.ID())
		}
		sub.settled, sub.ran = true, true
	}
	j.query.AddRecords(r.Records)
}

// reclaim handles a delegated subrequest whose task ended without its part. If the
// delegate cannot have started the task, this host calls the replicas itself.
// Otherwise the subrequest is settled, since the delegate may have used all attempts.
func (j *job) reclaim(now time.Time, sub *subrequest, err error) {
	notRun := notStarted(err)
	sub.reason = core.ReasonOwnerLost
	switch {
	case err == nil && sub.notRun:
		sub.reason = core.ReasonBusy
	case err == nil:
		sub.reason = core.ReasonBackendError
	}
	sub.ran = sub.ran || !notRun && !sub.notRun
	if notRun {
		j.relay.Extra.RecordRequests(now, sub.service, j.queries) // the delegate has not recorded them
	}
	if !notRun || !j.attempt(now, sub, retrySent) {
		j.settle(sub)
	}
}

// notStarted reports whether an error proves that the other host has not started a task.
func notStarted(err error) bool {
	var call *core.CallError
	return errors.As(err, &call) && call.NotRun
}

// Execute executes a task of another host. It calls sink with the parts that have
// arrived when the task is complete or at its closing time, and again with parts that
// arrive later.
func (r *Relay) Execute(ctx context.Context, t core.Task, sink func(core.TaskResult)) error {
	table := r.table.Load()
	if table == nil {
		return ErrNoTable
	}
	now := time.Now()
	rt := &core.Route{
		Name:       t.Route,
		Idempotent: true,
		Target:     time.Duration(t.TargetUS) * time.Microsecond,
		Attempts:   max(1, t.Attempts),
		Gather:     t.Services,
		TopK:       t.TopK,
	}
	j := newJob(r, table, rt, Request{
		ID:        t.Request.ID,
		Method:    t.Request.Method,
		URI:       t.Request.URI,
		Host:      t.Request.Host,
		Header:    t.Request.Header,
		Body:      t.Request.Body,
		Remaining: t.Deadline.Sub(now),
		Arrived:   now,
	})
	r.countEstimate(j.estimate)
	if !j.takeLease(core.LeaseOf(ctx)) {
		return core.ErrNoMemory
	}
	j.query = gather.New(len(rt.Gather), rt.TopK, t.MinRatio)
	j.setServices(rt.Gather)
	j.set = r.setFor(t.FirstService)
	j.queries = max(1, t.Queries)
	defer j.abandon()
	closeAt := now.Add(time.Duration(t.CloseUS) * time.Microsecond)
	j.setLatestStart(closeAt)
	j.startCalls(now)
	j.executeTask(ctx, closeAt, sink)
	r.logTask(j)
	return nil
}

// executeTask runs until each shard has returned its part or failed, until shortly
// before the deadline, or until Finish is called or ctx ends.
func (j *job) executeTask(ctx context.Context, closeAt time.Time, sink func(core.TaskResult)) {
	last := j.deadline.Add(-answerMargin - taskMargin) // the asking host answers at answerMargin
	unsent := newUnsentParts(j)
	for {
		now := time.Now()
		done := j.query.Settled() || !now.Before(last) || j.relay.finishing()
		if done || !now.Before(closeAt) {
			if !j.pastClose {
				j.pastClose = true
				j.updateShedder(now)
			}
			unsent.send(sink, j.countOverload(now), j.notRunShards(done))
		}
		if done {
			return
		}
		until := last
		if now.Before(closeAt) {
			until = closeAt
		}
		e, got, ok := j.wait(ctx, j.wakeAt(until))
		if !ok {
			return
		}
		now = time.Now()
		if got && e.slot {
			j.resume(now, e.sub)
		} else if got && j.handleCall(now, e) {
			unsent.add(e)
		}
		j.startDueCalls(now)
	}
}

// unsentParts holds the parts that have not been sent to the delegating host yet.
type unsentParts struct {
	job          *job
	merged       *gather.Query // records of the parts
	parts        []core.TaskPart
	overloadSent bool // whether send has been called
}

func newUnsentParts(j *job) *unsentParts {
	u := &unsentParts{job: j}
	u.reset()
	return u
}

func (u *unsentParts) reset() {
	u.merged = gather.New(1, u.job.route.TopK, 0)
	u.parts = nil
}

// add adds the part that a call returned.
func (u *unsentParts) add(e event) {
	u.parts = append(u.parts, core.TaskPart{Shard: e.sub.index, Stamp: e.result.Reply.Stamp})
	u.merged.AddRecords(e.result.Reply.Body)
}

// send passes the parts to sink. The first call also reports the overload, even if
// there are no parts.
func (u *unsentParts) send(sink func(core.TaskResult), o overload, notRun []int) {
	if u.overloadSent {
		o = overload{}
	}
	u.overloadSent = true
	if len(u.parts) == 0 && o.shards == 0 && len(notRun) == 0 {
		return
	}
	sink(core.TaskResult{
		Parts: u.parts, Records: u.merged.Body(), Overloaded: o.shards, OverloadedMissing: o.missing,
		AdmitShare: u.job.set.shedder.Share(), SlotsInUse: u.job.set.demand.InUse(),
		NotRun: notRun,
	})
	u.reset()
}
