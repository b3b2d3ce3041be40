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
	service = core.ServiceName("kiln")
	work    = 10 * time.Millisecond // of one call
	bound   = 3 * time.Second       // for new work to a leaving server
)

// server is one fake backend server.
type server struct {
	state     core.ReplicaState
	refuses   bool // calls, as draining
	snapshots []core.SnapshotID
	gate      chan struct{} // calls wait until it is closed
	wrong     bool          // answers are corrupt
	hung      bool          // the status never comes
	bound     chan struct{} // open connections

	running, most    int // calls, with those that wait for a connection
	conns, mostConns int
	starts           []time.Time
	cancels          int
}

// tier is one owner host over two fake servers.
type tier struct {
	owner  *owner.Owner
	limits core.Limits

	mu      sync.Mutex
	servers map[string]*server
}

func newTier(limits core.Limits) *tier {
	f := &tier{limits: limits, servers: map[string]*server{}}
	for _, address := range []string{"b0", "b1"} {
		f.servers[address] = &server{state: core.ReplicaReady, snapshots: []core.SnapshotID{41}}
	}
	f.owner = owner.New("h", f, f, slog.New(slog.DiscardHandler))
	return f
}

func small() core.Limits {
	return core.Limits{
		Slots: 2, Connections: 25, QueueLength: 256, HedgeBudget: 0.05, RetryBudget: 0.05,
		HedgeFloor: 40 * time.Millisecond, HedgeCeiling: 40 * time.Millisecond,
	}
}

func (f *tier) change(address string, do func(*server)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.servers[address])
}

// all returns the servers as they are now.
func (f *tier) all() map[string]server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]server{}
	for address, s := range f.servers {
		out[address] = *s
	}
	return out
}

// Bound implements core.Bounder, as the client of backend servers does: further
// requests wait for a connection.
func (f *tier) Bound(address string, connections int) {
	f.change(address, func(s *server) { s.bound = make(chan struct{}, connections) })
}

// connect counts a request on its own connection until the result is called.
func (f *tier) connect(address string) (*server, func()) {
	f.mu.Lock()
	s := f.servers[address]
	bound := s.bound
	f.mu.Unlock()
	if bound != nil {
		bound <- struct{}{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.conns++
	s.mostConns = max(s.mostConns, s.conns)
	return s, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.conns--
		if bound != nil {
			<-bound
		}
	}
}

func (f *tier) Status(ctx context.Context, address string) (core.ReplicaStatus, error) {
	s, leave := f.connect(address)
	defer leave()
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

func (f *tier) Read(ctx context.Context, address string, _ core.ReadCall) ([]byte, error) {
	f.change(address, func(s *server) {
		s.running++
		s.most = max(s.most, s.running)
	})
	defer f.change(address, func(s *server) { s.running-- })
	s, leave := f.connect(address)
	defer leave()
	f.mu.Lock()
	s.starts = append(s.starts, time.Now())
	if s.refuses {
		f.mu.Unlock()
		return nil, &core.CallError{Op: "read", Reason: core.ReasonDraining, NotRun: true}
	}
	gate, wrong := s.gate, s.wrong
	f.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
			return nil, &core.CallError{Op: "read", Reason: "cancelled"}
		case <-ctx.Done():
			return nil, &core.CallError{Op: "read", Reason: core.ReasonDeadline}
		}
	}
	time.Sleep(work)
	if wrong {
		return nil, &core.CallError{Op: "read", Reason: core.ReasonWrongAnswer}
	}
	return []byte("[]"), nil
}

func (f *tier) Cancel(_ context.Context, address, _ string) error {
	s, leave := f.connect(address)
	defer leave()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.cancels++
	return nil
}

func (f *tier) Order(context.Context, string, core.OrderRun) ([]byte, error) {
	return nil, errors.New("orders are not part of this test")
}

func (f *tier) Service(s core.ServiceName) (core.Service, bool) {
	group := []core.Replica{core.NewReplica("b0", ""), core.NewReplica("b1", "")}
	return core.NewService(s, [][]core.Replica{group}, f.limits), true
}
func (f *tier) Services() []core.Service                   { return nil }
func (f *tier) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (f *tier) Revision() core.Revision                    { return 1 }

