package entry_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/core/order"
	"oriolebarrow/core/pause"
	"oriolebarrow/core/place"
	"oriolebarrow/core/snaps"
	"oriolebarrow/io/entry"
	"oriolebarrow/io/gate"
	"oriolebarrow/io/owner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	deadline = 50 * time.Millisecond
	lifetime = 300 * time.Millisecond
	service  = core.ServiceName("kiln")
)

// fault is what happens to one message.
type fault int

const (
	none fault = iota
	refuse
	drop
	duplicate
	delay
	pauseLong // beyond the deadline and the token's life
	killSender
	killReceiver
	stopSender   // SIGSTOP of the host that sends, until it wakes
	stopReceiver // SIGSTOP of the host that receives
	lastFault
)

// stopTime is longer than the limit above which a gap counts as a pause.
const stopTime = 2 * pause.DefaultLimit

// world runs three hosts over a fake network and fake backend servers.
type world struct {
	faults map[int64]fault // by message, in sending order
	hosts  map[core.HostID]*host
	view   core.View
	points atomic.Int64
	clock  atomic.Int64 // orders the events of the history
	start  time.Time
	// outdated counts messages that a host sent after it woke and before its refresh.
	outdated atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
	runs    map[string]int // the backend servers' journal
}

type host struct {
	world *world
	id    core.HostID
	dead  atomic.Bool
	entry *entry.Entry
	owner *owner.Owner
	links *links // nil: messages are function calls
	gate  *gate.Gate
	wake  atomic.Int64 // unix nanoseconds; 0 once refreshed
}

func newWorld(faults map[int64]fault) *world {
	w := &world{faults: faults, hosts: map[core.HostID]*host{}, runs: map[string]int{}, start: time.Now()}
	var all []core.Host
	for i, id := range []core.HostID{"h1", "h2", "h3"} {
		all = append(all, core.NewHost(id, "mixco", string(id)))
		h := &host{world: w, id: id}
		inc := core.Incarnation(i + 1)
		h.gate = gate.New(h.clocks, slog.New(slog.DiscardHandler))
		h.owner = owner.New(string(id), h, h.gate.Backend(servers{h}, servers{h}), slog.New(slog.DiscardHandler))
		h.entry = entry.New(entry.Parts{
			Self: id, Incarnation: inc, Settings: h, Placer: place.New(3), Table: snaps.New(),
			Views: w, Peers: h.gate.Peers(h), Local: h.owner, Log: slog.New(slog.DiscardHandler),
			Tokens: order.New(id, inc, order.Options{Max: 8, Lifetime: lifetime}, rand.NewChaCha8([32]byte{byte(i)})),
		})
		w.hosts[id] = h
	}
	w.view = core.NewView(1, all)
	return w
}

// stop suspends the host: its goroutines halt where they next read the clocks.
func (h *host) stop() {
	h.wake.CompareAndSwap(0, time.Now().Add(stopTime).UnixNano())
	h.clocks()
}

func (h *host) clocks() pause.Reading {
	time.Sleep(time.Until(time.Unix(0, h.wake.Load())))
	now := time.Now()
	return pause.Reading{Wall: now.Round(0), Monotonic: now.Sub(h.world.start)}
}

// sends notes a message that leaves the host.
func (h *host) sends() {
	if wake := h.wake.Load(); wake != 0 && time.Now().UnixNano() >= wake {
		h.world.outdated.Add(1)
	}
}

// watch runs the gates of all hosts.
func (w *world) watch() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watched sync.WaitGroup
	for _, h := range w.hosts {
		watched.Go(func() {
			_ = h.gate.Run(ctx, func(context.Context) error { h.wake.Store(0); return nil })
		})
	}
	return func() {
		cancel()
		watched.Wait()
	}
}

func (w *world) View(time.Time) core.View        { return w.view }
func (w *world) MarkDown(time.Time, core.HostID) {}

// next returns the fault of the next message and waits if it is late.
func (w *world) next(from, to *host) fault {
	f := w.faults[w.points.Add(1)-1]
	switch f {
	case delay:
		time.Sleep(deadline / 4)
	case pauseLong:
		time.Sleep(2 * (deadline + lifetime))
	case killSender:
		from.dead.Store(true)
	case killReceiver:
		if to != nil {
			to.dead.Store(true)
		}
	case stopSender:
		from.stop()
	case stopReceiver:
		if to != nil {
			to.stop()
		}
	}
	return f
}

func failed(notRun bool) error {
	return &core.CallError{Op: "order", Reason: core.ReasonOwnerLost, NotRun: notRun}
}

