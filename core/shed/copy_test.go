package shed_test

import (
	"fmt"
	"testing"
	"time"

	"oriolebarrow/core/shed"
)

// TestCopy guards against a copy that shares state with its original: questions to copies must
// not change what is decided.
func TestCopy(t *testing.T) {
	for _, options := range []shed.Options{{}, {Compete: true}} {
		now := time.Unix(1000, 0)
		asked, plain := shed.New(options), shed.New(options)
		for i := range 2000 {
			now = now.Add(5 * time.Millisecond)
			d := shed.Demand{
				Route: fmt.Sprint("r", i%3), Priority: i % 2, Cost: 20 * time.Millisecond, Target: 200 * time.Millisecond, Remaining: time.Second,
				Caller: fmt.Sprint("c", i%7), Content: uint64(i % 50), Hash: uint64(i) * 0x9E3779B97F4A7C15,
			}
			for range 3 {
				asked.Copy().Admit(now, d)
			}
			preview := asked.Copy().Admit(now, d)
			got, want := asked.Admit(now, d), plain.Admit(now, d)
			if !same(got, want) || !same(preview, want) {
				t.Fatalf("%+v, query %d: %+v, a copy %+v, want %+v", options, i, got, preview, want)
			}
			asked.Ended(i%3 == 0, true)
			plain.Ended(i%3 == 0, true)
		}
	}
}

// same compares two decisions. Sums over the callers depend on their order in a map.
func same(a, b shed.Decision) bool {
	difference := a.Chance - b.Chance
	a.Chance, b.Chance = 0, 0
	return a == b && difference < 1e-9 && difference > -1e-9
}
