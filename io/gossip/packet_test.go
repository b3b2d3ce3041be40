package gossip

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

// Guards against packets above the path MTU: surplus updates are omitted, the rest of the
// packet is kept.
func TestPacketIsBounded(t *testing.T) {
	p := member.Packet{Kind: member.Ack, Seq: 7, Target: "h2", From: core.NewHost("h1", "x", "10.0.0.1:1"), Incarnation: 9}
	for i := range 8 {
		long := core.HostID(strings.Repeat(string(rune('a'+i)), 300))
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

// Guards against malformed packets that are passed to the failure detector.
func TestMalformedPacketsAreDropped(t *testing.T) {
	ping := &wire.Packet_Ping{Ping: &wire.Ping{}}
	update := func(u *wire.Update) *wire.Packet {
		return &wire.Packet{Body: ping, Host: "h", Address: "10.0.0.1:1", Updates: []*wire.Update{u}, Places: []string{"x"}}
	}
	for name, w := range map[string]*wire.Packet{
		"no body":             {Host: "h", Address: "10.0.0.1:1"},
		"no host":             {Body: ping, Address: "10.0.0.1:1"},
		"no address":          {Body: ping, Host: "h"},
		"state above range":   update(&wire.Update{Host: "i", Address: "10.0.0.2:1", Place: 1, State: 5}),
		"state below range":   update(&wire.Update{Host: "i", Address: "10.0.0.2:1", Place: 1, State: -1}),
		"address":             update(&wire.Update{Host: "i", Place: 1, Address: "nowhere"}),
		"no data centre":      update(&wire.Update{Host: "i", Address: "10.0.0.2:1"}),
		"data centre":         update(&wire.Update{Host: "i", Place: 2, Address: "10.0.0.2:1"}),
		"prefix":              update(&wire.Update{Host: "i", Shared: 1, Place: 1, Address: "10.0.0.2:1"}),
		"endpoint IP":         update(&wire.Update{Host: "i", Place: 1, Endpoint: []byte{10, 0, 0, 2, 1}}),
		"endpoint without IP": update(&wire.Update{Host: "i", Place: 1, Endpoint: []byte{10}}),
		"too large":           {Body: ping, Host: strings.Repeat("h", maxPacketBytes), Address: "10.0.0.1:1"},
	} {
		raw, err := proto.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		a, err := New(Deps{})
		if err != nil {
			t.Fatal(err)
		}
		a.handlePacket(raw)
		a.handlePacket([]byte("no protobuf"))
		if s := a.Stats(); s.Malformed != 2 || s.Received != 0 {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// Guards against a compact update that is decoded as a different host, and against updates
// that are too large: when a large fleet starts, each host receives an update about every
// other one.
func TestUpdatesAreCompact(t *testing.T) {
	const updates, maxBytes = 30, 34
	p := member.Packet{Kind: member.Entries, From: core.NewHost("edge-c-east-1", "c-east", "10.1.0.1:7000"), Incarnation: 1 << 60}
	empty, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	for i := range updates {
		h := core.NewHost(core.HostID(fmt.Sprintf("edge-c-%s-%d", []string{"east", "west"}[i%2], i)),
			core.DataCentre([]string{"c-east", "c-west"}[i%2]), fmt.Sprintf("10.1.0.%d:7000", i))
		inc := core.Incarnation(1<<60 + i*10_000_000 - 150_000_000)
		p.Updates = append(p.Updates, member.Update{Host: h, Incarnation: inc, State: core.PeerState(i % 5)})
	}
	p.Updates[3].Host = core.NewHost("x", "", "[2001:db8::1]:80")
	raw, err := Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	if perUpdate := (len(raw) - len(empty)) / updates; perUpdate > maxBytes {
		t.Errorf("an update takes %d bytes, want at most %d", perUpdate, maxBytes)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(p, got, cmp.AllowUnexported(core.Host{})); diff != "" {
		t.Error(diff)
	}
}
