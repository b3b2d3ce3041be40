// Package budget limits hedges and retries. A Budget limits those of one service
// to a share of its calls, and derives the hedge delay from the service times
// that it observes. An Extra limits the extra calls of one host.
//
// # Usage
//
//	b := budget.New(service.Limits())
//	b.RecordCall()
//	b.Observe(12 * time.Millisecond)
//	if b.TakeHedge() {
//		// start the hedge
//	}
package budget

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	// burst is the number of hedges or retries that may start at once after a
	// quiet period. More would double the load of a replica group that becomes
	// slow.
	burst = 5
	// lowFill is the fraction of the burst below which the hedge delay rises.
	lowFill = 0.5
	// maxDelayFactor multiplies the hedge delay when the hedge budget is empty.
	maxDelayFactor = 4
	// initialHedges is the number of hedges that a new budget allows. Every host
	// has them in addition to the share: with a full burst, three hosts made
	// 3.02% extra calls at a share of 3%. Two are enough to repeat the first failed
	// reads, which also spends hedges. Retries start with a full burst, since the
	// backend servers may still be busy with calls of the previous owner.
	initialHedges = 2
	// initialDelayFactor times the floor is the hedge delay until enough service
	// times have been observed: 40 ms at the default floor. With an initial delay
	// at the ceiling, the slowest query took 200 ms. A delay that is too short
	// costs little, since the budget limits the hedges.
	initialDelayFactor = 8
)

// Budget serves all replica groups of one service. It is safe for concurrent
// use; it has one lock and calls no other component while it holds it.
type Budget struct {
	mu      sync.Mutex
	limits  core.Limits
	hedges  float64 // tokens: one hedge each
	retries float64 // tokens: one retry each
	times   Times
}

var _ core.Budget = (*Budget)(nil)

// New returns a budget that allows two hedges and a burst of retries and has
// observed no service times.
func New(limits core.Limits) *Budget {
	b := &Budget{limits: limits}
	b.hedges = min(initialHedges, b.capacity(limits.HedgeBudget))
	b.retries = b.capacity(limits.RetryBudget)
	return b
}

// SetLimits replaces the limits and keeps the observed service times.
func (b *Budget) SetLimits(limits core.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.hedges = min(b.hedges, b.capacity(limits.HedgeBudget))
	b.retries = min(b.retries, b.capacity(limits.RetryBudget))
}

// capacity returns the largest number of tokens for a share. It is zero for a share
// of zero, which disables hedges or retries from the first call on.
func (b *Budget) capacity(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return burst
}

// RecordCall records the first attempt of a call. It adds the configured shares of
// a hedge and of a retry to the budget.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges = min(b.capacity(b.limits.HedgeBudget), b.hedges+b.limits.HedgeBudget)
	b.retries = min(b.capacity(b.limits.RetryBudget), b.retries+b.limits.RetryBudget)
}

// TakeHedge spends one hedge. It returns false if the budget is empty.
func (b *Budget) TakeHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.hedges)
}

// TakeRetry spends one retry. It returns false if the budget is empty.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.retries)
}

func take(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// Observe records the duration of a call; for a cancelled call, that is the time
// until it ended. Cancelled calls must be observed too: without them only the calls
// that finish before their hedge would count, and the estimate would fall.
func (b *Budget) Observe(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.times.Observe(d)
}

// HedgeDelay returns how long after the start of a call its hedge is due. Until
// enough service times have been observed, it is a multiple of the floor.
func (b *Budget) HedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := float64(b.times.Tail())
	if !b.times.Known() {
		delay = initialDelayFactor * float64(b.limits.HedgeFloor)
	}
	if fill := b.hedges / burst; fill < lowFill {
		delay *= 1 + (maxDelayFactor-1)*(1-fill/lowFill)
	}
	return max(b.limits.HedgeFloor, min(b.limits.HedgeCeiling, time.Duration(delay)))
}

// Times returns the mean, the median and a low quantile of the service times. All
// are zero until enough service times have been observed.
func (b *Budget) Times() (mean, median, fast time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.times.Mean(), b.times.Median(), b.times.Fast()
}
