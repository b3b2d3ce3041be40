// Package owner calls the replica groups that a host owns. It runs a scheduler for
// each group, carries out its actions and polls the status of the replicas.
//
// # Usage
//
//	o := owner.New("host-1.7", settings, backend, log)
//	go o.Run(ctx)
//	o.Read(ctx, batch, sink)
package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/order"
	"oriolebarrow/core/queue"
)

const (
	// pollInterval is the time between status requests to a replica. It is well
	// below the 3 s within which new calls to a draining server must stop.
	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	// staleAfter is the age of a replica's last poll result beyond which the replica
	// gets no calls until it is polled again. A replica that doesn't answer status
	// requests still gets calls, since it is polled at least every 1.25 s and the
	// failure is known 1 s later. The limit also leaves time for one poll within
	// the 3 s after a pause of this process.
	staleAfter = 2400 * time.Millisecond
	// answerGrace is how long a call waits beyond its deadline for the server's
	// answer. Ending the call at the deadline would close its connection and free
	// its slot while the server still runs it.
	answerGrace = 250 * time.Millisecond
	// groupIdleTimeout is how long a group is polled after its last use.
	groupIdleTimeout = time.Minute
	// orderPriority is the highest priority that the configuration allows a caller
	// (0 to 9): an order can't be hedged or repeated, so it must not wait long.
	orderPriority = 9
	// maxSeenOrders limits the order ids that are remembered to detect duplicate
	// calls. They need about 10 MB.
	maxSeenOrders = 100_000
	// seenOrderTTL is how long an order id is remembered after its deadline: far
	// longer than a link between hosts can delay a message.
	seenOrderTTL = 2 * time.Minute
)

type groupKey struct {
	service core.ServiceName
	group   core.GroupID
}

// Options disables single mechanisms for experiments. Only the boolean options of
// Queue and Eject are used; the others are overwritten.
type Options struct {
	Queue queue.Options
	Eject eject.Options
}

// Owner schedules the calls to the replica groups that a host owns. Lock order:
// Owner.mu, then group.mu, then the lock of the service's budget. No remote call is
// made while one of them is held.
type Owner struct {
	name     string
	settings core.Settings
	backend  core.Backend
	log      *slog.Logger
	meter    core.Meter
	seen     *order.Seen
	opts     Options

	mu      sync.Mutex
	groups  map[groupKey]*group
	budgets map[core.ServiceName]*meteredBudget
	created uint64 // groups created so far
}

// New returns an owner without groups. Its call ids begin with the name, which
// must differ from the names of other hosts and of earlier runs of this host.
func New(name string, settings core.Settings, backend core.Backend, log *slog.Logger) *Owner {
	return NewWithOptions(name, settings, backend, log, Options{})
}

// NewWithOptions is like New, but disables the mechanisms that opts names.
func NewWithOptions(name string, settings core.Settings, backend core.Backend, log *slog.Logger, opts Options) *Owner {
	return &Owner{
		opts:     opts,
		name:     name,
		settings: settings,
		backend:  backend,
		log:      log,
		meter:    core.NoMeter{},
		groups:   make(map[groupKey]*group),
		budgets:  make(map[core.ServiceName]*meteredBudget),
		seen:     order.NewSeen(maxSeenOrders, seenOrderTTL),
	}
}

// Run polls the replicas of the groups in use until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			o.dropIdle(now)
			for _, g := range o.currentGroups() {
				go g.poll(ctx)
			}
		}
	}
}

// dropIdle removes the groups that were not used for groupIdleTimeout.
func (o *Owner) dropIdle(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, g := range o.groups {
		if g.idleTime(now) > groupIdleTimeout {
			delete(o.groups, key)
		}
	}
}

func (o *Owner) currentGroups() []*group {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*group, 0, len(o.groups))
	for _, g := range o.groups {
		out = append(out, g)
	}
	return out
}

// group returns a group of a service, or nil if the settings have no such group.
// It creates the group if there is none yet, or if the settings changed.
func (o *Owner) group(s core.ServiceName, id core.GroupID) *group {
	key := groupKey{service: s, group: id}
	service, ok := o.settings.Service(s)
	replicas := service.Group(id)
	if !ok || len(replicas) == 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.groups[key]
	if g == nil || !g.matches(service, replicas) {
		o.created++
		g = newGroup(o, o.created, service, id, o.budget(service))
		o.groups[key] = g
	}
	return g
}

// budget returns the budget that the groups of a service share, with the limits
// of s. The caller holds Owner.mu.
func (o *Owner) budget(s core.Service) *meteredBudget {
	b := o.budgets[s.Name()]
	if b == nil {
		b = &meteredBudget{Budget: budget.New(s.Limits())}
		o.budgets[s.Name()] = b
	}
	b.SetLimits(s.Limits())
	return b
}

// Read queues the shards of a batch, calls sink once for each, and returns after
// the last. When ctx ends, shards without a result are reported as missing and
// their calls are cancelled.
func (o *Owner) Read(ctx context.Context, b core.ReadBatch, sink func(core.ShardResult)) {
	if ctx.Err() != nil { // cancelled before the start, for example because the batch arrived late
		for _, ref := range b.Shards {
			sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonDeadline})
		}
		return
	}
	var wg sync.WaitGroup
	withdrawals := make([]func(), 0, len(b.Shards))
	for _, ref := range b.Shards {
		g := o.group(b.Query.Service, ref.Group)
		if g == nil {
			sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonUnknownService})
			continue
		}
		wg.Add(1)
		id := g.read(core.LeaseOf(ctx), b, ref.Shard, func(r core.ShardResult) {
			sink(r)
			wg.Done()
		})
		withdrawals = append(withdrawals, func() { g.withdraw(id) })
	}
	stop := context.AfterFunc(ctx, func() {
		for _, f := range withdrawals {
			f()
		}
	})
	wg.Wait()
	stop()
}

// Order runs an order on one replica of a group, at most once. A call with an
// order id that was seen before gets the outcome Unknown and is not sent. Only the lease of
// the context is used: an order is not cancelled.
func (o *Owner) Order(ctx context.Context, call core.OrderCall, id core.GroupID) core.OrderResult {
	switch o.seen.Add(time.Now(), call.OrderID, call.Deadline) {
	case order.Duplicate:
		o.log.Warn("owner: duplicate order call dropped", "request_id", call.RequestID, "service", call.Service)
		return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonUnclear}
	case order.Full:
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonTableFull}
	}
	g := o.group(call.Service, id)
	if g == nil {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonUnknownService}
	}
	done := make(chan core.OrderResult, 1)
	g.order(core.LeaseOf(ctx), call, func(r core.OrderResult) { done <- r })
	return <-done
}

// Snapshots returns the snapshots that the given groups of a service hold. At the
// first request for a group, it polls the replicas and waits for them; groups are
// polled concurrently.
func (o *Owner) Snapshots(ctx context.Context, s core.ServiceName, ids []core.GroupID) []core.GroupSnapshot {
	var groups []*group
	var wg sync.WaitGroup
	for _, id := range ids {
		if g := o.group(s, id); g != nil {
			groups = append(groups, g)
			wg.Go(func() { g.firstPoll.Do(func() { g.poll(ctx) }) })
		}
	}
	wg.Wait()
	var out []core.GroupSnapshot
	for _, g := range groups {
		out = append(out, g.heldSnapshots()...)
	}
	return out
}
