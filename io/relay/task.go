package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/gather"
)

const (
	// taskMargin before a query is closed, the hosts that carry out parts of it
	// send what they have: the way between data centres, and the merging on a
	// busy host. Later parts follow one by one.
	taskMargin = 9 * time.Millisecond
	// taskEvents of one host that may wait: a result, late parts, the end.
	taskEvents = 8
)

// ErrNoTable is returned for a task on a host without a routing document.
var ErrNoTable = errors.New("relay: no routing document")

// taskEvent is a result of a host that carries out a part of the query, or its
// end.
type taskEvent struct {
	batch  *core.TaskBatch
	result *core.TaskResult // nil at the end
	err    error
}

// delegate has other hosts carry out parts of the query, as planned. The legs of
// this host are left.
func (j *job) delegate(ctx context.Context, now time.Time, closeAt time.Time) {
	if j.relay.Helpers == nil {
		return
	}
	batches := j.relay.Helpers.Plan(now, j.route.Gather)
	j.tasks = make(chan taskEvent, taskEvents*len(batches))
	for i := range batches {
		b := &batches[i]
		if b.Host.ID() == j.relay.Self {
			continue
		}
		for _, s := range b.Shards {
			j.legs[s].delegated = true
		}
		j.delegated++
		go j.runTask(ctx, b, j.task(now, b, closeAt))
	}
}

func (j *job) task(now time.Time, b *core.TaskBatch, closeAt time.Time) core.Task {
	t := core.Task{
		ID:       j.req.ID,
		Route:    j.route.Name,
		Method:   j.req.Method,
		URI:      j.req.URI,
		Host:     j.req.Host,
		Fields:   j.req.Fields,
		Body:     j.req.Body,
		Services: make([]core.ServiceName, len(b.Shards)),
		Attempts: j.route.Attempts,
		TopK:     j.route.TopK,
		TargetUS: j.route.Target.Microseconds(),
		CloseUS:  (closeAt.Sub(now) - taskMargin).Microseconds(),
		Set:      j.route.Gather[0],
		MinRatio: j.route.MinRatio,
		Deadline: j.deadline,
	}
	for i, s := range b.Shards {
		t.Services[i] = j.route.Gather[s]
	}
	return t
}

func (j *job) runTask(ctx context.Context, b *core.TaskBatch, t core.Task) {
	put := func(e taskEvent) {
		select {
		case j.tasks <- e:
		case <-ctx.Done():
		}
	}
	err := j.relay.Helpers.Run(ctx, b.Host, t, func(r core.TaskResult) { put(taskEvent{batch: b, result: &r}) })
	put(taskEvent{batch: b, err: err})
}

// taskNews handles an event of a delegated part.
func (j *job) taskNews(now time.Time, e taskEvent) {
	if e.result != nil {
		j.told.add(e.result)
		j.merge(e.batch, e.result)
		return
	}
	lost := 0
	for _, s := range e.batch.Shards {
		if l := &j.legs[s]; !l.settled {
			lost++
			j.takeBack(now, l, e.err)
		}
	}
	if lost > 0 {
		j.noteTask(now, e.batch.Host.ID(), lost, e.err)
	}
}

// merge adds the parts of a result. If one of them cannot be added, none is: the
// records are merged already.
func (j *job) merge(b *core.TaskBatch, r *core.TaskResult) {
	for _, p := range r.Parts {
		if p.Shard < 0 || p.Shard >= len(b.Shards) || !j.query.Addable(b.Shards[p.Shard], p.Stamp) {
			j.relay.Log.Error("relay: result of a task cannot be merged", "request", j.req.ID, "peer", b.Host.ID(), "shard", p.Shard)
			return
		}
	}
	for _, p := range r.Parts {
		l := &j.legs[b.Shards[p.Shard]]
		if !j.query.Add(l.index, p.Stamp, nil) {
			j.relay.Log.Error("relay: stamp of a task stands twice", "request", j.req.ID, "peer", b.Host.ID())
		}
		l.settled = true
	}
	j.query.AddRecords(r.Records)
}

// takeBack handles a shard whose host brought no part of it. If that host cannot
// have started, this one calls the replicas; otherwise it may have used all
// attempts of the request.
func (j *job) takeBack(now time.Time, l *leg, err error) {
	var call *core.CallError
	notRun := errors.As(err, &call) && call.NotRun
	l.reason = core.ReasonOwnerLost
	if err == nil {
		l.reason = core.ReasonBackendError
	}
	l.ran = l.ran || !notRun
	if !notRun || !j.attempt(now, l, retrySent) {
		j.settle(l)
	}
}

// Assist carries out a part of another host's query. It calls sink with what is
// there when the part is complete or its time to close has come, and with what
// comes later.
func (r *Relay) Assist(ctx context.Context, t core.Task, sink func(core.TaskResult)) error {
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
		ID:      t.ID,
		Method:  t.Method,
		URI:     t.URI,
		Host:    t.Host,
		Fields:  t.Fields,
		Body:    t.Body,
		Left:    t.Deadline.Sub(now),
		Arrived: now,
	})
	j.query = gather.New(len(rt.Gather), rt.TopK, t.MinRatio)
	j.setLegs(rt.Gather)
	j.room = r.roomOf(t.Set)
	defer j.abandon()
	j.begin(now)
	j.assist(ctx, now.Add(time.Duration(t.CloseUS)*time.Microsecond), sink)
	r.writeTask(j)
	return nil
}

// assist runs until all parts are in or lost, or the deadline.
func (j *job) assist(ctx context.Context, closeAt time.Time, sink func(core.TaskResult)) {
	last := j.deadline.Add(-answerMargin)
	unsent := newUnsent(j)
	for {
		now := time.Now()
		over := j.query.Settled() || !now.Before(last) || j.relay.finishing()
		if over || !now.Before(closeAt) {
			if !j.closing {
				j.closing = true
				j.learnRoom(now)
			}
			unsent.send(sink, j.wanted(now))
		}
		if over {
			return
		}
		until := last
		if now.Before(closeAt) {
			until = closeAt
		}
		e, got, ok := j.wait(ctx, j.wake(until))
		if !ok {
			return
		}
		now = time.Now()
		if got {
			if j.part(now, e) {
				unsent.take(e)
			}
		}
		j.timeouts(now)
	}
}

// unsent collects the parts that were not sent yet.
type unsent struct {
	job    *job
	merged *gather.Query
	parts  []core.TaskPart
	told   bool // which shards had no room
}

func newUnsent(j *job) *unsent {
	n := &unsent{job: j}
	n.reset()
	return n
}

func (n *unsent) reset() {
	n.merged = gather.New(1, n.job.route.TopK, 0)
	n.parts = nil
}

// take adds the part that a call brought.
func (n *unsent) take(e end) {
	n.parts = append(n.parts, core.TaskPart{Shard: e.leg.index, Stamp: e.result.Reply.Stamp})
	n.merged.AddRecords(e.result.Reply.Body)
}

// send sends the parts, and with the first of them, or without any, which shards had no
// room.
func (n *unsent) send(sink func(core.TaskResult), w want) {
	if n.told {
		w = want{}
	}
	n.told = true
	if len(n.parts) == 0 && w.crowded == 0 {
		return
	}
	sink(core.TaskResult{
		Parts: n.parts, Records: n.merged.Body(), Crowded: w.crowded, Lacking: w.lacking, Room: n.job.room.Share(),
	})
	n.reset()
}
