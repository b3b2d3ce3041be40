// Package base holds the baselines that experiments compare the design with.
// Each host of a baseline calls the replicas itself; no group has an owner.
//
// # Usage
//
//	o := base.NewOwner(base.Options{Policy: base.Random, Hosts: 3, Seed: 1}, settings, backend)
//	h := base.NewHost("host-1", settings, o, table)
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

// Policy chooses the replica of a call.
type Policy string

// Policies.
const (
	Random      Policy = "random"        // any replica, no hedge
	RandomOfTwo Policy = "random_of_two" // fewer own calls of two drawn replicas
	LeastLoaded Policy = "least_loaded"  // lowest load by the servers' lagging report
	StaticShare Policy = "static_share"  // own share of the slots, fewest own calls
)

const (
	statusInterval = 250 * time.Millisecond
	statusTimeout  = time.Second
	// retryPause is the mean pause after a refusal. A pause near the service
	// time of a call keeps refused calls from flooding a busy replica.
	retryPause = 5 * time.Millisecond
)

// Options configures an owner.
type Options struct {
	Policy Policy
	Hosts  int // hosts among which the limits are shared
	Seed   uint64
}

type replica struct {
	address string
	running atomic.Int64 // own calls
	load    atomic.Int64 // last reported
	slots   chan struct{}
}

type group struct {
	mu       sync.Mutex // guards held and polled
	held     []core.GroupSnapshot
	polled   time.Time
	replicas []*replica
}

type groupKey struct {
	service core.ServiceName
	group   core.GroupID
}

// Owner is a core.GroupOwner that serves every group from every host.
type Owner struct {
	opts     Options
	settings core.Settings
	backend  core.Backend
	calls    atomic.Uint64
	name     string

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	groups map[groupKey]*group
}

var _ core.GroupOwner = (*Owner)(nil)

// NewOwner returns an owner without calls.
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
	// At least one slot: a share below one would leave a host unable to call.
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
		wait.Go(func() { sink(o.shard(ctx, b, ref.Shard, g)) })
	}
	wait.Wait()
}

// shard calls replicas until one answers or the deadline passes.
func (o *Owner) shard(ctx context.Context, b core.ReadBatch, shard core.ShardID, g *group) core.ShardResult {
	for try := 1; ; try++ {
		rows, err := o.call(ctx, b, shard, o.pick(g))
		if err == nil {
			return core.ShardResult{Shard: shard, Snapshot: b.Snapshot, Rows: rows, Attempts: try}
		}
		reason := core.ReasonBackendError
		var call *core.CallError
		if errors.As(err, &call) {
			reason = call.Reason
		}
		if call == nil || !call.NotRun || reason == core.ReasonSnapshotGone || !pause(ctx, o.jitter()) {
			return core.ShardResult{Shard: shard, Missing: reason, Attempts: try}
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

func (o *Owner) pick(g *group) *replica {
	switch o.opts.Policy {
	case RandomOfTwo:
		return least([]*replica{o.draw(g), o.draw(g)}, func(r *replica) int64 { return r.running.Load() })
	case LeastLoaded:
		return least(o.shuffled(g), func(r *replica) int64 { return r.load.Load() })
	case StaticShare:
		return least(o.shuffled(g), func(r *replica) int64 { return r.running.Load() })
	default:
		return o.draw(g)
	}
}

func least(from []*replica, cost func(*replica) int64) *replica {
	best := from[0]
	for _, r := range from[1:] {
		if cost(r) < cost(best) {
			best = r
		}
	}
	return best
}

func (o *Owner) draw(g *group) *replica {
	o.mu.Lock()
	defer o.mu.Unlock()
	return g.replicas[o.random.IntN(len(g.replicas))]
}

// shuffled returns the replicas in random order, so that ties are spread.
func (o *Owner) shuffled(g *group) []*replica {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := append([]*replica(nil), g.replicas...)
	o.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (o *Owner) jitter() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Duration(o.random.Float64() * 2 * float64(retryPause))
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Order implements core.GroupOwner; baselines serve reads only.
func (o *Owner) Order(context.Context, core.OrderRun, core.GroupID) core.OrderResult {
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
			held := o.poll(ctx, id, g)
			mu.Lock()
			out = append(out, held...)
			mu.Unlock()
		})
	}
	wait.Wait()
	return out
}

// poll asks the replicas of a group for their status, at most once an interval.
func (o *Owner) poll(ctx context.Context, id core.GroupID, g *group) []core.GroupSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.polled) < statusInterval {
		return g.held
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var held []core.GroupSnapshot
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
				held = append(held, snapshot)
			}
		}
	}
	g.held, g.polled = held, time.Now()
	return held
}
