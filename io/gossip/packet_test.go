package gossip

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

// Guards against packets above the path MTU: updates are left out, the packet
// itself is kept.
func TestPacketIsBounded(t *testing.T) {
	p := member.Packet{Kind: member.Ack, Seq: 7, Target: "h2", From: core.NewHost("h1", "x", "10.0.0.1:1"), Incarnation: 9}
	for range 8 {
		long := core.HostID(strings.Repeat("h", 300))
		p.Updates = append(p.Updates, member.Update{Host: core.NewHost(long, "x", "10.0.0.2:1"), State: core.PeerDead})
	}
	raw, err := Encode(p)
	if err != nil || len(raw) > maxPacketBytes {
		t.Fatalf("%d bytes, error %v", len(raw), err)
	}
	got, err := Decode(raw)
	if err != nil || len(got.Updates) != 3 {
		t.Fatalf("%d updates, error %v", len(got.Updates), err)
	}
	p.Updates = p.Updates[:3]
	if diff := cmp.Diff(p, got, cmp.AllowUnexported(core.Host{})); diff != "" {
		t.Error(diff)
	}
}

// Guards against malformed packets that reach the failure detector.
func TestMalformedPacketsAreDropped(t *testing.T) {
	ping := &wire.Packet_Ping{Ping: &wire.Ping{}}
	update := func(u *wire.Update) *wire.Packet {
		return &wire.Packet{Body: ping, Host: "h", Address: "10.0.0.1:1", Updates: []*wire.Update{u}}
	}
	for name, w := range map[string]*wire.Packet{
		"no body":    {Host: "h", Address: "10.0.0.1:1"},
		"no host":    {Body: ping, Address: "10.0.0.1:1"},
		"no address": {Body: ping, Host: "h"},
		"state":      update(&wire.Update{Host: "i", Address: "10.0.0.2:1", State: 5}),
		"no state":   update(&wire.Update{Host: "i", Address: "10.0.0.2:1", State: -1}),
		"update":     update(&wire.Update{Host: "i", Address: "nowhere"}),
		"too large":  {Body: ping, Host: strings.Repeat("h", maxPacketBytes), Address: "10.0.0.1:1"},
	} {
		raw, err := proto.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		a, err := New(Parts{})
		if err != nil {
			t.Fatal(err)
		}
		a.take(raw)
		a.take([]byte("no protobuf"))
		if s := a.Stats(); s.Malformed != 2 || s.Received != 0 {
			t.Errorf("%s: %+v", name, s)
		}
	}
}
