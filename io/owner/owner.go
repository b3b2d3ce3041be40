// Package owner runs the calls to the replica groups that a host owns. It keeps
// one scheduler for each group and carries out its actions.
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
	// pollInterval keeps the learnt state of a replica well inside the 3 s in
	// which new work to a leaving server must stop.
	pollInterval = 250 * time.Millisecond
	pollTimeout  = time.Second
	// staleAfter lets a replica that answers no status (asked every 1.25 s at
	// worst, known to fail 1 s later) keep its calls, and leaves time for one
	// poll within the 3 s after a pause.
	staleAfter = 2400 * time.Millisecond
	// answerGrace is how long a call waits beyond its deadline for the server's
	// own answer. A call given up at the deadline closes its connection and
	// frees its slot while the server still runs it.
	answerGrace = 250 * time.Millisecond
	// groupIdle is how long a group is polled after its last use.
	groupIdle = time.Minute
	// orderPriority is the highest of caller sections (0 to 9): an order
	// cannot be hedged or repeated, so waiting costs it most.
	orderPriority = 9
	// seenMax bounds the order ids kept to drop duplicated calls, about 10 MB.
	seenMax = 100_000
	// seenKeep is how long after its deadline an order id is kept: far longer
	// than a link between hosts can hold back a message.
	seenKeep = 2 * time.Minute
)

type groupKey struct {
	service core.ServiceName
	group   core.GroupID
}

// Options take mechanisms out, for experiments. Only the switches of both parts
// are used; sizes come from the section of the service.
type Options struct {
	Queue queue.Options
	Eject eject.Options
}

// Owner holds the groups of one host. Lock order: Owner.mu, then group.mu, then
// the lock of the service's budget; no call leaves the host under any of them.
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
	made    uint64 // groups created so far
}

// New returns an owner without groups. The name tells its calls from those of
// other hosts and of earlier incarnations.
func New(name string, settings core.Settings, backend core.Backend, log *slog.Logger) *Owner {
	return NewWithOptions(name, settings, backend, log, Options{})
}

// NewWithOptions is New with mechanisms taken out.
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
		seen:     order.NewSeen(seenMax, seenKeep),
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
			o.retire(now)
			for _, g := range o.all() {
				go g.poll(ctx)
			}
		}
	}
}

func (o *Owner) retire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, g := range o.groups {
		if g.idleSince(now) > groupIdle {
			delete(o.groups, key)
		}
	}
}

func (o *Owner) all() []*group {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*group, 0, len(o.groups))
	for _, g := range o.groups {
		out = append(out, g)
	}
	return out
}

// group returns the group, created when it is new.
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
		o.made++
		g = newGroup(o, o.made, service, id, o.budget(service))
		o.groups[key] = g
	}
	return g
}

// budget returns the budget of a service, which its groups share. The caller
// holds Owner.mu.
func (o *Owner) budget(s core.Service) *meteredBudget {
	b := o.budgets[s.Name()]
	if b == nil {
		b = &meteredBudget{Budget: budget.New(s.Limits())}
		o.budgets[s.Name()] = b
	}
	b.SetLimits(s.Limits())
	return b
}

// Read queues the shards of a batch and calls sink once for each. When ctx ends
// the shards without a result are given up and their calls cancelled.
func (o *Owner) Read(ctx context.Context, b core.ReadBatch, sink func(core.ShardResult)) {
	if ctx.Err() != nil { // given up before it started, such as a batch that was held back
		for _, ref := range b.Shards {
			sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonDeadline})
		}
		return
	}
	var wait sync.WaitGroup
	giveUp := make([]func(), 0, len(b.Shards))
	for _, ref := range b.Shards {
		g := o.group(b.Query.Service, ref.Group)
		if g == nil {
			sink(core.ShardResult{Shard: ref.Shard, Missing: core.ReasonUnknownService})
			continue
		}
		wait.Add(1)
		id := g.read(b, ref.Shard, func(r core.ShardResult) {
			sink(r)
			wait.Done()
		})
		giveUp = append(giveUp, func() { g.withdraw(id) })
	}
	stop := context.AfterFunc(ctx, func() {
		for _, f := range giveUp {
			f()
		}
	})
	wait.Wait()
	stop()
}

// Order runs an order on one replica of a group, at most once. A duplicate of
// the call is answered as unknown and not sent.
func (o *Owner) Order(_ context.Context, run core.OrderRun, id core.GroupID) core.OrderResult {
	switch o.seen.Arrive(time.Now(), run.OrderID, run.Deadline) {
	case order.Duplicate:
		o.log.Warn("owner: duplicate order call dropped", "request_id", run.RequestID, "service", run.Service)
		return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonUnclear}
	case order.Full:
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonTableFull}
	}
	g := o.group(run.Service, id)
	if g == nil {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonUnknownService}
	}
	done := make(chan core.OrderResult, 1)
	g.order(run, func(r core.OrderResult) { done <- r })
	return <-done
}

// Snapshots returns what the given groups of a service hold. Groups that are
// new are asked first, at the same time.
func (o *Owner) Snapshots(ctx context.Context, s core.ServiceName, ids []core.GroupID) []core.GroupSnapshot {
	var groups []*group
	var wait sync.WaitGroup
	for _, id := range ids {
		if g := o.group(s, id); g != nil {
			groups = append(groups, g)
			wait.Go(func() { g.first.Do(func() { g.poll(ctx) }) })
		}
	}
	wait.Wait()
	var out []core.GroupSnapshot
	for _, g := range groups {
		out = append(out, g.held()...)
	}
	return out
}
