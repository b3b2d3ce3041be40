package picker

import (
	"math"
	"time"
)

// Slowness returns the usual time of a replica's calls, without queueing, relative to their
// expected one: above 1 if it is slower. It decays to 1 while the replica gets no calls.
func (t *Table) Slowness(now time.Time, r *Replica) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	decay := math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(statsHalfLife))
	return 1 + (r.slowness-1)*decay
}
