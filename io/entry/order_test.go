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
	orderTimeout = 50 * time.Millisecond
	lifetime     = 300 * time.Millisecond
	service      = core.ServiceName("kiln")
)

// fault is a fault that is injected into the message or a host at one fault point.
type fault int

const (
	none fault = iota
	refuse
	drop
	duplicate
	delay
	pauseLong // delays the message beyond the deadline and the lifetime of a token
	killSender
	killReceiver
	suspendSender   // suspends the sending host for suspendTime, as SIGSTOP does
	suspendReceiver // suspends the receiving host for suspendTime
	faultCount
)

// suspendTime is longer than the limit beyond which a gap counts as a pause.
const suspendTime = 2 * pause.DefaultLimit

// cluster consists of three hosts with a fake network and fake backend servers. Each
// message between them is a fault point.
type cluster struct {
	faults      map[int64]fault // by index of the fault point
	hosts       map[core.HostID]*host
	view        core.View
	faultPoints atomic.Int64 // number of fault points reached so far
	clock       atomic.Int64 // logical clock that orders the events of the history
	start       time.Time
	// staleSends counts the messages that hosts sent after a suspension and before the
	// refresh that follows it.
	staleSends atomic.Int64

	mu         sync.Mutex
	history    []porcupine.Operation
	executions map[string]int // by order id, at all backend servers
}

type host struct {
	cluster *cluster
	id      core.HostID
	dead    atomic.Bool
	entry   *entry.Entry
	owner   *owner.Owner
	links   *links // nil if messages are function calls
	gate    *gate.Gate
	wakeAt  atomic.Int64 // end of the suspension in Unix nanoseconds; 0 after the refresh
}

func newCluster(faults map[int64]fault) *cluster {
	c := &cluster{faults: faults, hosts: map[core.HostID]*host{}, executions: map[string]int{}, start: time.Now()}
	var hosts []core.Host
	for i, id := range []core.HostID{"h1", "h2", "h3"} {
		hosts = append(hosts, core.NewHost(id, "mixco", string(id)))
		h := &host{cluster: c, id: id}
		inc := core.Incarnation(i + 1)
		h.gate = gate.New(h.readClocks, slog.New(slog.DiscardHandler))
		h.owner = owner.New(string(id), h, h.gate.GuardBackend(servers{h}, servers{h}), slog.New(slog.DiscardHandler))
		h.entry = entry.New(entry.Deps{
			Self: id, Incarnation: inc, Settings: h, Placer: place.New(3), Table: snaps.New(),
			Views: c, Peers: h.gate.GuardPeers(h), Local: h.owner, Log: slog.New(slog.DiscardHandler),
			Tokens: order.New(id, inc, order.Options{Max: 8, Lifetime: lifetime}, rand.NewChaCha8([32]byte{byte(i)})),
		})
		c.hosts[id] = h
	}
	c.view = core.NewView(1, hosts)
	return c
}

// suspend suspends the host: each of its goroutines sleeps when it next reads the clocks.
func (h *host) suspend() {
	h.wakeAt.CompareAndSwap(0, time.Now().Add(suspendTime).UnixNano())
	h.readClocks()
}

// readClocks waits for the end of a suspension and then returns both clocks.
func (h *host) readClocks() pause.Reading {
	time.Sleep(time.Until(time.Unix(0, h.wakeAt.Load())))
	now := time.Now()
	return pause.Reading{Wall: now.Round(0), Monotonic: now.Sub(h.cluster.start)}
}

// countStaleSend counts the message that the host is about to send if the host has
// woken from a suspension and has not refreshed since.
func (h *host) countStaleSend() {
	if wakeAt := h.wakeAt.Load(); wakeAt != 0 && time.Now().UnixNano() >= wakeAt {
		h.cluster.staleSends.Add(1)
	}
}

