package member

import (
	"time"

	"oriolebarrow/core"
)

// Receive handles a packet from another host and returns the packets to send.
func (d *Detector) Receive(now time.Time, in Packet) []Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	if in.From.ID() == d.self.ID() || in.From.ID() == "" {
		return nil
	}
	d.detectPause(now)
	d.apply(now, Update{Host: in.From, Incarnation: in.Incarnation, State: in.state()})
	if in.Kind == Entries {
		d.mergeEntries(now, in)
	} else {
		for _, u := range in.Updates[:min(len(in.Updates), maxUpdates)] {
			d.apply(now, u)
		}
	}
	from := d.peers[in.From.ID()]
	if from == nil {
		return nil
	}
	d.markHeard(now, from, in)
	switch in.Kind {
	case Ping:
		return []Send{{To: in.From, Packet: d.packet(Ack, in.Seq, from)}}
	case PingReq:
		return d.handlePingReq(now, in)
	case Ack:
		return d.handleAck(in)
	case Pull:
		return d.answerPull(in)
	}
	return nil
}

// markHeard records a packet from a host. Only the answer to a ping from this host
// proves that packets pass in both directions, so only such an Ack clears down.
func (d *Detector) markHeard(now time.Time, p *peer, in Packet) {
	p.heard = now
	p.status = in.Status
	if in.Kind != Ack || in.Target != "" {
		return
	}
	d.refreshUntil = time.Time{}
	if p.down && !p.probeDue {
		p.down = false
		d.updateWatched(p)
		d.dirty = true
	}
}

// handlePingReq pings the requested host on behalf of the sender.
func (d *Detector) handlePingReq(now time.Time, in Packet) []Send {
	p := d.peers[in.Target]
	if p == nil || len(d.relayed) >= maxRelayedPings {
		return nil
	}
	out := d.ping(p, nil)
	d.relayed[d.seq] = relayedPing{origin: in.From, seq: in.Seq, target: in.Target, started: now}
	return out
}

// handleAck passes the answer to a relayed ping on to the host that asked for it,
// or records the answer to a probe by this host.
func (d *Detector) handleAck(in Packet) []Send {
	if r, ok := d.relayed[in.Seq]; ok && r.target == in.From.ID() {
		delete(d.relayed, in.Seq)
		packet := d.packet(Ack, r.seq, d.peers[r.origin.ID()])
		packet.Target = r.target
		return []Send{{To: r.origin, Packet: packet}}
	}
	pr := d.probes[in.Seq]
	switch {
	case pr == nil:
	case in.Target == pr.target:
		pr.indirect = true
	case in.Target == "" && in.From.ID() == pr.target:
		delete(d.probes, in.Seq)
	}
	return nil
}

// Updates returns the state of every known host, including this one, for an
// exchange of all states with another host.
func (d *Detector) Updates() []Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Update{d.ownUpdate()}
	for _, p := range d.shuffled(d.peers, func(*peer) bool { return true }) {
		out = append(out, Update{Host: p.host, Incarnation: p.incarnation, State: p.state})
	}
	return out
}

// Merge applies the updates of an exchange of all states. The first update about a
// host is not spread further, since the other hosts already have it, and 3,300
// updates would fill the packets for minutes.
func (d *Detector) Merge(now time.Time, updates []Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	for _, u := range updates {
		p := d.peers[u.Host.ID()]
		first := u.Host.ID() != d.self.ID() && (p == nil || p.incarnation == 0)
		d.apply(now, u)
		if first {
			d.broadcasts.remove(u.Host.ID())
		}
	}
}

// apply merges one update. The higher incarnation wins; in the same incarnation,
// the later state in the order of core.PeerState wins.
func (d *Detector) apply(now time.Time, u Update) {
	if u.Host.ID() == d.self.ID() {
		d.refute(u)
		return
	}
	p := d.peers[u.Host.ID()]
	if p == nil {
		d.learn(now, u)
		return
	}
	if u.State == core.PeerDead && !p.heard.IsZero() && now.Sub(p.heard) < recentContact {
		u.State = core.PeerSuspect
	}
	if u.Incarnation == p.incarnation && u.State == core.PeerAlive && !p.ready {
		// A suspicion may arrive before the update that the host is ready.
		p.ready = true
		d.dirty = true
	}
	if u.Incarnation < p.incarnation || u.Incarnation == p.incarnation && u.State <= p.state {
		return
	}
	if u.Host.Address() != "" {
		p.host = u.Host
	}
	if u.Incarnation > p.incarnation && p.state == core.PeerDead {
		p.down = false
	}
	d.setState(now, p, u.Incarnation, u.State)
}

// learn adds an unknown host, unless it is dead or the update is incomplete.
func (d *Detector) learn(now time.Time, u Update) {
	if u.State == core.PeerDead || u.Host.ID() == "" || u.Host.Address() == "" {
		return
	}
	if p := d.add(now, u.Host); p != nil {
		d.setState(now, p, u.Incarnation, u.State)
	}
}

// refute announces this host with a higher incarnation if u makes a false claim
// about it.
func (d *Detector) refute(u Update) {
	if u.Incarnation < d.incarnation {
		return
	}
	if u.Incarnation == d.incarnation && u.State <= d.ownState() {
		return
	}
	d.incarnation = u.Incarnation + 1
	d.announce()
}

// setState changes the state of a host and queues the change for the next packets.
func (d *Detector) setState(now time.Time, p *peer, inc core.Incarnation, s core.PeerState) {
	p.ready = s == core.PeerAlive || p.ready && inc == p.incarnation
	p.incarnation, p.state, p.since = inc, s, now
	d.updateWatched(p)
	d.dirty = true
	d.broadcasts.add(Update{Host: p.host, Incarnation: inc, State: s})
}
