package route

import (
	"slices"
	"sync"

	"oriolebarrow/core"
)

// Splitter distributes the requests of weighted routes by smooth weighted
// round-robin, so that even a short sequence of requests follows the weights. It is
// safe for concurrent use.
type Splitter struct {
	mu        sync.Mutex
	rotations map[string]*rotation // by name of the route
	seed      uint64
}

// rotation is the state of the weighted round-robin of one route.
type rotation struct {
	shares  []core.Share
	current []int // current weights, by share
}

// NewSplitter returns a splitter. The seed chooses the position at which the rotation
// of each route starts, so that hosts start with different services.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{rotations: make(map[string]*rotation), seed: seed}
}

// Pick returns the service for the next request of a route, or false if the route has
// no service with a positive weight. The weight of a route's only service is ignored.
func (s *Splitter) Pick(r *core.Route) (core.ServiceName, bool) {
	if len(r.Split) == 1 {
		return r.Split[0].Service, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rot, ok := s.rotations[r.Name]
	if !ok || !slices.Equal(rot.shares, r.Split) {
		rot = newRotation(r.Split, s.seed)
		s.rotations[r.Name] = rot
	}
	return rot.next()
}

// newRotation returns a rotation that is advanced by a number of requests, which
// depends on the seed.
func newRotation(shares []core.Share, seed uint64) *rotation {
	r := &rotation{shares: slices.Clone(shares), current: make([]int, len(shares))}
	total := 0
	for _, sh := range shares {
		total += max(0, sh.Weight)
	}
	if total > 0 {
		for range seed % uint64(total) {
			r.next()
		}
	}
	return r
}

// next increases each current weight by the weight of its share and returns the
// service of the share with the greatest current weight, from which it then
// subtracts the sum of all weights.
func (r *rotation) next() (core.ServiceName, bool) {
	best, total := -1, 0
	for i, sh := range r.shares {
		if sh.Weight <= 0 {
			continue
		}
		total += sh.Weight
		r.current[i] += sh.Weight
		if best < 0 || r.current[i] > r.current[best] {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	r.current[best] -= total
	return r.shares[best].Service, true
}
