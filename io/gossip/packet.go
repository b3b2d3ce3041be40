package gossip

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

// maxPacketBytes is below the usual path MTU, so that packets are not fragmented.
const maxPacketBytes = 1200

// ErrMalformed is returned for a packet that a host of this version would never send.
var ErrMalformed = errors.New("gossip: malformed packet")

// Encode returns the bytes of a packet. If the packet would exceed maxPacketBytes, the last
// updates are omitted; later packets may carry them.
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
	e := &updateEncoder{sender: p.Incarnation}
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, e.encode(u))
	}
	w.Places = e.dataCentres
	for proto.Size(w) > maxPacketBytes && len(w.Updates) > 0 {
		w.Updates = w.Updates[:len(w.Updates)-1]
	}
	raw, err := proto.Marshal(w)
	return raw, errors.Wrap(err, "gossip: encode packet")
}

// Decode parses a packet. It returns ErrMalformed if the packet is too large or invalid.
func Decode(raw []byte) (member.Packet, error) {
	var w wire.Packet
	if len(raw) > maxPacketBytes || proto.Unmarshal(raw, &w) != nil {
		return member.Packet{}, ErrMalformed
	}
	from, ok := parseHost(w.Host, w.DataCentre, w.Address)
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
	d := &updateDecoder{sender: p.Incarnation, dataCentres: w.Places}
	for _, u := range w.Updates {
		next, ok := d.decode(u)
		if !ok {
			return member.Packet{}, ErrMalformed
		}
		p.Updates = append(p.Updates, next)
	}
	return p, nil
}

func validState(s int32) bool { return s >= int32(core.PeerJoining) && s <= int32(core.PeerDead) }

// plainUpdate returns the plain form of an update, as used in state exchanges.
func plainUpdate(u core.PeerUpdate) *wire.Update {
	return &wire.Update{
		Host:        string(u.Host.ID()),
		DataCentre:  string(u.Host.DataCentre()),
		Address:     u.Host.Address(),
		Incarnation: uint64(u.Incarnation),
		State:       int32(u.State),
	}
}

// parseHost returns false if the ID is empty or the address is not an IP address with a
// port.
func parseHost(id, dc, address string) (core.Host, bool) {
	_, err := netip.ParseAddrPort(address)
	return core.NewHost(core.HostID(id), core.DataCentre(dc), address), id != "" && err == nil
}
