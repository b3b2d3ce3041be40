// Package base implements the baselines that experiments compare the design with.
// Each host of a baseline calls the replicas of all groups itself, instead of
// sending its shard calls to the one host that owns the group. Baselines retry
// refused calls but send no hedges.
//
// # Usage
//
//	o := base.NewOwner(base.Options{Policy: base.Random, Hosts: 3, Seed: 1}, settings, backend)
//	h := base.NewHost("host-1", settings, o)
package base

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
)

// Policy determines how the replica for a call is chosen.
type Policy string

// Policies.
const (
	Random      Policy = "random"        // a random replica
	RandomOfTwo Policy = "random_of_two" // of two random draws, the replica with fewer running calls of this host
	LeastLoaded Policy = "least_loaded"  // the lowest load in the servers' last status, which may be outdated
	StaticShare Policy = "static_share"  // the fewest running calls of this host, which may use an equal share of the slots
)

const (
	statusInterval = 250 * time.Millisecond
	statusTimeout  = time.Second
	// meanRetryDelay is the mean delay after a refusal. A delay near the service
	// time of a call keeps retries from flooding a busy replica.
	meanRetryDelay = 5 * time.Millisecond
)

// Options configures an owner.
type Options struct {
	Policy Policy
	Hosts  int // number of hosts that share the limits equally
	Seed   uint64
}

type replica struct {
	address string
	running atomic.Int64  // running calls of this host
	load    atomic.Int64  // load in the last status of the server
	slots   chan struct{} // semaphore for the slots of this host; used by StaticShare
}

type group struct {
	mu        sync.Mutex // guards snapshots and polledAt
	snapshots []core.GroupSnapshot
	polledAt  time.Time
	replicas  []*replica
}

type groupKey struct {
	service core.ServiceName
	group   core.GroupID
}

// Owner implements core.GroupOwner for a host that serves all groups itself.
type Owner struct {
	opts     Options
	settings core.Settings
	backend  core.Backend
	calls    atomic.Uint64 // calls so far; the numbers are part of the call ids
	name     string        // prefix of the call ids

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	groups map[groupKey]*group
}

var _ core.GroupOwner = (*Owner)(nil)

// NewOwner returns an owner that calls the services in settings through backend.
func NewOwner(o Options, settings core.Settings, backend core.Backend) *Owner {
	return &Owner{
		opts:     o,
		settings: settings,
		backend:  backend,
		name:     fmt.Sprintf("%s-%d", o.Policy, o.Seed),
		random:   rand.New(rand.NewPCG(o.Seed, 0xba5e)),
		groups:   make(map[groupKey]*group),
	}
}

// group returns the state of a replica group, or nil if the group is unknown.
func (o *Owner) group(s core.ServiceName, id core.GroupID) *group {
	service, ok := o.settings.Service(s)
	if !ok || len(service.Group(id)) == 0 {
		return nil
	}
	key := groupKey{service: s, group: id}
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.groups[key]
	if g != nil {
		return g
	}
	g = new(group)
	// Without a slot, the host could not call the replica at all.
	share := max(1, service.Limits().Slots/max(1, o.opts.Hosts))
	for _, r := range service.Group(id) {
		g.replicas = append(g.replicas, &replica{address: r.Address(), slots: make(chan struct{}, share)})
	}
	o.groups[key] = g
	return g
}

// Read implements core.GroupOwner.
func (o *Owner) Read(ctx context.Context, b core.ReadBatch, sink func(core.ShardResult)) {
	var wait sync.WaitGroup
	for _, ref := range b.Shards {
		g := o.group(b.Query.Service, ref.Group)
		if g == nil {
			sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonUnknownService})
			continue
		}
		wait.Go(func() { sink(o.readShard(ctx, b, ref.Shard, g)) })
	}
	wait.Wait()
}

// readShard calls replicas until one returns rows. A call that was not run is
// retried until ctx ends, unless the snapshot is gone; any other error is final.
func (o *Owner) readShard(ctx context.Context, b core.ReadBatch, shard core.ShardID, g *group) core.ShardResult {
	for attempt := 1; ; attempt++ {
		rows, err := o.call(ctx, b, shard, o.pick(g))
		if err == nil {
			return core.ShardResult{Shard: shard, Snapshot: b.Snapshot, Rows: rows, Attempts: attempt}
		}
		reason := core.ReasonBackendError
		var call *core.CallError
		if errors.As(err, &call) {
			reason = call.Reason
		}
		if call == nil || !call.NotRun || reason == core.ReasonSnapshotGone || !sleep(ctx, o.retryDelay()) {
			return core.ShardResult{Shard: shard, Missing: reason, Attempts: attempt}
		}
	}
}

