package budget

import "time"

const (
	// hedgeQuantile is the quantile of the service times that gives the hedge delay.
	hedgeQuantile = 0.95
	// fastQuantile is the quantile of the service times that Fast returns.
	fastQuantile = 0.1
	// minSamples is the number of observations needed before the estimates are used.
	minSamples = 50
	// refreshEvery is the number of observations after which the quantiles are
	// computed again. It limits the average cost of an observation.
	refreshEvery = 16
)

// Times estimates the distribution of the service times that it observes. It is
// not safe for concurrent use.
type Times struct {
	hist    histogram
	samples int // observations so far, up to minSamples
	pending int // observations since the quantiles were computed
	tail    time.Duration
	median  time.Duration
	fast    time.Duration
	mean    time.Duration
}

// Observe adds a service time.
func (t *Times) Observe(d time.Duration) {
	t.hist.add(d)
	t.samples = min(t.samples+1, minSamples)
	t.pending++
	if t.samples < minSamples || (t.pending < refreshEvery && t.tail > 0) {
		return
	}
	t.pending = 0
	t.tail = t.hist.quantile(hedgeQuantile)
	t.median = t.hist.quantile(0.5)
	t.fast = t.hist.quantile(fastQuantile)
	t.mean = t.hist.mean()
}

// Known reports whether enough service times have been observed. Until then, all
// estimates are zero.
func (t *Times) Known() bool { return t.samples >= minSamples }

// Tail returns the 0.95 quantile of the service times.
func (t *Times) Tail() time.Duration { return t.tail }

// Median returns the median service time.
func (t *Times) Median() time.Duration { return t.median }

// Fast returns the 0.1 quantile of the service times.
func (t *Times) Fast() time.Duration { return t.fast }

// Mean returns the mean service time.
func (t *Times) Mean() time.Duration { return t.mean }
