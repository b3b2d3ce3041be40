// Package entry serves caller requests on the host where they arrive: it pins a
// snapshot, plans a query over the owners of its shards and merges the results.
//
// # Usage
//
//	e := entry.New(entry.Parts{...})
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
	// sendReserve is kept from the deadline for writing the answer.
	sendReserve = 5 * time.Millisecond
	// maxRestarts bounds how often a query starts again on a newer snapshot.
	maxRestarts = 2
	// restartShare is the share of the time that must be left for a restart.
	restartShare = 3
	// refreshShare is the share of the time left that a refresh in mid-query
	// may take.
	refreshShare = 4
	// silentFor is how long an owner must fail to acknowledge before it is
	// taken out of the view. One late acknowledgement moves only its own batch:
	// other hosts still use the owner, and all its groups would get a second one.
	silentFor = 50 * time.Millisecond
	// silentKeep is how long a failure to acknowledge counts.
	silentKeep = time.Second
)

var errUnacknowledged = errors.New("no acknowledgement")

// Parts are the dependencies of an Entry.
type Parts struct {
	Self        core.HostID
	Incarnation core.Incarnation
	Settings    core.Settings
	Placer      core.Placer
	Table       *snaps.Table
	Views       core.Views
	Peers       core.Peers
	Local       core.GroupOwner
	Tokens      *order.Table
	Log         *slog.Logger
	Meter       core.Meter // may be nil
}

// Entry serves caller requests. It is safe for concurrent use.
type Entry struct {
	Parts
	rejected atomic.Uint64

	mu        sync.Mutex // guards the fields below; nothing is called under it
	silent    map[core.HostID]time.Time
	queried   map[core.ServiceName]time.Time // last query
	refreshed map[core.ServiceName]time.Time // last refresh by Run
}

// New returns an entry over its parts.
func New(p Parts) *Entry {
	p.Meter = core.MeterOr(p.Meter)
	return &Entry{
		Parts:     p,
		silent:    make(map[core.HostID]time.Time),
		queried:   make(map[core.ServiceName]time.Time),
		refreshed: make(map[core.ServiceName]time.Time),
	}
}

// Rejected returns the number of shard results refused for a wrong snapshot, a
// wrong shard or missing rows.
func (e *Entry) Rejected() uint64 { return e.rejected.Load() }

// Query answers one query before its deadline.
func (e *Entry) Query(ctx context.Context, q core.Query) (answer core.Answer) {
	// Between tries, answer is the one with the best coverage so far.
	defer func() { e.Meter.Count("entry_queries_"+string(answer.Outcome), 1) }()
	end := q.Deadline.Add(-sendReserve)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	started := time.Now()
	e.noteQuery(started, q.Service)
	var last core.SnapshotID
	for try := 0; ; try++ {
		pin, ok := e.pin(ctx, q.Service)
		if try > 0 && (!ok || pin.Snapshot() <= last) {
			return answer
		}
		if !ok {
			return core.Answer{Outcome: core.NotRun, Reason: core.ReasonNoReplica}
		}
		last = pin.Snapshot()
		e.Log.Info("entry: snapshot pinned", "request_id", q.ID, "service", q.Service,
			"snapshot", pin.Snapshot(), "shards", pin.ShardCount(), "try", try)
		got := e.run(ctx, q, pin)
		if try == 0 || got.Answered*answer.Total >= answer.Answered*got.Total {
			answer = got
		}
		left := time.Until(end)
		if try >= maxRestarts || !lostSnapshot(got) || left < time.Since(started)/restartShare {
			return answer
		}
		e.Meter.Count("entry_restarts", 1)
		e.refreshWithin(ctx, q.Service, left/refreshShare)
	}
}

// refreshWithin refreshes the table in a part of the query's time, since an
// owner that hangs must not use up what the restart needs.
func (e *Entry) refreshWithin(ctx context.Context, s core.ServiceName, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	e.refresh(ctx, s)
}

func lostSnapshot(a core.Answer) bool {
	for _, m := range a.Missing {
		if m.Reason == core.ReasonSnapshotGone {
			return true
		}
	}
	return false
}

func (e *Entry) pin(ctx context.Context, s core.ServiceName) (core.Pin, bool) {
	if pin, ok := e.Table.Select(s); ok {
		return pin, true
	}
	e.refresh(ctx, s)
	return e.Table.Select(s)
}

// run sends one batch to each owner and merges until all came or time is up.
func (e *Entry) run(ctx context.Context, q core.Query, pin core.Pin) core.Answer {
	m := merge.New(pin)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for _, p := range e.plan(q, pin) {
		wait.Go(func() { e.send(ctx, q, pin, m, p) })
	}
	all := make(chan struct{})
	go func() {
		wait.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-ctx.Done():
	}
	return m.Close(q.MinCoverage)
}

// part is the share of a query that goes to one owner.
type part struct {
	owner   core.HostID
	standby map[core.HostID][]core.ShardRef
	shards  []core.ShardRef
}

