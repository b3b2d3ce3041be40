package entry_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/order"
	"oriolebarrow/core/snaps"
	"oriolebarrow/io/entry"
)

const (
	queryTimeout = 100 * time.Millisecond
	ackTimeout   = 25 * time.Millisecond
	shards       = 4
)

// fixture is an Entry with scripted owner hosts. Host h0 owns the even groups and h1 the
// odd ones. The standby of group 0 is h1, that of group 1 is h0, and that of groups 2
// and 3 is h2.
type fixture struct {
	entry     *entry.Entry
	table     *snaps.Table
	read      func(ctx context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error
	snapshots func(ctx context.Context, h core.HostID) ([]core.GroupSnapshot, error)

	mu         sync.Mutex
	sentShards map[core.HostID][][]core.ShardID
	pinned     []core.SnapshotID

	markedDown atomic.Int64
}

func newFixture(snapshots ...core.SnapshotID) *fixture {
	f := &fixture{table: snaps.New(), sentShards: map[core.HostID][][]core.ShardID{}}
	f.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
		answerAll(b, sink)
		return nil
	}
	f.snapshots = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) { return nil, callError(true) }
	f.setSnapshots(snapshots...)
	f.entry = entry.New(entry.Deps{
		Self: "self", Settings: f, Placer: f, Table: f.table, Views: f, Peers: f, Log: slog.New(slog.DiscardHandler),
		Tokens: order.New("self", 1, order.Options{}, nil),
	})
	return f
}

// setSnapshots updates the table so that each group g holds shard g of each snapshot.
func (f *fixture) setSnapshots(ids ...core.SnapshotID) {
	for g := range core.GroupID(shards) {
		f.table.Update(service, g, groupSnapshots(g, ids...))
	}
}

func groupSnapshots(g core.GroupID, ids ...core.SnapshotID) []core.GroupSnapshot {
	var snapshots []core.GroupSnapshot
	for _, id := range ids {
		snapshots = append(snapshots, core.GroupSnapshot{Group: g, Snapshot: id, ShardCount: shards, Shards: []core.ShardID{core.ShardID(g)}})
	}
	return snapshots
}

func emptyRows(b core.ReadBatch, s core.ShardID) core.ShardResult {
	return core.ShardResult{Shard: s, Snapshot: b.Snapshot, Rows: []byte("[]")}
}

func answerAll(b core.ReadBatch, sink func(core.ShardResult)) {
	for _, ref := range b.Shards {
		sink(emptyRows(b, ref.Shard))
	}
}

// query sends one query. It checks that the answer comes before the deadline and that
// its coverage matches its rows and missing shards.
func (f *fixture) query(t *testing.T) core.Answer {
	t.Helper()
	deadline := time.Now().Add(queryTimeout)
	a := f.entry.Query(t.Context(), core.Query{ID: "r", Service: service, Deadline: deadline, Repeatable: true})
	if !time.Now().Before(deadline) {
		t.Errorf("the answer came %v after the deadline", time.Since(deadline))
	}
	if len(a.Rows) != a.Answered || len(a.Missing) != a.Total-a.Answered {
		t.Errorf("%d of %d shards answered, but %d rows and %d missing shards", a.Answered, a.Total, len(a.Rows), len(a.Missing))
	}
	return a
}

func checkAnswer(t *testing.T, a core.Answer, o core.Outcome, snapshot core.SnapshotID, answered int, reason core.Reason) {
	t.Helper()
	if a.Outcome != o || a.Snapshot != snapshot || a.Answered != answered || a.Total != shards {
		t.Errorf("outcome %s, snapshot %d, %d of %d shards answered (missing: %v); want %s, snapshot %d, %d answered", a.Outcome, a.Snapshot, a.Answered, a.Total, a.Missing, o, snapshot, answered)
	}
	for _, m := range a.Missing {
		if m.Reason != reason {
			t.Errorf("shard %d is missing with reason %s, want %s", m.Shard, m.Reason, reason)
		}
	}
}

// TestRepartitionDuringQuery guards against an answer that mixes two snapshots, or whose
// coverage is counted by the new shard map, when the data is repartitioned while a
// query runs.
func TestRepartitionDuringQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(41)
		f.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			f.table.Update(service, 0, []core.GroupSnapshot{{Snapshot: 42, ShardCount: 1, Shards: []core.ShardID{0}}})
			answerAll(b, sink)
			return nil
		}
		checkAnswer(t, f.query(t), core.Complete, 41, shards, "")
	})
}

