// Package relay passes callers' requests on to replicas: whole requests to one
// replica of a service, and queries to one replica of each shard. It decides on
// repetitions and hedges within the limits of the route and the budget of extra
// calls, and on when a query is answered without its slowest shards.
//
// # Usage
//
//	r := relay.New(relay.Parts{Fleet: f, Client: c, Extra: e, Log: log})
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
	"oriolebarrow/core/budget"
	"oriolebarrow/core/fleet"
	"oriolebarrow/core/room"
	"oriolebarrow/core/route"
	"oriolebarrow/io/client"
	"oriolebarrow/io/telem"
)

const (
	// retrySoon is the hint to come back when another host, or this one a moment
	// later, can probably serve.
	retrySoon = 50 * time.Millisecond
	// retryDark is the hint when a service has no usable replica: probes of
	// ejected replicas are that far apart.
	retryDark = 400 * time.Millisecond
	// partFactor times the usual weight, a part of a query is no part: what a replica sends
	// without end is cut there. minPartBytes and maxPartBytes bound the result; the latter
	// holds while nothing is learnt.
	partFactor   = 64
	minPartBytes = 64 << 10
	maxPartBytes = 1 << 20
	// partWeight of the newest part in the usual weight.
	partWeight = 0.05
)

// Request is a caller's request.
type Request struct {
	ID      core.RequestID
	Method  string
	URI     string // path and query as sent
	Path    string
	Host    string
	Fields  []core.Field
	Body    []byte
	Left    time.Duration // how long the caller waits; 0 when not stated
	Arrived time.Time
	First   bool // on its connection
}

// Reply is the answer to a caller.
type Reply struct {
	Status     int
	Fields     []core.Field // of the replica's answer
	Body       []byte
	Stamps     []string // of a gathered answer
	Missing    int      // shards that a gathered answer lacks
	Gathered   bool
	RetryAfter time.Duration
	Reason     core.Reason // why there is no success
}

// Parts are what a relay works with.
type Parts struct {
	Fleet    *fleet.Table
	Client   *client.Client
	Extra    *budget.Extra
	Splitter *route.Splitter
	Log      *slog.Logger
	Meter    core.Meter
	// Hosts returns how many hosts share the connections to a replica.
	Hosts func() int
	// Self and Helpers let other hosts carry out parts of a query; may be empty.
	Self    core.HostID
	Helpers core.Helpers
}

// Relay passes requests on. It is safe for concurrent use.
type Relay struct {
	Parts
	table atomic.Pointer[route.Table]
	good  *telem.Limiter // lines of complete answers
	bad   *telem.Limiter // lines of all others

	// finish is closed when requests that run have to end.
	finish     chan struct{}
	finishOnce sync.Once

	mu    sync.Mutex
	times map[string]*budget.Times        // by route
	lag   time.Duration                   // see noteLag
	parts map[string]float64              // usual weight of a part in bytes, by route
	rooms map[core.ServiceName]*room.Room // by the first shard of a set
}

var _ core.TaskRunner = (*Relay)(nil)

// New returns a relay without a routing document.
func New(p Parts) *Relay {
	p.Meter = core.MeterOr(p.Meter)
	return &Relay{
		Parts: p,
		good:  telem.NewLimiter(goodLines),
		bad:   telem.NewLimiter(badLines),
		times: make(map[string]*budget.Times),

		finish: make(chan struct{}),
		parts:  make(map[string]float64),
		rooms:  make(map[core.ServiceName]*room.Room),
	}
}

// SetTable puts a version of the routing document in force.
func (r *Relay) SetTable(t *route.Table) { r.table.Store(t) }

// Table returns the version in force, or nil.
func (r *Relay) Table() *route.Table { return r.table.Load() }

// Finish ends the requests that run: each is answered at once with what is there, and
// later ones are rejected. A host that stops calls it before its connections are cut.
func (r *Relay) Finish() { r.finishOnce.Do(func() { close(r.finish) }) }

func (r *Relay) finishing() bool {
	select {
	case <-r.finish:
		return true
	default:
		return false
	}
}

// Do passes a request on and returns its answer. An ended ctx means that the
// caller left.
func (r *Relay) Do(ctx context.Context, req Request) Reply {
	table := r.table.Load()
	if table == nil {
		return r.Reject(req, refuse(core.ReasonNotReady, retrySoon))
	}
	rt, ok := table.Match(req.Host, req.Path)
	if !ok {
		return r.Reject(req, Reply{Status: http.StatusNotFound, Reason: core.ReasonNoRoute})
	}
	if r.finishing() {
		return r.Reject(req, refuse(core.ReasonDraining, retrySoon))
	}
	j := newJob(r, table, rt, req)
	var reply Reply
	if len(rt.Gather) > 0 {
		reply = j.gather(ctx)
	} else {
		reply = j.single(ctx)
	}
	r.write(j, reply)
	return reply
}

func refuse(reason core.Reason, after time.Duration) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// timesOf returns what is learnt of a route: the usual time of a call and the
// delay of its hedge.
func (r *Relay) timesOf(rt *core.Route) (usual, hedge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.times[rt.Name]
	if !ok || !t.Known() {
		return rt.Target / unknownUsual, rt.Target / unknownHedge
	}
	return t.Median(), max(hedgeFloor, min(t.Tail(), hedgeFactor*t.Median()))
}

func (r *Relay) observe(rt *core.Route, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.times[rt.Name]
	if !ok {
		t = new(budget.Times)
		r.times[rt.Name] = t
	}
	t.Observe(took)
}

// notePart learns what a part of a route weighs.
func (r *Relay) notePart(rt *core.Route, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.parts[rt.Name]
	if !ok {
		usual = float64(bytes)
	}
	r.parts[rt.Name] = usual + partWeight*(float64(bytes)-usual)
}

// partBytes bounds a part of a route by what its parts usually weigh.
func (r *Relay) partBytes(rt *core.Route) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, ok := r.parts[rt.Name]
	if !ok {
		return maxPartBytes
	}
	return min(maxPartBytes, max(minPartBytes, int(partFactor*usual)))
}

// noteLag learns by how much this host answers later than it means to, because
// its processor is busy. The estimate rises at once and falls slowly.
func (r *Relay) noteLag(late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	weight := lagFall
	if late > r.lag {
		weight = lagRise
	}
	r.lag += time.Duration(weight * float64(late-r.lag))
}

func (r *Relay) lagNow() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lag
}

// Share returns this host's part of the connections to the replicas of a
// service. One part is left free for a host that joins.
func (r *Relay) Share(t *route.Table, s core.ServiceName) fleet.Cap {
	u, ok := t.Upstream(s)
	if !ok || u.Connections <= 0 {
		return fleet.Cap{Calls: 1, Share: 1}
	}
	hosts := r.Hosts() + 1
	return fleet.Cap{
		Calls: max(1, min(maxConnections, u.Connections/hosts)),
		Share: min(1, float64(u.Connections)/float64(hosts)),
	}
}
