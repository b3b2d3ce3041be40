package budget

import "time"

const (
	// hedgeQuantile of the service times is the hedge delay.
	hedgeQuantile = 0.95
	// fastQuantile is a service time that few calls undercut.
	fastQuantile = 0.1
	// minSamples are needed before the learnt values are used.
	minSamples = 50
	// refreshEvery bounds the cost of an observation: quantiles are computed
	// once in so many.
	refreshEvery = 16
)

// Times learns the distribution of service times. It is not safe for concurrent
// use.
type Times struct {
	hist    histogram
	learnt  int // observations so far, up to minSamples
	pending int // observations since the quantiles were computed
	tail    time.Duration
	median  time.Duration
	fast    time.Duration
	mean    time.Duration
}

// Observe adds a service time.
func (t *Times) Observe(d time.Duration) {
	t.hist.add(d)
	t.learnt = min(t.learnt+1, minSamples)
	t.pending++
	if t.learnt < minSamples || (t.pending < refreshEvery && t.tail > 0) {
		return
	}
	t.pending = 0
	t.tail = t.hist.quantile(hedgeQuantile)
	t.median = t.hist.quantile(0.5)
	t.fast = t.hist.quantile(fastQuantile)
	t.mean = t.hist.mean()
}

// Known reports whether enough is learnt; until then all values are zero.
func (t *Times) Known() bool { return t.learnt >= minSamples }

// Tail returns the time that one call in twenty exceeds.
func (t *Times) Tail() time.Duration { return t.tail }

// Median returns the middle time.
func (t *Times) Median() time.Duration { return t.median }

// Fast returns a time that few calls undercut.
func (t *Times) Fast() time.Duration { return t.fast }

// Mean returns the average time.
func (t *Times) Mean() time.Duration { return t.mean }
