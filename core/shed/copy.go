package shed

import "slices"

// Copy returns a shedder in the same state that changes independently of s, so that a decision
// can be asked for without effect on later ones.
func (s *Shedder) Copy() *Shedder {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New(s.options)
	c.share, c.peerShare, c.peerShareAt = s.share, s.peerShare, s.peerShareAt
	copies := make(map[*kind]*kind, len(s.kinds))
	for route, k := range s.kinds {
		copied := k.copy()
		copies[k], c.kinds[route] = copied, copied
	}
	for _, k := range s.order {
		c.order = append(c.order, copies[k])
	}
	return c
}

func (k *kind) copy() *kind {
	c := *k
	c.invited = slices.Clone(k.invited)
	c.callers = make(map[string]*sum, len(k.callers))
	for key, s := range k.callers {
		copied := *s
		c.callers[key] = &copied
	}
	return &c
}
