package load_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oriolebarrow/bench/load"
)

// TestScheduleIsReproducible guards against a schedule that differs between runs, exceeds its
// limits or isn't sorted by time. Any of these would make a comparison of two policies unfair.
func TestScheduleIsReproducible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rate := rapid.Float64Range(1, 5000).Draw(t, "rate")
		limit := rapid.IntRange(1, 500).Draw(t, "limit")
		kinds := []load.RequestKind{{Caller: "a", Weight: 1}, {Caller: "b", Weight: 3}}
		first := load.Schedule(seed, rate, time.Second, kinds, 3, limit)
		if diff := cmp.Diff(first, load.Schedule(seed, rate, time.Second, kinds, 3, limit)); diff != "" {
			t.Fatalf("same seed, different schedule:\n%s", diff)
		}
		if len(first) > limit {
			t.Fatalf("%d arrivals, limit %d", len(first), limit)
		}
		last := time.Duration(0)
		for _, a := range first {
			if a.At < last || a.At >= time.Second || a.Host < 0 || a.Host > 2 || a.Kind < 0 || a.Kind > 1 {
				t.Fatalf("bad arrival %+v after %s", a, last)
			}
			last = a.At
		}
	})
}

// TestScheduleMatchesRateAndMix guards against a schedule whose rate or mix differs from the
// requested ones.
func TestScheduleMatchesRateAndMix(t *testing.T) {
	kinds := []load.RequestKind{{Weight: 1}, {Weight: 3}}
	arrivals := load.Schedule(7, 10_000, 10*time.Second, kinds, 1, 1_000_000)
	if n := len(arrivals); n < 98_000 || n > 102_000 {
		t.Errorf("%d arrivals, want about 100000", n)
	}
	second := 0
	for _, a := range arrivals {
		second += a.Kind
	}
	if share := float64(second) / float64(len(arrivals)); share < 0.74 || share > 0.76 {
		t.Errorf("share of the second kind is %.3f, want about 0.75", share)
	}
}
