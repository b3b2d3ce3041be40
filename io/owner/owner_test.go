package owner_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/io/owner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	service    = core.ServiceName("kiln")
	callTime   = 10 * time.Millisecond // duration of a call at a server
	drainBound = 3 * time.Second       // time within which new calls to a draining server must stop
)

// server is a fake backend server.
type server struct {
	state     core.ReplicaState
	refuses   bool // refuses calls with the reason draining
	snapshots []core.SnapshotID
	release   chan struct{} // if set, calls hang until it is closed
	corrupt   bool          // answers are corrupt
	hung      bool          // status requests get no answer
	connSlots chan struct{} // holds one element for each open connection

	running, maxRunning int         // calls, including those that wait for a connection
	conns, maxConns     int         // open connections
	starts              []time.Time // start times of the calls
	cancels             int         // cancellation requests received
}

// fixture is an owner and two fake servers that form its only replica group. It
// is the owner's backend and settings.
type fixture struct {
	owner  *owner.Owner
	limits core.Limits

	mu      sync.Mutex
	servers map[string]*server
}

func newFixture(limits core.Limits) *fixture {
	f := &fixture{limits: limits, servers: map[string]*server{}}
	for _, address := range []string{"b0", "b1"} {
		f.servers[address] = &server{state: core.ReplicaReady, snapshots: []core.SnapshotID{41}}
	}
	f.owner = owner.New("h", f, f, slog.New(slog.DiscardHandler))
	return f
}

func smallLimits() core.Limits {
	return core.Limits{
		Slots: 2, Connections: 25, QueueLength: 256, HedgeBudget: 0.05, RetryBudget: 0.05,
		HedgeFloor: 40 * time.Millisecond, HedgeCeiling: 40 * time.Millisecond,
	}
}

func (f *fixture) change(address string, do func(*server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.servers[address])
}

// copies returns copies of the servers as they are now.
func (f *fixture) copies() map[string]server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]server{}
	for address, s := range f.servers {
		out[address] = *s
	}
	return out
}

// SetConnectionLimit implements core.ConnectionLimiter like the real client of backend
// servers: requests beyond the limit wait for a connection.
func (f *fixture) SetConnectionLimit(address string, connections int) {
	f.change(address, func(s *server) { s.connSlots = make(chan struct{}, connections) })
}

// connect opens a connection for one request, and waits while there are too many.
// The returned function closes it.
func (f *fixture) connect(address string) (*server, func()) {
	f.mu.Lock()
	s := f.servers[address]
	connSlots := s.connSlots
	f.mu.Unlock()
	if connSlots != nil {
		connSlots <- struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.conns++
	s.maxConns = max(s.maxConns, s.conns)
	return s, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.conns--
		if connSlots != nil {
			<-connSlots
		}
	}
}

func (f *fixture) Status(ctx context.Context, address string) (core.ReplicaStatus, error) {
	s, disconnect := f.connect(address)
	defer disconnect()
	f.mu.Lock()
	hung, status := s.hung, core.ReplicaStatus{Incarnation: 1, State: s.state}
	for _, id := range s.snapshots {
		status.Snapshots = append(status.Snapshots, core.GroupSnapshot{Snapshot: id, ShardCount: 1, Shards: []core.ShardID{0}})
	}
	f.mu.Unlock()
	if hung {
		<-ctx.Done()
		return core.ReplicaStatus{}, ctx.Err()
	}
	return status, nil
}

func (f *fixture) Read(ctx context.Context, address string, _ core.ReadCall) ([]byte, error) {
	f.change(address, func(s *server) {
		s.running++
		s.maxRunning = max(s.maxRunning, s.running)
	})
	defer f.change(address, func(s *server) { s.running-- })
	s, disconnect := f.connect(address)
	defer disconnect()
	f.mu.Lock()
	s.starts = append(s.starts, time.Now())
	if s.refuses {
		f.mu.Unlock()
		return nil, &core.CallError{Op: "read", Reason: core.ReasonDraining, NotRun: true}
	}
	release, corrupt := s.release, s.corrupt
	f.mu.Unlock()
	if release != nil {
		select {
		case <-release:
			return nil, &core.CallError{Op: "read", Reason: "cancelled"}
		case <-ctx.Done():
			return nil, &core.CallError{Op: "read", Reason: core.ReasonDeadline}
		}
	}
	time.Sleep(callTime)
	if corrupt {
		return nil, &core.CallError{Op: "read", Reason: core.ReasonWrongAnswer}
	}
	return []byte("[]"), nil
}

func (f *fixture) Cancel(_ context.Context, address, _ string) error {
	s, disconnect := f.connect(address)
	defer disconnect()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.cancels++
	return nil
}

func (f *fixture) Order(context.Context, string, core.OrderCall) ([]byte, error) {
	return nil, errors.New("orders are not part of this test")
}