// read sends n reads at once and returns their results.
func (f *tier) read(ctx context.Context, n int, limit time.Duration) []core.ShardResult {
	var mu sync.Mutex
	var out []core.ShardResult
	var wait sync.WaitGroup
	b := core.ReadBatch{
		Query:    core.Query{Service: service, Deadline: time.Now().Add(limit), Repeatable: true},
		Snapshot: 41, Shards: []core.ShardRef{{Shard: 0, Group: 0}},
	}
	for range n {
		wait.Go(func() {
			f.owner.Read(ctx, b, func(r core.ShardResult) {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, r)
			})
		})
	}
	wait.Wait()
	return out
}

func answered(results []core.ShardResult) int {
	n := 0
	for _, r := range results {
		if r.Missing == "" {
			n++
		}
	}
	return n
}

// load sends reads for a time.
func (f *tier) load(t *testing.T, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		f.read(t.Context(), 4, time.Second)
	}
}

// during runs the owner's polls while it does something, and leaves no goroutine.
func (f *tier) during(t *testing.T, do func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { _ = f.owner.Run(ctx) })
	do()
	cancel()
	wait.Wait()
	time.Sleep(2 * time.Second) // polls and cancelled calls end
}

// Guards against new work to a leaving server more than 3 s after its first
// evidence, also when its owner was paused during the announcement: it must ask
// before it uses what it knew.
func TestLeavingServer(t *testing.T) {
	for name, c := range map[string]struct {
		state   core.ReplicaState // in the status, which may lag
		refuses bool
		before  time.Duration // load between the announcement and the pause
		pause   time.Duration
	}{
		"refusal":              {core.ReplicaReady, true, 0, 0},
		"status":               {core.ReplicaDraining, false, 0, 0},
		"status after a pause": {core.ReplicaDraining, false, 0, 20 * time.Second},
		"refusal, then paused": {core.ReplicaReady, true, time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTier(small())
				f.during(t, func() { f.load(t, time.Second) })
				var at time.Time
				f.change("b0", func(s *server) {
					s.state, s.refuses, s.starts = c.state, c.refuses, nil
					at = time.Now()
				})
				f.during(t, func() { f.load(t, c.before) })
				time.Sleep(c.pause) // the process stands still: no polls
				resumed := time.Now()
				f.read(t.Context(), 4, time.Second) // waits for the poll, not the next tick
				if c.pause > 0 && time.Since(resumed) > 10*work {
					t.Errorf("the first reads take %v", time.Since(resumed))
				}
				f.during(t, func() { f.load(t, 2*bound) })
				s := f.all()["b0"]
				for _, start := range s.starts {
					if start.Sub(at) > bound {
						t.Fatalf("new work %v after the evidence", start.Sub(at))
					}
				}
				if len(f.all()["b1"].starts) == 0 {
					t.Error("the other server gets no work")
				}
			})
		})
	}
}

// Guards against more calls than slots and more connections than the cap, with
// load, cancellations and polls together. The client keeps the bound that it is
// given, so this fails when the owner gives none or a higher one.
func TestConnections(t *testing.T) {
	for _, limits := range []core.Limits{small(), {Slots: 6, Connections: 8, QueueLength: 256}, {Slots: 2, Connections: 3, QueueLength: 256}} {
		synctest.Test(t, func(t *testing.T) {
			f := newTier(limits)
			f.change("b0", func(s *server) { s.hung = true })
			f.during(t, func() {
				f.load(t, 3*time.Second)
				for range 50 { // withdrawn reads
					ctx, cancel := context.WithTimeout(t.Context(), work/2)
					f.read(ctx, 30, time.Second)
					cancel()
				}
			})
			for address, s := range f.all() {
				if s.most > min(limits.Slots, limits.Connections/2) || s.mostConns > min(limits.Connections/2, 2*limits.Slots+1) {
					t.Errorf("limits %d and %d: %d calls and %d connections at %s", limits.Slots, limits.Connections, s.most, s.mostConns, address)
				}
			}
		})
	}
}

