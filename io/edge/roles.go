package edge

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/route"
)

// roles is what this host calls in a view and a version of the document.
type roles struct {
	known  bool
	view   uint64
	table  *route.Table
	shares map[core.ServiceName]float64
}

// used reports whether this host calls the replicas of a service: some route
// names it, and not only queries whose calls other hosts make. Who makes them is
// unknown until other hosts are.
func (e *Edge) used(t *route.Table, s core.ServiceName) bool {
	share, divided := e.shares(t)[s]
	return t.Names(s) && (!divided || share > 0 && e.crew.Known(time.Now()))
}

// shares returns this host's shares of the extra calls to services that only some
// hosts call: none if this is not one of them. One host of each data centre calls
// such a service; as many again are allowed for while that duty moves. When the view or
// the document changed, the budget gets the new shares and replicas are connected.
func (e *Edge) shares(t *route.Table) map[core.ServiceName]float64 {
	now := time.Now()
	version, dataCentres := e.assist.Roles(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.roles.known && e.roles.view == version && e.roles.table == t {
		return e.roles.shares
	}
	shares := make(map[core.ServiceName]float64)
	for _, r := range t.Queries() {
		owned, divided := e.assist.Owned(now, r.Gather)
		if !divided {
			continue
		}
		for _, s := range r.Gather {
			shares[s] = max(0, shares[s]) // 0: only other hosts call it
		}
		for _, s := range owned {
			shares[s] = 1 / float64(2*max(1, dataCentres))
		}
	}
	e.roles = roles{known: true, view: version, table: t, shares: shares}
	e.extra.SetShares(shares)
	for _, in := range e.fleet.Instances() {
		e.appeared(in) // this host may have come to call it
	}
	return shares
}

// share follows the number of hosts that share budget and connections.
func (e *Edge) share() {
	if t := e.relay.Table(); t != nil {
		e.shares(t)
	}
	n := e.hosts()
	if int64(n) == e.sharing.Swap(int64(n)) {
		return
	}
	e.extra.SetHosts(n)
	if t := e.relay.Table(); t != nil {
		e.setCaps(t)
	}
	e.log.Info("node: limits are shared", "hosts", n)
}