// send carries a request and its reply between two hosts.
func (h *host) send(ctx context.Context, to core.Host, by time.Time, do func(context.Context, *host) core.OrderResult) (core.OrderResult, error) {
	peer := h.world.hosts[to.ID()]
	f := h.world.next(h, peer)
	if f == refuse || peer.dead.Load() || !time.Now().Before(by) {
		return core.OrderResult{}, failed(true)
	}
	if f == drop || h.dead.Load() {
		return core.OrderResult{}, failed(false)
	}
	if f == duplicate {
		go func() {
			time.Sleep(deadline / 8)
			do(context.Background(), peer)
		}()
		go do(context.Background(), peer)
	}
	replies := make(chan core.OrderResult, 1)
	go func() { replies <- do(ctx, peer) }()
	select {
	case r := <-replies:
		f := h.world.next(peer, h)
		if f == drop || f == refuse || peer.dead.Load() || ctx.Err() != nil {
			return core.OrderResult{}, failed(false)
		}
		return r, nil
	case <-ctx.Done():
		return core.OrderResult{}, failed(false)
	}
}

func (h *host) Order(ctx context.Context, to core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, by time.Time) (core.OrderResult, error) {
	h.sends()
	if h.links != nil {
		return h.links.client.Order(ctx, to, id, req, o, g, by)
	}
	return h.send(ctx, to, by, func(ctx context.Context, peer *host) core.OrderResult {
		run := core.OrderRun{OrderID: id, RequestID: req, Service: o.Service, Key: o.Key, Body: o.Body, Deadline: by}
		return peer.owner.Order(ctx, run, g)
	})
}

func (h *host) Redeem(ctx context.Context, to core.Host, token string, req core.RequestID, o core.Order, by time.Time) (core.OrderResult, error) {
	h.sends()
	if h.links != nil {
		return h.links.client.Redeem(ctx, to, token, req, o, by)
	}
	return h.send(ctx, to, by, func(ctx context.Context, peer *host) core.OrderResult {
		return peer.entry.Redeem(ctx, token, req, o, by)
	})
}

// run is one order at a backend server, called by the host.
func (h *host) run(run core.OrderRun) ([]byte, error) {
	h.sends()
	w := h.world
	f := w.next(h, nil)
	if f == refuse || h.dead.Load() || !time.Now().Before(run.Deadline) {
		return nil, failed(true)
	}
	if f == drop {
		return nil, failed(false)
	}
	start := w.clock.Add(1)
	time.Sleep(deadline / 16)
	w.mu.Lock()
	w.runs[run.OrderID]++
	w.mu.Unlock()
	w.note(event{token: run.OrderID, run: true}, start, core.OrderResult{Outcome: core.Complete})
	if f := w.next(h, nil); f == drop || f == refuse || h.dead.Load() {
		return nil, failed(false)
	}
	return []byte(run.OrderID), nil
}

// event is one operation of the history: a caller's order, or its execution.
type event struct {
	token string
	run   bool
}

func (w *world) note(e event, start int64, r core.OrderResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: len(w.history), Input: e, Call: start, Output: r.Outcome, Return: w.clock.Add(1),
	})
}

// ask sends an order as a caller and records what it was told.
func (w *world) ask(t *testing.T, at core.HostID, token, body string) {
	h := w.hosts[at]
	if h.dead.Load() {
		return
	}
	start := w.clock.Add(1)
	o := core.Order{Caller: "dispatch", Service: service, Key: token, Body: []byte(body)}
	r := h.entry.Order(context.Background(), token, "r", o, time.Now().Add(deadline))
	if h.dead.Load() {
		r = core.OrderResult{Outcome: core.Unknown}
	}
	if r.Outcome == core.Complete && string(r.Body) != token {
		t.Errorf("answer %q to the order of %q", r.Body, token)
	}
	w.note(event{token: token}, start, r)
}

// scenario repeats two tokens at all hosts at once, later, re-encoded, and
// after their life.
func (w *world) scenario(t *testing.T) {
	var tokens []string
	for _, id := range []core.HostID{"h1", "h2"} {
		tokens = append(tokens, w.hosts[id].entry.IssueToken().Token)
	}
	for _, wait := range []time.Duration{0, deadline / 2, lifetime, 3 * lifetime} {
		time.Sleep(wait)
		var all sync.WaitGroup
		for _, token := range tokens {
			for id := range w.hosts {
				all.Go(func() { w.ask(t, id, token, "{}") })
			}
			if wait > 0 {
				all.Go(func() { w.ask(t, "h3", token, "{ }") })
			}
		}
		all.Wait()
	}
	time.Sleep(10 * lifetime) // paused parts wake and end
	w.check(t)
}

