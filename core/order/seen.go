package order

import (
	"sync"
	"time"

	"oriolebarrow/core/pause"
)

// AddResult tells whether an order call may be sent to a backend server.
type AddResult int

// Results of Seen.Add.
const (
	First     AddResult = iota // the call is new; send it
	Duplicate                  // the call arrived before; never send it again
	Full                       // the call can't be remembered, so it must not be sent
)

// Seen remembers the ids of the order calls that a host has received, so that a
// message that is duplicated or reordered reaches a backend server at most once.
// An id is remembered at least until the keep time after the deadline of its order.
// Seen is safe for concurrent use.
type Seen struct {
	max  int
	keep time.Duration

	mu      sync.Mutex
	ids     map[string]time.Time // time at which the id may be forgotten
	sweepAt time.Time            // no id expires earlier, so a sweep before this time is skipped
}

// NewSeen returns a Seen without ids that remembers at most max of them.
func NewSeen(max int, keep time.Duration) *Seen {
	return &Seen{max: max, keep: keep, ids: make(map[string]time.Time)}
}

// Add records an order call. No attempt of the call may run past the deadline.
func (s *Seen) Add(now time.Time, id string, deadline time.Time) AddResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.ids[id]; ok {
		return Duplicate
	}
	if len(s.ids) >= s.max {
		s.sweep(now)
	}
	if len(s.ids) >= s.max {
		return Full
	}
	until := deadline.Add(s.keep)
	s.ids[id] = until
	if s.sweepAt.IsZero() || until.Before(s.sweepAt) {
		s.sweepAt = until
	}
	return First
}

func (s *Seen) sweep(now time.Time) {
	if pause.Remaining(now, s.sweepAt) > 0 {
		return
	}
	s.sweepAt = time.Time{}
	for id, until := range s.ids {
		if pause.Remaining(now, until) <= 0 {
			delete(s.ids, id)
		} else if s.sweepAt.IsZero() || until.Before(s.sweepAt) {
			s.sweepAt = until
		}
	}
}
