// Package node creates and connects the components of one host and runs them.
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
	mrand "math/rand/v2"
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
	"oriolebarrow/io/conns"
	"oriolebarrow/io/entry"
	"oriolebarrow/io/gate"
	"oriolebarrow/io/gossip"
	"oriolebarrow/io/owner"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/plat"
	"oriolebarrow/io/remote"
)

// Options are the settings of one host.
type Options struct {
	ID            core.HostID
	DataCentre    core.DataCentre
	PeerAddress   string // on which other hosts reach this host, over TCP and UDP
	CallerAddress string
	Platform      string // base URL of the platform's services
	TokenLifetime time.Duration
	TokenMax      int
	Connections   int           // limit for a replica that no section configures
	Clients       *conns.Limits // of what clients may make the host hold; may be nil
	// LBLag is the time for which the load balancer may still send requests to a
	// host that is no longer ready. It must not be shorter than the time until other
	// hosts know that the host is leaving.
	LBLag time.Duration
	// ShutdownBound limits the time that a shutdown takes. 0 means the largest
	// deadline of the caller sections that are active when the shutdown begins,
	// plus LBLag.
	ShutdownBound time.Duration
	Abort         <-chan struct{} // closed to end a shutdown at once; may be nil
	Announcer     core.Announcer  // gossip if nil
	// Listen, ListenPacket and Dial replace those of package net unless they are
	// nil.
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         peer.Dial // to hosts and replicas
	Admin        AdminOptions
	Owner        owner.Options
}

func (o Options) withDefaults() Options {
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	if o.ListenPacket == nil {
		o.ListenPacket = net.ListenPacket
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	return o
}

// Node holds the components of one host.
type Node struct {
	opts         Options
	log          *slog.Logger
	self         core.Host
	ledger       *config.Ledger
	detector     *member.Detector
	platform     core.Platform
	backend      *remote.Client
	peers        *peer.Client
	owner        *owner.Owner
	entry        *entry.Entry
	handler      *caller.Handler
	agent        *gossip.Agent
	tokens       *order.Table
	gate         *gate.Gate
	drainHandler *drainHandler
	active       activeRequests
	leaving      atomic.Bool // the shutdown has begun
}

// New creates a host. Run starts it.
func New(o Options, log *slog.Logger) (*Node, error) {
	o = o.withDefaults()
	inc := core.Incarnation(time.Now().UnixNano())
	n := &Node{
		opts:     o,
		log:      log,
		self:     core.NewHost(o.ID, o.DataCentre, o.PeerAddress),
		ledger:   config.NewLedger(),
		platform: plat.New(o.Platform, &http.Client{}),
		backend:  remote.New(remote.Options{Connections: o.Connections, Dial: o.Dial, Meter: meterOf(o.Admin.Metrics)}),
	}
	n.gate = gate.New(gate.Clocks(), log)
	n.detector = member.New(n.self, inc, mrand.New(mrand.NewPCG(uint64(inc), mrand.Uint64())))
	n.peers = peer.NewClient(o.ID, inc, o.Dial)
	n.owner = owner.NewWithOptions(string(o.ID)+"."+time.Now().Format("150405.000000"), n.ledger,
		n.gate.GuardBackend(n.backend, n.backend), log, o.Owner)
	n.peers.SetMeter(n.meter())
	n.owner.SetMeter(n.meter())
	agent, err := n.newAgent()
	if err != nil {
		return nil, err
	}
	n.agent = agent
	if n.opts.Announcer == nil {
		n.opts.Announcer = gossipAnnouncer{agent}
	}
	n.tokens = order.New(o.ID, inc, order.Options{Max: o.TokenMax, Lifetime: o.TokenLifetime, ResultBytes: o.Clients.ResultBytes()}, rand.Reader)
	n.entry = n.newEntry(inc)
	n.handler = caller.New(caller.Deps{
		Requests: trackedRequests{n.entry, &n.active},
		Settings: n.ledger,
		Admitter: admit.New(),
		Ready:    n.serving,
		Lifetime: o.TokenLifetime,
		Observe:  callerObserver(o.Admin.Metrics),
	})
	n.drainHandler = &drainHandler{next: n.handler, leaving: &n.leaving}
	return n, nil
}

func (n *Node) newEntry(inc core.Incarnation) *entry.Entry {
	return entry.New(entry.Deps{
		Self:        n.opts.ID,
		Incarnation: inc,
		Settings:    n.ledger,
		Placer:      place.NewCache(place.New(place.DefaultSetSize)),
		Table:       snaps.New(),
		Views:       n.detector,
		Peers:       n.gate.GuardPeers(n.peers),
		Local:       n.owner,
		Tokens:      n.tokens,
		Log:         n.log,
		Meter:       n.meter(),
	})
}

// Run serves until ctx ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	peers, err := n.opts.Listen("tcp", n.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "node: listen for hosts")
	}
	callers, err := n.opts.Listen("tcp", n.opts.CallerAddress)
	if err != nil {
		_ = peers.Close()
		return errors.Wrap(err, "node: listen for callers")
	}
	n.log.Info("node: host starts", "host", n.opts.ID, "data_centre", n.opts.DataCentre,
		"callers", callers.Addr().String(), "peers", peers.Addr().String())
	defer n.peers.Close()
	defer n.backend.Close()
	return n.run(ctx, peers, callers)
}

// newGroup returns an errgroup and its context, which ends when stop is called or a
// function of the group returns an error.
func newGroup() (*errgroup.Group, context.Context, context.CancelFunc) {
	base, stop := context.WithCancel(context.Background())
	group, work := errgroup.WithContext(base)
	return group, work, stop
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
