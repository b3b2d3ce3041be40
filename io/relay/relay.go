// Package relay forwards callers' requests to replicas: a whole request to one
// replica of a service, and a query to one replica of each shard. It hedges and
// retries calls within the limits of the route and the extra-call budget, and
// decides when a query is answered without its slowest shards.
//
// # Usage
//
//	r := relay.New(relay.Deps{Replicas: replicas, Client: c, Extra: e, Splitter: s, Callers: callers, Log: log})
//	r.SetTable(table)
//	reply := r.Do(ctx, request)
package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/await"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/cost"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/io/client"
	"oriolebarrow/io/telem"
)

const (
	// retrySoon is the Retry-After of a request that another host, or this one a
	// moment later, can probably serve.
	retrySoon = 50 * time.Millisecond
	// startWait is how long a request waits for the first routing document on a host that has
	// just started: the document usually arrives within this time, and the caller of a
	// rejected request would meet another host that has just started.
	startWait = 100 * time.Millisecond
	// retryStarting is the Retry-After on a host that has no routing document after startWait.
	retryStarting = 200 * time.Millisecond
	// retryNoMemory is the Retry-After when there is no memory for what a request needs.
	retryNoMemory = 500 * time.Millisecond
	// retryNoReplica is the Retry-After when a service has no usable replica: an
	// ejected replica is first probed after this time.
	retryNoReplica = 400 * time.Millisecond
	// partFactor times the usual part size is the size limit of a part, so that the
	// client stops reading an endless body. The limit lies between minPartBytes and
	// maxPartBytes; it is maxPartBytes until a part has been observed.
	partFactor   = 64
	minPartBytes = 64 << 10
	maxPartBytes = 1 << 20
	// partWeight is the weight of the newest part in the usual part size.
	partWeight = 0.05
)

// Request is a caller's request.
type Request struct {
	ID          core.RequestID
	Method      string
	URI         string // path and query as sent
	Path        string
	Host        string
	Header      core.Header // fields that are forwarded
	Body        []byte
	BodyBytes   int           // size of the body if Body is not set, see Where
	Remaining   time.Duration // remaining time that the caller states; 0 if it states none
	Arrived     time.Time
	FirstOnConn bool   // whether it is the first request on its connection
	Caller      string // tells callers apart; empty if unknown
}

// Reply is the answer to a caller.
type Reply struct {
	Status     int
	Fields     []core.Field // header fields of the replica's answer
	Body       []byte
	Stamps     []string // of the parts of a query's answer
	Missing    int      // shards whose parts a query's answer lacks
	Gathered   bool     // whether this is a query's answer, merged from parts
	RetryAfter time.Duration
	Reason     core.Reason // why the request was not successful
}

// Deps are the dependencies of a relay.
type Deps struct {
	Replicas *picker.Table
	Client   *client.Client
	Extra    *budget.Extra
	Splitter *route.Splitter
	Log      *slog.Logger
	Meter    core.Meter
	// Callers returns how many hosts share the connections to a replica of a service.
	Callers func(core.ServiceName) int
	// Compete makes requests compete for capacity by priority and caller, see shed.Options.
	Compete bool
	// Self and Tasks let other hosts execute parts of a query. Tasks may be nil;
	// then this host calls all replicas itself.
	Self  core.HostID
	Tasks core.TaskClient
}

// Relay forwards requests to replicas. It is safe for concurrent use.
type Relay struct {
	Deps
	table           atomic.Pointer[route.Table]
	completeLimiter *telem.LineLimiter // log lines of complete answers
	otherLimiter    *telem.LineLimiter // log lines of all other answers

	waiting *await.Queue[waiter] // subrequests that wait for a free slot
	costs   *cost.Model
	turns   turnCounts // subrequests that wait for a turn at a cold replica

	// started is closed by the first call of SetTable.
	started   chan struct{}
	startOnce sync.Once

	// finish is closed by Finish.
	finish     chan struct{}
	finishOnce sync.Once

	mu        sync.Mutex
	lag       time.Duration                  // see observeLag
	partSizes map[string]float64             // usual size of a part in bytes, by route
	sets      map[core.ServiceName]*shardSet // by the first shard

	rejectedRoutes map[string]struct{} // see countedRoute
}

var _ core.TaskRunner = (*Relay)(nil)

// New returns a relay without a routing document.
func New(d Deps) *Relay {
	d.Meter = core.MeterOr(d.Meter)
	return &Relay{
		Deps:            d,
		completeLimiter: telem.NewLineLimiter(completeLinesPerSecond),
		otherLimiter:    telem.NewLineLimiter(otherLinesPerSecond),
		waiting:         await.New[waiter](),
		costs:           cost.New(),

		started:   make(chan struct{}),
		finish:    make(chan struct{}),
		partSizes: make(map[string]float64),
		sets:      make(map[core.ServiceName]*shardSet),

		rejectedRoutes: make(map[string]struct{}),
	}
}

// waiter is a subrequest that waits for a free slot.
type waiter struct {
	job *job
	sub *subrequest
}

// offerSlot gives a free slot at a replica of a service to the next subrequest that waits.
func (r *Relay) offerSlot(now time.Time, s core.ServiceName) {
	if w, ok := r.waiting.Next(now, s); ok {
		w.job.results <- &event{sub: w.sub, slot: true}
	}
}

