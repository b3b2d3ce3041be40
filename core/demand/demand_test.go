package demand_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core/demand"
)

// observe reports replicas of two slots, a share of which is in use on average, a hundred
// times a second, and returns how often Short changed.
func observe(m *demand.Meter, now *time.Time, rng *rand.Rand, share float64, d time.Duration) (changes int) {
	short := m.Short(*now)
	for range int(d / (10 * time.Millisecond)) {
		busy := 0
		for range 2 {
			if rng.Float64() < share {
				busy++
			}
		}
		*now = now.Add(10 * time.Millisecond)
		m.Observe(*now, busy, 2)
		if s := m.Short(*now); s != short {
			short = s
			changes++
		}
	}
	return changes
}

// TestShort guards against shards that are short of slots unnoticed, against a message too
// many for shards that are not, and against a state that changes with each report.
func TestShort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	m := demand.New()
	for _, c := range []struct {
		share float64
		want  bool
	}{{0.2, false}, {0.7, true}, {0.45, true}, {0.2, false}, {0.45, false}} {
		changes := observe(m, &now, rng, c.share, 20*time.Second)
		if short := m.Short(now); short != c.want {
			t.Errorf("short is %v with %.0f%% of the slots in use, want %v", short, 100*c.share, c.want)
		}
		if changes > 1 {
			t.Errorf("%d changes with %.0f%% of the slots in use, want at most one", changes, 100*c.share)
		}
	}
}

// TestPeerReports guards against a host that calls no replica of a set itself and thus does
// not notice that they are short, and against an old report that is used for ever.
func TestPeerReports(t *testing.T) {
	now := time.Unix(1000, 0)
	m := demand.New()
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		m.ObservePeer(now, 0.7)
	}
	if !m.Short(now) {
		t.Error("not short although other hosts report 70% of the slots in use")
	}
	if m.InUse() != 0 {
		t.Error("reports of other hosts are passed on as own observations")
	}
	if now = now.Add(5 * time.Second); m.Short(now) {
		t.Error("short 5 s after the last report")
	}
}

// TestLongQueue guards against one replica with a long queue that makes a whole set short.
func TestLongQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	m := demand.New()
	for i := range 1000 {
		busy := 0
		if i%10 == 0 {
			busy = 14
		}
		m.Observe(now, busy, 2)
	}
	if m.Short(now) {
		t.Errorf("short with one busy replica of ten; in use %.2f", m.InUse())
	}
}
