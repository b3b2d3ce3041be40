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

// ErrRequestsCut is returned by Run if the shutdown ended while requests were still
// running.
var ErrRequestsCut = errors.New("node: shutdown ended before all requests had finished")

// drainPollInterval is the interval at which a shutdown checks for unused tokens.
const drainPollInterval = 20 * time.Millisecond

// refreshPollInterval is the interval at which a refresh checks whether the view is
// up to date.
const refreshPollInterval = 10 * time.Millisecond

// gossipAnnouncer announces to other hosts by gossip that this host is leaving.
type gossipAnnouncer struct{ agent *gossip.Agent }

// Leave implements core.Announcer.
func (a gossipAnnouncer) Leave(context.Context) { a.agent.Leave() }

var _ core.Announcer = gossipAnnouncer{}

// drainHandler counts the running requests of callers. While the host is leaving,
// it asks callers to close their connections, which the host will close soon.
type drainHandler struct {
	next    http.Handler
	leaving *atomic.Bool
	running atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *drainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.leaving.Load() {
		// Closing idle connections from this side instead could lose requests that
		// callers have already sent on them.
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

// Ready reports whether the load balancer may send new requests to this host.
func (n *Node) Ready() bool { return n.serving() && !n.leaving.Load() }

// serving reports whether this host accepts requests. A leaving host still does.
func (n *Node) serving() bool { return n.gate.Open() && n.agent.Ready() }

// drain announces that this host is leaving, keeps serving for LBLag, and then waits
// until all requests have ended and callers have had time to use their tokens. It
// returns ErrRequestsCut if requests still run when the shutdown bound has passed or
// Abort is closed. shutdownCallers shuts down the HTTP server for callers.
func (n *Node) drain(shutdownCallers func(context.Context) error, peers *peer.Server) error {
	tokenWait := n.largestDeadline()
	bound := n.opts.ShutdownBound
	if bound == 0 {
		bound = tokenWait + n.opts.LBLag
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
	n.log.Info("node: host leaves", "lb_lag", n.opts.LBLag, "bound", bound, "token_hold", tokenWait)
	n.leaving.Store(true)
	n.opts.Announcer.Leave(ctx)
	sleep(ctx, n.opts.LBLag)
	_ = shutdownCallers(ctx) // the requests that still run are counted below
	n.awaitTokens(ctx, tokenWait)
	exchanges := peers.Drain(ctx)
	issued, orders, _ := n.tokens.Unfinished(time.Now(), n.opts.TokenLifetime)
	requests := n.drainHandler.running.Load()
	if requests > 0 || exchanges > 0 || orders > 0 {
		n.log.Error("node: shutdown cut requests short", "caller_requests", requests,
			"host_requests", exchanges, "orders", orders, "unused_tokens", issued, "request_ids", n.active.ids())
		return ErrRequestsCut
	}
	n.log.Info("node: host has left", "unused_tokens", issued)
	return nil
}

// largestDeadline returns the largest deadline of the active caller sections.
func (n *Node) largestDeadline() time.Duration {
	var largest time.Duration
	for _, v := range n.ledger.Versions() {
		if c, ok := n.ledger.Caller(core.CallerName(v.Section().Key().Name)); ok {
			largest = max(largest, c.Policy().Deadline)
		}
	}
	return largest
}

// awaitTokens waits until no order runs and every unused token is older than maxAge.
// A caller may still use a younger one: it sends the order to another host, which
// forwards it to this one.
func (n *Node) awaitTokens(ctx context.Context, maxAge time.Duration) {
	for ctx.Err() == nil {
		issued, running, changed := n.tokens.Unfinished(time.Now(), maxAge)
		if issued+running == 0 {
			return
		}
		if running == 0 {
			sleep(ctx, drainPollInterval)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// run serves until ctx ends or a component fails. If ctx has ended, it drains the
// host before it stops the components.
func (n *Node) run(ctx context.Context, peers, callers net.Listener) error {
	server, err := peer.NewServer(handler{n})
	if err != nil {
		return err
	}
	server.SetMeter(n.meter())
	server.SetLimits("hosts", n.opts.Clients)
	limits := conns.Options{Listener: "callers", Head: caller.HeadLimits}
	hostShare := 0
	if l := n.opts.Clients; l != nil {
		limits.Connections, limits.Budget, limits.Refusals = l.Shares.Callers, l.Budget, l.Refusals
		hostShare = l.Shares.Hosts
	}
	connections := conns.NewLimited(limits)
	httpServer := caller.NewServer(n.drainHandler)
	httpServer.ConnState = connections.ConnState
	// The components run until the drain has ended, beyond the end of ctx.
	group, work, stop := newGroup()
	defer stop()
	group.Go(func() error { return server.Serve(work, n.opts.Clients.Guard("hosts", peers, hostShare)) })
	group.Go(func() error { return connections.Serve(httpServer, callers) })
	group.Go(func() error {
		connections.Watch(work, func() time.Duration { return 0 }) // httpServer has an idle timeout
		return nil
	})
	group.Go(func() error { return n.serveAdmin(work) })
	group.Go(func() error { return n.owner.Run(work) })
	group.Go(func() error { return n.entry.Run(work) })
	group.Go(func() error { return n.runGossip(work) })
	group.Go(func() error { return n.gate.Run(work, n.refresh) })
	group.Go(func() error {
		defer stop()
		defer func() { _ = httpServer.Close() }()
		select {
		case <-ctx.Done():
			return n.drain(func(ctx context.Context) error { return connections.Shutdown(ctx, httpServer, callers) }, server)
		case <-work.Done():
			return nil
		}
	})
	return group.Wait()
}

// refresh updates this host after a pause of the process. It waits until the view is
// up to date and then compares the sections and the host list with another host.
func (n *Node) refresh(ctx context.Context) error {
	for !n.detector.Fresh(time.Now()) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, refreshPollInterval)
	}
	return n.agent.Refresh(ctx)
}
