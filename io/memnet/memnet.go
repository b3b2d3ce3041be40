// Package memnet runs many hosts of the query tier in one process. It covers
// failure detection, the host list and the distribution of configuration over an
// in-memory network that can be partitioned. Only tests and experiments use it.
//
// # Usage
//
//	c := memnet.New(log, 500*time.Microsecond)
//	c.Platform.Publish(1, text)
//	h, err := c.Start("host-1", "mixco")
//	c.Platform.SetHosts(c.HostList())
//	c.Cut(func(from, to core.Host) bool { return from.DataCentre() != to.DataCentre() })
//	h.Stop()
package memnet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
	"oriolebarrow/core/place"
	"oriolebarrow/io/gossip"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// inboxLength is the number of received packets that a host queues; further packets
// are lost.
const inboxLength = 256

// Cluster is a set of hosts and the network between them. It is safe for concurrent
// use, but the exported fields must be set before the first call of Start.
type Cluster struct {
	Platform *Platform
	Placer   core.Placer // passed to each new host
	Prepare  func(*Host) // called with each new host before it runs; may be nil
	log      *slog.Logger
	latency  time.Duration

	mu     sync.Mutex       // guards the fields below
	hosts  map[string]*Host // by address
	next   uint64
	cut    func(from, to core.Host) bool
	faults Faults
	rng    *rand.Rand
}

// Faults configures the random faults of the network.
type Faults struct {
	LossRate      float64       // probability that a packet or one reply of a Sections exchange is lost
	DuplicateRate float64       // probability that a packet is sent a second time
	MaxDelay      time.Duration // longest additional latency of the second packet
}

// New returns a cluster without hosts. Each packet or call takes latency in each
// direction.
func New(log *slog.Logger, latency time.Duration) *Cluster {
	return &Cluster{
		Platform: NewPlatform(),
		Placer:   place.New(place.DefaultSetSize),
		log:      log,
		latency:  latency,
		hosts:    make(map[string]*Host),
		cut:      func(_, _ core.Host) bool { return false },
		rng:      rand.New(rand.NewPCG(1, 1)),
	}
}

// Host is one host of a Cluster.
type Host struct {
	Self     core.Host
	Ledger   *config.Ledger
	Detector *member.Detector
	Agent    *gossip.Agent

	cluster     *Cluster
	pulledBytes atomic.Uint64
	packer      *wire.Packer

	platformCut   atomic.Bool
	documentReads atomic.Uint64

	inbox     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	resumed   chan struct{} // closed by Resume; nil unless the host is paused
	cancel    context.CancelFunc
	done      chan error
}

// Start runs a new host. It doesn't add the host to the host list: call
// Platform.SetHosts for that.
func (c *Cluster) Start(id core.HostID, dc core.DataCentre) (*Host, error) {
	packer, err := wire.NewPacker()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.next++
	n := c.next
	c.mu.Unlock()
	address := fmt.Sprintf("10.%d.%d.%d:1", n>>16&255, n>>8&255, n&255)
	h := &Host{
		Self:    core.NewHost(id, dc, address),
		Ledger:  config.NewLedger(),
		cluster: c,
		packer:  packer,
		inbox:   make(chan []byte, inboxLength),
		closed:  make(chan struct{}),
		done:    make(chan error, 1),
	}
	h.Detector = member.New(h.Self, core.Incarnation(n), rand.New(rand.NewPCG(n, n)))
	log := c.log.With("host", id)
	h.Agent, err = gossip.New(gossip.Deps{
		Self: h.Self, Detector: h.Detector, Ledger: h.Ledger, Platform: hostPlatform{c.Platform, h},
		Placer: c.Placer, Exchange: exchange{h}, Log: log,
	})
	if err != nil {
		return nil, err
	}
	if c.Prepare != nil {
		c.Prepare(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	c.mu.Lock()
	c.hosts[address] = h
	c.mu.Unlock()
	go func() { h.done <- h.Agent.Run(ctx, conn{h}) }()
	return h, nil
}

// Stop ends the host without notifying the other hosts, like a killed process.
func (h *Host) Stop() {
	h.cluster.mu.Lock()
	delete(h.cluster.hosts, h.Self.Address())
	h.cluster.mu.Unlock()
	h.cancel()
	<-h.done
}

// PulledBytes returns the encoded size of the requests and replies of the
// Sections and Hosts exchanges that this host started, without the framing of
// drpc and TCP.
func (h *Host) PulledBytes() uint64 { return h.pulledBytes.Load() }

// DocumentReads returns the number of complete configuration documents that the
// host read from the platform.
func (h *Host) DocumentReads() uint64 { return h.documentReads.Load() }

// CutPlatform makes the host's reads of the platform fail while cut is true. The
// network between hosts isn't affected.
func (h *Host) CutPlatform(cut bool) { h.platformCut.Store(cut) }

func (h *Host) countPulled(messages ...proto.Message) {
	for _, m := range messages {
		h.pulledBytes.Add(uint64(proto.Size(m)))
	}
}

// HostList returns the running hosts in the form of a host list.
func (c *Cluster) HostList() []core.HostEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]core.HostEntry, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, core.HostEntry{Host: h.Self})
	}
	return out
}

