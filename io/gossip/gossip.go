// Package gossip runs the failure detector over UDP and distributes configuration
// and host list to all hosts.
//
// Two hosts of each data centre read the platform. Every packet of the failure
// detector carries a digest and the revision of the active sections and the version
// of the host list. A host whose own values differ pulls the differing parts from the
// sender. A host that applies a change sends its status to three random hosts at once;
// the pings of every second compensate for lost packets.
//
// # Usage
//
//	a, err := gossip.New(deps)
//	err = a.Run(ctx, conn)
//	replies, err := a.SectionsReplies(get) // answers another host
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

const (
	// pullWorkers is more than one, so that one silent host does not block all pulls.
	pullWorkers   = 3
	pullQueueSize = 32
	pullTimeout   = 2 * time.Second
	// olderPullProbability is the probability of pulling sections from a host whose
	// revision is lower. Such a host rarely has newer sections, but may have some after
	// a partition.
	olderPullProbability = 0.25
)

// Deps contains the dependencies of an Agent.
type Deps struct {
	Self     core.Host
	Detector *member.Detector
	Ledger   *config.Ledger
	Platform core.Platform
	Placer   core.Placer
	Exchange core.Exchange
	Log      *slog.Logger
	Meter    core.Meter // may be nil
	// Informed reports whether this host knows the snapshots of all replica groups,
	// without which its queries may miss shards. A starting host waits up to
	// informTimeout until it returns true; may be nil.
	Informed func() bool
}

// Stats contains the counters of an Agent since its start.
type Stats struct {
	Sent, SentBytes   uint64
	Received          uint64
	Malformed         uint64
	Pulls, PullErrors uint64
	RefusedSections   uint64
}

// Agent synchronises one host with the others. Its lock protects the host list, the
// readiness and the reader epoch. The lock must be acquired before the locks of Detector
// and Ledger, never while one of them is held.
type Agent struct {
	Deps
	packer    *wire.Packer
	origins   origins
	pullQueue chan pullRequest
	guard     pullGuard                      // limits concurrent pulls of sections
	conn      atomic.Pointer[net.PacketConn] // nil before Run

	mu        sync.Mutex
	hosts     *member.HostList
	readiness *member.Readiness
	epoch     readerEpoch

	joined    atomic.Bool // published as ready to the other hosts
	ready     atomic.Bool // admits callers
	sent      atomic.Uint64
	sentBytes atomic.Uint64
	received  atomic.Uint64
	malformed atomic.Uint64
	pulled    atomic.Uint64
	pullFails atomic.Uint64
	refused   atomic.Uint64
}

// pullRequest names a host whose status differs from that of this host.
type pullRequest struct {
	from   core.Host
	status member.Status
}

// New returns an agent that is not running yet.
func New(d Deps) (*Agent, error) {
	packer, err := wire.NewPacker()
	if err != nil {
		return nil, err
	}
	d.Meter = core.MeterOr(d.Meter)
	return &Agent{
		Deps:      d,
		packer:    packer,
		pullQueue: make(chan pullRequest, pullQueueSize),
		hosts:     member.NewHostList(),
		readiness: member.NewReadiness(),
	}, nil
}

// Ready reports whether this host admits callers. Once true, it stays true.
func (a *Agent) Ready() bool { return a.ready.Load() }

// Stats returns the current counters.
func (a *Agent) Stats() Stats {
	return Stats{
		Sent: a.sent.Load(), SentBytes: a.sentBytes.Load(), Received: a.received.Load(), Malformed: a.malformed.Load(),
		Pulls: a.pulled.Load(), PullErrors: a.pullFails.Load(), RefusedSections: a.refused.Load(),
	}
}

// Run exchanges packets over a UDP connection until ctx ends, and closes the connection.
func (a *Agent) Run(ctx context.Context, conn net.PacketConn) error {
	a.conn.Store(&conn)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return a.tickLoop(ctx) })
	group.Go(func() error { return a.receiveLoop(ctx, conn) })
	for range pullWorkers {
		group.Go(func() error { return a.pullLoop(ctx) })
	}
	group.Go(func() error { return a.watchConfig(ctx) })
	group.Go(func() error { return a.pollHosts(ctx) })
	group.Go(func() error { return a.start(ctx) })
	return group.Wait()
}

