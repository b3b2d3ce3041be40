package relay

import (
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/gather"
	"oriolebarrow/core/shed"
)

// ErrNoRoute is returned by Where for a request that has no route.
var ErrNoRoute = errors.New("relay: no route")

// Where returns what the relay would do with a request now. It asks the code that decides
// about requests, on copies of what that code changes, so that it has no effect on them.
func (r *Relay) Where(req Request) (core.Where, error) { return r.copyForDecisions().where(req) }

// copyForDecisions returns a relay that decides like r. It shares the queue of waiting calls and
// the estimates, which decisions only read, and has copies of the rest.
func (r *Relay) copyForDecisions() *Relay {
	c := New(r.Deps)
	c.Replicas, c.Splitter, c.Meter = r.Replicas.Copy(), r.Splitter.Copy(), core.MeterOr(nil)
	c.waiting, c.costs = r.waiting, r.costs
	c.table.Store(r.table.Load())
	r.mu.Lock()
	defer r.mu.Unlock()
	c.lag = r.lag
	for first, s := range r.sets {
		c.sets[first] = &shardSet{first: first, shedder: s.shedder.Copy(), demand: s.demand.Copy()}
	}
	return c
}

func (r *Relay) where(req Request) (core.Where, error) {
	table := r.table.Load()
	if table == nil {
		return core.Where{}, ErrNoTable
	}
	rt, ok := table.Match(req.Host, req.Path)
	if !ok {
		return core.Where{}, ErrNoRoute
	}
	now := time.Now()
	req.Arrived = now
	j := newJob(r, table, rt, req)
	w := core.Where{
		Host: r.Self, Route: rt.Name, RoutingVersion: table.Version(),
		Estimate: core.WhereEstimate{
			UsualUS: j.estimate.Usual.Microseconds(), LateUS: j.estimate.Late.Microseconds(), Basis: string(j.estimate.Basis),
		},
	}
	if len(rt.Gather) > 0 {
		j.whereQuery(now, &w)
	} else {
		j.whereSingle(now, &w)
	}
	return w, nil
}

// whereQuery describes a query over many shards.
func (j *job) whereQuery(now time.Time, w *core.Where) {
	j.query = gather.New(len(j.route.Gather), j.route.TopK, j.route.MinRatio)
	j.setServices(j.route.Gather)
	j.setLatestStart(j.closeAt())
	j.set = j.relay.setFor(j.route.Gather[0])
	if j.reachable(now) {
		w.Admission = admission(j.decideQuery(now))
	} else {
		w.Admission = core.WhereAdmission{Reason: string(core.ReasonNoReplica), RetryAfterMS: j.queryRetryAfter(now, retryNoReplica).Milliseconds()}
	}
	for _, s := range j.route.Gather {
		w.Services = append(w.Services, j.whereService(now, s))
	}
	tasks, ok := j.relay.Tasks.(core.TaskPreviewer)
	if !ok {
		return
	}
	for _, b := range tasks.Preview(now, j.route.Gather, j.set.demand.Short(now)) {
		for _, i := range b.Shards {
			w.Services[i].Owner = b.Host.ID()
		}
	}
}

// whereSingle describes a request that one replica answers.
func (j *job) whereSingle(now time.Time, w *core.Where) {
	j.setLatestStart(j.start.Add(j.route.Target))
	next, ok := j.relay.Splitter.Pick(j.route)
	w.Admission = core.WhereAdmission{Reason: string(core.ReasonNoReplica), RetryAfterMS: retryNoReplica.Milliseconds()}
	for _, share := range j.route.Split {
		s := j.whereService(now, share.Service)
		s.Weight = share.Weight
		if s.Next = ok && share.Service == next; s.Next {
			w.Admission = j.whereAdmitted(now, s)
		}
		w.Services = append(w.Services, s)
	}
}

// whereAdmitted returns what would happen to a request that goes to a service.
func (j *job) whereAdmitted(now time.Time, s core.WhereService) core.WhereAdmission {
	replica, busy := j.relay.Replicas.Pick(now, s.Service, j.estimate.Usual, nil)
	switch {
	case replica != nil:
		return admission(shed.Decision{Admitted: true, Share: 1, Chance: 1})
	case busy:
		return admission(j.decideWait(now, s.Service)(s.Waiting))
	}
	reason := core.ReasonNoReplica
	if _, withheld := j.relay.Replicas.AllWithheld(now, s.Service); withheld {
		reason = core.ReasonCold
	}
	return core.WhereAdmission{Reason: string(reason), RetryAfterMS: j.relay.retryAfter(now, s.Service, retryNoReplica).Milliseconds()}
}

func (j *job) whereService(now time.Time, s core.ServiceName) core.WhereService {
	waiting := 0
	j.relay.waiting.AddIf(now, s, waiter{}, j.latestStart, func(before int) bool {
		waiting = before
		return false // only asked, not added
	})
	return core.WhereService{
		Service: s, Owner: j.relay.Self, Next: true,
		Waiting:    waiting,
		Candidates: j.relay.Replicas.Candidates(now, s, j.estimate.Usual),
	}
}

func admission(d shed.Decision) core.WhereAdmission {
	return core.WhereAdmission{
		Admitted: d.Admitted, Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds(),
		SharePct: int(100 * d.Share), ChancePct: int(100 * d.Chance),
	}
}
