// Package memnet runs many hosts of the tier in one process: membership, host
// list and configuration over an in-memory network that can be cut. It serves
// tests and experiments and is no part of a running host.
//
// # Usage
//
//	c := memnet.New(log, 500*time.Microsecond)
//	c.Platform.Publish(1, text)
//	h, err := c.Start("host-1", "mixco")
//	c.Platform.SetHosts(c.Entries())
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

// inboxLength is how many packets wait for a host; more are lost.
const inboxLength = 256

// Cluster is a set of hosts and their network. It is safe for concurrent use;
// its one lock covers all fields but Platform
// and the two below it, which are set before hosts start.
type Cluster struct {
	Platform *Platform
	Placer   core.Placer // of hosts started later
	Prepare  func(*Host) // called before a host runs; may be nil
	log      *slog.Logger
	latency  time.Duration

	mu    sync.Mutex
	hosts map[string]*Host // by address
	next  uint64
	cut   func(from, to core.Host) bool
	noise Noise
	rng   *rand.Rand
}

// Noise is what the network does to messages at random.
type Noise struct {
	Lose      float64       // share of packets lost and of exchanges cut short
	Duplicate float64       // share of packets that arrive twice
	Delay     time.Duration // up to which a duplicate arrives later
}

// New returns a cluster without hosts. Packets and calls take latency one way.
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

// Host is one running host.
type Host struct {
	Self     core.Host
	Ledger   *config.Ledger
	Detector *member.Detector
	Agent    *gossip.Agent

	cluster *Cluster
	pulled  atomic.Uint64
	packer  *wire.Packer

	noPlatform atomic.Bool
	documents  atomic.Uint64

	inbox   chan []byte
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	running chan struct{} // open while the host is paused
	cancel  context.CancelFunc
	done    chan error
}

// Start runs a new host. The host list names it only after SetHosts.
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
	h.Agent, err = gossip.New(gossip.Parts{
		Self: h.Self, Detector: h.Detector, Ledger: h.Ledger, Platform: platform{c.Platform, h},
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

// Stop ends the host without notice, as a kill does.
func (h *Host) Stop() {
	h.cluster.mu.Lock()
	delete(h.cluster.hosts, h.Self.Address())
	h.cluster.mu.Unlock()
	h.cancel()
	<-h.done
}

// PulledBytes returns the encoded size of the exchanges that this host asked
// for, both directions, without the framing of drpc and TCP.
func (h *Host) PulledBytes() uint64 { return h.pulled.Load() }

// Documents returns how many whole documents the host took from the platform.
func (h *Host) Documents() uint64 { return h.documents.Load() }

// CutPlatform makes the host's reads of the platform fail, or work again. Other
// hosts can't tell.
func (h *Host) CutPlatform(cut bool) { h.noPlatform.Store(cut) }

func (h *Host) countPull(messages ...proto.Message) {
	for _, m := range messages {
		h.pulled.Add(uint64(proto.Size(m)))
	}
}

// Entries returns the running hosts as a host list.
func (c *Cluster) Entries() []core.HostEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]core.HostEntry, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, core.HostEntry{Host: h.Self})
	}
	return out
}

// Cut drops what goes from one host to another where cut is true; nil heals.
func (c *Cluster) Cut(cut func(from, to core.Host) bool) {
	if cut == nil {
		cut = func(_, _ core.Host) bool { return false }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// Disturb sets what the network does to messages from now on.
func (c *Cluster) Disturb(n Noise) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noise = n
}

// chance draws whether something that happens with a probability happens.
func (c *Cluster) chance(share func(Noise) float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64() < share(c.noise)
}

func (c *Cluster) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Float64() * float64(c.noise.Delay))
}

func lose(n Noise) float64      { return n.Lose }
func duplicate(n Noise) float64 { return n.Duplicate }

// Pause stops the host at its next input or output, as a stopped process; what
// arrives waits for it.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = make(chan struct{})
}

// Resume lets a paused host go on.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.running)
	h.running = nil
}

// await waits while the host is paused, until done at most.
func (h *Host) await(done <-chan struct{}) {
	h.mu.Lock()
	running := h.running
	h.mu.Unlock()
	if running == nil {
		return
	}
	select {
	case <-running:
	case <-h.closed:
	case <-done:
	}
}

func (c *Cluster) reach(from core.Host, address string) (*Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to, ok := c.hosts[address]
	return to, ok && !c.cut(from, to.Self)
}

// conn is the packet connection of a host.
type conn struct{ host *Host }

// WriteTo delivers after the latency, or never: the sender cannot tell.
func (c conn) WriteTo(raw []byte, to net.Addr) (int, error) {
	c.host.await(nil)
	cluster := c.host.cluster
	copied := append([]byte(nil), raw...)
	if !cluster.chance(lose) {
		c.deliver(copied, to, cluster.latency)
	}
	if cluster.chance(duplicate) {
		c.deliver(copied, to, cluster.latency+cluster.delay())
	}
	return len(raw), nil
}

func (c conn) deliver(copied []byte, to net.Addr, after time.Duration) {
	time.AfterFunc(after, func() {
		if h, ok := c.host.cluster.reach(c.host.Self, to.String()); ok {
			select {
			case h.inbox <- copied:
			default: // a full socket buffer loses packets
			}
		}
	})
}

func (c conn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case raw := <-c.host.inbox:
		c.host.await(nil)
		return copy(buffer, raw), c.LocalAddr(), nil
	case <-c.host.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c conn) Close() error {
	c.host.once.Do(func() { close(c.host.closed) })
	return nil
}

func (c conn) LocalAddr() net.Addr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(c.host.Self.Address()))
}
func (conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// exchange calls other hosts in place of the link between hosts.
type exchange struct{ host *Host }

var errCut = errors.New("memnet: host cannot be reached")

// call waits for the latency there and back; a cut in either direction fails it.
func (e exchange) call(ctx context.Context, h core.Host) (*Host, error) {
	t := time.NewTimer(2 * e.host.cluster.latency)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	to, there := e.host.cluster.reach(e.host.Self, h.Address())
	if !there {
		return nil, errCut
	}
	e.host.await(nil)
	to.await(ctx.Done())
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if _, back := e.host.cluster.reach(h, e.host.Self.Address()); !back {
		return nil, errCut
	}
	return to, nil
}

// Sections implements core.Exchange.
func (e exchange) Sections(ctx context.Context, h core.Host, buckets []uint64, sink func([]core.SectionText)) (core.SectionsNews, error) {
	var news core.SectionsNews
	to, err := e.call(ctx, h)
	if err != nil {
		return news, err
	}
	get := &wire.SectionsGet{Buckets: buckets}
	replies, err := to.Agent.SectionsReplies(get)
	if err != nil {
		return news, err
	}
	e.host.countPull(get)
	for _, r := range replies {
		if e.host.cluster.chance(lose) {
			return news, errCut
		}
		e.host.countPull(r)
		texts, err := peer.SectionsFromWire(e.host.packer, r)
		if err != nil {
			return news, err
		}
		sink(texts)
		news = core.SectionsNews{Ready: r.Ready, HasDocument: r.HasDocument}
	}
	return news, nil
}

// Hosts implements core.Exchange.
func (e exchange) Hosts(ctx context.Context, h core.Host, buckets []uint64) (core.HostsNews, error) {
	to, err := e.call(ctx, h)
	if err != nil {
		return core.HostsNews{}, err
	}
	get := &wire.HostsGet{Buckets: buckets}
	r, err := to.Agent.HostsReply(get)
	if err != nil {
		return core.HostsNews{}, err
	}
	e.host.countPull(get, r)
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
