// Package entry serves caller requests on the host that receives them.
//
// For a query it pins one snapshot, sends a batch of shards to each host that
// owns some of their replica groups, and merges the results. For an order it
// issues and redeems the token and sends the order to the owner of its replica
// group.
//
// # Usage
//
//	e := entry.New(deps)
//	answer := e.Query(ctx, query)
package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/merge"
	"oriolebarrow/core/order"
	"oriolebarrow/core/snaps"
)

const (
	// answerReserve is the time before the deadline that is kept for writing the
	// answer.
	answerReserve = 5 * time.Millisecond
	// maxRestarts limits how often one query restarts on a newer snapshot.
	maxRestarts = 2
	// restartDivisor limits restarts: a query restarts only if its remaining time is
	// at least its elapsed time divided by this number.
	restartDivisor = 3
	// refreshDivisor limits a refresh before a restart to the remaining time of the
	// query divided by this number.
	refreshDivisor = 4
	// silenceLimit is how long batches to an owner must fail without a success in
	// between before this host removes the owner from its view. After a single late
	// acknowledgement, only that batch goes to the standbys: other hosts still use
	// the owner, so its removal here would give each of its groups a second owner.
	silenceLimit = 50 * time.Millisecond
	// silenceExpiry is the age beyond which the first failure no longer counts. The
	// next failure then counts as the first.
	silenceExpiry = time.Second
)

var errUnacknowledged = errors.New("owner did not acknowledge the batch in time")

// Deps holds the dependencies of an Entry.
type Deps struct {
	Self        core.HostID
	Incarnation core.Incarnation
	Settings    core.Settings
	Placer      core.Placer
	Table       *snaps.Table
	Views       core.Views
	Peers       core.PeerClient
	Local       core.GroupOwner
	Tokens      *order.Table
	Log         *slog.Logger
	Meter       core.Meter // may be nil
}

// Entry serves caller requests. It is safe for concurrent use.
type Entry struct {
	Deps
	rejected atomic.Uint64

	// mu guards the fields below. Settings and Table are called while it is held.
	mu          sync.Mutex
	silentSince map[core.HostID]time.Time // time of the first failure that counts
	lastQuery   map[core.ServiceName]time.Time
	lastRefresh map[core.ServiceName]time.Time // last refresh by Run
}

// New returns an Entry that uses the given dependencies.
func New(d Deps) *Entry {
	d.Meter = core.MeterOr(d.Meter)
	return &Entry{
		Deps:        d,
		silentSince: make(map[core.HostID]time.Time),
		lastQuery:   make(map[core.ServiceName]time.Time),
		lastRefresh: make(map[core.ServiceName]time.Time),
	}
}

// RejectedResults returns the number of shard results that were rejected because of a
// wrong snapshot, a wrong shard, or missing rows without a reason.
func (e *Entry) RejectedResults() uint64 { return e.rejected.Load() }

// Query answers a query before its deadline.
func (e *Entry) Query(ctx context.Context, q core.Query) (answer core.Answer) {
	// Between attempts, answer holds the result with the best coverage so far.
	defer func() { e.Meter.Count("entry_queries_"+string(answer.Outcome), 1) }()
	end := q.Deadline.Add(-answerReserve)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	started := time.Now()
	e.recordQuery(started, q.Service)
	var last core.SnapshotID
	for attempt := 0; ; attempt++ {
		pin, ok := e.pin(ctx, q.Service)
		if attempt > 0 && (!ok || pin.Snapshot() <= last) {
			return answer
		}
		if !ok {
			return core.Answer{Outcome: core.NotRun, Reason: core.ReasonNoReplica}
		}
		last = pin.Snapshot()
		e.Log.Info("entry: snapshot pinned", "request_id", q.ID, "service", q.Service,
			"snapshot", pin.Snapshot(), "shards", pin.ShardCount(), "try", attempt)
		result := e.run(ctx, q, pin)
		if attempt == 0 || result.Answered*answer.Total >= answer.Answered*result.Total {
			answer = result
		}
		remaining := time.Until(end)
		if attempt >= maxRestarts || !snapshotGone(result) || remaining < time.Since(started)/restartDivisor {
			return answer
		}
		e.Meter.Count("entry_restarts", 1)
		e.refreshWithin(ctx, q.Service, remaining/refreshDivisor)
	}
}

