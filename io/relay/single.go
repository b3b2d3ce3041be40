package relay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// serveSingle serves a request that one replica answers.
func (j *job) serveSingle(ctx context.Context) Reply {
	service, ok := j.relay.Splitter.Pick(j.route)
	if !ok {
		return unavailable(core.ReasonNoReplica, retryNoReplica)
	}
	j.setServices([]core.ServiceName{service})
	j.setLatestStart(j.start.Add(j.route.Target))
	sub := &j.subs[0]
	now := time.Now()
	j.relay.Extra.RecordRequests(now, service, 1)
	if !j.attempt(now, sub, retrySent) {
		if sub.reason == "" {
			sub.reason = core.ReasonNoReplica
		}
		return unavailable(sub.reason, j.relay.retryAfter(now, service, retryNoReplica))
	}
	defer j.abandon()
	if j.rejection != nil {
		return j.rejected(now, *j.rejection)
	}
	for !sub.settled {
		last := j.deadline.Add(-answerMargin)
		now := time.Now()
		if !now.Before(last) {
			return j.endedReply(http.StatusGatewayTimeout, core.ReasonDeadline)
		}
		if j.relay.finishing() {
			sub.reason = core.ReasonDraining
			return j.endedReply(http.StatusBadGateway, core.ReasonDraining)
		}
		e, got, ok := j.wait(ctx, j.wakeAt(last))
		if !ok {
			return j.endedReply(http.StatusGatewayTimeout, core.ReasonCallerLeft)
		}
		now = time.Now()
		if got && e.slot {
			j.resume(now, e.sub)
		} else if got {
			j.callHandled(e)
			if reply, final := j.finalReply(now, e); final {
				return reply
			}
		}
		j.startDueCalls(now)
	}
	return j.failureReply(sub)
}

// finalReply returns the reply to the caller if the end of a call decides it.
// Otherwise it handles the call as failed.
func (j *job) finalReply(now time.Time, e event) (Reply, bool) {
	sub, res := e.sub, e.result
	if res.Err == nil && !res.Reply.NotRun && !encoded(res.Reply) && res.Reply.Stamp != "" {
		sub.last = &res.Reply
		if res.Reply.Status < http.StatusInternalServerError && !impliesNotRun(res.Reply.Status) {
			return replicaReply(res.Reply), true
		}
	}
	j.handleFailure(now, e)
	return Reply{}, false
}

func replicaReply(r client.Reply) Reply {
	return Reply{Status: r.Status, Fields: r.Fields, Body: r.Body}
}

// failureReply returns the reply to a request for which all calls have failed.
func (j *job) failureReply(sub *subrequest) Reply {
	if sub.last != nil && !impliesNotRun(sub.last.Status) {
		return replicaReply(*sub.last)
	}
	if !j.mayHaveRun() {
		return unavailable(sub.reason, j.relay.retryAfter(time.Now(), sub.service, retrySoon))
	}
	return Reply{Status: http.StatusBadGateway, Reason: sub.reason}
}

// impliesNotRun reports whether callers take a status as proof that the request did
// not run. A replica's answer with such a status is no proof, so it is not passed on.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// encoded reports whether the body has a content encoding.
func encoded(r client.Reply) bool {
	for _, f := range r.Fields {
		if strings.EqualFold(f.Name, "Content-Encoding") && !strings.EqualFold(f.Value, "identity") {
			return true
		}
	}
	return false
}
