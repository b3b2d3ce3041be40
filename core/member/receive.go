package member

import (
	"time"

	"oriolebarrow/core"
)

// Receive takes a packet of another host and returns the packets to send.
func (d *Detector) Receive(now time.Time, in Packet) []Send {
	d.mu.Lock()
	defer d.mu.Unlock()
	if in.From.ID() == d.self.ID() || in.From.ID() == "" {
		return nil
	}
	d.observe(now)
	d.apply(now, Update{Host: in.From, Incarnation: in.Incarnation, State: in.state()})
	if in.Kind == Entries {
		d.takeEntries(now, in)
	} else {
		for _, u := range in.Updates[:min(len(in.Updates), maxUpdates)] {
			d.apply(now, u)
		}
	}
	from := d.peers[in.From.ID()]
	if from == nil {
		return nil
	}
	d.contact(now, from, in)
	switch in.Kind {
	case Ping:
		return []Send{{To: in.From, Packet: d.packet(Ack, in.Seq, from)}}
	case PingReq:
		return d.relay(now, in)
	case Ack:
		return d.acked(in)
	case Pull:
		return d.answerPull(in)
	}
	return nil
}

// contact notes that a host was heard. Only an answer to an own ping proves
// that packets pass in both directions, so only an Ack lifts the down mark.
func (d *Detector) contact(now time.Time, p *peer, in Packet) {
	p.heard = now
	p.status = in.Status
	if in.Kind != Ack || in.Target != "" {
		return
	}
	d.refreshing = time.Time{}
	if p.down && !p.hinted {
		p.down = false
		d.note(p)
		d.dirty = true
	}
}

func (d *Detector) relay(now time.Time, in Packet) []Send {
	p := d.peers[in.Target]
	if p == nil || len(d.relayed) >= maxRelays {
		return nil
	}
	out := d.ping(p, nil)
	d.relayed[d.seq] = relay{origin: in.From, seq: in.Seq, target: in.Target, started: now}
	return out
}

func (d *Detector) acked(in Packet) []Send {
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

// Updates returns what this host knows of all hosts, for a full exchange.
func (d *Detector) Updates() []Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Update{d.own()}
	for _, p := range d.shuffled(d.peers, func(*peer) bool { return true }) {
		out = append(out, Update{Host: p.host, Incarnation: p.incarnation, State: p.state})
	}
	return out
}

// Merge takes the updates of a full exchange. What is the first news of a host
// here is not spread, since the other host's peers have it: 3,300 updates would
// fill the packets for minutes.
func (d *Detector) Merge(now time.Time, updates []Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe(now)
	for _, u := range updates {
		p := d.peers[u.Host.ID()]
		first := u.Host.ID() != d.self.ID() && (p == nil || p.incarnation == 0)
		d.apply(now, u)
		if first {
			d.news.drop(u.Host.ID())
		}
	}
}

// apply merges one update: a higher incarnation wins, then the later state.
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
		// A suspicion may have overtaken the news that the host is ready.
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
	d.change(now, p, u.Incarnation, u.State)
}

// learn adds a host that was unknown. A dead one is not worth remembering.
func (d *Detector) learn(now time.Time, u Update) {
	if u.State == core.PeerDead || u.Host.ID() == "" || u.Host.Address() == "" {
		return
	}
	if p := d.add(now, u.Host); p != nil {
		d.change(now, p, u.Incarnation, u.State)
	}
}

// refute answers a claim about this host that is not true with a higher
// incarnation.
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

func (d *Detector) change(now time.Time, p *peer, inc core.Incarnation, s core.PeerState) {
	p.ready = s == core.PeerAlive || p.ready && inc == p.incarnation
	p.incarnation, p.state, p.since = inc, s, now
	d.note(p)
	d.dirty = true
	d.news.add(Update{Host: p.host, Incarnation: inc, State: s})
}