// Cut drops every packet and call from one host to another for which cut returns
// true. A nil function removes the cut.
func (c *Cluster) Cut(cut func(from, to core.Host) bool) {
	if cut == nil {
		cut = func(_, _ core.Host) bool { return false }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// SetFaults replaces the random faults of the network.
func (c *Cluster) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// occurs decides at random whether a fault occurs. Its probability is the field of
// Faults that rate returns.
func (c *Cluster) occurs(rate func(Faults) float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < rate(c.faults)
}

func (c *Cluster) randomDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Float64() * float64(c.faults.MaxDelay))
}

func lossRate(f Faults) float64      { return f.LossRate }
func duplicateRate(f Faults) float64 { return f.DuplicateRate }

// Pause stops the host at its next input or output, like a process that got
// SIGSTOP. Packets and calls that arrive for it wait until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumed = make(chan struct{})
}

// Resume continues a paused host.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.resumed)
	h.resumed = nil
}

// waitWhilePaused blocks while the host is paused. It returns early when the
// host's connection or done is closed.
func (h *Host) waitWhilePaused(done <-chan struct{}) {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-h.closed:
	case <-done:
	}
}

// reach returns the host at an address and reports whether packets and calls from
// another host can reach it: it runs, and the network isn't cut in that direction.
func (c *Cluster) reach(from core.Host, address string) (*Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.hosts[address]
	return to, ok && !c.cut(from, to.Self)
}

// conn is the packet connection of a host; it implements net.PacketConn.
type conn struct{ host *Host }

// WriteTo sends a packet that arrives after the latency. It returns no error for
// a packet that gets lost, like a write to a UDP socket.
func (c conn) WriteTo(raw []byte, to net.Addr) (int, error) {
	c.host.waitWhilePaused(nil)
	cluster := c.host.cluster
	packet := append([]byte(nil), raw...)
	if !cluster.occurs(lossRate) {
		c.deliver(packet, to, cluster.latency)
	}
	if cluster.occurs(duplicateRate) {
		c.deliver(packet, to, cluster.latency+cluster.randomDelay())
	}
	return len(raw), nil
}

func (c conn) deliver(packet []byte, to net.Addr, after time.Duration) {
	time.AfterFunc(after, func() {
		if h, ok := c.host.cluster.reach(c.host.Self, to.String()); ok {
			select {
			case h.inbox <- packet:
			default: // lost, like a UDP packet when the socket buffer is full
			}
		}
	})
}

func (c conn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case raw := <-c.host.inbox:
		c.host.waitWhilePaused(nil)
		return copy(buffer, raw), c.LocalAddr(), nil
	case <-c.host.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c conn) Close() error {
	c.host.closeOnce.Do(func() { close(c.host.closed) })
	return nil
}

func (c conn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.host.Self.Address()))
}
func (conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// exchange calls the agents of other hosts directly instead of over the network.
type exchange struct{ host *Host }

var errUnreachable = errors.New("memnet: host cannot be reached")

// call waits for one round trip and returns the called host. It fails when the
// network is cut in either direction.
func (e exchange) call(ctx context.Context, h core.Host) (*Host, error) {
	t := time.NewTimer(2 * e.host.cluster.latency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	to, ok := e.host.cluster.reach(e.host.Self, h.Address())
	if !ok {
		return nil, errUnreachable
	}
	e.host.waitWhilePaused(nil)
	to.waitWhilePaused(ctx.Done())
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if _, connected := e.host.cluster.reach(h, e.host.Self.Address()); !connected {
		return nil, errUnreachable
	}
	return to, nil
}

// Sections implements core.Exchange.
func (e exchange) Sections(ctx context.Context, h core.Host, buckets []uint64, sink func([]core.SectionText)) (core.SectionsState, error) {
	var result core.SectionsState
	to, err := e.call(ctx, h)
	if err != nil {
		return result, err
	}
	get := &wire.SectionsGet{Buckets: buckets}
	replies, err := to.Agent.SectionsReplies(get)
	if err != nil {
		return result, err
	}
	e.host.countPulled(get)
	for _, r := range replies {
		if e.host.cluster.occurs(lossRate) {
			return result, errUnreachable
		}
		e.host.countPulled(r)
		texts, err := peer.SectionsFromWire(e.host.packer, r)
		if err != nil {
			return result, err
		}
		sink(texts)
		result = core.SectionsState{Ready: r.Ready, HasDocument: r.HasDocument}
	}
	return result, nil
}

// Hosts implements core.Exchange.
func (e exchange) Hosts(ctx context.Context, h core.Host, buckets []uint64) (core.HostsUpdate, error) {
	to, err := e.call(ctx, h)
	if err != nil {
		return core.HostsUpdate{}, err
	}
	get := &wire.HostsGet{Buckets: buckets}
	r, err := to.Agent.HostsReply(get)
	if err != nil {
		return core.HostsUpdate{}, err
	}
	e.host.countPulled(get, r)
	return peer.HostsFromWire(e.host.packer, r)
}

// States implements core.Exchange.
func (e exchange) States(ctx context.Context, h core.Host) ([]core.PeerUpdate, error) {
	to, err := e.call(ctx, h)
	if err != nil {
		return nil, err
	}
	r, err := to.Agent.StatesReply()
	if err != nil {
		return nil, err
	}
	return peer.StatesFromWire(e.host.packer, r)
}
