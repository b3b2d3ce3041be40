package gossip

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

// maxPacketBytes stays below the usual path MTU, so that no packet is split.
const maxPacketBytes = 1200

// ErrMalformed is returned for a packet that no host of this version sends.
var ErrMalformed = errors.New("gossip: malformed packet")

// Encode returns the bytes of a packet. It leaves out the last updates when the packet would be too large; the
// next packets carry them again.
func Encode(p member.Packet) ([]byte, error) {
	w := &wire.Packet{
		Host:           string(p.From.ID()),
		DataCentre:     string(p.From.DataCentre()),
		Address:        p.From.Address(),
		Incarnation:    uint64(p.Incarnation),
		Leaving:        p.Leaving,
		Ready:          p.Status.Ready,
		LedgerDigest:   p.Status.LedgerDigest,
		LedgerRevision: uint64(p.Status.LedgerRevision),
		HostsVersion:   p.Status.HostsVersion,
	}
	switch p.Kind {
	case member.Ping:
		w.Body = &wire.Packet_Ping{Ping: &wire.Ping{Seq: p.Seq}}
	case member.PingReq:
		w.Body = &wire.Packet_PingReq{PingReq: &wire.PingReq{Seq: p.Seq, Target: string(p.Target)}}
	case member.Ack:
		w.Body = &wire.Packet_Ack{Ack: &wire.Ack{Seq: p.Seq, Target: string(p.Target)}}
	case member.Pull:
		w.Body = &wire.Packet_Pull{Pull: &wire.Pull{Buckets: p.Buckets}}
	case member.Entries:
		w.Body = &wire.Packet_Entries{Entries: &wire.Entries{}}
	}
	c := &compactor{sender: p.Incarnation}
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, c.update(u))
	}
	w.Places = c.places
	for proto.Size(w) > maxPacketBytes && len(w.Updates) > 0 {
		w.Updates = w.Updates[:len(w.Updates)-1]
	}
	raw, err := proto.Marshal(w)
	return raw, errors.Wrap(err, "gossip: encode")
}

// Decode parses a packet.
func Decode(raw []byte) (member.Packet, error) {
	var w wire.Packet
	if len(raw) > maxPacketBytes || proto.Unmarshal(raw, &w) != nil {
		return member.Packet{}, ErrMalformed
	}
	from, ok := host(w.Host, w.DataCentre, w.Address)
	if !ok {
		return member.Packet{}, ErrMalformed
	}
	p := member.Packet{
		From:        from,
		Incarnation: core.Incarnation(w.Incarnation),
		Leaving:     w.Leaving,
		Status: member.Status{
			Ready:          w.Ready,
			LedgerDigest:   w.LedgerDigest,
			LedgerRevision: core.Revision(w.LedgerRevision),
			HostsVersion:   w.HostsVersion,
		},
	}
	switch body := w.Body.(type) {
	case *wire.Packet_Ping:
		p.Kind, p.Seq = member.Ping, body.Ping.Seq
	case *wire.Packet_PingReq:
		p.Kind, p.Seq, p.Target = member.PingReq, body.PingReq.Seq, core.HostID(body.PingReq.Target)
	case *wire.Packet_Ack:
		p.Kind, p.Seq, p.Target = member.Ack, body.Ack.Seq, core.HostID(body.Ack.Target)
	case *wire.Packet_Pull:
		p.Kind, p.Buckets = member.Pull, body.Pull.Buckets
	case *wire.Packet_Entries:
		p.Kind = member.Entries
	default:
		return member.Packet{}, ErrMalformed
	}
	e := &expander{sender: p.Incarnation, places: w.Places}
	for _, u := range w.Updates {
		next, ok := e.update(u)
		if !ok {
			return member.Packet{}, ErrMalformed
		}
		p.Updates = append(p.Updates, next)
	}
	return p, nil
}

func knownState(s int32) bool { return s >= int32(core.PeerJoining) && s <= int32(core.PeerDead) }

func update(u core.PeerUpdate) *wire.Update {
	return &wire.Update{
		Host:        string(u.Host.ID()),
		DataCentre:  string(u.Host.DataCentre()),
		Address:     u.Host.Address(),
		Incarnation: uint64(u.Incarnation),
		State:       int32(u.State),
	}
}

func host(id, dc, address string) (core.Host, bool) {
	_, err := netip.ParseAddrPort(address)
	return core.NewHost(core.HostID(id), core.DataCentre(dc), address), id != "" && err == nil
}
