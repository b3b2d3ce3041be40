// Package pause detects that the process did not run for some time because it was stopped
// by a signal, got no processor time, or was suspended with its machine.
//
// # Usage
//
//	d := pause.New(pause.DefaultLimit)
//	gap := d.Observe(pause.Reading{Wall: time.Now().Round(0), Monotonic: time.Since(start)})
//	if gap > 0 {
//		// what the process learned about others before the gap may be outdated
//	}
package pause

import (
	"sync"
	"time"
)

// DefaultLimit is the longest gap that does not count as a pause. It is the period of the
// failure detector, within which the list of live hosts can change. Gaps from garbage
// collection and scheduling on a busy host are much shorter.
const DefaultLimit = time.Second

// Reading holds the times of the wall clock and the monotonic clock at one instant.
type Reading struct {
	Wall      time.Time     // without a monotonic clock reading
	Monotonic time.Duration // since some fixed instant
}

// Detector detects gaps between successive readings of the clocks. It is safe for
// concurrent use: a gap is reported only to the goroutine that calls Observe first
// after it.
type Detector struct {
	limit time.Duration

	mu      sync.Mutex
	last    Reading
	hasLast bool
}

// New returns a Detector that reports gaps longer than limit.
func New(limit time.Duration) *Detector {
	return &Detector{limit: limit}
}

// Observe returns the length of the gap since the last reading, or 0 if it is within the
// limit. The gap is the larger of the differences that the two clocks show, since the
// monotonic clock stops during a suspension and the wall clock may be set back. A wall
// clock that is set forward looks like a gap, which costs only an unneeded refresh.
func (d *Detector) Observe(r Reading) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, hasLast := d.last, d.hasLast
	d.last, d.hasLast = r, true
	if hasLast && r.Monotonic < last.Monotonic {
		d.last = last // another goroutine has observed a later reading
	}
	gap := max(r.Monotonic-last.Monotonic, r.Wall.Sub(last.Wall))
	if !hasLast || gap <= d.limit {
		return 0
	}
	return gap
}

// Remaining returns the time remaining from now until t. If the wall clock and the
// monotonic clock differ, the shorter time counts, so that a deadline also passes during a
// suspension, when the monotonic clock stops.
func Remaining(now, t time.Time) time.Duration {
	return min(t.Sub(now), t.Round(0).Sub(now.Round(0)))
}
