package gossip

import (
	"sync"
	"time"
)

// pullStallTimeout is the time without progress after which a running pull no longer
// blocks others. Otherwise one silent host would delay a change by pullTimeout.
const pullStallTimeout = 500 * time.Millisecond

// pullGuard prevents a host from pulling the same sections from several hosts at once.
type pullGuard struct {
	mu           sync.Mutex
	active       int
	lastProgress time.Time // last start or progress of any pull
}

// begin reports whether another pull may start. If it returns true, the caller must call
// end when the pull ends.
func (g *pullGuard) begin(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active > 0 && now.Sub(g.lastProgress) < pullStallTimeout {
		return false
	}
	g.active++
	g.lastProgress = now
	return true
}

func (g *pullGuard) progress(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastProgress = now
}

func (g *pullGuard) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
}
