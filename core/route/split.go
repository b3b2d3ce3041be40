package route

import (
	"slices"
	"sync"

	"oriolebarrow/core"
)

// Splitter distributes the requests of weighted routes by smooth weighted
// round-robin, so that every short run of requests keeps to the weights. It is
// safe for concurrent use.
type Splitter struct {
	mu    sync.Mutex
	turns map[string]*turn
	start uint64
}

type turn struct {
	shares  []core.Share
	credits []int
}

// NewSplitter returns a splitter. Hosts with different seeds begin at different
// services.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{turns: make(map[string]*turn), start: seed}
}

// Pick returns the service of the next request, or none when the route has no
// share with a positive weight.
func (s *Splitter) Pick(r *core.Route) (core.ServiceName, bool) {
	if len(r.Split) == 1 {
		return r.Split[0].Service, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.turns[r.Name]
	if !ok || !slices.Equal(t.shares, r.Split) {
		t = newTurn(r.Split, s.start)
		s.turns[r.Name] = t
	}
	return t.next()
}

func newTurn(shares []core.Share, seed uint64) *turn {
	t := &turn{shares: slices.Clone(shares), credits: make([]int, len(shares))}
	total := 0
	for _, sh := range shares {
		total += max(0, sh.Weight)
	}
	if total > 0 {
		for range seed % uint64(total) {
			t.next()
		}
	}
	return t
}

func (t *turn) next() (core.ServiceName, bool) {
	best, total := -1, 0
	for i, sh := range t.shares {
		if sh.Weight <= 0 {
			continue
		}
		total += sh.Weight
		t.credits[i] += sh.Weight
		if best < 0 || t.credits[i] > t.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	t.credits[best] -= total
	return t.shares[best].Service, true
}
