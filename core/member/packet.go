package member

import (
	"slices"
	"strings"

	"oriolebarrow/core"
)

// Kind is the type of a packet.
type Kind int

// Kinds of packet.
const (
	Ping    Kind = iota
	PingReq      // asks for a ping of the target on behalf of the sender
	Ack
	Pull    // requests the hosts of the buckets whose digests differ
	Entries // answers a Pull
)

// Update is the state of one host as known to another host.
type Update = core.PeerUpdate

// Status is the part of a host's own state that each of its packets carries.
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
	Buckets     []uint32 // Pull: digests of the running hosts known to the sender
}

// state returns the state that the sender claims for itself.
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

// Send is a packet and its destination.
type Send struct {
	To     core.Host
	Packet Packet
}

// maxUpdates keeps a packet near 1,200 bytes, below the usual path MTU.
const maxUpdates = 8

// The number of times that each update is sent is one of these factors times the
// bit length of the fleet size, since gossip reaches a fleet in a logarithmic number
// of rounds. The lower factor is enough where pulls fetch missed updates.
const (
	retransmitFactor     = 3
	pullRetransmitFactor = 1
)

// queuedUpdate is an update and the number of packets that have carried it.
type queuedUpdate struct {
	update Update
	sent   int
}

// broadcasts holds the updates that are still to be spread, at most one per host.
type broadcasts struct {
	queue map[core.HostID]*queuedUpdate
}

func newBroadcasts() broadcasts {
	return broadcasts{queue: make(map[core.HostID]*queuedUpdate)}
}

func (b *broadcasts) add(u Update) {
	b.queue[u.Host.ID()] = &queuedUpdate{update: u}
}

func (b *broadcasts) has(id core.HostID) bool { return b.queue[id] != nil }

func (b *broadcasts) remove(id core.HostID) { delete(b.queue, id) }

// next returns up to n updates, those sent the fewest times first. An update that
// it has returned limit times leaves the queue.
func (b *broadcasts) next(n, limit int) []Update {
	if len(b.queue) == 0 {
		return nil
	}
	all := make([]*queuedUpdate, 0, len(b.queue))
	for _, q := range b.queue {
		all = append(all, q)
	}
	slices.SortFunc(all, func(x, y *queuedUpdate) int {
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
