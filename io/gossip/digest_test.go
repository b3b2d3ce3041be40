package gossip_test

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/io/gossip"
	"oriolebarrow/io/wire"
)

const (
	documentBytes = 1 << 20
	changePeriod  = 12       // seconds between two changes
	controlBytes  = 22 << 10 // a second and host
	packetBytes   = 1200     // a packet is never larger
)

// document returns n sections of about 1 MB together; one of them may be newer.
func document(n, newer int) []byte {
	var doc bytes.Buffer
	for i := range n {
		edition := 1
		if i == newer {
			edition = 2
		}
		fmt.Fprintf(&doc, "kind: caller\nname: c%d\nteam: t\nedition: %d\nservices: [s]\n#", i, edition)
		// The filling differs by section and place, so that it does not compress away.
		for j := 0; j < documentBytes/n-90; j += 16 {
			fmt.Fprintf(&doc, "%016x", uint64(i*100_003+j+1)*0x9E3779B97F4A7C15)
		}
		doc.WriteString("\n---\n")
	}
	doc.WriteString("kind: end\n")
	return doc.Bytes()
}

// Guards against an exchange whose bytes grow with the document. The bound is a
// half of what a host may spend, with one changed section pulled every 12 s from
// each of three hosts and a ping and its ack answered every second.
func TestBytesOfAnExchange(t *testing.T) {
	for _, n := range []int{300, 3000} {
		own, other := config.NewLedger(), config.NewLedger()
		if _, err := own.Apply(core.Document{Revision: 1, Text: document(n, -1)}); err != nil {
			t.Fatal(err)
		}
		if _, err := other.Apply(core.Document{Revision: 1, Text: document(n, -1)}); err != nil {
			t.Fatal(err)
		}
		a, err := gossip.New(gossip.Parts{Ledger: other})
		if err != nil {
			t.Fatal(err)
		}
		exchange := func() int {
			get := &wire.SectionsGet{Buckets: own.Digests()}
			replies, err := a.SectionsReplies(get)
			if err != nil {
				t.Fatal(err)
			}
			size := proto.Size(&wire.Frame{Body: &wire.Frame_SectionsGet{SectionsGet: get}})
			for _, r := range replies {
				size += proto.Size(&wire.Frame{Body: &wire.Frame_SectionsReply{SectionsReply: r}})
			}
			return size
		}
		same := exchange()
		if _, err := other.Apply(core.Document{Revision: 2, Text: document(n, n/2)}); err != nil {
			t.Fatal(err)
		}
		if other.Digest() == own.Digest() || len(own.Versions()) != n {
			t.Fatalf("%d sections are not in force", n)
		}
		changed := exchange()
		perSecond := 3*changed/changePeriod + 4*packetBytes
		t.Logf("%d sections: %d bytes when nothing differs, %d when one does, at most %d a second", n, same, changed, perSecond)
		if same > 3<<10 || perSecond > controlBytes/2 {
			t.Errorf("%d sections: %d and %d bytes, %d a second", n, same, changed, perSecond)
		}
	}
}
