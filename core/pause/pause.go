// Package pause detects that the process did not run for a while: stopped by a
// signal, starved, or suspended with its machine.
//
// # Usage
//
//	d := pause.New(pause.DefaultLimit)
//	gap := d.Observe(pause.Reading{Wall: time.Now().Round(0), Monotonic: time.Since(start)})
//	if gap > 0 {
//		// everything learnt before the gap is outdated
//	}
package pause

import (
	"sync"
	"time"
)

// DefaultLimit is the shortest gap that counts as a pause. The view can change
// within the failure detector's period of 1 s; garbage collection and scheduling
// on a busy host stay far below this limit.
const DefaultLimit = time.Second

// Reading is one reading of both clocks.
type Reading struct {
	Wall      time.Time     // without a monotonic part
	Monotonic time.Duration // since any fixed instant
}

// Detector compares successive readings. It is safe for concurrent use: the
// first caller after a gap reports it, whichever goroutine wakes first.
type Detector struct {
	limit time.Duration

	mu   sync.Mutex
	last Reading
	seen bool
}

// New returns a detector without readings.
func New(limit time.Duration) *Detector {
	return &Detector{limit: limit}
}

// Observe returns the length of the gap since the last reading, or 0 when it is
// within the limit. The larger difference of the two clocks counts: the
// monotonic clock stands still during a suspension, and the wall clock may be
// set back. A wall clock that is set forward looks like a gap, which costs a
// refresh and nothing else.
func (d *Detector) Observe(r Reading) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, seen := d.last, d.seen
	d.last, d.seen = r, true
	if seen && r.Monotonic < last.Monotonic {
		d.last = last // readings of two goroutines crossed
	}
	gap := max(r.Monotonic-last.Monotonic, r.Wall.Sub(last.Wall))
	if !seen || gap <= d.limit {
		return 0
	}
	return gap
}

// Left returns the time from now until t by the clock that is further ahead, so
// that a deadline also passes while the monotonic clock stands still.
func Left(now, t time.Time) time.Duration {
	return min(t.Sub(now), t.Round(0).Sub(now.Round(0)))
}
