package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/caller"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/gossip"
	"oriolebarrow/io/peer"
)

// ErrCut is returned by Run when a shutdown ended while requests were running.
var ErrCut = errors.New("node: shutdown ended before all requests had finished")

// drainPoll is how often a shutdown looks for issued tokens that are not used yet.
const drainPoll = 20 * time.Millisecond

// refreshPoll is how often a refresh looks whether the view is fresh.
const refreshPoll = 10 * time.Millisecond

// agentAnnouncer tells other hosts by gossip.
type agentAnnouncer struct{ agent *gossip.Agent }

// Leave implements core.Announcer.
func (a agentAnnouncer) Leave(context.Context) { a.agent.Leave() }

var _ core.Announcer = agentAnnouncer{}

// front counts the requests of callers and asks them to close connections that
// a leaving host is about to close.
type front struct {
	next    http.Handler
	leaving *atomic.Bool
	running atomic.Int64
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if f.leaving.Load() {
		// Closing idle connections instead would lose requests that are on the way.
		w.Header().Set("Connection", "close")
	}
	f.next.ServeHTTP(w, r)
}

// Ready reports whether the load balancer may send new requests to this host.
func (n *Node) Ready() bool { return n.serving() && !n.leaving.Load() }

// serving reports whether requests are accepted; a leaving host still does.
func (n *Node) serving() bool { return n.gate.Open() && n.agent.Ready() }

// drain ends the service without interrupting a request. It returns ErrCut when
// the bound or abort came first. shutdown ends the interface for callers.
func (n *Node) drain(shutdown func(context.Context) error, peers *peer.Server) error {
	deadline := n.largestDeadline()
	bound := n.opts.ShutdownBound
	if bound == 0 {
		bound = deadline + n.opts.LBLag
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	go func() {
		select {
		case <-n.opts.Abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	n.log.Info("node: host leaves", "lb_lag", n.opts.LBLag, "bound", bound, "token_hold", deadline)
	n.leaving.Store(true)
	n.opts.Announcer.Leave(ctx)
	wait(ctx, n.opts.LBLag)
	_ = shutdown(ctx) // what still runs is counted below
	n.awaitTokens(ctx, deadline)
	exchanges := peers.Drain(ctx)
	issued, orders, _ := n.tokens.Unfinished(time.Now(), n.opts.TokenLifetime)
	requests := n.front.running.Load()
	if requests > 0 || exchanges > 0 || orders > 0 {
		n.log.Error("node: shutdown cut requests short", "caller_requests", requests,
			"host_requests", exchanges, "orders", orders, "unused_tokens", issued, "request_ids", n.running.ids())
		return ErrCut
	}
	n.log.Info("node: host has left", "unused_tokens", issued)
	return nil
}

// largestDeadline returns the largest deadline of the caller sections in force.
func (n *Node) largestDeadline() time.Duration {
	var largest time.Duration
	for _, v := range n.ledger.Versions() {
		if c, ok := n.ledger.Caller(core.CallerName(v.Section().Key().Name)); ok {
			largest = max(largest, c.Policy().Deadline)
		}
	}
	return largest
}

// awaitTokens waits for running orders and, for the hold time after their
// issue, for tokens that callers may be about to use at other hosts.
func (n *Node) awaitTokens(ctx context.Context, hold time.Duration) {
	for ctx.Err() == nil {
		issued, running, changed := n.tokens.Unfinished(time.Now(), hold)
		if issued+running == 0 {
			return
		}
		if running == 0 {
			wait(ctx, drainPoll)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// run serves until ctx ends or a part fails, then drains.
func (n *Node) run(ctx context.Context, peers, callers net.Listener) error {
	server, err := peer.NewServer(handler{n})
	if err != nil {
		return err
	}
	server.SetMeter(n.meter())
	open := conns.New()
	h := caller.NewServer(n.front)
	h.ConnState = open.Note
	// The parts outlive ctx: they serve until the drain has ended.
	group, work, stop := newGroup()
	defer stop()
	group.Go(func() error { return server.Serve(work, peers) })
	group.Go(func() error { return open.Serve(h, callers) })
	group.Go(func() error { return n.serveAdmin(work) })
	group.Go(func() error { return n.owner.Run(work) })
	group.Go(func() error { return n.entry.Run(work) })
	group.Go(func() error { return n.runGossip(work) })
	group.Go(func() error { return n.gate.Run(work, n.refresh) })
	group.Go(func() error {
		defer stop()
		defer func() { _ = h.Close() }()
		select {
		case <-ctx.Done():
			return n.drain(func(ctx context.Context) error { return open.Shutdown(ctx, h, callers) }, server)
		case <-work.Done():
			return nil
		}
	})
	return group.Wait()
}

// refresh learns the view and the sections anew after a pause.
func (n *Node) refresh(ctx context.Context) error {
	for !n.roster.Fresh(time.Now()) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait(ctx, refreshPoll)
	}
	return n.agent.Refresh(ctx)
}
