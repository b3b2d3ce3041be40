package route

import "slices"

// Copy returns a splitter in the same state that changes independently of s.
func (s *Splitter) Copy() *Splitter {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := NewSplitter(s.seed)
	for name, r := range s.rotations {
		c.rotations[name] = &rotation{shares: r.shares, current: slices.Clone(r.current)}
	}
	return c
}
