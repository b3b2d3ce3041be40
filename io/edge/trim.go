package edge

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/route"
)

const (
	// spareIdle is how long an idle connection is kept that this host has no share of: to a
	// replica whose calls other hosts make, or that is outside its subset. It is longer than the
	// usual time between two calls to a shard.
	spareIdle = time.Second
	// startingIdle is the same while this host doesn't know the other hosts. Then all of them
	// call all replicas, and their idle connections would exceed the replicas' limits.
	startingIdle = 300 * time.Millisecond
)

// trimConnections closes idle connections that exceed this host's share.
func (e *Edge) trimConnections() {
	t := e.relay.Table()
	if t == nil {
		return
	}
	unused := spareIdle
	if !e.members.Joined(time.Now()) {
		unused = startingIdle
	}
	if n := e.client.TrimIdle(unused, func(id core.InstanceID) int { return e.connectionShare(t, id) }); n > 0 && e.opts.Meter != nil {
		e.opts.Meter.Count("client_connections_trimmed", int64(n))
	}
}

// connectionShare returns how many connections to an instance this host may keep while they
// are idle.
func (e *Edge) connectionShare(t *route.Table, id core.InstanceID) int {
	in, inSubset, ok := e.replicas.Subset(id)
	if !ok {
		return 0
	}
	limits := e.relay.HostLimits(t, in.Service)
	if !e.limited(t, in.Service) {
		return limits.Calls
	}
	// Few hosts call the services that are divided, so that these need no subsets.
	if !e.callsService(t, in.Service) || !inSubset && !e.dividedService(t, in.Service) {
		return 0
	}
	return limits.Calls
}

// limited reports whether all hosts together could exceed the connections that a replica of a
// service accepts.
func (e *Edge) limited(t *route.Table, s core.ServiceName) bool {
	u, ok := t.Upstream(s)
	return ok && u.Connections > 0 && u.Connections < e.hostCount()*e.relay.HostLimits(t, s).Calls || e.dividedService(t, s)
}

// dividedService reports whether only some hosts call a service.
func (e *Edge) dividedService(t *route.Table, s core.ServiceName) bool {
	_, divided := e.extraShares(t)[s]
	return divided
}