// check compares what callers were told with the journal, without the model.
func (w *world) check(t *testing.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.outdated.Load(); n > 0 {
		t.Errorf("faults %v: %d messages sent between waking and the refresh", w.faults, n)
	}
	for token, n := range w.runs {
		if n > 1 {
			t.Errorf("faults %v: %s ran %d times", w.faults, token, n)
		}
	}
	for _, op := range w.history {
		e, outcome := op.Input.(event), op.Output.(core.Outcome)
		n := w.runs[e.token]
		if outcome == core.NotRun && n != 0 || outcome == core.Complete && n != 1 {
			t.Errorf("faults %v: %s answered %s and ran %d times", w.faults, e.token, outcome, n)
		}
	}
	if !porcupine.CheckOperations(model, w.history) {
		t.Errorf("faults %v: the history is not linearizable", w.faults)
	}
}

// States of one order in the model. Refused is the promise that it never runs.
const (
	notRun = iota
	refused
	done
)

// model is one order: an execution is possible once and never after not_run;
// complete is told only after it; unknown tells nothing.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byToken := map[string][]porcupine.Operation{}
		for _, op := range history {
			token := op.Input.(event).token
			byToken[token] = append(byToken[token], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byToken {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return notRun },
	Step: func(state, input, output any) (bool, any) {
		switch {
		case input.(event).run:
			return state == notRun, done
		case output == core.Complete:
			return state == done, done
		case output == core.NotRun:
			return state != done, refused
		default:
			return output == core.Unknown, state
		}
	},
}

func runWorld(t *testing.T, faults map[int64]fault, linked bool) (points int64, complete int) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(faults)
		defer w.watch()()
		if linked {
			defer w.connect(t)()
		}
		w.scenario(t)
		points = w.points.Load()
		for _, op := range w.history {
			if op.Output == core.Complete && !op.Input.(event).run {
				complete++
			}
		}
	})
	return points, complete
}

// Guards against an order that runs twice, a not_run for an order that ran, and
// a complete for one that did not, with each fault at each message.
func TestOrderHistoriesWithAFaultAtEachMessage(t *testing.T) {
	t.Run("calls", func(t *testing.T) { faultAtEachMessage(t, false) })
	t.Run("links", func(t *testing.T) { faultAtEachMessage(t, true) })
}

func faultAtEachMessage(t *testing.T, linked bool) {
	points, complete := runWorld(t, nil, linked)
	if complete < 6 {
		t.Fatalf("%d complete answers without faults, want one at each host for each token", complete)
	}
	for at := range points {
		for f := refuse; f < lastFault; f++ {
			runWorld(t, map[int64]fault{at: f}, linked)
		}
	}
}

// Guards against the same with several faults in one history.
func TestOrderHistoriesWithManyFaults(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1))
		faults := map[int64]fault{}
		for range 2 + random.IntN(5) {
			faults[random.Int64N(30)] = fault(1 + random.IntN(int(lastFault)-1))
		}
		runWorld(t, faults, false)
		runWorld(t, faults, true)
	}
}

// The parts of core.Settings, core.Backend and core.Peers that orders need.

func (h *host) Service(core.ServiceName) (core.Service, bool) {
	group := []core.Replica{core.NewReplica("b1", "mixco"), core.NewReplica("b2", "mixco")}
	limits := core.Limits{Slots: 2, Connections: 25, QueueLength: 16}
	return core.NewService(service, [][]core.Replica{group, group, group, group}, limits), true
}
func (h *host) Services() []core.Service                   { return nil }
func (h *host) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (h *host) Revision() core.Revision                    { return 1 }
func (h *host) Read(context.Context, core.Host, core.ReadBatch, func(core.ShardResult)) error {
	return failed(true)
}
func (h *host) Snapshots(context.Context, core.Host, core.ServiceName) ([]core.GroupSnapshot, error) {
	return nil, failed(true)
}

// servers implements core.Backend for one host.
type servers struct{ host *host }

func (s servers) Status(context.Context, string) (core.ReplicaStatus, error) {
	return core.ReplicaStatus{State: core.ReplicaReady}, nil
}
func (s servers) Read(context.Context, string, core.ReadCall) ([]byte, error) {
	return nil, fmt.Errorf("reads are not part of this test")
}
func (s servers) Bound(string, int)                            {}
func (s servers) Cancel(context.Context, string, string) error { return nil }
func (s servers) Order(_ context.Context, _ string, run core.OrderRun) ([]byte, error) {
	return s.host.run(run)
}
