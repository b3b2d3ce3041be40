package member

import (
	"slices"
	"strings"

	"oriolebarrow/core"
)

// Kind says what a packet asks or answers.
type Kind int

// Kinds of packet.
const (
	Ping Kind = iota
	PingReq
	Ack
	Pull    // asks for the hosts that differ
	Entries // answers a pull
)

// Update is one host's state as another host knows it.
type Update = core.PeerUpdate

// Status is what a host says about itself in every packet.
type Status struct {
	Ready          bool
	LedgerDigest   uint64
	LedgerRevision core.Revision
	HostsVersion   uint64
}

// Packet is one datagram between hosts.
type Packet struct {
	Kind        Kind
	Seq         uint64
	From        core.Host
	Incarnation core.Incarnation
	Leaving     bool
	Status      Status
	Target      core.HostID // PingReq: host to ping; Ack: host that a relay reached
	Updates     []Update
	Buckets     []uint32 // Pull: digests of the hosts that the sender knows
}

// state returns what the sender says about itself.
func (p Packet) state() core.PeerState {
	switch {
	case p.Leaving:
		return core.PeerLeaving
	case p.Status.Ready:
		return core.PeerAlive
	default:
		return core.PeerJoining
	}
}

// Send is a packet and the host that it goes to.
type Send struct {
	To     core.Host
	Packet Packet
}

// maxUpdates keeps a packet near 1,200 bytes, below the usual path MTU.
const maxUpdates = 8

// retransmitFactor times the bit length of the fleet size is how often one
// update is sent: gossip reaches a fleet in a logarithmic number of rounds. Where pulls
// repair what is missed, once is enough.
const (
	retransmitFactor = 3
	repairedFactor   = 1
)

type queued struct {
	update Update
	sent   int
}

// broadcasts holds the updates that are still spread, one a host.
type broadcasts struct {
	queue map[core.HostID]*queued
}

func newBroadcasts() broadcasts {
	return broadcasts{queue: make(map[core.HostID]*queued)}
}

func (b *broadcasts) add(u Update) {
	b.queue[u.Host.ID()] = &queued{update: u}
}

func (b *broadcasts) has(id core.HostID) bool { return b.queue[id] != nil }

func (b *broadcasts) drop(id core.HostID) { delete(b.queue, id) }

// take returns the n updates that were sent least and drops those that were
// sent limit times.
func (b *broadcasts) take(n, limit int) []Update {
	if len(b.queue) == 0 {
		return nil
	}
	all := make([]*queued, 0, len(b.queue))
	for _, q := range b.queue {
		all = append(all, q)
	}
	slices.SortFunc(all, func(x, y *queued) int {
		if x.sent != y.sent {
			return x.sent - y.sent
		}
		return strings.Compare(string(x.update.Host.ID()), string(y.update.Host.ID()))
	})
	out := make([]Update, 0, n)
	for _, q := range all[:min(n, len(all))] {
		out = append(out, q.update)
		q.sent++
		if q.sent >= limit {
			delete(b.queue, q.update.Host.ID())
		}
	}
	return out
}
