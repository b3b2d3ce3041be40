package place

import (
	"sync"

	"oriolebarrow/core"
)

// Cache keeps the owner sets of the newest view, since ranking every host for
// each shard of a query costs more than the query at thousands of hosts. Views
// must come from one source, which gives each set of hosts its own version. The
// cache is safe for concurrent use; its lock covers all fields.
type Cache struct {
	Rendezvous

	mu      sync.Mutex
	version uint64
	sets    map[core.ServiceName][]core.HostID
}

var _ core.Placer = (*Cache)(nil)

// NewCache returns an empty cache over r.
func NewCache(r Rendezvous) *Cache {
	return &Cache{Rendezvous: r, sets: make(map[core.ServiceName][]core.HostID)}
}

// OwnerSet returns the hosts that may own groups of the service, best first.
// The caller must not change the slice.
func (c *Cache) OwnerSet(v core.View, s core.ServiceName) []core.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Version() < c.version {
		// A request that started on an older view must not displace the newer sets.
		return c.Rendezvous.OwnerSet(v, s)
	}
	if v.Version() > c.version {
		c.version = v.Version()
		clear(c.sets)
	}
	set, ok := c.sets[s]
	if !ok {
		set = c.Rendezvous.OwnerSet(v, s)
		c.sets[s] = set
	}
	return set
}

// Owner returns the owner and the standby of a group.
func (c *Cache) Owner(v core.View, s core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	return c.OwnerIn(c.OwnerSet(v, s), s, g)
}
