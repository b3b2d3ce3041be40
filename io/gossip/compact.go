package gossip

import (
	"net/netip"
	"slices"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

// compactor writes the updates of one packet. Hosts of one fleet have names that begin
// alike, few data centres, and incarnations that are close to each other, so that an
// update takes about a third of its plain form.
type compactor struct {
	sender core.Incarnation
	places []string
	last   string // name of the update before
}

// update returns the compact form of u; the address stays as it is unless it is an IP
// address and a port.
func (c *compactor) update(u core.PeerUpdate) *wire.Update {
	name := string(u.Host.ID())
	shared := sharedPrefix(c.last, name)
	c.last = name
	w := &wire.Update{
		Host:        name[shared:],
		Shared:      uint32(shared),
		State:       int32(u.State),
		SinceSender: int64(u.Incarnation - c.sender),
		Place:       c.place(string(u.Host.DataCentre())),
	}
	if address, err := netip.ParseAddrPort(u.Host.Address()); err == nil && address.Addr().Zone() == "" {
		w.Endpoint = append(address.Addr().AsSlice(), byte(address.Port()>>8), byte(address.Port()))
	} else {
		w.Address = u.Host.Address()
	}
	return w
}

func (c *compactor) place(name string) uint32 {
	at := slices.Index(c.places, name)
	if at < 0 {
		at = len(c.places)
		c.places = append(c.places, name)
	}
	return uint32(at) + 1
}

func sharedPrefix(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

// expander reads the updates of one packet.
type expander struct {
	sender core.Incarnation
	places []string
	last   string
}

// update returns the plain form of an update; false if it refers to what the packet
// does not hold.
func (e *expander) update(w *wire.Update) (core.PeerUpdate, bool) {
	if int(w.Shared) > len(e.last) || int(w.Place) > len(e.places) || w.Place == 0 {
		return core.PeerUpdate{}, false
	}
	e.last = e.last[:w.Shared] + w.Host
	address := w.Address
	if n := len(w.Endpoint) - 2; n >= 0 {
		ip, ok := netip.AddrFromSlice(w.Endpoint[:n])
		if !ok {
			return core.PeerUpdate{}, false
		}
		address = netip.AddrPortFrom(ip, uint16(w.Endpoint[n])<<8|uint16(w.Endpoint[n+1])).String()
	}
	h, ok := host(e.last, e.places[w.Place-1], address)
	return core.PeerUpdate{
		Host:        h,
		Incarnation: e.sender + core.Incarnation(w.SinceSender),
		State:       core.PeerState(w.State),
	}, ok && knownState(w.State)
}