func (a *Agent) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.setStatus()
			// After a pause of the process the time in the tick may be outdated.
			a.send(a.Detector.Tick(time.Now()))
		}
	}
}

// setStatus updates the status that this host sends in its packets.
func (a *Agent) setStatus() {
	a.currentEpoch()
	a.mu.Lock()
	version := a.hosts.Version()
	a.mu.Unlock()
	a.Detector.SetStatus(member.Status{
		Ready:          a.joined.Load(),
		LedgerDigest:   a.Ledger.Digest(),
		LedgerRevision: a.Ledger.Revision(),
		HostsVersion:   version,
	})
}

// announce sends the current status to a few hosts at once.
func (a *Agent) announce() {
	a.setStatus()
	a.send(a.Detector.Announce())
}

// Leave announces to a few hosts that this host is leaving. Gossip informs the others.
func (a *Agent) Leave() {
	a.Detector.Leave()
	a.announce()
}

func (a *Agent) send(packets []member.Send) {
	conn := a.conn.Load()
	if conn == nil {
		return
	}
	for _, s := range packets {
		to, err := netip.ParseAddrPort(s.To.Address())
		if err != nil {
			continue
		}
		raw, err := Encode(s.Packet)
		if err != nil {
			a.Log.Warn("gossip: packet cannot be encoded", "err", err)
			continue
		}
		// Errors are ignored: later packets carry the same information.
		if _, err := (*conn).WriteTo(raw, net.UDPAddrFromAddrPort(to)); err == nil {
			a.sent.Add(1)
			a.sentBytes.Add(uint64(len(raw)))
		}
	}
}

func (a *Agent) receiveLoop(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, maxPacketBytes+1)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "gossip: receive packet")
		}
		if err != nil {
			// Sending to an unreachable host can cause an error in the next read.
			sleep(ctx, time.Millisecond)
			continue
		}
		a.handlePacket(buffer[:n])
	}
}

func (a *Agent) handlePacket(raw []byte) {
	p, err := Decode(raw)
	if err != nil {
		a.malformed.Add(1)
		return
	}
	a.received.Add(1)
	a.send(a.Detector.Receive(time.Now(), p))
	a.compareStatus(p.From, p.Status)
}

// compareStatus queues a pull if the status of another host differs from that of this
// host. If the queue is full, the pull is dropped; a later packet of that host requests it
// again.
func (a *Agent) compareStatus(from core.Host, s member.Status) {
	a.adoptRevision(s)
	if from.ID() == a.Self.ID() || !a.sectionsDiffer(s) && !a.hostsDiffer(s) {
		return
	}
	if !a.hostsDiffer(s) && s.LedgerRevision < a.Ledger.Revision() && rand.Float64() >= olderPullProbability {
		return
	}
	select {
	case a.pullQueue <- pullRequest{from: from, status: s}:
	default:
	}
}

// adoptRevision raises the active revision to that of a host with equal sections, and
// announces it if it increased.
func (a *Agent) adoptRevision(s member.Status) {
	if a.Ledger.AdoptRevision(s.LedgerDigest, s.LedgerRevision) {
		a.announce()
	}
}

func (a *Agent) sectionsDiffer(s member.Status) bool {
	return s.LedgerDigest != 0 && s.LedgerDigest != a.Ledger.Digest()
}

func (a *Agent) hostsDiffer(s member.Status) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return s.HostsVersion > a.hosts.Version()
}

func (a *Agent) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-a.pullQueue:
			// Another pull may have fetched the same changes in the meantime.
			if a.sectionsDiffer(p.status) && a.guard.begin(time.Now()) {
				_, _ = a.pullSections(ctx, p.from)
				a.guard.end()
				a.adoptRevision(p.status)
			}
			if a.hostsDiffer(p.status) {
				a.pullHosts(ctx, p.from)
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
