// Package member decides which hosts can be used now. The published host list
// lags, so heartbeats between hosts are authoritative. Each host pings one
// other host a second, in random order. If the target does not answer, three
// other hosts are asked to ping it; if they fail too, the target is suspected
// and, unless it refutes the suspicion, declared dead. Without a host list, the
// detector finds the other hosts from seed addresses, see Detector.Join.
//
// A host that does not answer this host leaves this host's view at once. A
// suspicion by another host removes it only after the suspicion timeout. If
// only this host cannot reach a host, only this host's view omits it.
//
// # Usage
//
//	d := member.New(self, incarnation, rng)
//	d.SetHostList(now, entries)
//	for _, s := range d.Tick(now) {
//		send(s.To, s.Packet)
//	}
//	for _, s := range d.Receive(now, packet) {
//		send(s.To, s.Packet)
//	}
//	hosts := d.View(now).Hosts()
package member

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	// TickInterval is the interval at which the caller should call Tick.
	TickInterval = 100 * time.Millisecond

	pingInterval = time.Second
	// ackTimeout is far above the round-trip time between data centres (a few ms).
	ackTimeout = 300 * time.Millisecond
	// probeTimeout is the time until a probe fails. It leaves three times ackTimeout
	// for the pings of the relays.
	probeTimeout = 1200 * time.Millisecond
	// fanout is the number of relays for a probe, and of hosts that a resumed
	// process probes each second until its view is refreshed.
	fanout = 3
	// startupPings is the number of hosts that a host which is not ready pings in
	// each tick, so that in a cold start it soon has answers from more than half of
	// a large fleet.
	startupPings  = 2
	announcePeers = 3
	// maxExtraProbes limits the additional probes per second of hosts that are marked
	// as down, and the probes per tick of hosts that MarkDown was called for.
	maxExtraProbes = 3
	// suspicionBase is the suspicion timeout in a fleet of up to ten hosts. The
	// timeout grows with the logarithm of the fleet size, as does the time in
	// which a refutation spreads.
	suspicionBase = 3 * time.Second
	// deadPingInterval is the interval between pings to dead hosts. They let the
	// two sides of a healed partition find each other.
	deadPingInterval = 3 * time.Second
	// forgetAfter is the time for which a dead host that is no longer listed is
	// remembered. It is longer than the time for which updates about the host are
	// spread; a later one would add it again.
	forgetAfter = time.Minute
	// pauseThreshold is the time without a tick after which this process counts
	// as having been paused.
	pauseThreshold = time.Second
	// maxRefresh limits the time after a pause for which missing answers are ignored.
	maxRefresh = 2 * time.Second
	// recentContact is the time after a packet from a host within which another
	// host's claim that it is dead counts only as a suspicion.
	recentContact   = 2 * time.Second
	maxRelayedPings = 64
	maxPeers        = 20_000 // limits the hosts that faulty updates can add
)

type peer struct {
	host        core.Host
	incarnation core.Incarnation
	state       core.PeerState
	ready       bool // this incarnation has been ready; suspicion does not reset it
	listed      bool
	leaving     bool      // marked as leaving in the host list
	down        bool      // this host could not reach it directly
	probeDue    bool      // MarkDown was called; Tick probes it
	since       time.Time // start of state
	heard       time.Time // arrival of its last packet
	status      Status
}

// reachable reports whether the host is presumed to be running and not leaving,
// whether or not it is ready. A listed host that has sent no packet yet counts.
func (p *peer) reachable() bool {
	return !p.down && !p.leaving && p.state != core.PeerLeaving && p.state != core.PeerDead
}

// readiness returns the state that the host has if it is running.
func (p *peer) readiness() core.PeerState {
	if p.ready {
		return core.PeerAlive
	}
	return core.PeerJoining
}

// usable reports whether the host belongs to the view.
func (p *peer) usable() bool { return p.ready && p.reachable() }