// TestSnapshotDroppedDuringQuery guards against a partial answer while a newer snapshot
// can still be read, a restart without enough remaining time, a restart that makes the
// answer worse, a restart delayed by an owner that hangs, and endless restarts.
func TestSnapshotDroppedDuringQuery(t *testing.T) {
	for _, c := range []struct {
		name     string
		dropped  []core.ShardID  // shards whose snapshot is dropped
		after    time.Duration   // time until the results of a batch
		last     core.SnapshotID // newest snapshot that is dropped
		newer    core.SnapshotID // snapshot after the refresh; 0 for no change
		hanging  core.SnapshotID // snapshot whose reads hang
		outcome  core.Outcome
		snapshot core.SnapshotID
		answered int
		runs     int
	}{
		{"newer", []core.ShardID{2}, queryTimeout / 4, 41, 42, 0, core.Complete, 42, 4, 2},
		{"no time left", []core.ShardID{2}, queryTimeout * 8 / 10, 41, 42, 0, core.Partial, 41, 3, 1},
		{"newer hangs", []core.ShardID{2}, queryTimeout / 4, 41, 42, 42, core.Partial, 41, 3, 2},
		{"none newer", []core.ShardID{2}, queryTimeout / 4, 41, 0, 0, core.Partial, 41, 3, 1},
		{"none at all", []core.ShardID{0, 1, 2, 3}, queryTimeout / 4, 41, 0, 0, core.Partial, 41, 0, 1},
		{"each is dropped", []core.ShardID{2}, 0, 99, 42, 0, core.Partial, 43, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(41)
				newest := c.newer
				f.read = func(ctx context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					time.Sleep(c.after)
					if b.Snapshot == c.hanging {
						<-ctx.Done()
						return ctx.Err()
					}
					for _, ref := range b.Shards {
						r := emptyRows(b, ref.Shard)
						if b.Snapshot <= c.last && slices.Contains(c.dropped, ref.Shard) {
							r.Rows, r.Missing = nil, core.ReasonSnapshotGone
						}
						sink(r)
					}
					return nil
				}
				f.snapshots = func(ctx context.Context, h core.HostID) ([]core.GroupSnapshot, error) {
					if c.newer == 0 {
						return nil, callError(true)
					}
					if h == "h0" {
						f.setSnapshots(newest)
						newest++
					}
					<-ctx.Done() // the owner hangs after the table was updated
					return nil, ctx.Err()
				}
				checkAnswer(t, f.query(t), c.outcome, c.snapshot, c.answered, core.ReasonSnapshotGone)
				synctest.Wait() // for the batches that the deadline ended
				slices.Sort(f.pinned)
				if runs := slices.Compact(f.pinned); len(runs) != c.runs {
					t.Errorf("query ran on snapshots %v, want %d runs", runs, c.runs)
				}
			})
		})
	}
}

// TestRejectedResults guards against a rejected result that counts towards coverage, is
// not counted as rejected, crashes the host, or prevents the call to the standby.
func TestRejectedResults(t *testing.T) {
	for name, corrupt := range map[string]func(*core.ShardResult){
		"older snapshot":     func(r *core.ShardResult) { r.Snapshot-- },
		"newer snapshot":     func(r *core.ShardResult) { r.Snapshot++ },
		"negative shard":     func(r *core.ShardResult) { r.Shard = -1 },
		"shard out of range": func(r *core.ShardResult) { r.Shard = 100 },
		"gone shard out of range": func(r *core.ShardResult) {
			*r = core.ShardResult{Shard: 100, Missing: core.ReasonSnapshotGone}
		},
		"shard of another owner": func(r *core.ShardResult) { r.Shard = 1 },
		"no rows":                func(r *core.ShardResult) { r.Rows = nil },
	} {
		for _, lost := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(41)
					f.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
						for _, ref := range b.Shards {
							r := emptyRows(b, ref.Shard)
							if h == "h0" && ref.Shard == 2 {
								corrupt(&r)
							}
							sink(r)
						}
						if h == "h0" && lost {
							return callError(false)
						}
						return nil
					}
					a := f.query(t)
					if want := map[bool]int{false: shards - 1, true: shards}[lost]; a.Answered != want || a.Snapshot != 41 {
						t.Errorf("%d shards answered, want %d of snapshot 41", a.Answered, want)
					}
					if f.entry.RejectedResults() != 1 {
						t.Errorf("%d results counted as rejected, want 1", f.entry.RejectedResults())
					}
				})
			})
		}
	}
}

// TestLateResults guards against an answer that waits for an owner that hangs, and
// against one that later results change.
func TestLateResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(41)
		f.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			if h == "h0" {
				time.Sleep(2 * queryTimeout)
			}
			answerAll(b, sink)
			return nil
		}
		a := f.query(t)
		time.Sleep(4 * queryTimeout)
		checkAnswer(t, a, core.Partial, 41, 2, core.ReasonDeadline)
	})
}

