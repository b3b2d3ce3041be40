// Package node wires the parts of one host and runs them.
//
// # Usage
//
//	n, err := node.New(options, log)
//	err = n.Run(ctx)
package node

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/admit"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
	"oriolebarrow/core/order"
	"oriolebarrow/core/place"
	"oriolebarrow/core/snaps"
	"oriolebarrow/io/caller"
	"oriolebarrow/io/entry"
	"oriolebarrow/io/owner"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/plat"
	"oriolebarrow/io/remote"
)

const (
	hostsInterval = time.Second
	backoffMin    = 200 * time.Millisecond
)

// Options are the settings of one host.
type Options struct {
	ID            core.HostID
	DataCentre    core.DataCentre
	PeerAddress   string // other hosts reach this host here, TCP and UDP
	CallerAddress string
	Platform      string // base URL of the platform's services
	TokenLifetime time.Duration
	TokenMax      int
	Connections   int // to one replica
	Admin         AdminOptions
}

// Node is one host.
type Node struct {
	opts     Options
	log      *slog.Logger
	self     core.Host
	ledger   *config.Ledger
	roster   *member.Roster
	platform core.Platform
	backend  *remote.Client
	peers    *peer.Client
	owner    *owner.Owner
	entry    *entry.Entry
	tokens   *order.Table
	handler  *caller.Handler
	ready    atomic.Bool
}

// New returns a host that is not running yet.
func New(o Options, log *slog.Logger) *Node {
	inc := core.Incarnation(time.Now().UnixNano())
	n := &Node{
		opts:     o,
		log:      log,
		self:     core.NewHost(o.ID, o.DataCentre, o.PeerAddress),
		ledger:   config.NewLedger(),
		platform: plat.New(o.Platform, &http.Client{}),
		backend:  remote.New(remote.Options{Connections: o.Connections}),
	}
	n.roster = member.NewRoster(n.self)
	n.peers = peer.NewClient(o.ID, inc, new(net.Dialer).DialContext)
	n.owner = owner.New(string(o.ID)+"."+time.Now().Format("150405.000000"), n.ledger, n.backend, log)
	n.tokens = order.New(o.ID, inc, order.Options{Max: o.TokenMax, Lifetime: o.TokenLifetime}, rand.Reader)
	n.entry = entry.New(entry.Parts{
		Self:        o.ID,
		Incarnation: inc,
		Settings:    n.ledger,
		Placer:      place.New(place.DefaultSetSize),
		Table:       snaps.New(),
		Views:       n.roster,
		Peers:       n.peers,
		Local:       n.owner,
		Tokens:      n.tokens,
		Log:         log,
	})
	n.handler = caller.New(caller.Parts{
		Requests: n.entry,
		Settings: n.ledger,
		Admitter: admit.New(),
		Ready:    n.ready.Load,
		Lifetime: o.TokenLifetime,
		Observe:  observer(o.Admin.Metrics),
	})
	return n
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp", n.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "node: listen for hosts")
	}
	callers, err := net.Listen("tcp", n.opts.CallerAddress)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "node: listen for callers")
	}
	server, err := peer.NewServer(handler{n})
	if err != nil {
		return err
	}
	n.log.Info("node: host starts", "host", n.opts.ID, "data_centre", n.opts.DataCentre,
		"callers", callers.Addr().String(), "peers", peers.Addr().String())
	defer n.peers.Close()
	defer n.backend.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(ctx, peers) })
	group.Go(func() error { return n.serveCallers(ctx, callers) })
	group.Go(func() error { return n.serveAdmin(ctx) })
	group.Go(func() error { return n.owner.Run(ctx) })
	group.Go(func() error { return n.entry.Run(ctx) })
	group.Go(func() error { return n.watchConfig(ctx) })
	group.Go(func() error { return n.watchHosts(ctx) })
	return group.Wait()
}

func (n *Node) serveCallers(ctx context.Context, l net.Listener) error {
	s := caller.NewServer(n.handler)
	return caller.Serve(ctx, s, func() error { return s.Serve(l) })
}

func (n *Node) watchConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		doc, err := n.platform.Document(ctx, n.ledger.Revision())
		if err == nil {
			_, err = n.ledger.Apply(doc)
		}
		if err != nil {
			n.log.Warn("config: document not taken", "err", err)
			pause(ctx, backoffMin)
			continue
		}
		if !n.ready.Swap(true) {
			n.log.Info("node: host is ready", "revision", n.ledger.Revision())
		}
	}
	return nil
}

func (n *Node) watchHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		entries, err := n.platform.Hosts(ctx)
		if err != nil {
			n.log.Warn("member: host list not read", "err", err)
		}
		n.roster.Publish(entries)
		pause(ctx, hostsInterval)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