// Detector is the failure detector of one host. It is safe for concurrent use.
// One lock guards all fields, and no other lock is acquired while it is held.
type Detector struct {
	self core.Host
	rng  *rand.Rand

	mu           sync.Mutex
	incarnation  core.Incarnation
	leaving      bool
	status       Status
	peers        map[core.HostID]*peer
	watched      map[core.HostID]*peer // peers that Tick must check, see updateWatched
	pingOrder    []core.HostID         // hosts not yet pinged in the current pass over all hosts
	probes       map[uint64]*probe
	relayed      map[uint64]relayedPing
	seq          uint64
	broadcasts   broadcasts
	nextPing     time.Time
	nextDeadPing time.Time
	lastTick     time.Time
	refreshUntil time.Time // until then missing answers are ignored
	dirty        bool      // view and reachable are out of date
	view         core.View
	reachable    core.View
	discovery    *discovery // nil if the host list names the other hosts
}

var _ core.Views = (*Detector)(nil)

// New returns a detector that knows only self. The incarnation must be higher
// than those of earlier runs of the host; the start time meets this.
func New(self core.Host, inc core.Incarnation, rng *rand.Rand) *Detector {
	return &Detector{
		self:        self,
		rng:         rng,
		incarnation: inc,
		peers:       make(map[core.HostID]*peer),
		watched:     make(map[core.HostID]*peer),
		probes:      make(map[uint64]*probe),
		relayed:     make(map[uint64]relayedPing),
		broadcasts:  newBroadcasts(),
		dirty:       true,
	}
}

// SetHostList applies a host list and ignores an empty one. A host that is no
// longer listed stays known as long as it answers, since the list may be stale.
func (d *Detector) SetHostList(now time.Time, entries []core.HostEntry) {
	if len(entries) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	for _, p := range d.peers {
		p.listed, p.leaving = false, false
	}
	for _, e := range entries {
		if e.Host.ID() == d.self.ID() {
			continue
		}
		p := d.peers[e.Host.ID()]
		if p == nil {
			p = d.add(now, e.Host)
		}
		if p == nil {
			continue
		}
		p.listed, p.leaving = true, e.Leaving
		if p.heard.IsZero() {
			p.host = e.Host
		}
	}
	d.dirty = true
}

func (d *Detector) add(now time.Time, h core.Host) *peer {
	if len(d.peers) >= maxPeers {
		return nil
	}
	p := &peer{host: h, since: now}
	d.peers[h.ID()] = p
	d.dirty = true
	return p
}

// updateWatched adds p to the watched peers or removes it. Watched peers are down,
// suspect, dead or due for a probe; Tick looks for these states only among them, so
// that it need not iterate over the whole fleet. Each change of down, probeDue or
// state must be followed by a call.
func (d *Detector) updateWatched(p *peer) {
	if p.down || p.probeDue || p.state >= core.PeerSuspect {
		d.watched[p.host.ID()] = p
		return
	}
	delete(d.watched, p.host.ID())
}

// SetStatus sets the status of this host that every packet carries.
func (d *Detector) SetStatus(s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	becameReady := s.Ready && !d.status.Ready
	if s.Ready != d.status.Ready {
		d.dirty = true
	}
	d.status = s
	if becameReady {
		d.announce()
	}
}

// Leave marks this host as leaving. Its next packets spread the change.
func (d *Detector) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.dirty = true
	d.announce()
}

// announce queues the state of this host for the next packets.
func (d *Detector) announce() {
	d.broadcasts.add(d.ownUpdate())
}

// ownUpdate returns the state of this host as an update.
func (d *Detector) ownUpdate() Update {
	return Update{Host: d.self, Incarnation: d.incarnation, State: d.ownState()}
}

func (d *Detector) ownState() core.PeerState {
	if d.leaving {
		return core.PeerLeaving
	}
	if !d.status.Ready {
		return core.PeerJoining
	}
	return core.PeerAlive
}

// MarkDown removes a host from the view after a failed attempt to reach it. One of
// the next ticks probes the host, and it returns to the view when it answers.
func (d *Detector) MarkDown(now time.Time, id core.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	p := d.peers[id]
	if p == nil || p.state == core.PeerDead {
		return
	}
	p.down, p.probeDue = true, true
	d.updateWatched(p)
	d.dirty = true
}