func (f *fixture) Service(s core.ServiceName) (core.Service, bool) {
	group := []core.Replica{core.NewReplica("b0", ""), core.NewReplica("b1", "")}
	return core.NewService(s, [][]core.Replica{group}, f.limits), true
}
func (f *fixture) Services() []core.Service                   { return nil }
func (f *fixture) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (f *fixture) Revision() core.Revision                    { return 1 }

// read sends n reads at the same time and returns their results.
func (f *fixture) read(ctx context.Context, n int, timeout time.Duration) []core.ShardResult {
	var mu sync.Mutex
	var out []core.ShardResult
	var wg sync.WaitGroup
	b := core.ReadBatch{
		Query:    core.Query{Service: service, Deadline: time.Now().Add(timeout), Repeatable: true},
		Snapshot: 41, Shards: []core.ShardRef{{Shard: 0, Group: 0}},
	}
	for range n {
		wg.Go(func() {
			f.owner.Read(ctx, b, func(r core.ShardResult) {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, r)
			})
		})
	}
	wg.Wait()
	return out
}

func countAnswered(results []core.ShardResult) int {
	n := 0
	for _, r := range results {
		if r.Missing == "" {
			n++
		}
	}
	return n
}

// sendLoad sends reads, four at a time, for the duration d.
func (f *fixture) sendLoad(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.read(t.Context(), 4, time.Second)
	}
}

// withPolling runs do while the owner polls its replicas, and returns when the
// owner's goroutines have ended.
func (f *fixture) withPolling(t *testing.T, do func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.owner.Run(ctx) })
	do()
	cancel()
	wg.Wait()
	time.Sleep(2 * time.Second) // until polls and cancelled calls have ended
}

// TestDrainingServer guards against calls to a draining server that start more
// than 3 s after it began to refuse calls or to report draining, also when the
// owner's process is paused meanwhile: after the pause, the owner must get a new
// status before it calls the server.
func TestDrainingServer(t *testing.T) {
	for name, c := range map[string]struct {
		state   core.ReplicaState // in the status, which may be out of date
		refuses bool
		before  time.Duration // time under load between the start of draining and the pause
		pause   time.Duration
	}{
		"refusal":              {core.ReplicaReady, true, 0, 0},
		"status":               {core.ReplicaDraining, false, 0, 0},
		"status after a pause": {core.ReplicaDraining, false, 0, 20 * time.Second},
		"refusal, then paused": {core.ReplicaReady, true, time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(smallLimits())
				f.withPolling(t, func() { f.sendLoad(t, time.Second) })
				var drainStart time.Time
				f.change("b0", func(s *server) {
					s.state, s.refuses, s.starts = c.state, c.refuses, nil
					drainStart = time.Now()
				})
				f.withPolling(t, func() { f.sendLoad(t, c.before) })
				time.Sleep(c.pause) // the process is paused: no polls
				resumed := time.Now()
				f.read(t.Context(), 4, time.Second) // the reads trigger a poll at once
				if c.pause > 0 && time.Since(resumed) > 10*callTime {
					t.Errorf("the first reads after the pause took %v", time.Since(resumed))
				}
				f.withPolling(t, func() { f.sendLoad(t, 2*drainBound) })
				s := f.copies()["b0"]
				for _, start := range s.starts {
					if start.Sub(drainStart) > drainBound {
						t.Fatalf("call starts %v after the server began to drain", start.Sub(drainStart))
					}
				}
				if len(f.copies()["b1"].starts) == 0 {
					t.Error("the other server got no calls")
				}
			})
		})
	}
}

// TestCallAndConnectionLimits guards against more calls than slots and more
// connections than the limit, with load, cancellations and polls together. The fake
// client obeys the limit that the owner passes to SetConnectionLimit, so the test fails
// if the owner passes none or one that is too high.
func TestCallAndConnectionLimits(t *testing.T) {
	for _, limits := range []core.Limits{smallLimits(), {Slots: 6, Connections: 8, QueueLength: 256}, {Slots: 2, Connections: 3, QueueLength: 256}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(limits)
			f.change("b0", func(s *server) { s.hung = true })
			f.withPolling(t, func() {
				f.sendLoad(t, 3*time.Second)
				for range 50 { // reads that are withdrawn
					ctx, cancel := context.WithTimeout(t.Context(), callTime/2)
					f.read(ctx, 30, time.Second)
					cancel()
				}
			})
			for address, s := range f.copies() {
				if s.maxRunning > min(limits.Slots, limits.Connections/2) || s.maxConns > min(limits.Connections/2, 2*limits.Slots+1) {
					t.Errorf("%d slots, %d connections allowed: got %d calls and %d connections at %s", limits.Slots, limits.Connections, s.maxRunning, s.maxConns, address)
				}
			}
		})
	}
}

