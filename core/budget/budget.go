// Package budget learns the hedge delay of one service and limits hedges and
// retries to a share of its calls.
//
// # Usage
//
//	b := budget.New(service.Limits())
//	b.Call()
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
	// quiet time. More would double the load of a group that turns slow.
	burst = 5
	// lowFill is the fill of the hedge budget below which the delay rises.
	lowFill = 0.5
	// maxStretch is the rise of the delay when the budget is empty.
	maxStretch = 4
	// initialHedges is what a new budget holds. It comes on top of the share,
	// once for each host: with a full burst three hosts made 3.02% extra calls
	// of a share of 3%. Two let the first failed reads repeat. Retries start
	// with a full burst, since a new owner may meet servers that are busy with
	// calls of the previous one.
	initialHedges = 2
	// startFactor times the floor is the delay until enough is learnt, 40 ms at
	// the default floor. The ceiling of 200 ms was the latency of the slowest
	// query of a run, and the budget bounds what a delay too short costs.
	startFactor = 8
)

// Budget serves all replica groups of one service. It is safe for concurrent
// use; it has one lock and calls nothing while it holds it.
type Budget struct {
	mu      sync.Mutex
	limits  core.Limits
	hedges  float64
	retries float64
	times   Times
}

var _ core.Budget = (*Budget)(nil)

// New returns a budget with two hedges, a burst of retries and nothing learnt.
func New(limits core.Limits) *Budget {
	b := &Budget{limits: limits}
	b.hedges = min(initialHedges, b.room(limits.HedgeBudget))
	b.retries = b.room(limits.RetryBudget)
	return b
}

// SetLimits follows a new edition of the section and keeps what is learnt.
func (b *Budget) SetLimits(limits core.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	b.hedges = min(b.hedges, b.room(limits.HedgeBudget))
	b.retries = min(b.retries, b.room(limits.RetryBudget))
}

// room is zero when the section allows none, so that a share of zero switches
// the mechanism off from the first call.
func (b *Budget) room(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return burst
}

// Call earns the shares of one first attempt.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges = min(b.room(b.limits.HedgeBudget), b.hedges+b.limits.HedgeBudget)
	b.retries = min(b.room(b.limits.RetryBudget), b.retries+b.limits.RetryBudget)
}

// TakeHedge spends one hedge; false when the budget is empty.
func (b *Budget) TakeHedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return take(&b.hedges)
}

// TakeRetry spends one retry; false when the budget is empty.
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

// Observe learns from a call that took d, or at least d if it was cancelled.
// The lower bound counts too: without it the estimate would see only the calls
// that beat their hedge, and fall.
func (b *Budget) Observe(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.times.Observe(d)
}

// HedgeDelay returns the time after the start of a call at which its hedge is
// due: a multiple of the floor until enough is learnt.
func (b *Budget) HedgeDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	delay := float64(b.times.Tail())
	if !b.times.Known() {
		delay = startFactor * float64(b.limits.HedgeFloor)
	}
	if fill := b.hedges / burst; fill < lowFill {
		delay *= 1 + (maxStretch-1)*(1-fill/lowFill)
	}
	return max(b.limits.HedgeFloor, min(b.limits.HedgeCeiling, time.Duration(delay)))
}

// Times returns the mean, the median and a fast service time; all are zero
// until enough is learnt.
func (b *Budget) Times() (mean, median, fast time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.times.Mean(), b.times.Median(), b.times.Fast()
}
