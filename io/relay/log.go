package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/client"
	"oriolebarrow/io/telem"
)

const (
	// completeLinesPerSecond and otherLinesPerSecond limit the logged requests: those
	// with a complete answer, and all others. A line takes up to 90 us on a small host
	// that is otherwise idle, and all lines together should stay below 3% of its work.
	completeLinesPerSecond = 3
	otherLinesPerSecond    = 100
	// maxEvents limits the logged events of one request: a query over a hundred shards
	// may send a hundred hedges.
	maxEvents = 12
)

// Log messages of the events of a request.
const (
	hedgeSent        = "relay: hedge sent"
	retrySent        = "relay: retry sent"
	refusedRetrySent = "relay: replica that refused is asked again"
	noBudget         = "relay: no extra call left"
	callFailed       = "relay: call failed"
	callRefused      = "relay: call refused"
	partsOpen        = "relay: parts are open at the closing time"
	taskLost         = "relay: host brought no part"
)

// Log messages about a set of shards.
const (
	setShort  = "relay: shards are short of slots, owners make the calls"
	setEnough = "relay: shards have enough slots, each host makes its calls"
)

// logEvent is a decision about a request, or the cause of one.
type logEvent struct {
	at      time.Duration // since the request arrived
	message string
	attrs   []slog.Attr
}

// eventLog keeps the events of a request until it is answered, since the outcome
// decides whether they are logged.
type eventLog struct {
	events  []logEvent
	dropped int // events beyond maxEvents
}

func (l *eventLog) add(at time.Duration, message string, attrs ...slog.Attr) {
	if len(l.events) >= maxEvents {
		l.dropped++
		return
	}
	l.events = append(l.events, logEvent{at: at, message: message, attrs: attrs})
}

// addEvent records an event of a subrequest, with the fill of the extra-call budget.
func (j *job) addEvent(now time.Time, sub *subrequest, message string, replica *picker.Replica, cause string, more ...slog.Attr) {
	j.events.add(now.Sub(j.start), message, append([]slog.Attr{
		slog.String("service", string(sub.service)),
		slog.String("replica", string(replica.Instance().ID)),
		slog.String("cause", cause),
		slog.Int("attempt", sub.attempts),
		slog.Int("budget_left_pct", int(100*j.relay.Extra.Fill(now, sub.service))),
	}, more...)...)
}

// addCallEvent records the end of a call, with its connection: two calls that end on one
// connection show which responses a replica sent there.
func (j *job) addCallEvent(now time.Time, e event, message string) {
	j.addEvent(now, e.sub, message, e.replica, cause(e.result),
		slog.Uint64("connection", e.result.Conn), slog.Int64("call_us", e.result.Took.Microseconds()))
}

// addOpenParts records the shards whose parts are missing at the closing time.
func (j *job) addOpenParts(now time.Time) {
	missed := j.missedServices()
	if missed == "" {
		return
	}
	j.events.add(now.Sub(j.start), partsOpen,
		slog.String("missed", missed),
		slog.Int64("target_ms", j.route.Target.Milliseconds()),
		slog.Int64("lag_us", j.relay.currentLag().Microseconds()),
	)
}

// addTaskLost records a task that ended without some of its parts.
func (j *job) addTaskLost(now time.Time, h core.HostID, parts int, err error) {
	j.events.add(now.Sub(j.start), taskLost,
		slog.String("peer", string(h)), slog.Int("parts", parts), slog.String("cause", errText(err)))
}

// cause returns the reason why a call has no usable answer.
func cause(res client.Result) string {
	switch {
	case res.Err != nil:
		return res.Err.Error()
	case res.Reply.NotRun || !success(res.Reply.Status):
		return "status " + strconv.Itoa(res.Reply.Status)
	case res.Reply.Stamp == "":
		return "no stamp"
	default:
		return "encoded body"
	}
}

// missedServices lists the services without an answer, each with the reason and the
// replicas that were tried.
func (j *job) missedServices() string {
	var b strings.Builder
	for i := range j.subs {
		sub := &j.subs[i]
		if j.query != nil && j.query.Included(i) || j.query == nil && sub.last != nil {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(sub.service))
		switch {
		case sub.reason != "":
			b.WriteString("=" + string(sub.reason))
		case sub.waiting:
			b.WriteString("=waiting") // for a free slot
		case !sub.turnAt.IsZero():
			b.WriteString("=" + string(core.ReasonCold))
		}
		for _, r := range sub.tried {
			b.WriteString("/" + string(r.Instance().ID))
		}
	}
	return b.String()
}

