package place

import (
	"sync"

	"oriolebarrow/core"
)

// Cache is a Rendezvous that caches the owner sets of the newest view. With thousands
// of hosts, ranking them all for each shard of a query would cost more than the query
// itself. All views must come from one source that gives each set of hosts its own
// version. A Cache is safe for concurrent use; its lock guards all fields but
// Rendezvous.
type Cache struct {
	Rendezvous

	mu      sync.Mutex
	version uint64
	sets    map[core.ServiceName][]core.HostID
}

var _ core.Placer = (*Cache)(nil)

// NewCache returns an empty cache for r.
func NewCache(r Rendezvous) *Cache {
	return &Cache{Rendezvous: r, sets: make(map[core.ServiceName][]core.HostID)}
}

// OwnerSet returns the hosts that may own groups of the service, best first.
// The caller must not change the slice.
func (c *Cache) OwnerSet(v core.View, s core.ServiceName) []core.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Version() < c.version {
		// A request that started with an older view must not replace the newer sets.
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

// Owner returns the owner and the standby of a group. Either is empty if the view has
// too few hosts.
func (c *Cache) Owner(v core.View, s core.ServiceName, g core.GroupID) (owner, standby core.HostID) {
	return c.OwnerIn(c.OwnerSet(v, s), s, g)
}