// TestCancelledCallKeepsItsSlot guards against a slot that is reused as soon as its
// call is cancelled, although the server still runs the call.
func TestCancelledCallKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		f.withPolling(t, func() { f.sendLoad(t, time.Second) })
		release := make(chan struct{})
		for _, address := range []string{"b0", "b1"} {
			f.change(address, func(s *server) { s.release, s.maxRunning, s.starts = release, 0, nil })
		}
		f.withPolling(t, func() {
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), callTime)
				f.read(ctx, 8, time.Minute)
				cancel()
			}
			for address, s := range f.copies() {
				if len(s.starts) != 2 || s.cancels != 2 {
					t.Errorf("%d calls, %d cancelled at %s, want 2 and 2", len(s.starts), s.cancels, address)
				}
			}
			f.change("b0", func(s *server) { s.release = nil })
			f.change("b1", func(s *server) { s.release = nil })
			close(release)
			synctest.Wait()
			if n := countAnswered(f.read(t.Context(), 4, time.Second)); n != 4 {
				t.Errorf("%d answered after the calls returned, want 4", n)
			}
		})
	})
}

// TestCallPastDeadline guards against a slot that is reused at the deadline of its
// call, although the server still runs the call, and against one that is never
// freed.
func TestCallPastDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		f.withPolling(t, func() { f.sendLoad(t, time.Second) })
		release := make(chan struct{})
		for _, address := range []string{"b0", "b1"} {
			f.change(address, func(s *server) { s.release, s.starts = release, nil })
		}
		f.withPolling(t, func() {
			f.read(t.Context(), 8, time.Second)
			f.read(t.Context(), 8, 5*callTime)
			for address, s := range f.copies() {
				if len(s.starts) != 2 {
					t.Errorf("%d calls at %s before the first ended, want 2", len(s.starts), address)
				}
			}
			f.change("b0", func(s *server) { s.release = nil })
			f.change("b1", func(s *server) { s.release = nil })
			if n := countAnswered(f.read(t.Context(), 4, time.Second)); n != 4 {
				t.Errorf("%d answered after the calls timed out, want 4", n)
			}
		})
	})
}

// TestRampUp guards against a new owner that uses all slots at once, although calls
// of the previous owner may still run, and against one that never uses more than one
// slot for each replica.
func TestRampUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		f.withPolling(t, func() {
			f.read(t.Context(), 6, time.Second)
			for address, s := range f.copies() {
				if s.maxRunning != 1 {
					t.Errorf("%d concurrent calls at %s during the first six reads, want 1", s.maxRunning, address)
				}
			}
			f.sendLoad(t, time.Second)
			for address, s := range f.copies() {
				if s.maxRunning != 2 {
					t.Errorf("%d concurrent calls at %s after a second of load, want 2", s.maxRunning, address)
				}
			}
		})
	})
}

// TestRead guards against a read that is sent to a replica with another snapshot, a
// corrupt answer that is accepted, and a batch that runs although its context has
// ended.
func TestRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		f.change("b1", func(s *server) { s.snapshots = []core.SnapshotID{42} })
		f.withPolling(t, func() {
			if n := countAnswered(f.read(t.Context(), 4, time.Second)); n != 4 || len(f.copies()["b1"].starts) != 0 {
				t.Errorf("%d answered, want 4; %d calls to the replica with another snapshot, want 0", n, len(f.copies()["b1"].starts))
			}
			f.change("b0", func(s *server) { s.corrupt = true })
			for _, r := range f.read(t.Context(), 4, time.Second) {
				if r.Missing != core.ReasonWrongAnswer || r.Rows != nil {
					t.Errorf("a corrupt answer gave rows %q and reason %q", r.Rows, r.Missing)
				}
			}
			f.change("b0", func(s *server) { s.starts = nil })
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			if r := f.read(ended, 2, time.Second); len(r) != 2 || len(f.copies()["b0"].starts) != 0 {
				t.Errorf("%d results and %d calls for a cancelled batch, want 2 and 0", len(r), len(f.copies()["b0"].starts))
			}
		})
	})
}

// TestSnapshots guards against a group without snapshots that is not reported as empty
// although the status of every replica is known, and against a group that is reported as
// empty while the status of a replica is unknown.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		query := func(ctx context.Context) []core.GroupSnapshot {
			return f.owner.Snapshots(ctx, service, []core.GroupID{0})
		}
		f.change("b0", func(s *server) { s.snapshots = nil })
		f.change("b1", func(s *server) { s.hung, s.snapshots = true, nil })
		if held := query(t.Context()); len(held) != 0 {
			t.Errorf("got %v although the status of one replica is unknown", held)
		}
		f.change("b1", func(s *server) { s.hung = false })
		f.withPolling(t, func() {
			time.Sleep(drainBound)
			if held := query(t.Context()); len(held) != 1 || !held[0].IsEmpty() {
				t.Errorf("got %v, want the group reported as empty", held)
			}
			f.change("b1", func(s *server) { s.snapshots = []core.SnapshotID{42} })
			time.Sleep(drainBound)
			if held := query(t.Context()); len(held) != 1 || held[0].Snapshot != 42 {
				t.Errorf("got %v, want snapshot 42", held)
			}
		})
	})
}
