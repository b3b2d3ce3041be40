package member_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
)

// newLargeDetector returns a detector that knows n other hosts, all alive and listed.
func newLargeDetector(n int) (*member.Detector, time.Time) {
	now := time.Unix(1_000_000, 0)
	d := member.New(core.NewHost("self", "a", "10.0.0.1:1"), 1, rand.New(rand.NewPCG(1, 1)))
	d.SetStatus(member.Status{Ready: true})
	entries := make([]core.HostEntry, 0, n)
	updates := make([]member.Update, 0, n)
	for i := range n {
		h := core.NewHost(core.HostID(fmt.Sprintf("host-%04d", i)), "a", fmt.Sprintf("10.1.%d.%d:7000", i>>8, i&255))
		entries = append(entries, core.HostEntry{Host: h})
		updates = append(updates, member.Update{Host: h, Incarnation: 1, State: core.PeerAlive})
	}
	d.SetHostList(now, entries)
	d.Merge(now, updates)
	return d, now
}

// BenchmarkTick measures one tick in a fleet without changes whose hosts answer all pings.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 3300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, now := newLargeDetector(n)
			for b.Loop() {
				now = now.Add(member.TickInterval)
				for _, s := range d.Tick(now) {
					d.Receive(now, member.Packet{
						Kind: member.Ack, Seq: s.Packet.Seq, From: s.To, Incarnation: 1, Status: member.Status{Ready: true},
					})
				}
			}
		})
	}
}

// TestMemoryPerKnownHost guards against a detector that uses too much of the 64 MB of a
// host. With 3,300 known hosts it may use an eighth of them.
func TestMemoryPerKnownHost(t *testing.T) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	d, now := newLargeDetector(3300)
	view := d.View(now)
	used := heap() - before
	if used > 8<<20 || len(view.Hosts()) != 3301 {
		t.Errorf("the detector uses %d bytes for a view of %d hosts, want at most 8 MiB for 3301", used, len(view.Hosts()))
	}
	t.Logf("%d bytes per known host, including its address", used/3300)
	runtime.KeepAlive(d)
}