// View returns the hosts that get work now: those that are ready and presumed to be
// running. It includes this host if it is ready and not leaving.
func (d *Detector) View(now time.Time) core.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.rebuildViews()
	return d.view
}

// Reachable returns the hosts that are presumed to be running and not leaving, ready
// or not, including this one. The hosts that read the platform are selected from it
// rather than from View: in a cold start no host is ready, and not every host may
// read.
func (d *Detector) Reachable(now time.Time) core.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.rebuildViews()
	return d.reachable
}

func (d *Detector) rebuildViews() {
	if !d.dirty {
		return
	}
	d.dirty = false
	// The view omits this host until it is ready. Otherwise it would own all groups
	// in its first, nearly empty view, and ask every replica for its status.
	d.view = d.updateView(d.view, d.status.Ready, (*peer).usable)
	d.reachable = d.updateView(d.reachable, true, (*peer).reachable)
}

// updateView returns a view of the matching hosts, or old if its hosts are the
// same. If self is set, the view includes this host unless it is leaving.
func (d *Detector) updateView(old core.View, self bool, match func(*peer) bool) core.View {
	hosts := make([]core.Host, 0, len(d.peers)+1)
	if self && !d.leaving {
		hosts = append(hosts, d.self)
	}
	for _, p := range d.peers {
		if match(p) {
			hosts = append(hosts, p.host)
		}
	}
	next := core.NewView(old.Version()+1, hosts)
	if old.Version() > 0 && slices.Equal(next.Hosts(), old.Hosts()) {
		return old
	}
	return next
}

// Locate returns the host named id, whether or not it is in the view.
func (d *Detector) Locate(id core.HostID) (core.Host, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id == d.self.ID() {
		return d.self, true
	}
	p := d.peers[id]
	if p == nil {
		return core.Host{}, false
	}
	return p.host, true
}

// Fresh reports whether the view can be trusted. After a pause of this process
// it is false until another host has answered or maxRefresh has passed.
func (d *Detector) Fresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	return !now.Before(d.refreshUntil)
}

// PeerInfo describes another host as the detector knows it.
type PeerInfo struct {
	Host   core.Host
	State  core.PeerState
	Listed bool   // in the host list and not marked as leaving
	Heard  bool   // this detector has received a packet from it
	Status Status // from its last packet
}

// Peers returns all other known hosts, ordered by ID.
func (d *Detector) Peers() []PeerInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]PeerInfo, 0, len(d.peers))
	for _, p := range d.peers {
		out = append(out, PeerInfo{
			Host:   p.host,
			State:  p.state,
			Listed: p.listed && !p.leaving,
			Heard:  !p.heard.IsZero(),
			Status: p.status,
		})
	}
	slices.SortFunc(out, func(a, b PeerInfo) int { return strings.Compare(string(a.Host.ID()), string(b.Host.ID())) })
	return out
}

// Announce returns pings that carry the current status to a few random hosts.
func (d *Detector) Announce() []Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Send
	targets := d.shuffled(d.peers, func(p *peer) bool { return p.state <= core.PeerAlive && !p.down })
	for _, p := range targets[:min(announcePeers, len(targets))] {
		out = d.ping(p, out)
	}
	return out
}

// detectPause detects a pause of this process. The states known before the pause are
// out of date, so suspicion timeouts restart and probes in flight are dropped.
func (d *Detector) detectPause(now time.Time) {
	if d.lastTick.IsZero() || now.Sub(d.lastTick) <= pauseThreshold {
		return
	}
	d.lastTick = now
	clear(d.probes)
	clear(d.relayed)
	for _, p := range d.peers {
		if p.state == core.PeerSuspect {
			p.since = now
		}
	}
	d.nextPing = now
	if len(d.peers) > 0 {
		d.refreshUntil = now.Add(maxRefresh)
	}
}

func (d *Detector) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(d.peers)+1)))
	return time.Duration(scale * float64(suspicionBase))
}

func (d *Detector) retransmits() int {
	factor := retransmitFactor
	if d.discovery != nil {
		factor = pullRetransmitFactor
	}
	return factor * bits.Len(uint(len(d.peers)+1))
}
