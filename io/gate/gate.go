// Package gate keeps a process that was paused from sending requests based on its
// outdated view of the hosts. The gate closes when a pause is detected and opens after
// a refresh.
//
// # Usage
//
//	g := gate.New(gate.Clocks(), log)
//	backend, peers := g.GuardBackend(client, client), g.GuardPeers(peerClient)
//	err := g.Run(ctx, refresh)
package gate

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
)

const (
	observeInterval = 100 * time.Millisecond
	// refreshTimeout bounds the refresh after a pause. If the platform cannot be read
	// by then, the host serves with its last sections, as it does whenever the
	// platform is down.
	refreshTimeout = 2 * time.Second
	// refreshJitter spreads the refreshes of hosts that wake up at the same time.
	refreshJitter = 50 * time.Millisecond
)

// Gate closes when the process was paused and opens after the view and the sections
// were refreshed. While it is closed, no call goes to a backend server or another host
// on the basis of the outdated view.
type Gate struct {
	detector   *pause.Detector
	readClocks func() pause.Reading
	log        *slog.Logger
	refreshDue chan struct{} // signals Run to refresh; has a buffer of one

	mu        sync.Mutex    // makes detecting and counting a pause atomic; see observe
	pauses    atomic.Uint64 // number of pauses detected
	refreshed atomic.Uint64 // highest value of pauses when a finished refresh began; the gate is open if it equals pauses
}

// New returns an open gate that detects pauses with readClocks.
func New(readClocks func() pause.Reading, log *slog.Logger) *Gate {
	g := &Gate{detector: pause.New(pause.DefaultLimit), readClocks: readClocks, log: log, refreshDue: make(chan struct{}, 1)}
	g.detector.Observe(readClocks()) // so that a pause before the first request is detected
	return g
}

// Clocks returns a function that reads the wall clock and the monotonic clock.
func Clocks() func() pause.Reading {
	start := time.Now()
	return func() pause.Reading {
		now := time.Now()
		return pause.Reading{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// Open reports whether requests may be sent. It reads the clocks itself, since after
// a pause the goroutine of a request may run before that of the ticker in Run.
func (g *Gate) Open() bool {
	if gap := g.observe(g.readClocks()); gap > 0 {
		g.log.Warn("gate: process was paused", "gap", gap)
		select {
		case g.refreshDue <- struct{}{}:
		default: // a refresh is already due
		}
	}
	return g.pauses.Load() == g.refreshed.Load()
}

// Pauses returns the number of pauses detected.
func (g *Gate) Pauses() uint64 { return g.pauses.Load() }

// observe returns the length of a new pause, or 0. It detects and counts a pause under
// one lock: the detector reports a pause only once, so otherwise a second goroutine
// could find the gate open before the pause is counted.
func (g *Gate) observe(r pause.Reading) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := g.detector.Observe(r)
	if gap > 0 {
		g.pauses.Add(1)
	}
	return gap
}

// Run observes the clocks and calls refresh after each pause, until ctx ends.
func (g *Gate) Run(ctx context.Context, refresh func(context.Context) error) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.Open()
		case <-g.refreshDue:
			go g.reopen(ctx, refresh)
		}
	}
}

// reopen refreshes and then opens the gate, unless another pause was detected since
// it began. It runs on its own goroutine, so that Run detects a pause during the
// refresh.
func (g *Gate) reopen(ctx context.Context, refresh func(context.Context) error) {
	pauses := g.pauses.Load()
	refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	select {
	case <-time.After(rand.N(refreshJitter)):
	case <-refreshCtx.Done():
	}
	if err := refresh(refreshCtx); err != nil {
		g.log.Warn("gate: refresh after a pause failed, last view and sections stay in use", "err", err)
	}
	// If another pause was counted meanwhile, refreshed stays below pauses and the gate
	// stays closed.
	for old := g.refreshed.Load(); pauses > old; old = g.refreshed.Load() {
		if g.refreshed.CompareAndSwap(old, pauses) {
			g.log.Info("gate: refresh after a pause ended", "open", g.pauses.Load() == pauses)
			return
		}
	}
}

// GuardBackend returns a backend that sends reads and orders through b while the gate is
// open. Its other methods ignore the gate. Connection limits are set with limits.
func (g *Gate) GuardBackend(b core.Backend, limits core.ConnectionLimiter) core.Backend {
	return backend{b, limits, g}
}

// GuardPeers returns peers that send reads, orders and redeemed tokens through p while the
// gate is open. Their other methods ignore the gate.
func (g *Gate) GuardPeers(p core.PeerClient) core.PeerClient { return peers{p, g} }

// closedError returns the error of a call that was not sent because the gate is closed.
func closedError(op, target string, deadline time.Time) error {
	reason := core.ReasonNotReady
	if pause.Remaining(time.Now(), deadline) <= 0 {
		reason = core.ReasonDeadline
	}
	return &core.CallError{Op: op, Target: target, Reason: reason, NotRun: true}
}

// backend also implements core.ConnectionLimiter, since the owner of a replica group limits
// connections only if its backend implements that interface.
type backend struct {
	core.Backend
	core.ConnectionLimiter
	gate *Gate
}

var (
	_ core.Backend           = backend{}
	_ core.ConnectionLimiter = backend{}
	_ core.PeerClient        = peers{}
)

// Read implements core.Backend.
func (b backend) Read(ctx context.Context, address string, c core.ReadCall) ([]byte, error) {
	if !b.gate.Open() {
		return nil, closedError("read", address, c.Deadline)
	}
	return b.Backend.Read(ctx, address, c)
}

// Order implements core.Backend.
func (b backend) Order(ctx context.Context, address string, o core.OrderCall) ([]byte, error) {
	if !b.gate.Open() {
		return nil, closedError("order", address, o.Deadline)
	}
	return b.Backend.Order(ctx, address, o)
}

type peers struct {
	core.PeerClient
	gate *Gate
}

// Read implements core.PeerClient.
func (p peers) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	if !p.gate.Open() {
		return closedError("read", string(h.ID()), b.Query.Deadline)
	}
	return p.PeerClient.Read(ctx, h, b, sink)
}

// Order implements core.PeerClient.
func (p peers) Order(ctx context.Context, h core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.Open() {
		return core.OrderResult{}, closedError("order", string(h.ID()), deadline)
	}
	return p.PeerClient.Order(ctx, h, id, req, o, g, deadline)
}

// Redeem implements core.PeerClient.
func (p peers) Redeem(ctx context.Context, h core.Host, token string, req core.RequestID, o core.Order, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.Open() {
		return core.OrderResult{}, closedError("redeem", string(h.ID()), deadline)
	}
	return p.PeerClient.Redeem(ctx, h, token, req, o, deadline)
}