// Guards against a slot that is given away when a call is cancelled, while it
// still runs at the server.
func TestCancelledCallKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		f.during(t, func() { f.load(t, time.Second) })
		gate := make(chan struct{})
		for _, address := range []string{"b0", "b1"} {
			f.change(address, func(s *server) { s.gate, s.most, s.starts = gate, 0, nil })
		}
		f.during(t, func() {
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), work)
				f.read(ctx, 8, time.Minute)
				cancel()
			}
			for address, s := range f.all() {
				if len(s.starts) != 2 || s.cancels != 2 {
					t.Errorf("%d calls, %d cancelled at %s, want 2 and 2", len(s.starts), s.cancels, address)
				}
			}
			f.change("b0", func(s *server) { s.gate = nil })
			f.change("b1", func(s *server) { s.gate = nil })
			close(gate)
			synctest.Wait()
			if n := answered(f.read(t.Context(), 4, time.Second)); n != 4 {
				t.Errorf("%d answered after the calls returned, want 4", n)
			}
		})
	})
}

// Guards against a slot that is given away at the deadline of its call, while
// the server still runs the call, and against one that is never freed.
func TestCallPastDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		f.during(t, func() { f.load(t, time.Second) })
		gate := make(chan struct{})
		for _, address := range []string{"b0", "b1"} {
			f.change(address, func(s *server) { s.gate, s.starts = gate, nil })
		}
		f.during(t, func() {
			f.read(t.Context(), 8, time.Second)
			f.read(t.Context(), 8, 5*work)
			for address, s := range f.all() {
				if len(s.starts) != 2 {
					t.Errorf("%d calls at %s before the first ended, want 2", len(s.starts), address)
				}
			}
			f.change("b0", func(s *server) { s.gate = nil })
			f.change("b1", func(s *server) { s.gate = nil })
			if n := answered(f.read(t.Context(), 4, time.Second)); n != 4 {
				t.Errorf("%d answered after the calls were given up, want 4", n)
			}
		})
	})
}

// Guards against a new owner that uses all slots at once, while calls of the
// one before it may still run, and one that never gets beyond one.
func TestRampUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		f.during(t, func() {
			f.read(t.Context(), 6, time.Second)
			for address, s := range f.all() {
				if s.most != 1 {
					t.Errorf("%d calls at once at %s during the first three", s.most, address)
				}
			}
			f.load(t, time.Second)
			for address, s := range f.all() {
				if s.most != 2 {
					t.Errorf("%d calls at once at %s after a second, want 2", s.most, address)
				}
			}
		})
	})
}

// Guards against a read of a snapshot sent to a replica that holds another one,
// a corrupt answer that counts, and a batch that runs although it was given up.
func TestRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		f.change("b1", func(s *server) { s.snapshots = []core.SnapshotID{42} })
		f.during(t, func() {
			if n := answered(f.read(t.Context(), 4, time.Second)); n != 4 || len(f.all()["b1"].starts) != 0 {
				t.Errorf("%d answered, %d calls to the replica at another snapshot", n, len(f.all()["b1"].starts))
			}
			f.change("b0", func(s *server) { s.wrong = true })
			for _, r := range f.read(t.Context(), 4, time.Second) {
				if r.Missing != core.ReasonWrongAnswer || r.Rows != nil {
					t.Errorf("a corrupt answer gives %q with reason %q", r.Rows, r.Missing)
				}
			}
			f.change("b0", func(s *server) { s.starts = nil })
			gone, cancel := context.WithCancel(t.Context())
			cancel()
			if r := f.read(gone, 2, time.Second); len(r) != 2 || len(f.all()["b0"].starts) != 0 {
				t.Errorf("%d results and %d calls for a batch that was given up", len(r), len(f.all()["b0"].starts))
			}
		})
	})
}

// Guards against silence about a group whose replicas all hold nothing, and
// against a statement about one that was not asked.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		ask := func(ctx context.Context) []core.GroupSnapshot {
			return f.owner.Snapshots(ctx, service, []core.GroupID{0})
		}
		f.change("b0", func(s *server) { s.snapshots = nil })
		f.change("b1", func(s *server) { s.hung, s.snapshots = true, nil })
		if held := ask(t.Context()); len(held) != 0 {
			t.Errorf("%v although one replica gave no status yet", held)
		}
		f.change("b1", func(s *server) { s.hung = false })
		f.during(t, func() {
			time.Sleep(bound)
			if held := ask(t.Context()); len(held) != 1 || !held[0].IsNothing() {
				t.Errorf("%v, want the statement that the group holds nothing", held)
			}
			f.change("b1", func(s *server) { s.snapshots = []core.SnapshotID{42} })
			time.Sleep(bound)
			if held := ask(t.Context()); len(held) != 1 || held[0].Snapshot != 42 {
				t.Errorf("%v, want snapshot 42", held)
			}
		})
	})
}
