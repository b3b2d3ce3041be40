// Package assign decides which hosts carry out the calls of a query over many
// shards. A host whose data centre has no replica of the shards leaves them to a
// host beside the replicas, which merges before anything crosses data centres. A
// query over very many shards is spread over several hosts, each of which always
// has the same shards: it knows their replicas well and keeps few connections.
//
// # Usage
//
//	a := assign.New(self)
//	for _, batch := range a.Plan(view, services, near) {
//		// batch.Host calls the replicas of batch.Shards
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
	// directShards is how many shards one host calls by itself: at 0.1 ms of
	// processor time a call it stays below a few milliseconds on a small host.
	directShards = 40
	// shardsPerHost divides larger queries: a dozen calls cost about as much as
	// the messages to one host more.
	shardsPerHost = 12
	// minRemote is the smallest number of parts that are worth a message to
	// another data centre; a part is about as large as the message.
	minRemote = 3
)

// Assigner plans the queries of one host. It is safe for concurrent use.
type Assigner struct {
	self core.Host

	mu    sync.Mutex
	turn  int
	cache map[key]core.Host
	view  uint64 // version of the view that the cache holds for
}

type key struct {
	dataCentre core.DataCentre
	hosts      int
	service    core.ServiceName
}

// New returns an assigner of a host.
func New(self core.Host) *Assigner {
	return &Assigner{self: self, cache: make(map[key]core.Host)}
}

// Plan divides the shards of a query among hosts. near reports whether a service
// has a usable replica in a data centre. This host calls the replicas of the
// shards that no batch holds.
func (a *Assigner) Plan(v core.View, services []core.ServiceName, near func(core.ServiceName, core.DataCentre) bool) []core.TaskBatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(v)
	a.turn++
	large := len(services) > directShards
	var plan []core.TaskBatch
	for _, g := range a.groups(v, services, near) {
		hosts := hostsOf(v, g.dataCentre)
		switch {
		case len(hosts) == 0:
		case large:
			plan = append(plan, a.spread(hosts, g.dataCentre, services, g.shards)...)
		case g.dataCentre != a.self.DataCentre() && len(g.shards) >= minRemote:
			plan = append(plan, core.TaskBatch{Host: hosts[a.turn%len(hosts)], Shards: g.shards})
		}
	}
	return plan
}

// follow forgets what an older view led to.
func (a *Assigner) follow(v core.View) {
	if v.Version() != a.view {
		clear(a.cache)
		a.view = v.Version()
	}
}

// group is the shards of a query that are called from one data centre.
type group struct {
	dataCentre core.DataCentre
	shards     []int
}

// groups divides the shards by data centre: those with a replica at home stay
// there, the others go where most of them have one. Data centres that are as good
// take turns.
func (a *Assigner) groups(v core.View, services []core.ServiceName, near func(core.ServiceName, core.DataCentre) bool) []group {
	home := group{dataCentre: a.self.DataCentre()}
	var rest []int
	for i, s := range services {
		if near(s, home.dataCentre) {
			home.shards = append(home.shards, i)
		} else {
			rest = append(rest, i)
		}
	}
	out := []group{}
	others := otherDataCentres(v, home.dataCentre)
	for range others {
		var best group
		for i := range others {
			dc := others[(i+a.turn)%len(others)]
			g := group{dataCentre: dc}
			for _, i := range rest {
				if near(services[i], dc) {
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
	// Shards without a usable replica stay at home, where that is noticed.
	home.shards = append(home.shards, rest...)
	return append(out, home)
}

func otherDataCentres(v core.View, home core.DataCentre) []core.DataCentre {
	var others []core.DataCentre
	for _, h := range v.Hosts() {
		if dc := h.DataCentre(); dc != home && !slices.Contains(others, dc) {
			others = append(others, dc)
		}
	}
	return others
}

func hostsOf(v core.View, dc core.DataCentre) []core.Host {
	var hosts []core.Host
	for _, h := range v.Hosts() {
		if h.DataCentre() == dc {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// spread gives each shard to its host by rendezvous hashing within a set of
// hosts that is the same for all queries of that size.
func (a *Assigner) spread(hosts []core.Host, dc core.DataCentre, services []core.ServiceName, shards []int) []core.TaskBatch {
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

// ownerSet returns the hosts that share a number of shards.
func ownerSet(hosts []core.Host, shards int) []core.Host {
	n := (shards + shardsPerHost - 1) / shardsPerHost
	slices.SortFunc(hosts, func(x, y core.Host) int {
		return cmp.Compare(weight("set", y.ID()), weight("set", x.ID()))
	})
	return hosts[:min(n, len(hosts))]
}

// Owned returns the services that this host calls for queries over all of the
// services, and whether other hosts call the rest. It is exact for data centres
// that hold a replica of every shard, and a good guess for others.
func (a *Assigner) Owned(v core.View, services []core.ServiceName) (owned []core.ServiceName, divided bool) {
	if len(services) <= directShards {
		return services, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(v)
	set := ownerSet(hostsOf(v, a.self.DataCentre()), len(services))
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

func (a *Assigner) owner(hosts []core.Host, dc core.DataCentre, s core.ServiceName) core.Host {
	k := key{dataCentre: dc, hosts: len(hosts), service: s}
	if h, ok := a.cache[k]; ok {
		return h
	}
	best := slices.MaxFunc(hosts, func(x, y core.Host) int {
		return cmp.Compare(weight(string(s), x.ID()), weight(string(s), y.ID()))
	})
	a.cache[k] = best
	return best
}

func weight(purpose string, id core.HostID) uint64 {
	return xxhash.Sum64String(purpose + "\x00" + string(id))
}
