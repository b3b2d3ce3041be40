package core

import "slices"

// Host is one host of the query tier, as listed in the host list.
type Host struct {
	id         HostID
	dataCentre DataCentre
	address    string
}

// NewHost returns a host that other hosts reach at address (TCP and UDP).
func NewHost(id HostID, dc DataCentre, address string) Host {
	return Host{id: id, dataCentre: dc, address: address}
}

// ID returns the host's name.
func (h Host) ID() HostID { return h.id }

// DataCentre returns the data centre in which the host runs.
func (h Host) DataCentre() DataCentre { return h.dataCentre }

// Address returns the address at which other hosts reach the host.
func (h Host) Address() string { return h.address }

// View is an immutable set of hosts, ordered by name.
type View struct {
	version uint64
	hosts   []Host
}

// NewView returns a view of hosts. Each change of the set needs a higher version.
func NewView(version uint64, hosts []Host) View {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		if a.id < b.id {
			return -1
		}
		if a.id > b.id {
			return 1
		}
		return 0
	})
	return View{version: version, hosts: sorted}
}

// Version identifies the view among those of the host that made it.
func (v View) Version() uint64 { return v.version }

// Hosts returns the hosts of the view. The caller must not change the slice.
func (v View) Hosts() []Host { return v.hosts }

// Lookup returns the host named id.
func (v View) Lookup(id HostID) (Host, bool) {
	i, ok := slices.BinarySearchFunc(v.hosts, id, func(h Host, id HostID) int {
		if h.id < id {
			return -1
		}
		if h.id > id {
			return 1
		}
		return 0
	})
	if !ok {
		return Host{}, false
	}
	return v.hosts[i], true
}

// PeerState is the state of a host, as other hosts see it.
type PeerState int32

// Peer states. Within one incarnation, later states in this list replace earlier
// ones. A joining host is not ready and gets no work.
const (
	PeerJoining PeerState = iota
	PeerAlive
	PeerLeaving
	PeerSuspect
	PeerDead
)

// String returns the state's name in snake case.
func (p PeerState) String() string {
	switch p {
	case PeerJoining:
		return "joining"
	case PeerAlive:
		return "alive"
	case PeerLeaving:
		return "leaving"
	case PeerSuspect:
		return "suspect"
	default:
		return "dead"
	}
}
