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
	documentBytes         = 1 << 20
	changePeriodSeconds   = 12       // time between two changes
	controlBytesPerSecond = 22 << 10 // limit for each host
	maxPacketBytes        = 1200     // of the failure detector
)

// document returns n sections with a total size of about 1 MB. The section with the index
// newer has a higher edition; -1 means none.
func document(n, newer int) []byte {
	var doc bytes.Buffer
	for i := range n {
		edition := 1
		if i == newer {
			edition = 2
		}
		fmt.Fprintf(&doc, "kind: caller\nname: c%d\nteam: t\nedition: %d\nservices: [s]\n#", i, edition)
		// The filler differs by section and position, so that it is hardly compressible.
		for j := 0; j < documentBytes/n-90; j += 16 {
			fmt.Fprintf(&doc, "%016x", uint64(i*100_003+j+1)*0x9E3779B97F4A7C15)
		}
		doc.WriteString("\n---\n")
	}
	doc.WriteString("kind: end\n")
	return doc.Bytes()
}

// Guards against an exchange of sections whose size grows with the document. The limit is
// half of a host's budget for control traffic, if it pulls one changed section every 12 s
// from each of three hosts and sends and receives a ping and an ack every second.
func TestExchangeSize(t *testing.T) {
	for _, n := range []int{300, 3000} {
		local, remote := config.NewLedger(), config.NewLedger()
		if _, err := local.Apply(core.Document{Revision: 1, Text: document(n, -1)}); err != nil {
			t.Fatal(err)
		}
		if _, err := remote.Apply(core.Document{Revision: 1, Text: document(n, -1)}); err != nil {
			t.Fatal(err)
		}
		a, err := gossip.New(gossip.Deps{Ledger: remote})
		if err != nil {
			t.Fatal(err)
		}
		exchange := func() int {
			get := &wire.SectionsGet{Buckets: local.Digests()}
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
		equalSize := exchange()
		if _, err := remote.Apply(core.Document{Revision: 2, Text: document(n, n/2)}); err != nil {
			t.Fatal(err)
		}
		if remote.Digest() == local.Digest() || len(local.Versions()) != n {
			t.Fatalf("%d sections: not all are active, or the digests are equal", n)
		}
		changedSize := exchange()
		perSecond := 3*changedSize/changePeriodSeconds + 4*maxPacketBytes
		t.Logf("%d sections: %d bytes if none differs, %d if one differs, at most %d per second", n, equalSize, changedSize, perSecond)
		if equalSize > 3<<10 || perSecond > controlBytesPerSecond/2 {
			t.Errorf("%d sections: %d bytes if none differs, %d if one differs, %d per second", n, equalSize, changedSize, perSecond)
		}
	}
}
