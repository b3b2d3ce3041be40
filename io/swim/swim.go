// Package swim runs the failure detector over UDP for hosts without a host list: a host
// contacts the seed addresses in its settings, discovers the other hosts, and keeps track
// of them.
//
// # Usage
//
//	m := swim.New(swim.Deps{Detector: d, Seeds: seeds, Log: log})
//	group.Go(func() error { return m.Run(ctx, conn) })
//	hosts := m.HostCount(now)
package swim

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
	// assumedHosts is the number of hosts that is assumed until another host has been
	// found: if it is too high, shared limits stay partly unused; if it is too low, the
	// hosts together exceed them.
	assumedHosts = 32
	// countWindow is how long a lost host is still counted: its last extra calls may lie
	// within the window of the extra-call budget.
	countWindow = 12 * time.Second
	// quietPeriod is how long the number of hosts must not change before a starting
	// host considers its host list complete: twice the shortest interval at which it
	// compares the list with another host's.
	quietPeriod = 400 * time.Millisecond
	// agreementTimeout is how long a starting host waits until its host list equals
	// another host's: in a fleet that changes all the time, that may never happen.
	agreementTimeout = 3 * time.Second
	// aloneTimeout is how long a host waits until it finds another host before it
	// concludes that it is alone.
	aloneTimeout = 20 * time.Second
	// datagramBytes is the size of the receive buffer.
	datagramBytes = 2048
	// receivePause is the pause after a failed read, so that a broken socket doesn't use
	// up processor time.
	receivePause = 300 * time.Millisecond
)

// Deps are the dependencies and settings of a Membership.
type Deps struct {
	Detector *member.Detector
	Seeds    []string // addresses
	Log      *slog.Logger
	Meter    core.Meter
}

// Membership keeps track of the other hosts. It is safe for concurrent use.
type Membership struct {
	Deps

	// mu guards all fields below except for start, which never changes.
	mu     sync.Mutex
	found  map[core.HostID]bool // hosts at the last change of their number
	counts []hostCount          // within countWindow, oldest first
	start  time.Time
	joined bool // see Joined
}

// hostCount is the number of hosts from a time on, this one included.
type hostCount struct {
	since time.Time
	hosts int
}

// New returns a Membership that is not running yet.
func New(d Deps) *Membership {
	d.Meter = core.MeterOr(d.Meter)
	d.Detector.Join(d.Seeds)
	return &Membership{Deps: d, found: make(map[core.HostID]bool), start: time.Now()}
}

// Run sends and receives packets over a UDP connection until ctx ends. It closes the
// connection.
func (m *Membership) Run(ctx context.Context, conn net.PacketConn) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	group.Go(func() error { return m.tick(ctx, conn) })
	group.Go(func() error { return m.receive(ctx, conn) })
	return group.Wait()
}

// HostCount returns the number of hosts that share limits, this one included: the greatest
// number within countWindow, or assumedHosts until the number is known.
func (m *Membership) HostCount(now time.Time) int {
	n, known := m.maxHosts(now)
	if !known {
		return assumedHosts
	}
	return n
}

// Joined reports whether this host knows the other hosts. That is so once it has found
// another host or concluded that it is alone, its host list equals another host's or
// agreementTimeout has passed, and the number of hosts has not changed for quietPeriod.
// Once true, the result stays true.
func (m *Membership) Joined(now time.Time) bool {
	_, known := m.maxHosts(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.counts)
	agreed := m.Detector.Synced() || now.Sub(m.start) >= agreementTimeout
	if known && agreed && (n == 0 || now.Sub(m.counts[n-1].since) >= quietPeriod) {
		m.joined = true
	}
	return m.joined
}

// maxHosts returns the greatest number of hosts within countWindow. known is false while
// no other host has been found and aloneTimeout has not passed.
func (m *Membership) maxHosts(now time.Time) (hosts int, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts = 1
	for _, c := range m.counts {
		hosts = max(hosts, c.hosts)
	}
	return hosts, hosts > 1 || now.Sub(m.start) > aloneTimeout
}

// SetReady announces to the other hosts whether this host serves requests.
func (m *Membership) SetReady(ready bool) { m.Detector.SetStatus(member.Status{Ready: ready}) }

// Leave announces that this host leaves. The announcement spreads with the next ticks.
func (m *Membership) Leave() { m.Detector.Leave() }

func (m *Membership) tick(ctx context.Context, conn net.PacketConn) error {
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		m.send(conn, m.Detector.Tick(now))
		m.observe(now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// observe records the number of hosts and, if it has changed, logs the hosts that were
// found or lost.
func (m *Membership) observe(now time.Time) {
	view := m.Detector.Reachable(now)
	hosts := view.Hosts()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(hosts)
	if last := len(m.counts); last == 0 || m.counts[last-1].hosts != n {
		m.counts = append(m.counts, hostCount{since: now, hosts: n})
		m.logChanges(hosts)
	}
	// A count is valid until the next one: the last count from before the window still
	// belongs to the window.
	for len(m.counts) > 1 && now.Sub(m.counts[1].since) > countWindow {
		m.counts = m.counts[1:]
	}
}

// logChanges logs the hosts that were found or lost since its last call.
func (m *Membership) logChanges(hosts []core.Host) {
	current := make(map[core.HostID]bool, len(hosts))
	for _, h := range hosts {
		current[h.ID()] = true
		if !m.found[h.ID()] {
			m.Log.Info("member: host found", "peer", h.ID(), "data_centre", h.DataCentre(), "hosts", len(hosts))
		}
	}
	for id := range m.found {
		if !current[id] {
			m.Log.Warn("member: host lost", "peer", id, "hosts", len(hosts))
		}
	}
	m.found = current
}

func (m *Membership) send(conn net.PacketConn, sends []member.Send) {
	for _, s := range sends {
		to, err := netip.ParseAddrPort(s.To.Address())
		if err != nil {
			m.Log.Error("member: invalid address of a host", "peer", s.To.ID(), "cause", err)
			continue
		}
		raw, err := gossip.Encode(s.Packet)
		if err != nil {
			m.Log.Error("member: packet cannot be encoded", "cause", err)
			continue
		}
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
			m.Meter.Count("crew_send_errors", 1)
		}
	}
}

func (m *Membership) receive(ctx context.Context, conn net.PacketConn) error {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.Meter.Count("crew_receive_errors", 1)
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(receivePause):
			}
			continue
		}
		packet, err := gossip.Decode(buffer[:n])
		if err != nil {
			m.Meter.Count("crew_malformed_packets", 1)
			continue
		}
		m.send(conn, m.Detector.Receive(time.Now(), packet))
	}
}