func (e *Entry) plan(q core.Query, pin core.Pin) map[core.HostID]*part {
	view := e.Views.View(time.Now())
	parts := make(map[core.HostID]*part)
	for i := range pin.ShardCount() {
		ref := core.ShardRef{Shard: core.ShardID(i), Group: pin.Group(core.ShardID(i))}
		if ref.Group == core.NoGroup {
			continue
		}
		owner, standby := e.Placer.Owner(view, q.Service, ref.Group)
		p := parts[owner]
		if p == nil {
			p = &part{owner: owner, standby: make(map[core.HostID][]core.ShardRef)}
			parts[owner] = p
		}
		p.shards = append(p.shards, ref)
		if standby != "" {
			p.standby[standby] = append(p.standby[standby], ref)
		}
	}
	for id, p := range parts {
		e.Log.Info("entry: batch planned", "request_id", q.ID, "service", q.Service,
			"owner", id, "shards", len(p.shards), "view", view.Version(), "reason", "owner")
	}
	return parts
}

// send asks the owner for its part, and the standbys for what is missing when the
// owner is lost or does not acknowledge in time. Such an owner may only be busy: its
// results still count, and the first one for a shard decides. A shard that the standbys
// miss waits for a silent owner until the deadline.
func (e *Entry) send(ctx context.Context, q core.Query, pin core.Pin, m *merge.Merge, p *part) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRound(p, cancel)
	sink := func(res core.ShardResult) { e.take(q, pin, m, r, res) }
	var wait sync.WaitGroup
	failover := sync.OnceFunc(func() {
		left := r.failOver(p.shards)
		for _, ref := range left { // until a host says more
			m.Add(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonOwnerLost})
		}
		for id, refs := range p.standby {
			refs = r.open(refs)
			if len(refs) == 0 {
				continue
			}
			e.Log.Info("entry: batch planned", "request_id", q.ID, "service", q.Service,
				"owner", id, "shards", len(refs), "reason", "standby")
			wait.Go(func() { _ = e.ask(ctx, id, q, pin, refs, sink, func() {}) })
		}
	})
	if e.ask(ctx, p.owner, q, pin, p.shards, sink, failover) != nil && ctx.Err() == nil {
		failover()
	}
	wait.Wait()
}

// take merges a result.
func (e *Entry) take(q core.Query, pin core.Pin, m *merge.Merge, r *round, res core.ShardResult) {
	v := merge.WrongShard
	if r.asked(res.Shard) {
		v = m.Add(res)
	}
	e.Meter.Count("entry_shards_"+string(v), 1)
	if v == merge.WrongSnapshot || v == merge.WrongShard || v == merge.NoRows && res.Missing == "" {
		e.rejected.Add(1)
		e.Log.Warn("entry: shard result rejected", "request_id", q.ID, "shard", res.Shard, "verdict", v)
		return // the standby is asked for the shard if the owner is lost
	}
	if res.Missing == core.ReasonSnapshotGone {
		e.Table.Drop(q.Service, pin.Group(res.Shard), pin.Snapshot())
	}
	r.decide(res)
}

// ask sends a batch to a host. late is called when the host does not acknowledge in
// time; the batch goes on.
func (e *Entry) ask(ctx context.Context, id core.HostID, q core.Query, pin core.Pin, refs []core.ShardRef, sink func(core.ShardResult), late func()) error {
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
		e.lost(q.ID, id, &core.CallError{Op: "read", Target: string(id), Reason: core.ReasonOwnerLost, Cause: errUnacknowledged})
		late()
	}
	var answered atomic.Bool
	err := e.Peers.Read(ctx, host, b, func(res core.ShardResult) {
		answered.Store(true)
		sink(res)
	})
	switch {
	case err == nil || ctx.Err() != nil && answered.Load():
		e.down(time.Now(), id, nil)
	case ctx.Err() == nil:
		e.lost(q.ID, id, err)
	}
	return err
}

// lost notes that a host failed a batch, or did not acknowledge it in time.
func (e *Entry) lost(req core.RequestID, id core.HostID, err error) {
	e.Meter.Count("entry_owners_lost", 1)
	e.Log.Warn("entry: owner lost", "request_id", req, "owner", id, "err", err)
	if now := time.Now(); e.down(now, id, err) {
		e.Views.MarkDown(now, id)
	}
}

// down reports whether a host must leave the view after a batch: at once when
// it refused or could not be dialled, else when it failed for silentFor.
func (e *Entry) down(now time.Time, id core.HostID, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		delete(e.silent, id)
		return false
	}
	var call *core.CallError
	since, ok := e.silent[id]
	switch {
	case errors.As(err, &call) && call.NotRun:
	case !ok || now.Sub(since) > silentKeep:
		e.silent[id] = now
		return false
	case now.Sub(since) < silentFor:
		return false
	}
	delete(e.silent, id)
	return true
}
