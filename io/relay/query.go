package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/gather"
	"oriolebarrow/io/client"
)

// serveQuery serves a query over many shards. From its closing time on, the query
// is answered as soon as enough shards have returned their parts.
func (j *job) serveQuery(ctx context.Context) Reply {
	j.query = gather.New(len(j.route.Gather), j.route.TopK, j.route.MinRatio)
	j.setServices(j.route.Gather)
	if now := time.Now(); !j.reachable(now) {
		return unavailable(core.ReasonNoReplica, j.queryRetryAfter(now, retryNoReplica))
	}
	j.set = j.relay.setFor(j.route.Gather[0])
	if d := j.admit(); !d.Admitted {
		return j.rejected(time.Now(), d)
	}
	defer j.abandon()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.cancelTasks = cancel
	now := time.Now()
	j.queries = 1 + j.set.rejected.Take(now)
	closeAt := j.closeAt()
	j.setLatestStart(closeAt)
	j.delegate(ctx, now, closeAt)
	j.startCalls(now)
	for {
		now = time.Now()
		if !now.Before(closeAt) && !j.pastClose {
			j.pastClose = true
			j.updateShedder(now)
			j.relay.observeLag(now.Sub(closeAt))
			j.addOpenParts(now)
		}
		if j.done(now, closeAt) {
			if !j.pastClose {
				j.updateShedder(now)
			}
			return j.queryReply()
		}
		last := j.deadline.Add(-answerMargin)
		if now.Before(closeAt) && closeAt.Before(last) {
			last = closeAt
		}
		e, got, ok := j.wait(ctx, j.wakeAt(last))
		if !ok {
			return j.endedReply(http.StatusGatewayTimeout, core.ReasonCallerLeft)
		}
		now = time.Now()
		switch {
		case got && e.task != nil:
			j.handleTask(now, *e.task)
		case got && e.slot:
			j.resume(now, e.sub)
		case got:
			j.handleCall(now, e)
		}
		j.startDueCalls(now)
	}
}

// done reports whether the query has to be answered now.
func (j *job) done(now, closeAt time.Time) bool {
	return j.query.Settled() || !j.query.EnoughPossible() || j.query.Enough() && !now.Before(closeAt) ||
		!now.Before(j.deadline.Add(-answerMargin)) || j.relay.finishing()
}

// startCalls starts the first call of each subrequest that is not delegated.
func (j *job) startCalls(now time.Time) {
	for i := range j.subs {
		sub := &j.subs[i]
		if sub.delegated {
			continue
		}
		j.relay.Extra.RecordRequests(now, sub.service, j.queries)
		if !sub.settled && !j.attempt(now, sub, retrySent) {
			j.settleUnavailable(sub)
		}
	}
}

// reachable reports whether enough shards have a usable replica, so that no shard
// is called for a query that cannot be answered. It settles the subrequests of
// shards without one.
func (j *job) reachable(now time.Time) bool {
	for i := range j.subs {
		if !j.relay.Replicas.Available(now, j.subs[i].service) {
			j.settleUnavailable(&j.subs[i])
		}
	}
	return j.query.EnoughPossible()
}

// queryRetryAfter returns after which time enough shards may have a usable replica again, or
// usual if no replica asked to wait.
func (j *job) queryRetryAfter(now time.Time, usual time.Duration) time.Duration {
	excess := j.query.Excess()
	if excess <= 0 {
		return usual
	}
	var waits []time.Duration
	for i := range j.subs {
		if j.query.Lost(i) {
			waits = append(waits, j.relay.retryAfter(now, j.subs[i].service, usual))
		}
	}
	slices.Sort(waits)
	return waits[excess-1]
}

func (j *job) settleUnavailable(sub *subrequest) {
	if sub.reason == "" {
		sub.reason = core.ReasonNoReplica
	}
	j.settle(sub)
}

// closeAt returns the closing time of the query: from then on it may be answered
// without the slowest shards. At least half of the target passes before it.
func (j *job) closeAt() time.Time {
	if j.route.Target <= 0 {
		return j.deadline
	}
	margin := closeMargin + j.relay.currentLag()
	if j.req.FirstOnConn {
		margin += connectMargin
	}
	return j.start.Add(max(j.route.Target/2, j.route.Target-margin))
}

// handleCall handles the end of a call to a shard and reports whether its part was
// added to the query.
func (j *job) handleCall(now time.Time, e event) bool {
	sub := e.sub
	j.callHandled(e)
	if sub.settled {
		return false
	}
	res := e.result
	if !usablePart(res) {
		j.handleFailure(now, e)
		return false
	}
	if !j.query.Add(sub.index, res.Reply.Stamp, res.Reply.Body) {
		sub.reason = core.ReasonWrongAnswer
		j.addEvent(now, sub, callFailed, e.replica, "duplicate stamp")
		j.settle(sub)
		return false
	}
	sub.settled = true
	j.stopWaiting(sub)
	j.leaveTurn(sub)
	j.relay.observePartSize(j.route, len(res.Reply.Body))
	return true
}

func usablePart(res client.Result) bool {
	return res.Err == nil && !res.Reply.NotRun && success(res.Reply.Status) && res.Reply.Stamp != "" && !encoded(res.Reply)
}

// queryReply returns the answer with the parts that have been added, or an error
// reply if they are too few.
func (j *job) queryReply() Reply {
	q := j.query
	if q.Enough() {
		return Reply{
			Status:   http.StatusOK,
			Gathered: true,
			Stamps:   q.Stamps(),
			Missing:  q.Missing(),
			Body:     q.Body(),
		}
	}
	if !j.mayHaveRun() {
		return unavailable(core.ReasonBusy, j.queryRetryAfter(time.Now(), retrySoon))
	}
	if !time.Now().Before(j.deadline.Add(-answerMargin)) {
		return Reply{Status: http.StatusGatewayTimeout, Reason: core.ReasonDeadline}
	}
	if j.relay.finishing() {
		return Reply{Status: http.StatusBadGateway, Reason: core.ReasonDraining}
	}
	return Reply{Status: http.StatusBadGateway, Reason: core.ReasonBackendError}
}