// runGates runs the gates of all hosts until stop is called.
func (c *cluster) runGates() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		wg.Go(func() {
			_ = h.gate.Run(ctx, func(context.Context) error { h.wakeAt.Store(0); return nil })
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (c *cluster) View(time.Time) core.View        { return c.view }
func (c *cluster) MarkDown(time.Time, core.HostID) {}

// nextFault returns the fault of the next message. It first applies a delay, a kill or
// a suspension. The caller applies the other faults.
func (c *cluster) nextFault(from, to *host) fault {
	f := c.faults[c.faultPoints.Add(1)-1]
	switch f {
	case delay:
		time.Sleep(orderTimeout / 4)
	case pauseLong:
		time.Sleep(2 * (orderTimeout + lifetime))
	case killSender:
		from.dead.Store(true)
	case killReceiver:
		if to != nil {
			to.dead.Store(true)
		}
	case suspendSender:
		from.suspend()
	case suspendReceiver:
		if to != nil {
			to.suspend()
		}
	}
	return f
}

// callError returns the error of a failed call.
func callError(notRun bool) error {
	return &core.CallError{Op: "order", Reason: core.ReasonOwnerLost, NotRun: notRun}
}

// send runs do at another host, and injects faults into the request and the reply.
func (h *host) send(ctx context.Context, to core.Host, deadline time.Time, do func(context.Context, *host) core.OrderResult) (core.OrderResult, error) {
	peer := h.cluster.hosts[to.ID()]
	f := h.cluster.nextFault(h, peer)
	if f == refuse || peer.dead.Load() || !time.Now().Before(deadline) {
		return core.OrderResult{}, callError(true)
	}
	if f == drop || h.dead.Load() {
		return core.OrderResult{}, callError(false)
	}
	if f == duplicate {
		go func() {
			time.Sleep(orderTimeout / 8)
			do(context.Background(), peer)
		}()
		go do(context.Background(), peer)
	}
	replies := make(chan core.OrderResult, 1)
	go func() { replies <- do(ctx, peer) }()
	select {
	case r := <-replies:
		f := h.cluster.nextFault(peer, h)
		if f == drop || f == refuse || peer.dead.Load() || ctx.Err() != nil {
			return core.OrderResult{}, callError(false)
		}
		return r, nil
	case <-ctx.Done():
		return core.OrderResult{}, callError(false)
	}
}

func (h *host) Order(ctx context.Context, to core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, deadline time.Time) (core.OrderResult, error) {
	h.countStaleSend()
	if h.links != nil {
		return h.links.client.Order(ctx, to, id, req, o, g, deadline)
	}
	return h.send(ctx, to, deadline, func(ctx context.Context, peer *host) core.OrderResult {
		run := core.OrderCall{OrderID: id, RequestID: req, Service: o.Service, Key: o.Key, Body: o.Body, Deadline: deadline}
		return peer.owner.Order(ctx, run, g)
	})
}

func (h *host) Redeem(ctx context.Context, to core.Host, token string, req core.RequestID, o core.Order, deadline time.Time) (core.OrderResult, error) {
	h.countStaleSend()
	if h.links != nil {
		return h.links.client.Redeem(ctx, to, token, req, o, deadline)
	}
	return h.send(ctx, to, deadline, func(ctx context.Context, peer *host) core.OrderResult {
		return peer.entry.Redeem(ctx, token, req, o, deadline)
	})
}

// execute runs an order at a backend server that the host calls.
func (h *host) execute(call core.OrderCall) ([]byte, error) {
	h.countStaleSend()
	c := h.cluster
	f := c.nextFault(h, nil)
	if f == refuse || h.dead.Load() || !time.Now().Before(call.Deadline) {
		return nil, callError(true)
	}
	if f == drop {
		return nil, callError(false)
	}
	start := c.clock.Add(1)
	time.Sleep(orderTimeout / 16)
	c.mu.Lock()
	c.executions[call.OrderID]++
	c.mu.Unlock()
	c.record(event{token: call.OrderID, execution: true}, start, core.OrderResult{Outcome: core.Complete})
	if f := c.nextFault(h, nil); f == drop || f == refuse || h.dead.Load() {
		return nil, callError(false)
	}
	return []byte(call.OrderID), nil
}

// event is one operation of the history: a caller's order, or its execution.
type event struct {
	token     string
	execution bool
}

func (c *cluster) record(e event, start int64, r core.OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: e, Call: start, Output: r.Outcome, Return: c.clock.Add(1),
	})
}

// sendOrder sends an order as a caller and records the outcome that the caller gets.
func (c *cluster) sendOrder(t *testing.T, at core.HostID, token, body string) {
	h := c.hosts[at]
	if h.dead.Load() {
		return
	}
	start := c.clock.Add(1)
	o := core.Order{Caller: "dispatch", Service: service, Key: token, Body: []byte(body)}
	r := h.entry.Order(context.Background(), token, "r", o, time.Now().Add(orderTimeout))
	if h.dead.Load() {
		r = core.OrderResult{Outcome: core.Unknown}
	}
	if r.Outcome == core.Complete && string(r.Body) != token {
		t.Errorf("answer %q to the order with token %q", r.Body, token)
	}
	c.record(event{token: token}, start, r)
}

// runScenario sends the orders of two tokens to all hosts at the same time, and repeats
// them later, in another encoding, and after the lifetime of the tokens.
func (c *cluster) runScenario(t *testing.T) {
	var tokens []string
	for _, id := range []core.HostID{"h1", "h2"} {
		tokens = append(tokens, c.hosts[id].entry.IssueToken().Token)
	}
	for _, wait := range []time.Duration{0, orderTimeout / 2, lifetime, 3 * lifetime} {
		time.Sleep(wait)
		var wg sync.WaitGroup
		for _, token := range tokens {
			for id := range c.hosts {
				wg.Go(func() { c.sendOrder(t, id, token, "{}") })
			}
			if wait > 0 {
				wg.Go(func() { c.sendOrder(t, "h3", token, "{ }") })
			}
		}
		wg.Wait()
	}
	time.Sleep(10 * lifetime) // until delayed messages and suspended hosts have finished
	c.checkHistory(t)
}