// refreshWithin refreshes the snapshot table within a time limit, so that an owner
// that hangs does not use up the time for the restart.
func (e *Entry) refreshWithin(ctx context.Context, s core.ServiceName, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e.refresh(ctx, s)
}

// snapshotGone reports whether a shard is missing because its replicas no longer
// hold the snapshot.
func snapshotGone(a core.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason == core.ReasonSnapshotGone {
			return true
		}
	}
	return false
}

// pin selects the snapshot of a query. If no snapshot is known, it refreshes the
// snapshot table once.
func (e *Entry) pin(ctx context.Context, s core.ServiceName) (core.Pin, bool) {
	if pin, ok := e.Table.Select(s); ok {
		return pin, true
	}
	e.refresh(ctx, s)
	return e.Table.Select(s)
}

// run sends a batch to each owner and merges the results until all batches have
// ended or ctx is done.
func (e *Entry) run(ctx context.Context, q core.Query, pin core.Pin) core.Answer {
	m := merge.New(pin)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, b := range e.plan(q, pin) {
		wg.Go(func() { e.sendBatch(ctx, q, pin, m, b) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return m.Close(q.MinCoverage)
}

// batch holds the shards of a query that are read through one owner.
type batch struct {
	owner   core.HostID
	standby map[core.HostID][]core.ShardRef // the same shards by the standby of their group
	shards  []core.ShardRef
}

// plan groups the shards of a query by the owners of their replica groups.
func (e *Entry) plan(q core.Query, pin core.Pin) map[core.HostID]*batch {
	view := e.Views.View(time.Now())
	batches := make(map[core.HostID]*batch)
	for i := range pin.ShardCount() {
		ref := core.ShardRef{Shard: core.ShardID(i), Group: pin.Group(core.ShardID(i))}
		if ref.Group == core.NoGroup {
			continue
		}
		owner, standby := e.Placer.Owner(view, q.Service, ref.Group)
		b := batches[owner]
		if b == nil {
			b = &batch{owner: owner, standby: make(map[core.HostID][]core.ShardRef)}
			batches[owner] = b
		}
		b.shards = append(b.shards, ref)
		if standby != "" {
			b.standby[standby] = append(b.standby[standby], ref)
		}
	}
	for id, b := range batches {
		e.Log.Info("entry: batch planned", "request_id", q.ID, "service", q.Service,
			"owner", id, "shards", len(b.shards), "view", view.Version(), "reason", "owner")
	}
	return batches
}

// sendBatch reads a batch from its owner. If the call fails or the owner does not
// acknowledge it in time, sendBatch also asks the standbys for the shards that have
// no result yet. An owner that acknowledges late may only be busy, so its results
// still count, and the first rows for a shard are used. If a standby has no rows for a
// shard, sendBatch waits for a silent owner until the deadline.
func (e *Entry) sendBatch(ctx context.Context, q core.Query, pin core.Pin, m *merge.Merger, b *batch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTracker(b, cancel)
	sink := func(res core.ShardResult) { e.addResult(q, pin, m, t, res) }
	var wg sync.WaitGroup
	failover := sync.OnceFunc(func() {
		undecided := t.startFailover(b.shards)
		for _, ref := range undecided { // rows or another reason from a later result replace this reason
			m.Add(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonOwnerLost})
		}
		for id, refs := range b.standby {
			refs = t.undecided(refs)
			if len(refs) == 0 {
				continue
			}
			e.Log.Info("entry: batch planned", "request_id", q.ID, "service", q.Service,
				"owner", id, "shards", len(refs), "reason", "standby")
			wg.Go(func() { _ = e.readFrom(ctx, id, q, pin, refs, sink, func() {}) })
		}
	})
	if e.readFrom(ctx, b.owner, q, pin, b.shards, sink, failover) != nil && ctx.Err() == nil {
		failover()
	}
	wg.Wait()
}

// addResult merges the result of one shard, or rejects it.
func (e *Entry) addResult(q core.Query, pin core.Pin, m *merge.Merger, t *tracker, res core.ShardResult) {
	v := merge.WrongShard
	if t.contains(res.Shard) {
		v = m.Add(res)
	}
	e.Meter.Count("entry_shards_"+string(v), 1)
	if v == merge.WrongSnapshot || v == merge.WrongShard || v == merge.NoRows && res.Missing == "" {
		e.rejected.Add(1)
		e.Log.Warn("entry: shard result rejected", "request_id", q.ID, "shard", res.Shard, "verdict", v)
		return // the shard stays undecided, so the standby is asked for it if the owner is lost
	}
	if res.Missing == core.ReasonSnapshotGone {
		e.Table.Drop(q.Service, pin.Group(res.Shard), pin.Snapshot())
	}
	t.record(res)
}

// readFrom sends shards of a query to one host and passes the results to sink. It
// calls onLateAck if the host does not acknowledge in time, and still waits for the
// results.
func (e *Entry) readFrom(ctx context.Context, id core.HostID, q core.Query, pin core.Pin, refs []core.ShardRef, sink func(core.ShardResult), onLateAck func()) error {
	b := core.ReadBatch{Query: q, Snapshot: pin.Snapshot(), Shards: refs}
	if id == e.Self {
		e.Local.Read(ctx, b, sink)
		return nil
	}
	host, ok := e.Views.View(time.Now()).Lookup(id)
	if !ok {
		return &core.CallError{Op: "read", Target: string(id), Reason: core.ReasonNoOwner, NotRun: true}
	}
	b.Unacknowledged = func() {
		e.recordFailure(q.ID, id, &core.CallError{Op: "read", Target: string(id), Reason: core.ReasonOwnerLost, Cause: errUnacknowledged})
		onLateAck()
	}
	var answered atomic.Bool
	err := e.Peers.Read(ctx, host, b, func(res core.ShardResult) {
		answered.Store(true)
		sink(res)
	})
	switch {
	case err == nil || ctx.Err() != nil && answered.Load():
		e.recordOutcome(time.Now(), id, nil)
	case ctx.Err() == nil:
		e.recordFailure(q.ID, id, err)
	}
	return err
}

// recordFailure records that a batch to a host failed or was not acknowledged in
// time, and removes the host from the view if recordOutcome says so.
func (e *Entry) recordFailure(req core.RequestID, id core.HostID, err error) {
	e.Meter.Count("entry_owners_lost", 1)
	e.Log.Warn("entry: owner lost", "request_id", req, "owner", id, "err", err)
	if now := time.Now(); e.recordOutcome(now, id, err) {
		e.Views.MarkDown(now, id)
	}
}

// recordOutcome records the outcome of a batch to a host and reports whether the host
// must be removed from the view. A host that refused the batch or could not be reached
// must be removed at once, unless it lacked memory; any other host once its failures span
// silenceLimit.
func (e *Entry) recordOutcome(now time.Time, id core.HostID, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		delete(e.silentSince, id)
		return false
	}
	var call *core.CallError
	since, ok := e.silentSince[id]
	switch {
	case errors.As(err, &call) && call.NotRun && call.Reason == core.ReasonOverload:
		return false // it runs, but has no memory for the batch
	case errors.As(err, &call) && call.NotRun:
	case !ok || now.Sub(since) > silenceExpiry:
		e.silentSince[id] = now
		return false
	case now.Sub(since) < silenceLimit:
		return false
	}
	delete(e.silentSince, id)
	return true
}
