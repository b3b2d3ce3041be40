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
	queryTime = 100 * time.Millisecond
	ackTime   = 25 * time.Millisecond
	shards    = 4
)

// tier is an entry host over scripted owners. Group g belongs to h0 when it is
// even and to h1 when it is odd; the standby is the other one, or h2 for groups
// 2 and 3.
type tier struct {
	entry *entry.Entry
	table *snaps.Table
	read  func(ctx context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error
	held  func(ctx context.Context, h core.HostID) ([]core.GroupSnapshot, error)

	mu   sync.Mutex
	sent map[core.HostID][][]core.ShardID
	pins []core.SnapshotID

	downs atomic.Int64
}

func newTier(snapshots ...core.SnapshotID) *tier {
	c := &tier{table: snaps.New(), sent: map[core.HostID][][]core.ShardID{}}
	c.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
		answerAll(b, sink)
		return nil
	}
	c.held = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) { return nil, failed(true) }
	c.holds(snapshots...)
	c.entry = entry.New(entry.Parts{
		Self: "self", Settings: c, Placer: c, Table: c.table, Views: c, Peers: c, Log: slog.New(slog.DiscardHandler),
		Tokens: order.New("self", 1, order.Options{}, nil),
	})
	return c
}

// holds says that group g holds shard g of each snapshot.
func (c *tier) holds(ids ...core.SnapshotID) {
	for g := range core.GroupID(shards) {
		c.table.Update(service, g, groupHolds(g, ids...))
	}
}

func groupHolds(g core.GroupID, ids ...core.SnapshotID) []core.GroupSnapshot {
	var held []core.GroupSnapshot
	for _, id := range ids {
		held = append(held, core.GroupSnapshot{Group: g, Snapshot: id, ShardCount: shards, Shards: []core.ShardID{core.ShardID(g)}})
	}
	return held
}

func rows(b core.ReadBatch, s core.ShardID) core.ShardResult {
	return core.ShardResult{Shard: s, Snapshot: b.Snapshot, Rows: []byte("[]")}
}

func answerAll(b core.ReadBatch, sink func(core.ShardResult)) {
	for _, ref := range b.Shards {
		sink(rows(b, ref.Shard))
	}
}

// ask sends one query and checks what holds for every answer: it comes before
// the deadline, and coverage is what the rows and the missing shards say.
func (c *tier) ask(t *testing.T) core.Answer {
	t.Helper()
	by := time.Now().Add(queryTime)
	a := c.entry.Query(t.Context(), core.Query{ID: "r", Service: service, Deadline: by, Repeatable: true})
	if !time.Now().Before(by) {
		t.Errorf("the answer comes %v after the deadline", time.Since(by))
	}
	if len(a.Rows) != a.Answered || len(a.Missing) != a.Total-a.Answered {
		t.Errorf("%d of %d answered with %d rows and %d missing", a.Answered, a.Total, len(a.Rows), len(a.Missing))
	}
	return a
}

func expect(t *testing.T, a core.Answer, o core.Outcome, snapshot core.SnapshotID, answered int, why core.Reason) {
	t.Helper()
	if a.Outcome != o || a.Snapshot != snapshot || a.Answered != answered || a.Total != shards {
		t.Errorf("%s: snapshot %d, %d of %d (%v), want %s: %d, %d", a.Outcome, a.Snapshot, a.Answered, a.Total, a.Missing, o, snapshot, answered)
	}
	for _, m := range a.Missing {
		if m.Reason != why {
			t.Errorf("shard %d misses because of %s, want %s", m.Shard, m.Reason, why)
		}
	}
}

// Guards against an answer of two snapshots and coverage by the new shard map
// when the data is repartitioned while a query runs.
func TestRepartitionInMidQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(41)
		c.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			c.table.Update(service, 0, []core.GroupSnapshot{{Snapshot: 42, ShardCount: 1, Shards: []core.ShardID{0}}})
			answerAll(b, sink)
			return nil
		}
		expect(t, c.ask(t), core.Complete, 41, shards, "")
	})
}

