package edge

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
	"oriolebarrow/core/route"
)

// shareCache holds the result of extraShares for one view of the hosts and one
// routing table.
type shareCache struct {
	valid  bool
	joined bool   // whether this host knew the other hosts
	view   uint64 // version
	table  *route.Table
	shares map[core.ServiceName]float64
}

// callsService reports whether this host calls the replicas of a service. A route
// must name the service. If its calls are divided among hosts, this host must also
// own some of them, which is only certain once it knows the other hosts.
func (e *Edge) callsService(t *route.Table, s core.ServiceName) bool {
	share, divided := e.extraShares(t)[s]
	return t.HasService(s) && (!divided || share > 0 && e.members.Joined(time.Now()))
}

// extraShares returns this host's shares of the minimum number of extra calls to the
// services that only some hosts call; a share is 0 if this host is not one of them.
// One host of each data centre calls such a service. Each gets half of an equal share,
// since during a handover the previous owner may still make calls. When the view or
// the routing table changed, extraShares also updates the budget and queues
// connections to the replicas.
func (e *Edge) extraShares(t *route.Table) map[core.ServiceName]float64 {
	now := time.Now()
	version, dataCentres := e.taskClient.Membership(now)
	joined := e.members.Joined(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.valid && e.cache.view == version && e.cache.table == t && e.cache.joined == joined {
		return e.cache.shares
	}
	shares := make(map[core.ServiceName]float64)
	callers := make(map[core.ServiceName]int)
	for _, r := range t.QueryRoutes() {
		owned, divided := e.taskClient.Owned(now, r.Gather)
		if !divided {
			continue
		}
		for _, s := range r.Gather {
			shares[s] = max(0, shares[s]) // stays 0 if only other hosts call the service
		}
		for _, s := range owned {
			shares[s] = 1 / float64(assign.MaxCallers(dataCentres))
			if joined { // otherwise this host may own far less than it seems
				callers[s] = assign.MaxCallers(dataCentres)
			}
		}
	}
	e.cache = shareCache{valid: true, joined: joined, view: version, table: t, shares: shares}
	e.extra.SetShares(shares)
	e.ownedCallers.Store(&callers)
	e.setHostLimits(t)
	for _, in := range e.replicas.Instances() {
		e.queueWarming(in) // this host may call it from now on
	}
	return shares
}

// callers returns how many hosts share the connections to the replicas of a service. All
// hosts do, unless hosts own the service: then one host of each data centre calls it, and
// during a handover the previous owner too.
func (e *Edge) callers(s core.ServiceName) int {
	if owned := e.ownedCallers.Load(); owned != nil {
		if n, ok := (*owned)[s]; ok {
			return n
		}
	}
	return e.hostCount()
}

// updateShares adjusts this host's shares of the budget and of the connections to
// the current hosts and routing table.
func (e *Edge) updateShares() {
	if t := e.relay.Table(); t != nil {
		e.extraShares(t)
	}
	n := e.hostCount()
	if int64(n) == e.sharingHosts.Swap(int64(n)) {
		return
	}
	e.extra.SetHosts(n)
	if t := e.relay.Table(); t != nil {
		e.setHostLimits(t)
	}
	e.log.Info("node: number of hosts that share limits changed", "hosts", n)
}
