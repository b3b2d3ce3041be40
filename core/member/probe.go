package member

import (
	"slices"
	"strings"
	"time"

	"oriolebarrow/core"
)

// maxShuffledHosts is the size of the largest view that is shuffled to pick relays.
// In larger views a few random draws are faster.
const maxShuffledHosts = 16

// probe is a ping whose answer is awaited.
type probe struct {
	target      core.HostID
	started     time.Time
	relaysAsked bool // the relays were asked to ping the target
	indirect    bool // the target answered a relay
}

// relayedPing is a ping that this host sends on behalf of another host.
type relayedPing struct {
	origin  core.Host // the host that requested the ping
	seq     uint64    // of the origin's request
	target  core.HostID
	started time.Time
}

// Tick advances the detector to now and returns the packets to send. Their number
// does not depend on the size of the fleet.
func (d *Detector) Tick(now time.Time) []Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.lastTick = now
	out := d.checkProbes(now, nil)
	out = d.startDueProbes(now, out)
	if !now.Before(d.nextPing) {
		d.nextPing = now.Add(pingInterval)
		out = d.startPeriod(now, out)
		d.expire(now)
	}
	if !d.status.Ready {
		for range startupPings {
			if p := d.nextTarget(); p != nil {
				out = d.ping(p, out)
			}
		}
	}
	if d.discovery != nil {
		out = d.contactSeeds(now, out)
		out = d.startDuePull(now, out)
	}
	for seq, r := range d.relayed {
		if now.Sub(r.started) > probeTimeout {
			delete(d.relayed, seq)
		}
	}
	return out
}

// startPeriod starts the probes of one pingInterval: of the next host and of some
// hosts that are marked as down. Every deadPingInterval it also pings a dead host.
func (d *Detector) startPeriod(now time.Time, out []Send) []Send {
	n := 1
	if now.Before(d.refreshUntil) {
		n = fanout
	}
	for range n {
		if p := d.nextTarget(); p != nil {
			out = d.startProbe(now, p, out)
		}
	}
	down := d.shuffled(d.watched, func(p *peer) bool {
		return p.down && p.state != core.PeerDead && !d.probing(p.host.ID())
	})
	for _, p := range down[:min(maxExtraProbes, len(down))] {
		out = d.startProbe(now, p, out)
	}
	if !now.Before(d.nextDeadPing) {
		d.nextDeadPing = now.Add(deadPingInterval)
		if dead := d.shuffled(d.watched, func(p *peer) bool { return p.state == core.PeerDead }); len(dead) > 0 {
			out = d.ping(dead[0], out)
		}
	}
	return out
}

