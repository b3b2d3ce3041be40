// Package member decides which hosts can be used now. The published host list
// lags, so heartbeats between hosts are authoritative: each host pings one
// random host a second, asks three others to ping a host that did not answer,
// suspects it, and declares it dead unless it refutes the suspicion.
//
// Own evidence takes a host out of the view of this host at once; what others
// say does so only after the suspicion timeout. A host that others reach and
// this one does not is therefore left out here and kept elsewhere.
//
// # Usage
//
//	d := member.New(self, incarnation, rng)
//	d.Publish(now, entries)
//	for _, s := range d.Tick(now) { /* send s.Packet to s.To */ }
//	for _, s := range d.Receive(now, packet) { /* the same */ }
//	view := d.View(now)
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
	// TickInterval is how often Tick should be called.
	TickInterval = 100 * time.Millisecond

	pingInterval = time.Second
	// ackTimeout is far above the round trip between data centres (a few ms).
	ackTimeout = 300 * time.Millisecond
	// probeTimeout leaves the relays three times the direct timeout.
	probeTimeout = 1200 * time.Millisecond
	relays       = 3
	// startupPings is how many hosts a host that is not ready pings in each tick,
	// so that in a cold start it hears of more than half of a large fleet soon.
	startupPings  = 2
	announcePeers = 3
	// extraProbes bounds the probes a second of hosts that did not answer.
	extraProbes = 3
	// suspicionBase is the suspicion timeout of up to ten hosts. It grows with
	// the logarithm of the fleet, as the time to spread a refutation does.
	suspicionBase = 3 * time.Second
	// deadPingInterval is how often a dead host is pinged, so that the parts of
	// a healed partition find each other.
	deadPingInterval = 3 * time.Second
	// forgetAfter is how long a dead host that the list no longer names is kept,
	// longer than any update about it is spread.
	forgetAfter = time.Minute
	// pauseGap without a tick means that this process was paused.
	pauseGap = time.Second
	// refreshTime bounds how long a resumed host waits for news.
	refreshTime = 2 * time.Second
	// recentContact protects a host that was just heard from a claim that it is dead.
	recentContact = 2 * time.Second
	maxRelays     = 64
	maxPeers      = 20_000 // bounds what faulty updates can add
)

type peer struct {
	host        core.Host
	incarnation core.Incarnation
	state       core.PeerState
	ready       bool // this incarnation was seen ready; a suspect host keeps it
	listed      bool
	leaving     bool // as the host list says
	down        bool // did not answer this host itself
	hinted      bool // a probe is due at the next tick
	since       time.Time
	heard       time.Time
	status      Status
}

// reachable reports whether the host is taken to run and to stay, ready or not.
// A listed host that was not heard of yet counts.
func (p *peer) reachable() bool {
	return !p.down && !p.leaving && p.state != core.PeerLeaving && p.state != core.PeerDead
}

// readiness returns the state of a host that is taken to run.
func (p *peer) readiness() core.PeerState {
	if p.ready {
		return core.PeerAlive
	}
	return core.PeerJoining
}

// usable reports whether the host belongs to the view.
func (p *peer) usable() bool { return p.ready && p.reachable() }

// Detector is the failure detector of one host. It is safe for concurrent use;
// its one lock covers all fields and it calls nothing outside the package.
type Detector struct {
	self core.Host
	rng  *rand.Rand

	mu          sync.Mutex
	incarnation core.Incarnation
	leaving     bool
	status      Status
	peers       map[core.HostID]*peer
	odd         map[core.HostID]*peer // those that a tick has to look at, see note
	order       []core.HostID         // remaining hosts of the current ping round
	probes      map[uint64]*probe
	relayed     map[uint64]relay
	seq         uint64
	news        broadcasts
	nextPing    time.Time
	nextDead    time.Time
	lastTick    time.Time
	refreshing  time.Time // until then nothing is concluded from silence
	dirty       bool      // view and reach are out of date
	view        core.View
	reach       core.View
	exchange    *exchange // nil unless the others are found without a host list
}

var _ core.Views = (*Detector)(nil)

// New returns a detector that knows only self. The incarnation must be higher
// than that of an earlier incarnation of the host, such as its start time.
func New(self core.Host, inc core.Incarnation, rng *rand.Rand) *Detector {
	return &Detector{
		self:        self,
		rng:         rng,
		incarnation: inc,
		peers:       make(map[core.HostID]*peer),
		odd:         make(map[core.HostID]*peer),
		probes:      make(map[uint64]*probe),
		relayed:     make(map[uint64]relay),
		news:        newBroadcasts(),
		dirty:       true,
	}
}

