package order

import (
	"sync"
	"time"

	"oriolebarrow/core/pause"
)

// Arrival is what an owner does with an order call.
type Arrival int

// Arrivals of an order call.
const (
	First     Arrival = iota // send it to a backend server
	Duplicate                // it arrived before; never send it again
	Full                     // no room to remember it, so it must not be sent
)

// Seen remembers the order calls that a host has received, so that a message
// that is duplicated or reordered reaches a backend server once. An id is
// remembered while its order runs and for the keep time after its deadline. It
// is safe for concurrent use.
type Seen struct {
	max  int
	keep time.Duration

	mu      sync.Mutex
	ids     map[string]time.Time // when the id may be dropped
	sweepAt time.Time
}

// NewSeen returns an empty memory of at most max ids.
func NewSeen(max int, keep time.Duration) *Seen {
	return &Seen{max: max, keep: keep, ids: make(map[string]time.Time)}
}

// Arrive records an order call. No attempt of it may outlive its deadline.
func (s *Seen) Arrive(now time.Time, id string, deadline time.Time) Arrival {
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
	if pause.Left(now, s.sweepAt) > 0 {
		return
	}
	s.sweepAt = time.Time{}
	for id, until := range s.ids {
		if pause.Left(now, until) <= 0 {
			delete(s.ids, id)
		} else if s.sweepAt.IsZero() || until.Before(s.sweepAt) {
			s.sweepAt = until
		}
	}
}
