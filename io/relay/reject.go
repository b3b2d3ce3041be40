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

// admitWait decides whether a request to one replica that has to wait for a free slot may wait.
func (j *job) admitWait(now time.Time, sub *subrequest) shed.Decision {
	if !sub.waiting {
		return shed.Decision{Admitted: true}
	}
	ahead := j.relay.waiting.Before(now, sub.service, j.latestStart) - 1 // without this one
	return j.decideWait(now, sub.service, ahead)
}

// decideWait decides about a request to one replica that gets a slot after ahead others.
func (j *job) decideWait(now time.Time, s core.ServiceName, ahead int) shed.Decision {
	if j.estimate.Basis == cost.BasisTarget {
		return shed.Decision{Admitted: true}
	}
	d := j.askFor(now)
	d.Remaining -= answerMargin
	return shed.Wait(d, max(0, ahead), j.relay.Replicas.Slots(now, s))
}
