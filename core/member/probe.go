package member

import (
	"slices"
	"strings"
	"time"

	"oriolebarrow/core"
)

// manyHosts is the size of a view from which a few random draws find relays
// sooner than a shuffle does.
const manyHosts = 16

// probe is one ping that waits for its answer.
type probe struct {
	target   core.HostID
	started  time.Time
	asked    bool // the relays were asked
	indirect bool // a relay reached the target
}

// relay is a ping that this host sends for another one.
type relay struct {
	origin  core.Host
	seq     uint64
	target  core.HostID
	started time.Time
}

// Tick advances the detector and returns the packets to send. Their number does
// not depend on the size of the fleet.
func (d *Detector) Tick(now time.Time) []Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	d.lastTick = now
	out := d.checkProbes(now, nil)
	out = d.probeHinted(now, out)
	if !now.Before(d.nextPing) {
		d.nextPing = now.Add(pingInterval)
		out = d.startRound(now, out)
		d.expire(now)
	}
	if !d.status.Ready {
		for range startupPings {
			if p := d.nextTarget(); p != nil {
				out = d.ping(p, out)
			}
		}
	}
	if d.exchange != nil {
		out = d.greet(now, out)
		out = d.pull(now, out)
	}
	for seq, r := range d.relayed {
		if now.Sub(r.started) > probeTimeout {
			delete(d.relayed, seq)
		}
	}
	return out
}

func (d *Detector) startRound(now time.Time, out []Send) []Send {
	n := 1
	if now.Before(d.refreshing) {
		n = relays
	}
	for range n {
		if p := d.nextTarget(); p != nil {
			out = d.start(now, p, out)
		}
	}
	down := d.shuffled(d.odd, func(p *peer) bool {
		return p.down && p.state != core.PeerDead && !d.probing(p.host.ID())
	})
	for _, p := range down[:min(extraProbes, len(down))] {
		out = d.start(now, p, out)
	}
	if !now.Before(d.nextDead) {
		d.nextDead = now.Add(deadPingInterval)
		if dead := d.shuffled(d.odd, func(p *peer) bool { return p.state == core.PeerDead }); len(dead) > 0 {
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
	// Sorting first makes the result depend on the random source alone.
	slices.SortFunc(out, func(a, b *peer) int { return strings.Compare(string(a.host.ID()), string(b.host.ID())) })
	d.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// nextTarget walks through all hosts in random order, so that every host is
// pinged within a bounded number of rounds.
func (d *Detector) nextTarget() *peer {
	for range 2 {
		for len(d.order) > 0 {
			id := d.order[0]
			d.order = d.order[1:]
			if p := d.peers[id]; p != nil && p.state != core.PeerDead && !d.probing(id) {
				return p
			}
		}
		for _, p := range d.shuffled(d.peers, func(p *peer) bool { return p.state != core.PeerDead }) {
			d.order = append(d.order, p.host.ID())
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

func (d *Detector) start(now time.Time, p *peer, out []Send) []Send {
	out = d.ping(p, out)
	d.probes[d.seq] = &probe{target: p.host.ID(), started: now}
	return out
}

func (d *Detector) ping(p *peer, out []Send) []Send {
	d.seq++
	return append(out, Send{To: p.host, Packet: d.packet(Ping, d.seq, p)})
}

// packet builds a packet. It tells a host that is thought lost so, since only
// that host can refute it.
func (d *Detector) packet(k Kind, seq uint64, to *peer) Packet {
	n := maxUpdates
	var updates []Update
	if to != nil && (to.state == core.PeerSuspect || to.state == core.PeerDead) {
		updates = append(updates, Update{Host: to.host, Incarnation: to.incarnation, State: to.state})
		n--
	}
	p := d.header(k, seq)
	p.Updates = append(updates, d.news.take(n, d.retransmits())...)
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

func (d *Detector) probeHinted(now time.Time, out []Send) []Send {
	hinted := d.shuffled(d.odd, func(p *peer) bool { return p.hinted })
	for _, p := range hinted[:min(extraProbes, len(hinted))] {
		p.hinted = false
		d.note(p)
		if !d.probing(p.host.ID()) {
			out = d.start(now, p, out)
		}
	}
	return out
}

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
			d.conclude(now, p, pr)
		case age >= ackTimeout && !pr.asked:
			pr.asked = true
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

// askRelays asks other hosts to ping the target, and pings it once more itself
// in case the first packet was lost.
func (d *Detector) askRelays(p *peer, seq uint64, out []Send) []Send {
	out = append(out, Send{To: p.host, Packet: d.packet(Ping, seq, p)})
	for _, h := range d.helpers(p) {
		packet := d.packet(PingReq, seq, h)
		packet.Target = p.host.ID()
		out = append(out, Send{To: h.host, Packet: packet})
	}
	return out
}

// helpers returns random usable hosts other than p. It draws a few hosts of the
// view instead of shuffling all of them.
func (d *Detector) helpers(p *peer) []*peer {
	d.rebuild()
	hosts := d.view.Hosts()
	var out []*peer
	if len(hosts) <= manyHosts {
		out = d.shuffled(d.peers, func(h *peer) bool { return h != p && h.usable() })
		return out[:min(relays, len(out))]
	}
	for len(out) < relays {
		h := d.peers[hosts[d.rng.IntN(len(hosts))].ID()] // nil for this host
		if h != nil && h != p && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// conclude ends a probe that got no direct answer.
func (d *Detector) conclude(now time.Time, p *peer, pr *probe) {
	if now.Before(d.refreshing) {
		return
	}
	if !p.down {
		p.down = true
		d.note(p)
		d.dirty = true
	}
	if !pr.indirect && p.state < core.PeerSuspect {
		d.change(now, p, p.incarnation, core.PeerSuspect)
	}
}

// expire ends suspicions and forgets hosts that are gone.
func (d *Detector) expire(now time.Time) {
	if now.Before(d.refreshing) {
		return
	}
	timeout := d.suspicionTimeout()
	for id, p := range d.odd {
		age := now.Sub(p.since)
		switch {
		case p.state == core.PeerSuspect && age >= timeout:
			if p.heard.After(p.since) {
				// It answers this host, whatever others see.
				p.state, p.since = core.PeerJoining, now
				if p.ready {
					p.state = core.PeerAlive
				}
				d.note(p)
				d.dirty = true
				continue
			}
			d.change(now, p, p.incarnation, core.PeerDead)
		case p.state == core.PeerDead && !p.listed && age >= forgetAfter:
			delete(d.peers, id)
			delete(d.odd, id)
			d.dirty = true
		}
	}
}
