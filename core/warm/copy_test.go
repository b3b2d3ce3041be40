package warm_test

import (
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// TestCopy guards against a copy that uses up the quotas of its original.
func TestCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	members := warm.Members{Known: true, Local: []core.HostID{"h"}, DataCentres: 1}
	l := warm.New("h", "a")
	l.SetBounds(now, warm.Bounds{Overshoot: 1.5, Slack: 5})
	l.SetRates(now, map[core.ServiceName]float64{"s": 20})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		l.SetMembers(now, members)
	}
	l.MarkCold(now, core.Instance{ID: "i", Service: "s", DataCentre: "a"}, time.Minute, true)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		l.SetMembers(now, members)
	}
	sent := 0
	for c := l.Copy(); c.Allow(now, "i") && sent < 100; sent++ {
		c.Sent(now, "i")
	}
	if sent == 0 || sent == 100 {
		t.Fatalf("a copy allows %d requests", sent)
	}
	withheld := l.Withheld()
	for i := range sent {
		if !l.Allow(now, "i") {
			t.Fatalf("%d requests allowed, want %d as by the copy", i, sent)
		}
		l.Sent(now, "i")
	}
	if l.Withheld() != withheld || l.Allow(now, "i") {
		t.Error("requests were counted twice, or a quota has grown")
	}
}