func (o *Owner) call(ctx context.Context, b core.ReadBatch, shard core.ShardID, r *replica) ([]byte, error) {
	if o.opts.Policy == StaticShare {
		select {
		case r.slots <- struct{}{}:
			defer func() { <-r.slots }()
		case <-ctx.Done():
			return nil, &core.CallError{Op: "read", Target: r.address, Reason: core.ReasonDeadline, NotRun: true}
		}
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, b.Query.Deadline)
	defer cancel()
	return o.backend.Read(ctx, r.address, core.ReadCall{
		CallID:    fmt.Sprintf("%s-%d", o.name, o.calls.Add(1)),
		RequestID: b.Query.ID,
		Service:   b.Query.Service,
		Snapshot:  b.Snapshot,
		Shard:     shard,
		Body:      b.Query.Body,
		Deadline:  b.Query.Deadline,
	})
}

// pick returns the replica that the policy chooses.
func (o *Owner) pick(g *group) *replica {
	switch o.opts.Policy {
	case RandomOfTwo:
		return lowest([]*replica{o.randomReplica(g), o.randomReplica(g)}, func(r *replica) int64 { return r.running.Load() })
	case LeastLoaded:
		return lowest(o.shuffled(g), func(r *replica) int64 { return r.load.Load() })
	case StaticShare:
		return lowest(o.shuffled(g), func(r *replica) int64 { return r.running.Load() })
	default:
		return o.randomReplica(g)
	}
}

// lowest returns the replica with the lowest cost, the first one of equals.
func lowest(from []*replica, cost func(*replica) int64) *replica {
	best := from[0]
	for _, r := range from[1:] {
		if cost(r) < cost(best) {
			best = r
		}
	}
	return best
}

func (o *Owner) randomReplica(g *group) *replica {
	o.mu.Lock()
	defer o.mu.Unlock()
	return g.replicas[o.random.IntN(len(g.replicas))]
}

// shuffled returns the replicas in random order, so that each of several equal
// replicas is equally likely to be chosen.
func (o *Owner) shuffled(g *group) []*replica {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]*replica(nil), g.replicas...)
	o.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// retryDelay returns a random delay between 0 and twice meanRetryDelay.
func (o *Owner) retryDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.random.Float64() * 2 * float64(meanRetryDelay))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Order implements core.GroupOwner. It refuses every order because baselines serve
// reads only.
func (o *Owner) Order(context.Context, core.OrderCall, core.GroupID) core.OrderResult {
	return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonNoOwner}
}

// Snapshots implements core.GroupOwner.
func (o *Owner) Snapshots(ctx context.Context, s core.ServiceName, ids []core.GroupID) []core.GroupSnapshot {
	var (
		mu   sync.Mutex
		out  []core.GroupSnapshot
		wait sync.WaitGroup
	)
	for _, id := range ids {
		g := o.group(s, id)
		if g == nil {
			continue
		}
		wait.Go(func() {
			snapshots := o.poll(ctx, id, g)
			mu.Lock()
			out = append(out, snapshots...)
			mu.Unlock()
		})
	}
	wait.Wait()
	return out
}

// poll returns the snapshots that the replicas of a group hold. It requests the
// status of the replicas, and updates their load, at most once per statusInterval.
func (o *Owner) poll(ctx context.Context, id core.GroupID, g *group) []core.GroupSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.polledAt) < statusInterval {
		return g.snapshots
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var snapshots []core.GroupSnapshot
	seen := make(map[core.SnapshotID]bool)
	for _, r := range g.replicas {
		status, err := o.backend.Status(ctx, r.address)
		if err != nil {
			continue
		}
		r.load.Store(int64(status.Load))
		for _, snapshot := range status.Snapshots {
			if !seen[snapshot.Snapshot] {
				seen[snapshot.Snapshot] = true
				snapshot.Group = id
				snapshots = append(snapshots, snapshot)
			}
		}
	}
	g.snapshots, g.polledAt = snapshots, time.Now()
	return snapshots
}