// Guards against a partial answer while a newer snapshot can still be read, a
// restart that has no time, a partial answer that becomes not_run or worse by a
// restart, a restart delayed by an owner that hangs, and endless restarts.
func TestSnapshotDroppedInMidQuery(t *testing.T) {
	for _, c := range []struct {
		name     string
		gone     []core.ShardID
		after    time.Duration
		last     core.SnapshotID // newest snapshot that is dropped
		newer    core.SnapshotID
		hangs    core.SnapshotID // answers nothing in time
		outcome  core.Outcome
		snapshot core.SnapshotID
		answered int
		runs     int
	}{
		{"newer", []core.ShardID{2}, queryTime / 4, 41, 42, 0, core.Complete, 42, 4, 2},
		{"no time left", []core.ShardID{2}, queryTime * 8 / 10, 41, 42, 0, core.Partial, 41, 3, 1},
		{"newer hangs", []core.ShardID{2}, queryTime / 4, 41, 42, 42, core.Partial, 41, 3, 2},
		{"none newer", []core.ShardID{2}, queryTime / 4, 41, 0, 0, core.Partial, 41, 3, 1},
		{"none at all", []core.ShardID{0, 1, 2, 3}, queryTime / 4, 41, 0, 0, core.Partial, 41, 0, 1},
		{"each is dropped", []core.ShardID{2}, 0, 99, 42, 0, core.Partial, 43, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTier(41)
				newest := c.newer
				tier.read = func(ctx context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					time.Sleep(c.after)
					if b.Snapshot == c.hangs {
						<-ctx.Done()
						return ctx.Err()
					}
					for _, ref := range b.Shards {
						r := rows(b, ref.Shard)
						if b.Snapshot <= c.last && slices.Contains(c.gone, ref.Shard) {
							r.Rows, r.Missing = nil, core.ReasonSnapshotGone
						}
						sink(r)
					}
					return nil
				}
				tier.held = func(ctx context.Context, h core.HostID) ([]core.GroupSnapshot, error) {
					if c.newer == 0 {
						return nil, failed(true)
					}
					if h == "h0" {
						tier.holds(newest)
						newest++
					}
					<-ctx.Done() // the owner hangs after the news came from elsewhere
					return nil, ctx.Err()
				}
				expect(t, tier.ask(t), c.outcome, c.snapshot, c.answered, core.ReasonSnapshotGone)
				synctest.Wait() // batches that the deadline ended
				slices.Sort(tier.pins)
				if runs := slices.Compact(tier.pins); len(runs) != c.runs {
					t.Errorf("ran on %v, want %d runs", runs, c.runs)
				}
			})
		})
	}
}

// Guards against a rejected result that counts towards coverage, is not
// counted as rejected, stops the host, or keeps the standby from being asked.
func TestRejectedResults(t *testing.T) {
	for name, bad := range map[string]func(*core.ShardResult){
		"older snapshot":       func(r *core.ShardResult) { r.Snapshot-- },
		"newer snapshot":       func(r *core.ShardResult) { r.Snapshot++ },
		"negative shard":       func(r *core.ShardResult) { r.Shard = -1 },
		"shard beyond the map": func(r *core.ShardResult) { r.Shard = 100 },
		"gone beyond the map": func(r *core.ShardResult) {
			*r = core.ShardResult{Shard: 100, Missing: core.ReasonSnapshotGone}
		},
		"shard of another owner": func(r *core.ShardResult) { r.Shard = 1 },
		"no rows":                func(r *core.ShardResult) { r.Rows = nil },
	} {
		for _, lost := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newTier(41)
					c.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
						for _, ref := range b.Shards {
							r := rows(b, ref.Shard)
							if h == "h0" && ref.Shard == 2 {
								bad(&r)
							}
							sink(r)
						}
						if h == "h0" && lost {
							return failed(false)
						}
						return nil
					}
					a := c.ask(t)
					if want := map[bool]int{false: shards - 1, true: shards}[lost]; a.Answered != want || a.Snapshot != 41 {
						t.Errorf("%d answered, want %d", a.Answered, want)
					}
					if c.entry.Rejected() != 1 {
						t.Errorf("%d counted as rejected, want 1", c.entry.Rejected())
					}
				})
			})
		}
	}
}

// Guards against an answer that waits for an owner that hangs, and one that
// changes by results after it.
func TestLateResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(41)
		c.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			if h == "h0" {
				time.Sleep(2 * queryTime)
			}
			answerAll(b, sink)
			return nil
		}
		a := c.ask(t)
		time.Sleep(4 * queryTime)
		expect(t, a, core.Partial, 41, 2, core.ReasonDeadline)
	})
}

