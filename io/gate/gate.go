// Package gate keeps a process that was paused from sending work on its outdated
// view. The gate closes when a pause is seen and opens after a refresh.
//
// # Usage
//
//	g := gate.New(gate.Clocks(), log)
//	servers, hosts := g.Backend(client, client), g.Peers(links)
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
	pauseTick = 100 * time.Millisecond
	// refreshLimit bounds the refresh after a pause. Without a platform the host
	// then serves its last sections, as it does when the platform is down.
	refreshLimit = 2 * time.Second
	// refreshJitter spreads the refreshes of hosts that wake together.
	refreshJitter = 50 * time.Millisecond
)

// Gate closes when the process was paused and opens once view and sections are
// fresh. While it is closed, nothing is sent that the outdated view decided.
type Gate struct {
	detector *pause.Detector
	read     func() pause.Reading
	log      *slog.Logger
	wake     chan struct{} // holds one pending refresh

	mu    sync.Mutex    // held while a gap is observed and counted
	gaps  atomic.Uint64 // pauses seen
	fresh atomic.Uint64 // pauses after which the refresh has ended
}

// New returns an open gate over the given clocks.
func New(read func() pause.Reading, log *slog.Logger) *Gate {
	g := &Gate{detector: pause.New(pause.DefaultLimit), read: read, log: log, wake: make(chan struct{}, 1)}
	g.detector.Observe(read()) // a pause before the first request counts as well
	return g
}

// Clocks returns a reader of both clocks.
func Clocks() func() pause.Reading {
	start := time.Now()
	return func() pause.Reading {
		now := time.Now()
		return pause.Reading{Wall: now.Round(0), Monotonic: now.Sub(start)}
	}
}

// Open reports whether work may be sent. It reads the clocks itself, since the
// goroutine of a request may wake before the ticker's.
func (g *Gate) Open() bool {
	if gap := g.observe(g.read()); gap > 0 {
		g.log.Warn("gate: process was paused", "gap", gap)
		select {
		case g.wake <- struct{}{}:
		default: // a refresh is due already
		}
	}
	return g.gaps.Load() == g.fresh.Load()
}

// Pauses returns the number of pauses seen.
func (g *Gate) Pauses() uint64 { return g.gaps.Load() }

// observe counts a gap in the same step, since the detector reports it once: otherwise a
// second caller could pass before the count is raised.
func (g *Gate) observe(r pause.Reading) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	gap := g.detector.Observe(r)
	if gap > 0 {
		g.gaps.Add(1)
	}
	return gap
}

// Run observes the clocks and refreshes after each pause until ctx ends.
func (g *Gate) Run(ctx context.Context, refresh func(context.Context) error) error {
	tick := time.NewTicker(pauseTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.Open()
		case <-g.wake:
			go g.reopen(ctx, refresh)
		}
	}
}

// reopen runs beside the ticker, so that a pause during the refresh is seen.
func (g *Gate) reopen(ctx context.Context, refresh func(context.Context) error) {
	seen := g.gaps.Load()
	limited, cancel := context.WithTimeout(ctx, refreshLimit)
	defer cancel()
	select {
	case <-time.After(rand.N(refreshJitter)):
	case <-limited.Done():
	}
	if err := refresh(limited); err != nil {
		g.log.Warn("gate: no refresh after a pause, last view and sections stay", "err", err)
	}
	// A refresh that began before a later pause doesn't open the gate.
	for old := g.fresh.Load(); seen > old; old = g.fresh.Load() {
		if g.fresh.CompareAndSwap(old, seen) {
			g.log.Info("gate: host serves again after a pause", "open", g.gaps.Load() == seen)
			return
		}
	}
}

// Backend sends calls to backend servers while the gate is open and passes on
// their connection limits.
func (g *Gate) Backend(b core.Backend, limits core.Bounder) core.Backend {
	return backend{b, limits, g}
}

// Peers sends requests to other hosts while the gate is open.
func (g *Gate) Peers(p core.Peers) core.Peers { return peers{p, g} }

// shut is the refusal of a call that was not sent because the gate is closed.
func shut(op, target string, deadline time.Time) error {
	reason := core.ReasonNotReady
	if pause.Left(time.Now(), deadline) <= 0 {
		reason = core.ReasonDeadline
	}
	return &core.CallError{Op: op, Target: target, Reason: reason, NotRun: true}
}

// backend implements core.Bounder as well, since the owner sets the limits if
// its backend takes them.
type backend struct {
	core.Backend
	core.Bounder
	gate *Gate
}

var (
	_ core.Backend = backend{}
	_ core.Bounder = backend{}
	_ core.Peers   = peers{}
)

// Read implements core.Backend.
func (b backend) Read(ctx context.Context, address string, c core.ReadCall) ([]byte, error) {
	if !b.gate.Open() {
		return nil, shut("read", address, c.Deadline)
	}
	return b.Backend.Read(ctx, address, c)
}

// Order implements core.Backend.
func (b backend) Order(ctx context.Context, address string, o core.OrderRun) ([]byte, error) {
	if !b.gate.Open() {
		return nil, shut("order", address, o.Deadline)
	}
	return b.Backend.Order(ctx, address, o)
}

type peers struct {
	core.Peers
	gate *Gate
}

// Read implements core.Peers.
func (p peers) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	if !p.gate.Open() {
		return shut("read", string(h.ID()), b.Query.Deadline)
	}
	return p.Peers.Read(ctx, h, b, sink)
}

// Order implements core.Peers.
func (p peers) Order(ctx context.Context, h core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.Open() {
		return core.OrderResult{}, shut("order", string(h.ID()), deadline)
	}
	return p.Peers.Order(ctx, h, id, req, o, g, deadline)
}

// Redeem implements core.Peers.
func (p peers) Redeem(ctx context.Context, h core.Host, token string, req core.RequestID, o core.Order, deadline time.Time) (core.OrderResult, error) {
	if !p.gate.Open() {
		return core.OrderResult{}, shut("redeem", string(h.ID()), deadline)
	}
	return p.Peers.Redeem(ctx, h, token, req, o, deadline)
}
