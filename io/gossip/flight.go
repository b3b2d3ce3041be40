package gossip

import (
	"sync"
	"time"
)

// flightStall is when an exchange that brings nothing no longer holds up others,
// so that one silent host doesn't delay a change by pullTimeout.
const flightStall = 500 * time.Millisecond

// flight keeps a host from taking the same sections from several hosts at once.
type flight struct {
	mu     sync.Mutex
	active int
	last   time.Time // of the last start or progress
}

// begin reports whether another exchange may start; end must follow then.
func (f *flight) begin(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active > 0 && now.Sub(f.last) < flightStall {
		return false
	}
	f.active++
	f.last = now
	return true
}

func (f *flight) progress(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = now
}

func (f *flight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}