// Guards against a dead group that keeps its old snapshots, and against a new
// owner that wipes good ones before it asked its replicas.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(41)
		c.held = func(_ context.Context, h core.HostID) ([]core.GroupSnapshot, error) {
			if h == "h0" { // group 0 is dead, group 2 was not asked yet
				return []core.GroupSnapshot{core.HoldsNothing(0)}, nil
			}
			return slices.Concat(groupHolds(1, 42), groupHolds(3, 41)), nil
		}
		c.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			for _, ref := range b.Shards {
				sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonSnapshotGone})
			}
			return nil
		}
		c.ask(t) // the refusals drop 41 everywhere, then the table is refreshed
		for g, want := range []int{0, 1, 0, 1} {
			if got := len(c.table.Held(service, core.GroupID(g))); got != want {
				t.Errorf("group %d holds %d snapshots, want %d", g, got, want)
			}
		}
		c.holds(41)
		c.read = func(_ context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
			if b.Shards[0].Shard == 1 {
				sink(core.ShardResult{Shard: 1, Missing: core.ReasonSnapshotGone})
			}
			return nil
		}
		c.held = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) {
			return []core.GroupSnapshot{core.HoldsNothing(0)}, nil
		}
		c.ask(t)
		for g, want := range []int{0, 0, 1, 1} { // 0 is dead, 1 was dropped by the refusal
			if got := len(c.table.Held(service, core.GroupID(g))); got != want {
				t.Errorf("group %d holds %d snapshots, want %d", g, got, want)
			}
		}
	})
}

// Guards against a host that asks the owners of every service four times a
// second, whatever its callers query, and against one that forgets a service.
func TestRefreshFollowsUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTier(41)
		var asked atomic.Int64
		c.held = func(context.Context, core.HostID) ([]core.GroupSnapshot, error) {
			asked.Add(1)
			return nil, failed(true)
		}
		ctx, stop := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { _ = c.entry.Run(ctx) })
		count := func(d time.Duration) int64 {
			before := asked.Load()
			time.Sleep(d) // virtual time
			return asked.Load() - before
		}
		time.Sleep(time.Second) // the first refresh of an idle service
		if n := count(30 * time.Second); n < 4 || n > 8 {
			t.Errorf("%d requests in 30 s for a service that nobody queries, want 2 owners every 10 s", n)
		}
		c.ask(t)
		if n := count(5 * time.Second); n < 36 {
			t.Errorf("%d requests in 5 s for a service in use, want 2 owners every 250 ms", n)
		}
		stop()
		done.Wait()
	})
}

// The parts that the entry needs.

func (c *tier) View(time.Time) core.View {
	return core.NewView(1, []core.Host{core.NewHost("h0", "", ""), core.NewHost("h1", "", ""), core.NewHost("h2", "", "")})
}
func (c *tier) MarkDown(time.Time, core.HostID)                    { c.downs.Add(1) }
func (c *tier) OwnerSet(core.View, core.ServiceName) []core.HostID { return nil }
func (c *tier) Readers(core.View, core.DataCentre, core.Revision, uint64) []core.HostID {
	return nil
}
func (c *tier) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (c *tier) Services() []core.Service {
	s, _ := c.Service(service)
	return []core.Service{s}
}
func (c *tier) Revision() core.Revision { return 1 }
func (c *tier) Service(s core.ServiceName) (core.Service, bool) {
	return core.NewService(s, make([][]core.Replica, shards), core.Limits{}), true
}

func (c *tier) Owner(_ core.View, _ core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	owner, standby = "h0", "h1"
	if g%2 == 1 {
		owner, standby = "h1", "h0"
	}
	if g >= 2 {
		standby = "h2"
	}
	return owner, standby
}

func (c *tier) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	var asked []core.ShardID
	for _, ref := range b.Shards {
		asked = append(asked, ref.Shard)
	}
	c.mu.Lock()
	c.sent[h.ID()] = append(c.sent[h.ID()], asked)
	c.pins = append(c.pins, b.Snapshot)
	c.mu.Unlock()
	return c.read(ctx, h.ID(), b, sink)
}

func (c *tier) Snapshots(ctx context.Context, h core.Host, _ core.ServiceName) ([]core.GroupSnapshot, error) {
	return c.held(ctx, h.ID())
}
func (c *tier) Order(context.Context, core.Host, string, core.RequestID, core.Order, core.GroupID, time.Time) (core.OrderResult, error) {
	return core.OrderResult{}, failed(true)
}
func (c *tier) Redeem(context.Context, core.Host, string, core.RequestID, core.Order, time.Time) (core.OrderResult, error) {
	return core.OrderResult{}, failed(true)
}