// Publish takes a host list. An empty list is not news. A host that is no
// longer listed stays as long as it answers, since the list may be stale.
func (d *Detector) Publish(now time.Time, entries []core.HostEntry) {
	if len(entries) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
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

// note keeps the set of hosts that a tick has to look at: lost, suspect and
// hinted ones. It must be called after each change of those fields, so that a
// tick costs the same in a fleet of any size.
func (d *Detector) note(p *peer) {
	if p.down || p.hinted || p.state >= core.PeerSuspect {
		d.odd[p.host.ID()] = p
		return
	}
	delete(d.odd, p.host.ID())
}

// SetStatus sets what this host says about itself in every packet.
func (d *Detector) SetStatus(s Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	became := s.Ready && !d.status.Ready
	if s.Ready != d.status.Ready {
		d.dirty = true
	}
	d.status = s
	if became {
		d.announce()
	}
}

// Leave announces that this host is leaving.
func (d *Detector) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.dirty = true
	d.announce()
}

// announce spreads the state of this host.
func (d *Detector) announce() {
	d.news.add(d.own())
}

// own returns the state of this host.
func (d *Detector) own() Update {
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

// MarkDown takes a hint that a host could not be reached. The host leaves the
// view until it answers the probe that the next tick sends.
func (d *Detector) MarkDown(now time.Time, id core.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	p := d.peers[id]
	if p == nil || p.state == core.PeerDead {
		return
	}
	p.down, p.hinted = true, true
	d.note(p)
	d.dirty = true
}

// View returns the hosts that get work now: alive and ready. This host is
// included unless it is leaving; before it is ready it gets no requests, and
// its own view lets it fetch snapshots in advance.
func (d *Detector) View(now time.Time) core.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	d.rebuild()
	return d.view
}

// Reachable returns the hosts that are taken to run, ready or not. It decides
// who reads the platform, since in a cold start no host is ready and not every
// host may read.
func (d *Detector) Reachable(now time.Time) core.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	d.rebuild()
	return d.reach
}

func (d *Detector) rebuild() {
	if !d.dirty {
		return
	}
	d.dirty = false
	// A host that isn't ready has no groups: in its first, nearly empty view it
	// would own all of them and ask every replica for its status.
	d.view = d.renew(d.view, d.status.Ready, (*peer).usable)
	d.reach = d.renew(d.reach, true, (*peer).reachable)
}

// renew returns old if its hosts are those that match.
func (d *Detector) renew(old core.View, self bool, match func(*peer) bool) core.View {
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

// Locate returns a host whether or not it is in the view.
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

// Fresh reports whether the view may be trusted: false after a pause of this
// process until another host answered or a bounded time passed.
func (d *Detector) Fresh(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	return !now.Before(d.refreshing)
}

// Info is what a detector knows of another host.
type Info struct {
	Host   core.Host
	State  core.PeerState
	Listed bool   // the host list names it as live
	Heard  bool   // it was heard since it started
	Status Status // what it said last
}

// Peers returns all other hosts, ordered by name.
func (d *Detector) Peers() []Info {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Info, 0, len(d.peers))
	for _, p := range d.peers {
		out = append(out, Info{
			Host:   p.host,
			State:  p.state,
			Listed: p.listed && !p.leaving,
			Heard:  !p.heard.IsZero(),
			Status: p.status,
		})
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(string(a.Host.ID()), string(b.Host.ID())) })
	return out
}

// Announce returns packets that tell a few random hosts the status at once.
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

// observe notices a pause. What this host believed before it is out of date,
// so suspicions restart and probes in flight are dropped.
func (d *Detector) observe(now time.Time) {
	if d.lastTick.IsZero() || now.Sub(d.lastTick) <= pauseGap {
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
		d.refreshing = now.Add(refreshTime)
	}
}

func (d *Detector) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(d.peers)+1)))
	return time.Duration(scale * float64(suspicionBase))
}

func (d *Detector) retransmits() int {
	factor := retransmitFactor
	if d.exchange != nil {
		factor = repairedFactor
	}
	return factor * bits.Len(uint(len(d.peers)+1))
}
