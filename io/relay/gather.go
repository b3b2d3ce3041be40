package relay

import (
	"context"
	"net/http"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/gather"
	"oriolebarrow/io/client"
)

// gather serves a query over many shards.
func (j *job) gather(ctx context.Context) Reply {
	j.query = gather.New(len(j.route.Gather), j.route.TopK, j.route.MinRatio)
	j.setLegs(j.route.Gather)
	if !j.reachable() {
		return refuse(core.ReasonNoReplica, retryDark)
	}
	j.room = j.relay.roomOf(j.route.Gather[0])
	if after, ok := j.letIn(); !ok {
		return refuse(core.ReasonBusy, after)
	}
	defer j.abandon()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the tasks of other hosts
	now := time.Now()
	closeAt := j.closeAt()
	j.delegate(ctx, now, closeAt)
	j.begin(now)
	for {
		now = time.Now()
		if !now.Before(closeAt) && !j.closing {
			j.closing = true
			j.learnRoom(now)
			j.relay.noteLag(now.Sub(closeAt))
			j.noteOpen(now)
		}
		if j.over(now, closeAt) {
			if !j.closing {
				j.learnRoom(now)
			}
			return j.gathered()
		}
		last := j.deadline.Add(-answerMargin)
		if now.Before(closeAt) && closeAt.Before(last) {
			last = closeAt
		}
		e, got, ok := j.wait(ctx, j.wake(last))
		if !ok {
			return Reply{Status: http.StatusGatewayTimeout, Reason: core.ReasonCallerLeft}
		}
		now = time.Now()
		switch {
		case got && e.task != nil:
			j.taskNews(now, *e.task)
		case got:
			j.part(now, e)
		}
		j.timeouts(now)
	}
}

// over reports whether the query is answered now.
func (j *job) over(now, closeAt time.Time) bool {
	return j.query.Settled() || !j.query.Possible() || j.query.Enough() && !now.Before(closeAt) ||
		!now.Before(j.deadline.Add(-answerMargin)) || j.relay.finishing()
}

// begin starts the first call of each shard that this host calls itself.
func (j *job) begin(now time.Time) {
	for i := range j.legs {
		if l := &j.legs[i]; !l.delegated && !l.settled && !j.attempt(now, l, retrySent) {
			j.missing(l)
		}
	}
}

// reachable reports whether enough shards have a usable replica, so that a
// query that cannot be answered costs the other shards nothing.
func (j *job) reachable() bool {
	for i := range j.legs {
		if !j.relay.Fleet.Available(j.legs[i].service) {
			j.missing(&j.legs[i])
		}
	}
	return j.query.Possible()
}

func (j *job) missing(l *leg) {
	if l.reason == "" {
		l.reason = core.ReasonNoReplica
	}
	j.settle(l)
}

// closeAt returns when the query is answered with what is there.
func (j *job) closeAt() time.Time {
	if j.route.Target <= 0 {
		return j.deadline
	}
	margin := closeMargin + j.relay.lagNow()
	if j.req.First {
		margin += connectMargin
	}
	return j.start.Add(max(j.route.Target/2, j.route.Target-margin))
}

// part handles the end of a shard's call and reports whether it brought the part.
func (j *job) part(now time.Time, e end) bool {
	l := e.leg
	l.running--
	if l.settled {
		return false
	}
	res := e.result
	if !usablePart(res) {
		j.failed(now, e)
		return false
	}
	if !j.query.Add(l.index, res.Reply.Stamp, res.Reply.Body) {
		l.reason = core.ReasonWrongAnswer
		j.note(now, l, callFailed, e.replica, "stamp stands twice, or records cannot be read")
		j.settle(l)
		return false
	}
	l.settled = true
	j.relay.notePart(j.route, len(res.Reply.Body))
	return true
}

func usablePart(res client.Result) bool {
	return res.Err == nil && !res.Reply.NotRun && success(res.Reply.Status) && res.Reply.Stamp != "" && !encoded(res.Reply)
}

func (j *job) gathered() Reply {
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
		return refuse(core.ReasonBusy, retrySoon)
	}
	if !time.Now().Before(j.deadline.Add(-answerMargin)) {
		return Reply{Status: http.StatusGatewayTimeout, Reason: core.ReasonDeadline}
	}
	if j.relay.finishing() {
		return Reply{Status: http.StatusBadGateway, Reason: core.ReasonDraining}
	}
	return Reply{Status: http.StatusBadGateway, Reason: core.ReasonBackendError}
}

// mayHaveRun reports whether any replica may have run the request, or may still.
func (j *job) mayHaveRun() bool {
	for i := range j.legs {
		if l := &j.legs[i]; l.mayRun() || l.delegated && l.reason == "" {
			return true
		}
	}
	return false
}
