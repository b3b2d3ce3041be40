package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// single serves a request that one replica answers.
func (j *job) single(ctx context.Context) Reply {
	service, ok := j.relay.Splitter.Pick(j.route)
	if !ok {
		return refuse(core.ReasonNoReplica, retryDark)
	}
	j.setLegs([]core.ServiceName{service})
	l := &j.legs[0]
	if !j.attempt(time.Now(), l, retrySent) {
		l.reason = core.ReasonNoReplica
		return refuse(core.ReasonNoReplica, retryDark)
	}
	defer j.abandon()
	for !l.settled {
		last := j.deadline.Add(-answerMargin)
		now := time.Now()
		if !now.Before(last) {
			return j.timedOut(l)
		}
		if j.relay.finishing() {
			return j.givenUp(l)
		}
		e, got, ok := j.wait(ctx, j.wake(last))
		if !ok {
			return Reply{Status: http.StatusGatewayTimeout, Reason: core.ReasonCallerLeft}
		}
		now = time.Now()
		if got {
			l.running--
			if reply, final := j.judge(now, e); final {
				return reply
			}
		}
		j.timeouts(now)
	}
	return j.singleFailed(l)
}

// judge returns the caller's answer if a replica's answer is final.
func (j *job) judge(now time.Time, e end) (Reply, bool) {
	l, res := e.leg, e.result
	if res.Err == nil && !res.Reply.NotRun && !encoded(res.Reply) && res.Reply.Stamp != "" {
		l.last = &res.Reply
		if res.Reply.Status < http.StatusInternalServerError && !promisesNotRun(res.Reply.Status) {
			return passOn(res.Reply), true
		}
	}
	j.failed(now, e)
	return Reply{}, false
}

func passOn(r client.Reply) Reply {
	return Reply{Status: r.Status, Fields: r.Fields, Body: r.Body}
}

func (j *job) singleFailed(l *leg) Reply {
	if l.last != nil && !promisesNotRun(l.last.Status) {
		return passOn(*l.last)
	}
	if !l.mayRun() {
		return refuse(l.reason, retrySoon)
	}
	return Reply{Status: http.StatusBadGateway, Reason: l.reason}
}

// givenUp answers a request that runs while the host ends.
func (j *job) givenUp(l *leg) Reply {
	l.reason = core.ReasonDraining
	if !l.mayRun() {
		return refuse(core.ReasonDraining, retrySoon)
	}
	return Reply{Status: http.StatusBadGateway, Reason: core.ReasonDraining}
}

func (j *job) timedOut(l *leg) Reply {
	if !l.mayRun() {
		return refuse(core.ReasonDeadline, retrySoon)
	}
	return Reply{Status: http.StatusGatewayTimeout, Reason: core.ReasonDeadline}
}

// promisesNotRun reports whether callers take a status as proof that the request
// did not run. A replica's own answer with such a status proves nothing.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// encoded reports whether the body is not as the replica made it.
func encoded(r client.Reply) bool {
	for _, f := range r.Fields {
		if strings.EqualFold(f.Name, "Content-Encoding") && !strings.EqualFold(f.Value, "identity") {
			return true
		}
	}
	return false
}
