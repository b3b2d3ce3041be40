// Package assign decides which hosts make the shard calls of a query.
//
// Shards without a replica in the local data centre are delegated, unless they are
// few, to a host in a data centre that has one. That host merges the parts, so that
// less data is sent between data centres. A query over many shards, or over shards that are
// short of slots, is divided among several hosts. Each of them always gets the same shards, so
// that it knows the state of their replicas and needs few connections.
//
// # Usage
//
//	a := assign.New(self)
//	for _, batch := range a.Plan(view, services, divide, hasReplica) {
//		// delegate the shard calls of batch.Shards to batch.Host
//	}
package assign

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
)

const (
	// maxDirectShards is the largest number of shards of a query that one host
	// calls by itself: at 0.1 ms of processor time a call, they take a few
	// milliseconds on a small host.
	maxDirectShards = 40
	// shardsPerHost is the number of shards for each host of a larger query: a
	// dozen calls cost about as much as the messages to one more host. Of a smaller query
	// that is divided, each host gets minShardsPerHost.
	shardsPerHost    = 12
	minShardsPerHost = 3
	// minRemoteShards is the smallest number of shards of a smaller query that are
	// delegated to another data centre: the message is about as large as one part.
	minRemoteShards = 3
)

// Assigner plans the shard calls of one host's queries. It is safe for concurrent
// use.
type Assigner struct {
	self core.Host

	mu          sync.Mutex
	plans       int // calls of Plan so far; rotates the choice between equal hosts or data centres
	owners      map[ownerKey]core.Host
	viewVersion uint64 // version of the view from which owners was computed
}

// ownerKey is the key of the owner cache. The owner of a service depends on the data
// centre and on the number of its hosts that take part in the query.
type ownerKey struct {
	dataCentre core.DataCentre
	hosts      int
	service    core.ServiceName
}

// New returns an assigner for the host self.
func New(self core.Host) *Assigner {
	return &Assigner{self: self, owners: make(map[ownerKey]core.Host)}
}

// Plan divides the shards of a query among hosts. If divide is set, each shard goes to its
// owner even if the query has few shards. hasReplica reports whether a service has a usable
// replica in a data centre. This host calls the shards that are in no batch; a batch may also
// name this host itself.
func (a *Assigner) Plan(v core.View, services []core.ServiceName, divide bool, hasReplica func(core.ServiceName, core.DataCentre) bool) []core.TaskBatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetOwners(v)
	a.plans++
	large := len(services) > maxDirectShards
	var plan []core.TaskBatch
	for _, g := range a.byDataCentre(v, services, hasReplica) {
		hosts := hostsIn(v, g.dataCentre)
		switch {
		case len(hosts) == 0:
		case large || divide:
			plan = append(plan, a.distribute(hosts, g.dataCentre, services, g.shards)...)
		case g.dataCentre != a.self.DataCentre() && len(g.shards) >= minRemoteShards:
			plan = append(plan, core.TaskBatch{Host: hosts[a.plans%len(hosts)], Shards: g.shards})
		}
	}
	return plan
}

// resetOwners drops the cached owners if they belong to another version of the
// view.
func (a *Assigner) resetOwners(v core.View) {
	if v.Version() != a.viewVersion {
		clear(a.owners)
		a.viewVersion = v.Version()
	}
}

// dcShards is the shards of a query that hosts of one data centre call.
type dcShards struct {
	dataCentre core.DataCentre
	shards     []int
}

// byDataCentre divides the shards by data centre. Shards with a replica in the local
// data centre stay there. For the rest, it repeatedly chooses the data centre with
// replicas of the most remaining shards. Data centres with equally many are used in
// rotation.
func (a *Assigner) byDataCentre(v core.View, services []core.ServiceName, hasReplica func(core.ServiceName, core.DataCentre) bool) []dcShards {
	local := dcShards{dataCentre: a.self.DataCentre()}
	var rest []int
	for i, s := range services {
		if hasReplica(s, local.dataCentre) {
			local.shards = append(local.shards, i)
		} else {
			rest = append(rest, i)
		}
	}
	out := []dcShards{}
	others := otherDataCentres(v, local.dataCentre)
	for range others {
		var best dcShards
		for i := range others {
			dc := others[(i+a.plans)%len(others)]
			g := dcShards{dataCentre: dc}
			for _, i := range rest {
				if hasReplica(services[i], dc) {
					g.shards = append(g.shards, i)
				}
			}
			if len(g.shards) > len(best.shards) {
				best = g
			}
		}
		if len(best.shards) == 0 {
			break
		}
		out = append(out, best)
		rest = slices.DeleteFunc(rest, func(i int) bool { return slices.Contains(best.shards, i) })
	}
	// The remaining shards have no usable replica in a data centre with hosts. The
	// local data centre gets them, so that its hosts notice and report the failure.
	local.shards = append(local.shards, rest...)
	return append(out, local)
}

