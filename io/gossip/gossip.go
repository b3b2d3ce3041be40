// Package gossip runs the failure detector over UDP and brings configuration
// and host list to every host.
//
// Two hosts of each data centre read the platform. Every packet of the failure
// detector carries digests of the sections in force and the version of the host
// list; a host whose own differ pulls what differs from the sender. A host that
// takes a change tells three random hosts at once, and the pings of every
// second repair what was lost.
//
// # Usage
//
//	a, err := gossip.New(parts)
//	err = a.Run(ctx, conn)
//	for _, r := range a.SectionsReplies(get) { /* answer another host */ }
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
	// pullers is more than one, so that one silent host does not stop the rest.
	pullers     = 3
	pullQueue   = 32
	pullTimeout = 2 * time.Second
	// olderPullShare is how often a host pulls from one that has seen only
	// older revisions. Such a host rarely has news, but after a partition it may.
	olderPullShare = 0.25
)

// Parts are what an agent works with.
type Parts struct {
	Self     core.Host
	Detector *member.Detector
	Ledger   *config.Ledger
	Platform core.Platform
	Placer   core.Placer
	Exchange core.Exchange
	Log      *slog.Logger
	Meter    core.Meter // may be nil
	// Informed reports whether this host knows what it needs to answer. A host
	// that joins others waits for it before it is ready; may be nil.
	Informed func() bool
}

// Stats counts what an agent did.
type Stats struct {
	Sent, SentBytes   uint64
	Received          uint64
	Malformed         uint64
	Pulls, PullErrors uint64
	RefusedSections   uint64
}

// Agent keeps one host in step with the others. Its lock covers the host list
// and the readiness. It is taken before the locks of detector and ledger, never
// while one of them is held.
type Agent struct {
	Parts
	packer  *wire.Packer
	origins origins
	pulls   chan pull
	flight  flight                         // of section exchanges
	conn    atomic.Pointer[net.PacketConn] // nil before Run

	mu        sync.Mutex
	hosts     *member.HostList
	readiness *member.Readiness
	duty      duty

	joined    atomic.Bool // in the view of owners
	ready     atomic.Bool // admits callers
	sent      atomic.Uint64
	sentBytes atomic.Uint64
	received  atomic.Uint64
	malformed atomic.Uint64
	pulled    atomic.Uint64
	pullFails atomic.Uint64
	refused   atomic.Uint64
}

// pull names a host that has something other than this one.
type pull struct {
	from   core.Host
	status member.Status
}

// New returns an agent that is not running yet.
func New(p Parts) (*Agent, error) {
	packer, err := wire.NewPacker()
	if err != nil {
		return nil, err
	}
	p.Meter = core.MeterOr(p.Meter)
	return &Agent{
		Parts:     p,
		packer:    packer,
		pulls:     make(chan pull, pullQueue),
		hosts:     member.NewHostList(),
		readiness: member.NewReadiness(),
	}, nil
}

// Ready reports whether the host may serve. It never becomes false again.
func (a *Agent) Ready() bool { return a.ready.Load() }

// Stats returns the counts so far.
func (a *Agent) Stats() Stats {
	return Stats{
		Sent: a.sent.Load(), SentBytes: a.sentBytes.Load(), Received: a.received.Load(), Malformed: a.malformed.Load(),
		Pulls: a.pulled.Load(), PullErrors: a.pullFails.Load(), RefusedSections: a.refused.Load(),
	}
}

// Run works over a UDP connection until ctx ends. It closes the connection.
func (a *Agent) Run(ctx context.Context, conn net.PacketConn) error {
	a.conn.Store(&conn)
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return a.tick(ctx) })
	group.Go(func() error { return a.receive(ctx, conn) })
	for range pullers {
		group.Go(func() error { return a.pullLoop(ctx) })
	}
	group.Go(func() error { return a.watchConfig(ctx) })
	group.Go(func() error { return a.watchHosts(ctx) })
	group.Go(func() error { return a.start(ctx) })
	return group.Wait()
}

func (a *Agent) tick(ctx context.Context) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.setStatus()
			// The time is read again, since the tick may be old after a pause.
			a.send(a.Detector.Tick(time.Now()))
		}
	}
}

func (a *Agent) setStatus() {
	a.onDuty()
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

// announce tells a few hosts at once that something changed here.
func (a *Agent) announce() {
	a.setStatus()
	a.send(a.Detector.Announce())
}

// Leave tells some hosts that this one is leaving; gossip tells the others.
func (a *Agent) Leave() {
	a.Detector.Leave()
	a.announce()
}

func (a *Agent) send(sends []member.Send) {
	conn := a.conn.Load()
	if conn == nil {
		return
	}
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.To.Address())
		if err != nil {
			continue
		}
		raw, err := Encode(s.Packet)
		if err != nil {
			a.Log.Warn("gossip: packet not encoded", "err", err)
			continue
		}
		// A lost packet is repaired by the next ones.
		if _, err := (*conn).WriteTo(raw, net.UDPAddrFromAddrPort(to)); err == nil {
			a.sent.Add(1)
			a.sentBytes.Add(uint64(len(raw)))
		}
	}
}

func (a *Agent) receive(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, maxPacketBytes+1)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "gossip: receive")
		}
		if err != nil {
			// An unreachable host can show up as an error of the next read.
			pause(ctx, time.Millisecond)
			continue
		}
		a.take(buffer[:n])
	}
}

func (a *Agent) take(raw []byte) {
	p, err := Decode(raw)
	if err != nil {
		a.malformed.Add(1)
		return
	}
	a.received.Add(1)
	a.send(a.Detector.Receive(time.Now(), p))
	a.compare(p.From, p.Status)
}

// compare queues a pull when another host seems to know something else. A full
// queue drops it; the digests of later packets start it again.
func (a *Agent) compare(from core.Host, s member.Status) {
	a.note(s)
	if from.ID() == a.Self.ID() || !a.sectionsDiffer(s) && !a.hostsDiffer(s) {
		return
	}
	if !a.hostsDiffer(s) && s.LedgerRevision < a.Ledger.Revision() && rand.Float64() >= olderPullShare {
		return
	}
	select {
	case a.pulls <- pull{from: from, status: s}:
	default:
	}
}

// note takes over the revision of a host with the same sections in force.
func (a *Agent) note(s member.Status) {
	if a.Ledger.Note(s.LedgerDigest, s.LedgerRevision) {
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
		case p := <-a.pulls:
			// Another pull may have brought the same news meanwhile.
			if a.sectionsDiffer(p.status) && a.flight.begin(time.Now()) {
				_, _ = a.pullSections(ctx, p.from)
				a.flight.end()
				a.note(p.status)
			}
			if a.hostsDiffer(p.status) {
				a.pullHosts(ctx, p.from)
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter returns a time between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
