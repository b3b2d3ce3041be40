package budget_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func limits() core.Limits {
	return core.Limits{
		HedgeFloor: 5 * time.Millisecond, HedgeCeiling: 200 * time.Millisecond,
		HedgeBudget: 0.03, RetryBudget: 0.1,
	}
}

// TestHedgeDelay guards against a hedge delay that misses the 0.95 quantile of the
// service times (30 ms for an exponential distribution with a mean of 10 ms), that
// does not follow a change, or that lies below the floor or above the ceiling.
func TestHedgeDelay(t *testing.T) {
	b := budget.New(limits())
	for range 200 { // fills the budget
		b.RecordCall()
	}
	if got := b.HedgeDelay(); got != 40*time.Millisecond {
		t.Errorf("nothing observed: want 8 times the floor, got %s", got)
	}
	random := rand.New(rand.NewPCG(1, 1))
	delayAfter := func(mean time.Duration) time.Duration {
		for range 10_000 {
			b.RecordCall()
			b.Observe(time.Duration(random.ExpFloat64() * float64(mean)))
		}
		return b.HedgeDelay()
	}
	for _, c := range []struct{ mean, low, high time.Duration }{
		{10 * time.Millisecond, 27 * time.Millisecond, 33 * time.Millisecond},
		{20 * time.Millisecond, 54 * time.Millisecond, 66 * time.Millisecond},
		{time.Second, 200 * time.Millisecond, 200 * time.Millisecond},
		{100 * time.Microsecond, 5 * time.Millisecond, 5 * time.Millisecond},
	} {
		if got := delayAfter(c.mean); got < c.low || got > c.high {
			t.Errorf("mean %s: want a delay of %s to %s, got %s", c.mean, c.low, c.high, got)
		}
	}
}

// TestHedgeDelayRises guards against a hedge delay that stays the same while the
// hedge budget runs out.
func TestHedgeDelayRises(t *testing.T) {
	b := budget.New(limits())
	for range 200 {
		b.RecordCall()
		b.Observe(10 * time.Millisecond)
	}
	full := b.HedgeDelay()
	last := full
	for n := 1; b.TakeHedge(); n++ {
		now := b.HedgeDelay()
		if now < last || (n == 4 && now < 2*full) {
			t.Errorf("delay after %d hedges: %s, one hedge earlier: %s, with a full budget: %s", n, now, last, full)
		}
		last = now
	}
	for range 200 {
		b.RecordCall()
	}
	if got := b.HedgeDelay(); got != full {
		t.Errorf("delay after the budget was refilled: want %s, got %s", full, got)
	}
}

// TestBudgetShares guards against more hedges or retries than their share of the
// calls plus the initial budget (2 hedges, 5 retries), and against a budget that
// allows none.
func TestBudgetShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits()
		l.HedgeBudget = rapid.SampledFrom([]float64{0, 0.01, 0.03, 0.5, 1}).Draw(t, "hedge")
		l.RetryBudget = rapid.SampledFrom([]float64{0, 0.01, 0.1, 1}).Draw(t, "retry")
		b := budget.New(l)
		calls, hedges, retries := 0, 0, 0
		for _, event := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 400).Draw(t, "events") {
			switch event {
			case 0, 1:
				calls++
				b.RecordCall()
			case 2:
				if b.TakeHedge() {
					hedges++
				}
			default:
				if b.TakeRetry() {
					retries++
				}
			}
		}
		for name, c := range map[string]struct {
			share   float64
			initial float64
			got     int
			take    func() bool
		}{
			"hedges":  {l.HedgeBudget, 2, hedges, b.TakeHedge},
			"retries": {l.RetryBudget, 5, retries, b.TakeRetry},
		} {
			initial := c.initial
			if c.share == 0 {
				initial = 0
			}
			if float64(c.got) > initial+c.share*float64(calls)+1e-6 {
				t.Fatalf("%d %s for %d calls with a share of %g", c.got, name, calls, c.share)
			}
			for range 101 {
				b.RecordCall()
			}
			if c.share > 0 && !c.take() {
				t.Fatalf("no %s after 101 calls with a share of %g", name, c.share)
			}
		}
	})
}
