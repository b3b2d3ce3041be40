package picker

import "time"

// pauseRatio is the duration of a call, relative to the usual one, from which on the
// replica may have been paused for a moment. Replicas that are merely slower or busier than
// others stay below it.
const pauseRatio = 3

// pauseFilter tells a replica that was paused for a moment, for instance by its garbage
// collector, from a slow one. One pause delays all calls that run at the same time, so a
// delayed call says that the replica is slow only if most of its delay lies after the end of
// the last delayed one, and no call in between was as fast as usual. Without the filter, each
// pause diverts calls to other data centres for seconds.
type pauseFilter struct {
	delayedUntil time.Time // end of the last delayed call; zero if the call after it was not delayed
	slow         bool      // a delayed call followed another one
}

// isPause reports whether the duration of a call is due to a pause. usual is its duration at
// a replica of usual speed.
func (f *pauseFilter) isPause(begin, end time.Time, usual time.Duration) bool {
	if end.Sub(begin) < pauseRatio*usual {
		*f = pauseFilter{}
		return false
	}
	if !f.delayedUntil.IsZero() {
		if begin.Before(f.delayedUntil) {
			begin = f.delayedUntil
		}
		f.slow = f.slow || end.Sub(begin) >= pauseRatio*usual
	}
	if end.After(f.delayedUntil) {
		f.delayedUntil = end
	}
	return !f.slow
}