// TestRefresh guards against a replica group without live replicas that keeps its old
// snapshots, and against a new owner that removes valid ones before it has asked its
// replicas.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(41)
		f.snapshots = func(_ context.Context, h core.HostID) ([]core.GroupSnapshot, error) {
			if h == "h0" { // group 0 has no live replica, the replicas of group 2 were not asked yet
				return []core.GroupSnapshot{core.EmptyGroup(0)}, nil
			}
			return slices.Concat(groupSnapshots(1, 42), groupSnapshots(3, 41)), nil
		}
		f.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			for _, ref := range b.Shards {
				sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonSnapshotGone})
			}
			return nil
		}
		f.query(t) // the results drop snapshot 41 of all groups, then the table is refreshed
		for g, want := range []int{0, 1, 0, 1} {
			if got := len(f.table.Snapshots(service, core.GroupID(g))); got != want {
				t.Errorf("group %d holds %d snapshots, want %d", g, got, want)
			}
		}
		f.setSnapshots(41)
		f.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			if b.Shards[0].Shard == 1 {
				sink(core.ShardResult{Shard: 1, Missing: core.ReasonSnapshotGone})
			}
			return nil
		}
		f.snapshots = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) {
			return []core.GroupSnapshot{core.EmptyGroup(0)}, nil
		}
		f.query(t)
		for g, want := range []int{0, 0, 1, 1} { // group 0 has no live replica, the result for group 1 dropped its snapshot
			if got := len(f.table.Snapshots(service, core.GroupID(g))); got != want {
				t.Errorf("group %d holds %d snapshots, want %d", g, got, want)
			}
		}
	})
}

// TestRefreshIntervalDependsOnUse guards against a host that asks the owners of every service
// four times a second, even of services that its callers do not query, and against one
// that never refreshes a service that is not in use.
func TestRefreshIntervalDependsOnUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(41)
		var requests atomic.Int64
		f.snapshots = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) {
			requests.Add(1)
			return nil, callError(true)
		}
		ctx, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = f.entry.Run(ctx) })
		count := func(d time.Duration) int64 {
			before := requests.Load()
			time.Sleep(d) // virtual time
			return requests.Load() - before
		}
		time.Sleep(time.Second) // the first refresh of an idle service
		if n := count(30 * time.Second); n < 4 || n > 8 {
			t.Errorf("%d requests in 30 s for a service that nobody queries, want 2 owners every 10 s", n)
		}
		f.query(t)
		if n := count(5 * time.Second); n < 36 {
			t.Errorf("%d requests in 5 s for a service in use, want 2 owners every 250 ms", n)
		}
		stop()
		wg.Wait()
	})
}

// The following methods of fixture implement the dependencies of the Entry.

func (f *fixture) View(time.Time) core.View {
	return core.NewView(1, []core.Host{core.NewHost("h0", "", ""), core.NewHost("h1", "", ""), core.NewHost("h2", "", "")})
}
func (f *fixture) MarkDown(time.Time, core.HostID)                    { f.markedDown.Add(1) }
func (f *fixture) OwnerSet(core.View, core.ServiceName) []core.HostID { return nil }
func (f *fixture) Readers(core.View, core.DataCentre, core.Revision, uint64) []core.HostID {
	return nil
}
func (f *fixture) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (f *fixture) Services() []core.Service {
	s, _ := f.Service(service)
	return []core.Service{s}
}
func (f *fixture) Revision() core.Revision { return 1 }
func (f *fixture) Service(s core.ServiceName) (core.Service, bool) {
	return core.NewService(s, make([][]core.Replica, shards), core.Limits{}), true
}

func (f *fixture) Owner(_ core.View, _ core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	owner, standby = "h0", "h1"
	if g%2 == 1 {
		owner, standby = "h1", "h0"
	}
	if g >= 2 {
		standby = "h2"
	}
	return owner, standby
}

func (f *fixture) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	var ids []core.ShardID
	for _, ref := range b.Shards {
		ids = append(ids, ref.Shard)
	}
	f.mu.Lock()
	f.sentShards[h.ID()] = append(f.sentShards[h.ID()], ids)
	f.pinned = append(f.pinned, b.Snapshot)
	f.mu.Unlock()
	return f.read(ctx, h.ID(), b, sink)
}

func (f *fixture) Snapshots(ctx context.Context, h core.Host, _ core.ServiceName) ([]core.GroupSnapshot, error) {
	return f.snapshots(ctx, h.ID())
}
func (f *fixture) Order(context.Context, core.Host, string, core.RequestID, core.Order, core.GroupID, time.Time) (core.OrderResult, error) {
	return core.OrderResult{}, callError(true)
}
func (f *fixture) Redeem(context.Context, core.Host, string, core.RequestID, core.Order, time.Time) (core.OrderResult, error) {
	return core.OrderResult{}, callError(true)
}