// ReassignWaiting lets the subrequests that wait for a slot pick a replica again. It must be
// called when an evacuation began or ended; otherwise they would wait for the end of a call.
func (r *Relay) ReassignWaiting(now time.Time) {
	for _, s := range r.waiting.Services() {
		r.offerSlot(now, s) // each passes the offer on unless it waits again
	}
}

// SetTable makes a version of the routing document the active one.
func (r *Relay) SetTable(t *route.Table) {
	r.table.Store(t)
	r.startOnce.Do(func() { close(r.started) })
}

// awaitTable returns the active version of the routing document. If there is none yet, it waits
// for one up to startWait; the result is nil if none has arrived then.
func (r *Relay) awaitTable(ctx context.Context) *route.Table {
	if t := r.table.Load(); t != nil {
		return t
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-r.started:
	case <-r.finish:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.table.Load()
}

// Table returns the active version of the routing document, or nil.
func (r *Relay) Table() *route.Table { return r.table.Load() }

// Finish ends the running requests: a query is answered at once with the parts that have
// arrived, any other request with an error, and later requests are rejected. A stopping
// host calls it before it closes its connections.
func (r *Relay) Finish() { r.finishOnce.Do(func() { close(r.finish) }) }

func (r *Relay) finishing() bool {
	select {
	case <-r.finish:
		return true
	default:
		return false
	}
}

// Do forwards a request to replicas and returns the answer to its caller. ctx must end
// when the caller leaves. What the request needs beyond its body is charged to the lease of
// ctx, which is held until the last call has ended.
func (r *Relay) Do(ctx context.Context, req Request) Reply {
	table := r.awaitTable(ctx)
	if table == nil {
		return r.Reject(req, unavailable(core.ReasonNotReady, retryStarting))
	}
	rt, ok := table.Match(req.Host, req.Path)
	if !ok {
		return r.Reject(req, Reply{Status: http.StatusNotFound, Reason: core.ReasonNoRoute})
	}
	if r.finishing() {
		return r.Reject(req, unavailable(core.ReasonDraining, retrySoon))
	}
	j := newJob(r, table, rt, req)
	r.countEstimate(j.estimate)
	if !j.takeLease(core.LeaseOf(ctx)) {
		return r.Reject(req, unavailable(core.ReasonOverload, retryNoMemory))
	}
	var reply Reply
	if len(rt.Gather) > 0 {
		reply = j.serveQuery(ctx)
	} else {
		reply = j.serveSingle(ctx)
	}
	r.logReply(j, reply)
	return reply
}

// retryAfter returns the Retry-After of a request that no replica of a service has run: the
// time until one takes requests again if all asked to wait, and usual otherwise.
func (r *Relay) retryAfter(now time.Time, s core.ServiceName, usual time.Duration) time.Duration {
	if r.Replicas.Available(now, s) {
		return max(usual, r.coldWait(now, s))
	}
	return max(usual, r.Replicas.Wait(now, s))
}

// Note records what a replica states about itself in the result of a call.
func (r *Relay) Note(now time.Time, replica *picker.Replica, res client.Result) {
	n := picker.Notice{Leaving: res.Reply.Leaving, Wait: res.Reply.Wait, Invalid: res.Reply.InvalidWait, Warmup: res.Reply.Warmup}
	if n == (picker.Notice{}) || res.Reply.AddressReused || !r.Replicas.Note(now, replica, n) {
		return
	}
	inst := replica.Instance()
	if n.Leaving {
		r.Client.CloseIdle(inst.ID)
		r.Meter.Count("relay_replicas_leaving", 1)
	}
	if n.Wait > 0 {
		r.Meter.Count("relay_replicas_waiting", 1)
	}
	if skipped, ok := r.allowLine(false); ok {
		r.Log.Info("relay: notice of a replica", "replica", inst.ID, "service", inst.Service,
			"leaving", n.Leaving, "wait_ms", n.Wait.Milliseconds(), "invalid_wait", n.Invalid, "left_out", skipped)
	}
}

func unavailable(reason core.Reason, after time.Duration) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// observePartSize updates the usual part size of a route.
func (r *Relay) observePartSize(rt *core.Route, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.partSizes[rt.Name]
	if !ok {
		usual = float64(bytes)
	}
	r.partSizes[rt.Name] = usual + partWeight*(float64(bytes)-usual)
}

// partLimit returns the size limit in bytes of a part of a route's queries.
func (r *Relay) partLimit(rt *core.Route) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.partSizes[rt.Name]
	if !ok {
		return maxPartBytes
	}
	return min(maxPartBytes, max(minPartBytes, int(partFactor*usual)))
}

// observeLag updates the estimate of how late this host acts on a closing time
// because its processor is busy. The estimate rises quickly and falls slowly.
func (r *Relay) observeLag(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := lagFall
	if late > r.lag {
		weight = lagRise
	}
	r.lag += time.Duration(weight * float64(late-r.lag))
}

func (r *Relay) currentLag() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lag
}

// HostLimits returns this host's share of the connections to the replicas of a service.
// One share stays free for a host that joins.
func (r *Relay) HostLimits(t *route.Table, s core.ServiceName) picker.HostLimits {
	u, ok := t.Upstream(s)
	if !ok || u.Connections <= 0 {
		return picker.HostLimits{Calls: 1, Share: 1}
	}
	hosts := r.Callers(s) + 1
	return picker.HostLimits{
		Calls: max(1, min(maxConnections, u.Connections/hosts)),
		Share: min(1, float64(u.Connections)/float64(hosts)),
	}
}
