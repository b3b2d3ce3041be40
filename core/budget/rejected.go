package budget

import (
	"sync"
	"time"
)

// rejectedTTL is how long a rejected query is kept for the next report. Queries that are
// counted much later than they were sent would raise the limit of a window in which no caller
// sent them.
const rejectedTTL = 250 * time.Millisecond

// Rejected collects the queries that a host rejects before any call. Callers have sent them,
// so that they count as requests for each shard; the host reports them together with its next
// admitted query to the hosts that call the shards. It is safe for concurrent use.
type Rejected struct {
	mu sync.Mutex
	at []time.Time // oldest first
}

// Add records a rejected query.
func (r *Rejected) Add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.at = append(r.at, now)
}

// Take returns the number of recently rejected queries that have not been taken before.
func (r *Rejected) Take(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	n := len(r.at)
	r.at = r.at[:0]
	return n
}

func (r *Rejected) expire(now time.Time) {
	old := 0
	for old < len(r.at) && now.Sub(r.at[old]) > rejectedTTL {
		old++
	}
	r.at = append(r.at[:0], r.at[old:]...)
}
