package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
)

const (
	pauseTick = 100 * time.Millisecond
	// refreshLimit bounds the refresh after a pause. Without a platform the host
	// then serves its last sections, as it does when the platform is down.
	refreshLimit = 2 * time.Second
	// refreshJitter spreads the refreshes of hosts that wake together.
	refreshJitter = 50 * time.Millisecond
)

// gate closes when the process was paused and opens once view and sections are
// fresh. While it is closed, nothing is sent that the outdated view decided.
type gate struct {
	detector *pause.Detector
	read     func() pause.Reading
	log      *slog.Logger
	gaps     atomic.Uint64 // pauses seen
	fresh    atomic.Uint64 // pauses after which the refresh has ended
	wake     chan struct{} // holds one pending refresh
}

func newGate(read func() pause.Reading, log *slog.Logger) *gate {
	return &gate{detector: pause.New(pause.DefaultLimit), read: read, log: log, wake: make(chan struct{}, 1)}
}

// clocks returns a reader of both clocks.
func clocks() func() pause.Reading {
	start := time.Now()
	return func() pause.Reading {
		now := time.Now()
		return pause.Reading{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// open reports whether work may be sent. It reads the clocks itself, since the
// goroutine of a request may wake before the ticker's.
func (g *gate) open() bool {
	if gap := g.detector.Observe(g.read()); gap > 0 {
		g.gaps.Add(1)
		g.log.Warn("node: process was paused", "gap", gap)
		select {
		case g.wake <- struct{}{}:
		default: // a refresh is due already
		}
	}
	return g.gaps.Load() == g.fresh.Load()
}

// run observes the clocks and refreshes after each pause until ctx ends.
func (g *gate) run(ctx context.Context, refresh func(context.Context) error) error {
	tick := time.NewTicker(pauseTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.open()
		case <-g.wake:
			go g.reopen(ctx, refresh)
		}
	}
}

// reopen runs beside the ticker, so that a pause during the refresh is seen.
func (g *gate) reopen(ctx context.Context, refresh func(context.Context) error) {
	seen := g.gaps.Load()
	limited, cancel := context.WithTimeout(ctx, refreshLimit)
	defer cancel()
	wait(limited, rand.N(refreshJitter))
	if err := refresh(limited); err != nil {
		g.log.Warn("node: no refresh after a pause, last view and sections stay", "err", err)
	}
	// A refresh that began before a later pause doesn't open the gate.
	for old := g.fresh.Load(); seen > old; old = g.fresh.Load() {
		if g.fresh.CompareAndSwap(old, seen) {
			g.log.Info("node: host serves again after a pause", "open", g.gaps.Load() == seen)
			return
		}
	}
}

// shut is the refusal of a call that was not sent because the gate is closed.
func shut(op, target string, deadline time.Time) error {
	reason := core.ReasonNotReady
	if pause.Left(time.Now(), deadline) <= 0 {
		reason = core.ReasonDeadline
	}
	return &core.CallError{Op: op, Target: target, Reason: reason, NotRun: true}
}

// gatedBackend sends calls to backend servers while the gate is open. It passes
// on the connection limits, which the owner sets if its backend takes them.
type gatedBackend struct {
	core.Backend
	core.Bounder
	gate *gate
}

var (
	_ core.Backend = gatedBackend{}
	_ core.Bounder = gatedBackend{}
	_ core.Peers   = gatedPeers{}
)

// Read implements core.Backend.
func (b gatedBackend) Read(ctx context.Context, address string, c core.ReadCall) ([]byte, error) {
	if !b.gate.open() {
		return nil, shut("read", address, c.Deadline)
	}
	return b.Backend.Read(ctx, address, c)
}

// Order implements core.Backend.
func (b gatedBackend) Order(ctx context.Context, address string, o core.OrderRun) ([]byte, error) {
	if !b.gate.open() {
		return nil, shut("order", address, o.Deadline)
	}
	return b.Backend.Order(ctx, address, o)
}

// gatedPeers sends requests to other hosts while the gate is open.
type gatedPeers struct {
	core.Peers
	gate *gate
}

// Read implements core.Peers.
func (p gatedPeers) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	if !p.gate.open() {
		return shut("read", string(h.ID()), b.Query.Deadline)
	}
	return p.Peers.Read(ctx, h, b, sink)
}

// Order implements core.Peers.
func (p gatedPeers) Order(ctx context.Context, h core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.open() {
		return core.OrderResult{}, shut("order", string(h.ID()), deadline)
	}
	return p.Peers.Order(ctx, h, id, req, o, g, deadline)
}

// Redeem implements core.Peers.
func (p gatedPeers) Redeem(ctx context.Context, h core.Host, token string, req core.RequestID, o core.Order, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.open() {
		return core.OrderResult{}, shut("redeem", string(h.ID()), deadline)
	}
	return p.Peers.Redeem(ctx, h, token, req, o, deadline)
}