// Reject counts and logs a request that is answered without any call, and returns the answer.
func (r *Relay) Reject(req Request, reply Reply) Reply {
	r.Meter.Count("relay_answers_"+outcome(reply), 1)
	skipped, ok := r.allowLine(false)
	if !ok {
		return reply
	}
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: answered",
		requestID(req),
		slog.Int("status", reply.Status),
		slog.String("reason", string(reply.Reason)),
		slog.String("host", telem.Clip(req.Host)),
		slog.Int64("took_us", time.Since(req.Arrived).Microseconds()),
		slog.Int64("left_out", skipped),
	)
	return reply
}

func requestID(req Request) slog.Attr { return slog.String("request", telem.Clip(string(req.ID))) }

// logReply counts the answer to a request and logs it with the request's events.
func (r *Relay) logReply(j *job, reply Reply) {
	took := time.Since(j.start)
	r.Meter.Count("relay_answers_"+outcome(reply), 1)
	r.Meter.Observe("relay_answer_us", took.Microseconds())
	skipped, ok := r.allowLine(reply.Status < http.StatusInternalServerError && reply.Missing == 0)
	if !ok {
		return
	}
	r.logEvents(j)
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: answered",
		requestID(j.req),
		slog.String("route", j.route.Name),
		slog.Uint64("version", j.table.Version()),
		slog.Int("status", reply.Status),
		slog.String("reason", string(reply.Reason)),
		slog.Int("missing", reply.Missing),
		slog.Int("calls", j.callCount),
		slog.Int("extra", j.extraCalls),
		slog.Int("tasks", j.taskCount),
		slog.Int("slot_waits", j.slotWaits),
		slog.String("estimate", string(j.estimate.Basis)),
		slog.Int64("usual_us", j.estimate.Usual.Microseconds()),
		slog.Int64("left_ms", j.req.Remaining.Milliseconds()),
		slog.Int64("took_us", took.Microseconds()),
		slog.String("missed", j.missedServices()),
		slog.Int64("left_out", skipped),
	)
}

// logTask logs the end of a task of another host with its events.
func (r *Relay) logTask(j *job) {
	missed := j.missedServices()
	skipped, ok := r.allowLine(missed == "")
	if !ok {
		return
	}
	r.logEvents(j)
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: task ended",
		requestID(j.req),
		slog.String("route", j.route.Name),
		slog.Int("shards", len(j.subs)),
		slog.Int("calls", j.callCount),
		slog.Int("extra", j.extraCalls),
		slog.Int("slot_waits", j.slotWaits),
		slog.String("estimate", string(j.estimate.Basis)),
		slog.Int64("usual_us", j.estimate.Usual.Microseconds()),
		slog.Int64("took_us", time.Since(j.start).Microseconds()),
		slog.String("missed", missed),
		slog.Int64("left_out", skipped),
	)
}

// logDemand logs that a set of shards became short of slots or no longer is.
func (r *Relay) logDemand(now time.Time, s *shardSet) {
	message := setEnough
	if s.demand.Short(now) {
		message = setShort
	}
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, message,
		slog.String("first_shard", string(s.first)),
		slog.Int("in_use_pct", int(100*s.demand.InUse())),
	)
}

// allowLine reports whether a request may be logged now, and how many requests of its kind
// were not logged since the last one that was.
func (r *Relay) allowLine(complete bool) (skipped int64, ok bool) {
	limiter := r.otherLimiter
	if complete {
		limiter = r.completeLimiter
	}
	skipped, ok = limiter.Allow(time.Now())
	if !ok {
		r.Meter.Count("relay_lines_left_out", 1)
	}
	return skipped, ok
}

func (r *Relay) logEvents(j *job) {
	for i, e := range j.events.events {
		attrs := append([]slog.Attr{
			requestID(j.req),
			slog.Int64("at_us", e.at.Microseconds()),
		}, e.attrs...)
		if dropped := j.events.dropped; dropped > 0 && i == len(j.events.events)-1 {
			attrs = append(attrs, slog.Int("more", dropped))
		}
		r.Log.LogAttrs(context.Background(), slog.LevelInfo, e.message, attrs...)
	}
}

// outcome returns the suffix of the metric that counts a reply.
func outcome(r Reply) string {
	switch {
	case r.Status < http.StatusMultipleChoices && r.Missing > 0:
		return "partial"
	case r.Status < http.StatusMultipleChoices:
		return "success"
	case r.Reason == "":
		return "replica_failure"
	default:
		return string(r.Reason)
	}
}
