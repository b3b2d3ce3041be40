// Package crew runs the failure detector of hosts without a host list over UDP: a host
// greets the seeds of its settings, learns of the others, and keeps track of them.
//
// # Usage
//
//	c := crew.New(crew.Parts{Detector: d, Seeds: seeds, Log: log})
//	err := c.Run(ctx, conn)
//	hosts := c.Hosts(now)
package crew

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/gossip"
)

const (
	// unknownHosts is assumed while no other host was heard: too many leaves
	// limits unused, too few exceeds them.
	unknownHosts = 32
	// countWindow is how long a host that was lost still counts: what it used
	// lies within the window of the budget of extra calls.
	countWindow = 12 * time.Second
	// settleFor without news, a starting host that agrees with another one on who runs
	// knows the others: two intervals of its comparisons.
	settleFor = 400 * time.Millisecond
	// agreeWithin is how long a host that heard of others waits for such an agreement:
	// in a fleet that changes all the time there may be none.
	agreeWithin = 3 * time.Second
	// aloneAfter is how long a host waits for an answer of a seed before it
	// believes that it is alone.
	aloneAfter     = 20 * time.Second
	datagramBuffer = 2048
	// receivePause after a failed read keeps a broken socket from taking the processor.
	receivePause = 300 * time.Millisecond
)

// Parts are what a crew works with.
type Parts struct {
	Detector *member.Detector
	Seeds    []string // addresses
	Log      *slog.Logger
	Meter    core.Meter
}

// Crew keeps track of the other hosts. Its lock covers the count.
type Crew struct {
	Parts

	mu     sync.Mutex
	known  map[core.HostID]bool
	counts []count
	begin  time.Time
	// settled is set once the others are known.
	settled bool
}

// count is the number of hosts from a time on.
type count struct {
	at    time.Time
	hosts int
}

// New returns a crew that is not running yet.
func New(p Parts) *Crew {
	p.Meter = core.MeterOr(p.Meter)
	p.Detector.Join(p.Seeds)
	return &Crew{Parts: p, known: make(map[core.HostID]bool), begin: time.Now()}
}

// Run works over a UDP connection until ctx ends. It closes the connection.
func (c *Crew) Run(ctx context.Context, conn net.PacketConn) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return c.tick(ctx, conn) })
	group.Go(func() error { return c.receive(ctx, conn) })
	return group.Wait()
}

// Hosts returns how many hosts there are, this one included, as far as limits
// that they share are concerned.
func (c *Crew) Hosts(now time.Time) int {
	n, known := c.most(now)
	if !known {
		return unknownHosts
	}
	return n
}

// Known reports whether this host knows the others: it heard of some, agreed with one of
// them on who runs, and heard of no more for a while, or it waited long enough to believe that it is alone. It never becomes
// false again.
func (c *Crew) Known(now time.Time) bool {
	_, heard := c.most(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.counts)
	agreed := c.Detector.Matched() || now.Sub(c.begin) >= agreeWithin
	if heard && agreed && (n == 0 || now.Sub(c.counts[n-1].at) >= settleFor) {
		c.settled = true
	}
	return c.settled
}

func (c *Crew) most(now time.Time) (hosts int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts = 1
	for _, n := range c.counts {
		hosts = max(hosts, n.hosts)
	}
	return hosts, hosts > 1 || now.Sub(c.begin) > aloneAfter
}

// SetReady tells the others whether this host serves.
func (c *Crew) SetReady(ready bool) { c.Detector.SetStatus(member.Status{Ready: ready}) }

// Leave tells the others that this host leaves; the next ticks spread it.
func (c *Crew) Leave() { c.Detector.Leave() }

func (c *Crew) tick(ctx context.Context, conn net.PacketConn) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		c.send(conn, c.Detector.Tick(now))
		c.observe(now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// observe notes the number of hosts and the ones that came or went.
func (c *Crew) observe(now time.Time) {
	view := c.Detector.Reachable(now)
	hosts := view.Hosts()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(hosts)
	if last := len(c.counts); last == 0 || c.counts[last-1].hosts != n {
		c.counts = append(c.counts, count{at: now, hosts: n})
		c.noteHosts(hosts)
	}
	// The last count before the window held at its beginning.
	for len(c.counts) > 1 && now.Sub(c.counts[1].at) > countWindow {
		c.counts = c.counts[1:]
	}
}

// noteHosts logs the hosts that came or went.
func (c *Crew) noteHosts(hosts []core.Host) {
	now := make(map[core.HostID]bool, len(hosts))
	for _, h := range hosts {
		now[h.ID()] = true
		if !c.known[h.ID()] {
			c.Log.Info("member: host found", "peer", h.ID(), "data_centre", h.DataCentre(), "hosts", len(hosts))
		}
	}
	for id := range c.known {
		if !now[id] {
			c.Log.Warn("member: host lost", "peer", id, "hosts", len(hosts))
		}
	}
	c.known = now
}

func (c *Crew) send(conn net.PacketConn, sends []member.Send) {
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.To.Address())
		if err != nil {
			c.Log.Error("member: address of a host", "peer", s.To.ID(), "cause", err)
			continue
		}
		raw, err := gossip.Encode(s.Packet)
		if err != nil {
			c.Log.Error("member: packet", "cause", err)
			continue
		}
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
			c.Meter.Count("crew_send_errors", 1)
		}
	}
}

func (c *Crew) receive(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, datagramBuffer)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			c.Meter.Count("crew_receive_errors", 1)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(receivePause):
			}
			continue
		}
		packet, err := gossip.Decode(buffer[:n])
		if err != nil {
			c.Meter.Count("crew_malformed_packets", 1)
			continue
		}
		c.send(conn, c.Detector.Receive(time.Now(), packet))
	}
}