// shuffled returns the matching hosts in random order.
func (d *Detector) shuffled(peers map[core.HostID]*peer, match func(*peer) bool) []*peer {
	var out []*peer
	for _, p := range peers {
		if match(p) {
			out = append(out, p)
		}
	}
	// Map order is random. Sorting makes the result depend on d.rng alone.
	slices.SortFunc(out, func(a, b *peer) int { return strings.Compare(string(a.host.ID()), string(b.host.ID())) })
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// nextTarget returns the next host to ping; nil if there is none. It goes through
// all hosts in random order, so that every host is pinged within a bounded time.
func (d *Detector) nextTarget() *peer {
	for range 2 {
		for len(d.pingOrder) > 0 {
			id := d.pingOrder[0]
			d.pingOrder = d.pingOrder[1:]
			if p := d.peers[id]; p != nil && p.state != core.PeerDead && !d.probing(id) {
				return p
			}
		}
		for _, p := range d.shuffled(d.peers, func(p *peer) bool { return p.state != core.PeerDead }) {
			d.pingOrder = append(d.pingOrder, p.host.ID())
		}
	}
	return nil
}

func (d *Detector) probing(id core.HostID) bool {
	for _, pr := range d.probes {
		if pr.target == id {
			return true
		}
	}
	return false
}

// startProbe pings a host and awaits the answer.
func (d *Detector) startProbe(now time.Time, p *peer, out []Send) []Send {
	out = d.ping(p, out)
	d.probes[d.seq] = &probe{target: p.host.ID(), started: now}
	return out
}

func (d *Detector) ping(p *peer, out []Send) []Send {
	d.seq++
	return append(out, Send{To: p.host, Packet: d.packet(Ping, d.seq, p)})
}

// packet returns a packet with queued updates. If the recipient is suspect or dead,
// the first update is this claim, since only the recipient itself can refute it.
func (d *Detector) packet(k Kind, seq uint64, to *peer) Packet {
	n := maxUpdates
	var updates []Update
	if to != nil && (to.state == core.PeerSuspect || to.state == core.PeerDead) {
		updates = append(updates, Update{Host: to.host, Incarnation: to.incarnation, State: to.state})
		n--
	}
	p := d.header(k, seq)
	p.Updates = append(updates, d.broadcasts.next(n, d.retransmits())...)
	return p
}

// header returns a packet without updates.
func (d *Detector) header(k Kind, seq uint64) Packet {
	return Packet{
		Kind:        k,
		Seq:         seq,
		From:        d.self,
		Incarnation: d.incarnation,
		Leaving:     d.leaving,
		Status:      d.status,
	}
}

// startDueProbes probes some of the hosts that MarkDown was called for.
func (d *Detector) startDueProbes(now time.Time, out []Send) []Send {
	due := d.shuffled(d.watched, func(p *peer) bool { return p.probeDue })
	for _, p := range due[:min(maxExtraProbes, len(due))] {
		p.probeDue = false
		d.updateWatched(p)
		if !d.probing(p.host.ID()) {
			out = d.startProbe(now, p, out)
		}
	}
	return out
}

// checkProbes asks relays to ping the targets whose acks are late, and fails the probes
// that timed out.
func (d *Detector) checkProbes(now time.Time, out []Send) []Send {
	for _, seq := range d.openProbes() {
		pr := d.probes[seq]
		p := d.peers[pr.target]
		age := now.Sub(pr.started)
		switch {
		case p == nil:
			delete(d.probes, seq)
		case age >= probeTimeout:
			delete(d.probes, seq)
			d.failProbe(now, p, pr)
		case age >= ackTimeout && !pr.relaysAsked:
			pr.relaysAsked = true
			out = d.askRelays(p, seq, out)
		}
	}
	return out
}

func (d *Detector) openProbes() []uint64 {
	seqs := make([]uint64, 0, len(d.probes))
	for seq := range d.probes {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs
}

// askRelays asks other hosts to ping the target. It also pings the target again
// in case the first packet was lost.
func (d *Detector) askRelays(p *peer, seq uint64, out []Send) []Send {
	out = append(out, Send{To: p.host, Packet: d.packet(Ping, seq, p)})
	for _, h := range d.pickRelays(p) {
		packet := d.packet(PingReq, seq, h)
		packet.Target = p.host.ID()
		out = append(out, Send{To: h.host, Packet: packet})
	}
	return out
}

// pickRelays returns up to fanout random usable hosts other than p.
func (d *Detector) pickRelays(p *peer) []*peer {
	d.rebuildViews()
	hosts := d.view.Hosts()
	var out []*peer
	if len(hosts) <= maxShuffledHosts {
		out = d.shuffled(d.peers, func(h *peer) bool { return h != p && h.usable() })
		return out[:min(fanout, len(out))]
	}
	for len(out) < fanout {
		h := d.peers[hosts[d.rng.IntN(len(hosts))].ID()] // nil for this host
		if h != nil && h != p && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// failProbe handles a probe without a direct answer. The host leaves the view, and
// becomes suspect if no relay reached it either. Shortly after a pause of this process,
// the missing answer is ignored.
func (d *Detector) failProbe(now time.Time, p *peer, pr *probe) {
	if now.Before(d.refreshUntil) {
		return
	}
	if !p.down {
		p.down = true
		d.updateWatched(p)
		d.dirty = true
	}
	if !pr.indirect && p.state < core.PeerSuspect {
		d.setState(now, p, p.incarnation, core.PeerSuspect)
	}
}

// expire ends suspicions that timed out, and forgets unlisted hosts that have been
// dead for forgetAfter.
func (d *Detector) expire(now time.Time) {
	if now.Before(d.refreshUntil) {
		return
	}
	timeout := d.suspicionTimeout()
	for id, p := range d.watched {
		age := now.Sub(p.since)
		switch {
		case p.state == core.PeerSuspect && age >= timeout:
			if p.heard.After(p.since) {
				// It has sent packets to this host since, so it is running even if
				// other hosts cannot reach it.
				p.state, p.since = core.PeerJoining, now
				if p.ready {
					p.state = core.PeerAlive
				}
				d.updateWatched(p)
				d.dirty = true
				continue
			}
			d.setState(now, p, p.incarnation, core.PeerDead)
		case p.state == core.PeerDead && !p.listed && age >= forgetAfter:
			delete(d.peers, id)
			delete(d.watched, id)
			d.dirty = true
		}
	}
}
