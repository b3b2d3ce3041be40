package warm

import (
	"maps"
	"slices"

	"oriolebarrow/core"
)

// Copy returns a limiter in the same state that changes independently of l, so that what it
// would allow can be asked without effect on what it will.
func (l *Limiter) Copy() *Limiter {
	c := *l
	c.seen = maps.Clone(l.seen)
	c.replicas = make(map[core.InstanceID]*replica, len(l.replicas))
	for id, r := range l.replicas {
		copied := *r
		copied.used = slices.Clone(r.used)
		c.replicas[id] = &copied
	}
	return &c
}