func otherDataCentres(v core.View, local core.DataCentre) []core.DataCentre {
	var others []core.DataCentre
	for _, h := range v.Hosts() {
		if dc := h.DataCentre(); dc != local && !slices.Contains(others, dc) {
			others = append(others, dc)
		}
	}
	return others
}

func hostsIn(v core.View, dc core.DataCentre) []core.Host {
	var hosts []core.Host
	for _, h := range v.Hosts() {
		if h.DataCentre() == dc {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// distribute assigns each shard to a host by rendezvous hashing. It uses a subset
// of the hosts that is the same for all queries over that number of shards.
func (a *Assigner) distribute(hosts []core.Host, dc core.DataCentre, services []core.ServiceName, shards []int) []core.TaskBatch {
	hosts = ownerSet(hosts, len(shards))
	byHost := make(map[core.HostID]*core.TaskBatch, len(hosts))
	batches := make([]core.TaskBatch, len(hosts))
	for i, h := range hosts {
		batches[i].Host = h
		byHost[h.ID()] = &batches[i]
	}
	for _, i := range shards {
		b := byHost[a.owner(hosts, dc, services[i]).ID()]
		b.Shards = append(b.Shards, i)
	}
	return slices.DeleteFunc(batches, func(b core.TaskBatch) bool { return len(b.Shards) == 0 })
}

// ownerSet returns the hosts among which a number of shards is distributed. It
// sorts the slice hosts by hash, so that all hosts choose the same set.
func ownerSet(hosts []core.Host, shards int) []core.Host {
	perHost := shardsPerHost
	if shards <= maxDirectShards {
		perHost = minShardsPerHost
	}
	n := (shards + perHost - 1) / perHost
	slices.SortFunc(hosts, func(x, y core.Host) int {
		return cmp.Compare(weight("set", y.ID()), weight("set", x.ID()))
	})
	return hosts[:min(n, len(hosts))]
}

// Owned returns which of the services this host calls itself in queries over all of
// them, and whether other hosts call the rest. The result is exact if the local data
// centre has a replica of every shard, and an estimate otherwise.
func (a *Assigner) Owned(v core.View, services []core.ServiceName) (owned []core.ServiceName, divided bool) {
	if len(services) <= maxDirectShards {
		return services, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resetOwners(v)
	set := ownerSet(hostsIn(v, a.self.DataCentre()), len(services))
	if len(set) == 0 {
		return services, false
	}
	for _, s := range services {
		if a.owner(set, a.self.DataCentre(), s).ID() == a.self.ID() {
			owned = append(owned, s)
		}
	}
	return owned, true
}

// MaxCallers returns how many hosts may call an owned service at the same time: one host of
// each data centre and, while the owner changes, the previous one.
func MaxCallers(dataCentres int) int { return 2 * max(1, dataCentres) }

// owner returns the host with the greatest hash for a service. The caller holds
// Assigner.mu.
func (a *Assigner) owner(hosts []core.Host, dc core.DataCentre, s core.ServiceName) core.Host {
	k := ownerKey{dataCentre: dc, hosts: len(hosts), service: s}
	if h, ok := a.owners[k]; ok {
		return h
	}
	best := slices.MaxFunc(hosts, func(x, y core.Host) int {
		return cmp.Compare(weight(string(s), x.ID()), weight(string(s), y.ID()))
	})
	a.owners[k] = best
	return best
}

// weight returns the rendezvous hash of a key and a host.
func weight(key string, id core.HostID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}