// checkHistory compares the outcomes that callers got with the executions, and checks the
// history against the model.
func (c *cluster) checkHistory(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.staleSends.Load(); n > 0 {
		t.Errorf("faults %v: %d messages sent after a suspension and before the refresh", c.faults, n)
	}
	for token, n := range c.executions {
		if n > 1 {
			t.Errorf("faults %v: order %s ran %d times", c.faults, token, n)
		}
	}
	for _, op := range c.history {
		e, outcome := op.Input.(event), op.Output.(core.Outcome)
		n := c.executions[e.token]
		if outcome == core.NotRun && n != 0 || outcome == core.Complete && n != 1 {
			t.Errorf("faults %v: order %s was answered with %s and ran %d times", c.faults, e.token, outcome, n)
		}
	}
	if !porcupine.CheckOperations(model, c.history) {
		t.Errorf("faults %v: the history is not linearizable", c.faults)
	}
}

// States of one order in the model. A refused order must never run.
const (
	notRun = iota
	refused
	executed
)

// model describes one order. It may execute once, and not after not_run was answered.
// Only an executed order may be answered as complete. The answer unknown is always
// allowed.
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
		case input.(event).execution:
			return state == notRun, executed
		case output == core.Complete:
			return state == executed, executed
		case output == core.NotRun:
			return state != executed, refused
		default:
			return output == core.Unknown, state
		}
	},
}

// runCluster runs the scenario with the given faults and returns the number of fault
// points and of complete answers.
func runCluster(t *testing.T, faults map[int64]fault, overDRPC bool) (faultPoints int64, complete int) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(faults)
		defer c.runGates()()
		if overDRPC {
			defer c.connectLinks(t)()
		}
		c.runScenario(t)
		faultPoints = c.faultPoints.Load()
		for _, op := range c.history {
			if op.Output == core.Complete && !op.Input.(event).execution {
				complete++
			}
		}
	})
	return faultPoints, complete
}

// TestOrderHistoriesWithAFaultAtEachMessage guards against an order that runs twice,
// the answer not_run for an order that ran, and the answer complete for one that did
// not, with each fault at each message.
func TestOrderHistoriesWithAFaultAtEachMessage(t *testing.T) {
	t.Run("function calls", func(t *testing.T) { faultAtEachMessage(t, false) })
	t.Run("drpc links", func(t *testing.T) { faultAtEachMessage(t, true) })
}

func faultAtEachMessage(t *testing.T, overDRPC bool) {
	faultPoints, complete := runCluster(t, nil, overDRPC)
	if complete < 6 {
		t.Fatalf("%d complete answers without faults, want at least 6, one from each of 3 hosts for each of 2 tokens", complete)
	}
	for at := range faultPoints {
		for f := refuse; f < faultCount; f++ {
			runCluster(t, map[int64]fault{at: f}, overDRPC)
		}
	}
}

// TestOrderHistoriesWithManyFaults guards against the same failures with several
// faults in one history.
func TestOrderHistoriesWithManyFaults(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 1))
		faults := map[int64]fault{}
		for range 2 + random.IntN(5) {
			faults[random.Int64N(30)] = fault(1 + random.IntN(int(faultCount)-1))
		}
		runCluster(t, faults, false)
		runCluster(t, faults, true)
	}
}

// The following methods of host implement core.Settings and, together with Order and
// Redeem, core.PeerClient. Reads fail, since these tests send only orders.

func (h *host) Service(core.ServiceName) (core.Service, bool) {
	group := []core.Replica{core.NewReplica("b1", "mixco"), core.NewReplica("b2", "mixco")}
	limits := core.Limits{Slots: 2, Connections: 25, QueueLength: 16}
	return core.NewService(service, [][]core.Replica{group, group, group, group}, limits), true
}
func (h *host) Services() []core.Service                   { return nil }
func (h *host) Caller(core.CallerName) (core.Caller, bool) { return core.Caller{}, false }
func (h *host) Revision() core.Revision                    { return 1 }
func (h *host) Read(context.Context, core.Host, core.ReadBatch, func(core.ShardResult)) error {
	return callError(true)
}
func (h *host) Snapshots(context.Context, core.Host, core.ServiceName) ([]core.GroupSnapshot, error) {
	return nil, callError(true)
}

// servers implements core.Backend for one host.
type servers struct{ host *host }

func (s servers) Status(context.Context, string) (core.ReplicaStatus, error) {
	return core.ReplicaStatus{State: core.ReplicaReady}, nil
}
func (s servers) Read(context.Context, string, core.ReadCall) ([]byte, error) {
	return nil, fmt.Errorf("fake backend server does not support reads")
}
func (s servers) SetConnectionLimit(string, int)               {}
func (s servers) Cancel(context.Context, string, string) error { return nil }
func (s servers) Order(_ context.Context, _ string, call core.OrderCall) ([]byte, error) {
	return s.host.execute(call)
}
