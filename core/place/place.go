// Package place assigns replica groups and other duties to hosts by rendezvous hashing.
// When the hosts change, a group moves only from a host that left the owner set of its
// service or to a host that entered it.
//
// # Usage
//
//	p := place.New(place.DefaultSetSize)
//	owner, standby := p.Owner(view, "tickets", 3)
package place

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// DefaultSetSize limits the hosts that own groups of one service, so that a
	// query over 130 shards costs about ten messages.
	DefaultSetSize = 10
	// readersPerDataCentre is two, so that one reader may fail without any effect.
	readersPerDataCentre = 2
)

// Rendezvous assigns to each host a weight from a hash and chooses the hosts with the
// highest weights. It has no mutable state.
type Rendezvous struct {
	setSize int
}

var _ core.Placer = Rendezvous{}

// New returns a placer with owner sets of at most setSize hosts.
func New(setSize int) Rendezvous {
	return Rendezvous{setSize: setSize}
}

// OwnerSet returns the hosts that may own groups of the service, best first.
func (r Rendezvous) OwnerSet(v core.View, s core.ServiceName) []core.HostID {
	return top(v.Hosts(), r.setSize, func(id core.HostID) uint64 {
		return weight("set", string(s), 0, id)
	})
}

// Owner returns the owner and the standby of a group. Either is empty when the
// view has too few hosts.
func (r Rendezvous) Owner(v core.View, s core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	return r.OwnerIn(r.OwnerSet(v, s), s, g)
}

// OwnerIn returns what Owner returns, given the result of OwnerSet.
func (r Rendezvous) OwnerIn(set []core.HostID, s core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	var first, second uint64
	for _, id := range set {
		w := weight("group", string(s), uint64(g), id)
		switch {
		case owner == "" || w > first:
			standby, second = owner, first
			owner, first = id, w
		case standby == "" || w > second:
			standby, second = id, w
		}
	}
	return owner, standby
}

// Readers returns the hosts of a data centre that watch the platform for the
// revision after rev. Another rotation selects other hosts, for use while no new
// revision arrives. Both are part of the hash, so that the cost of reading complete
// documents is spread over the hosts.
func (r Rendezvous) Readers(v core.View, dc core.DataCentre, rev core.Revision, rotation uint64) []core.HostID {
	purpose := "reader" + strconv.FormatUint(rotation, 10)
	var local []core.Host
	for _, h := range v.Hosts() {
		if h.DataCentre() == dc {
			local = append(local, h)
		}
	}
	return top(local, readersPerDataCentre, func(id core.HostID) uint64 {
		return weight(purpose, string(dc), uint64(rev), id)
	})
}

type weightedHost struct {
	id     core.HostID
	weight uint64
}

// top returns the n hosts with the highest weights, highest first.
func top(hosts []core.Host, n int, weightOf func(core.HostID) uint64) []core.HostID {
	all := make([]weightedHost, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, weightedHost{id: h.ID(), weight: weightOf(h.ID())})
	}
	slices.SortFunc(all, func(a, b weightedHost) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	all = all[:min(n, len(all))]
	ids := make([]core.HostID, 0, len(all))
	for _, w := range all {
		ids = append(ids, w.id)
	}
	return ids
}

// weight returns the hash that ranks a host for a purpose.
func weight(purpose, name string, n uint64, id core.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	binary.LittleEndian.PutUint64(num[:], n)
	// Zero bytes separate the fields, which never contain any themselves.
	_, _ = d.WriteString(purpose + "\x00" + name + "\x00")
	_, _ = d.Write(num[:])
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
