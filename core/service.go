package core

import "time"

// Replica is one backend server of a replica group.
type Replica struct {
	address    string
	dataCentre DataCentre
}

// NewReplica returns a replica that listens at address.
func NewReplica(address string, dc DataCentre) Replica {
	return Replica{address: address, dataCentre: dc}
}

// Address returns the replica's host and port.
func (r Replica) Address() string { return r.address }

// DataCentre returns the data centre in which the replica runs.
func (r Replica) DataCentre() DataCentre { return r.dataCentre }

// Limits bounds the load that the query tier puts on the replicas of a service.
type Limits struct {
	Slots             int           // concurrent calls
	Connections       int           // open connections from all hosts together
	NewConnectionCost time.Duration // typical time to open one
	QueueLength       int           // waiting calls for each group
	HedgeFloor        time.Duration // lowest hedge delay
	HedgeCeiling      time.Duration // highest hedge delay
	HedgeBudget       float64       // hedges as a share of calls
	RetryBudget       float64       // retries as a share of calls
	MaxRowsBytes      int           // largest size of the rows of one shard
}

// ConnectionCap returns the number of connections that one host may open to a
// replica. Owner and standby each use at most half of the limit. Within that, 2 x
// slots + 1 suffices for every call, its cancellation and one status request. With
// 2 slots and a limit of 25 connections, even five hosts that all believe they own a
// group stay within the limit.
func (l Limits) ConnectionCap() int {
	return max(1, min(l.Connections/2, 2*l.Slots+1))
}

// CallSlots returns the number of calls that one host may run on a replica. It is
// at most ConnectionCap, since a call without a connection would wait outside the
// queue.
func (l Limits) CallSlots() int { return min(l.Slots, l.ConnectionCap()) }

// Service is a backend service as its configuration section describes it.
type Service struct {
	name   ServiceName
	groups [][]Replica
	limits Limits
}

// NewService returns a service whose replica groups are numbered from zero.
func NewService(name ServiceName, groups [][]Replica, limits Limits) Service {
	return Service{name: name, groups: groups, limits: limits}
}

// Name returns the service's name.
func (s Service) Name() ServiceName { return s.name }

// Groups returns the replicas of each group. The caller must not change the slice.
func (s Service) Groups() [][]Replica { return s.groups }

// Group returns the replicas of one group, or nil.
func (s Service) Group(g GroupID) []Replica {
	if g < 0 || int(g) >= len(s.groups) {
		return nil
	}
	return s.groups[g]
}

// Limits returns the bounds on each replica.
func (s Service) Limits() Limits { return s.limits }

// Caller is a caller with the settings of its configuration section.
type Caller struct {
	name   CallerName
	policy CallerPolicy
}

// CallerPolicy holds the settings of a caller section.
type CallerPolicy struct {
	Deadline    time.Duration // default and largest deadline
	MinCoverage float64       // default minimum coverage, 0 to 1
	Priority    int           // higher goes first
	Rate        float64       // requests per second on each host
	Burst       int           // requests that may exceed the rate at once
	Concurrency int           // requests in flight on each host
	Services    []ServiceName
	Repeatable  bool // reads may be hedged and retried
}

// NewCaller returns a caller with its policy.
func NewCaller(name CallerName, policy CallerPolicy) Caller {
	return Caller{name: name, policy: policy}
}

// Name returns the caller's name.
func (c Caller) Name() CallerName { return c.name }

// Policy returns the caller's settings.
func (c Caller) Policy() CallerPolicy { return c.policy }

// MayUse reports whether the caller's section lists the service.
func (c Caller) MayUse(s ServiceName) bool {
	for _, name := range c.policy.Services {
		if name == s {
			return true
		}
	}
	return false
}
