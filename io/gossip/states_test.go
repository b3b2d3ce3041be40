package gossip

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
)

// Guards against control traffic above 22 KB/s per host at the design size. A host pulls
// and serves the states once in 3/4 of statesInterval on average. 8 KB/s are reserved for
// packets (one ping and one ack sent and received per second, of at most 1200 bytes each,
// and announcements) and 4 KB/s for digests, sections and the host list.
func TestStatesFitTheBudget(t *testing.T) {
	const hosts, budget = 3300, (22 - 8 - 4) << 10
	rng := rand.New(rand.NewPCG(1, 1))
	self := core.NewHost("self", "x", "10.0.0.1:1")
	d := member.New(self, 1, rng)
	var entries []core.HostEntry
	var updates []core.PeerUpdate
	for i := range hosts {
		id := core.HostID(fmt.Sprintf("entry-%08x", rng.Uint32()))
		dc := core.DataCentre(fmt.Sprintf("data-centre-%d", i%9))
		h := core.NewHost(id, dc, fmt.Sprintf("10.%d.%d.%d:7100", i%9, rng.IntN(256), rng.IntN(256)))
		entries = append(entries, core.HostEntry{Host: h})
		// Incarnations are start times in nanoseconds, spread over two weeks.
		inc := core.Incarnation(1_790_000_000_000_000_000 + rng.Int64N(int64(14*24*time.Hour)))
		updates = append(updates, core.PeerUpdate{Host: h, Incarnation: inc, State: core.PeerAlive})
	}
	now := time.Unix(1, 0)
	d.SetHostList(now, entries)
	d.Merge(now, updates)
	a, err := New(Deps{Self: self, Detector: d, Ledger: config.NewLedger(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	reply, err := a.StatesReply()
	if err != nil {
		t.Fatal(err)
	}
	size := proto.Size(reply)
	rate := 2 * float64(size) / (0.75 * statesInterval.Seconds())
	t.Logf("%d bytes for %d hosts, %.0f bytes/s pulled and served", size, len(d.Updates()), rate)
	if len(d.Updates()) < hosts || rate > budget {
		t.Errorf("%d hosts, %d bytes: %.0f bytes/s pulled and served, want at most %d", len(d.Updates()), size, rate, budget)
	}
}
