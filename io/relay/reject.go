package relay

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
	"oriolebarrow/core/cost"
	"oriolebarrow/core/shed"
)

const (
	// requestRejected is the log message of a rejection before any call.
	requestRejected = "relay: request rejected"
	// maxRejectedRoutes limits the routes whose rejections are counted separately.
	maxRejectedRoutes = 64
	// otherRoutes is the name under which those of further routes are counted.
	otherRoutes = "other"
)

// askFor returns what the request asks admission control for.
func (j *job) askFor(now time.Time) shed.Demand {
	content := xxhash.New()
	for _, part := range []string{j.req.Method, j.req.Host, j.req.URI} {
		_, _ = content.WriteString(part + "\n") // a digest returns no errors
	}
	_, _ = content.Write(j.req.Body)
	return shed.Demand{
		Route:     j.route.Name,
		Priority:  j.route.Priority,
		Cost:      j.estimate.Usual,
		Target:    j.route.Target,
		Remaining: j.deadline.Sub(now),
		Caller:    j.req.Caller,
		Content:   content.Sum64(),
		Hash:      xxhash.Sum64String(string(j.req.ID)),
	}
}

// rejected counts and records a rejection, and returns the reply.
func (j *job) rejected(now time.Time, d shed.Decision) Reply {
	j.relay.Meter.Count("relay_rejected_"+j.relay.countedRoute(j.route.Name)+"_"+d.Reason, 1)
	j.events.add(now.Sub(j.start), requestRejected,
		slog.String("route", j.route.Name),
		slog.String("reason", d.Reason),
		slog.Int("priority", j.route.Priority),
		slog.String("caller", j.req.Caller),
		slog.Int("share_pct", int(100*d.Share)),
		slog.Int("chance_pct", int(100*d.Chance)),
		slog.Int64("retry_after_ms", d.RetryAfter.Milliseconds()),
	)
	return Reply{Status: http.StatusServiceUnavailable, Reason: core.ReasonBusy, RetryAfter: d.RetryAfter}
}

// countedRoute returns the name under which the rejections of a route are counted.
func (r *Relay) countedRoute(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.rejectedRoutes[name]; !ok {
		if len(r.rejectedRoutes) >= maxRejectedRoutes {
			return otherRoutes
		}
		r.rejectedRoutes[name] = struct{}{}
	}
	return name
}

// join adds a subrequest to the relay's queue and reports whether it did. A request to one
// replica that would not be answered in time is rejected instead.
func (j *job) join(now time.Time, sub *subrequest) bool {
	w := waiter{j, sub}
	if j.query != nil || sub.attempts > 0 {
		j.relay.waiting.Add(sub.service, w, j.latestStart)
		return true
	}
	decide := j.decideWait(now, sub.service)
	return j.relay.waiting.AddIf(now, sub.service, w, j.latestStart, func(before int) bool {
		d := decide(before)
		if !d.Admitted {
			j.rejection = &d
		}
		return d.Admitted
	})
}

// decideWait returns the decision about a request to one replica that gets a slot after a number
// of others. All may wait while the usual time of a call is not known.
func (j *job) decideWait(now time.Time, s core.ServiceName) func(before int) shed.Decision {
	if j.estimate.Basis == cost.BasisTarget {
		return func(int) shed.Decision { return shed.Decision{Admitted: true, Share: 1, Chance: 1} }
	}
	ask := j.askFor(now)
	ask.Remaining -= answerMargin
	slots := j.relay.Replicas.Slots(now, s)
	return func(before int) shed.Decision { return shed.Wait(ask, before, slots) }
}
