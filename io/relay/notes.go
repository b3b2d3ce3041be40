package relay

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
	"oriolebarrow/io/client"
)

const (
	// goodLines and badLines are the requests a second that are logged: complete
	// answers, and all others. A line takes up to 90 us of a small host that is idle
	// otherwise, and all lines together should stay below 3% of its work.
	goodLines = 3
	badLines  = 100
	// maxEvents of one request are logged; a query over a hundred shards may have
	// as many hedges.
	maxEvents = 12
)

// Log messages of what was decided for a request.
const (
	hedgeSent   = "relay: hedge sent"
	retrySent   = "relay: retry sent"
	againSent   = "relay: replica that refused is asked again"
	noBudget    = "relay: no extra call left"
	callFailed  = "relay: call failed"
	callRefused = "relay: call refused"
	partsOpen   = "relay: parts are open at the closing time"
	taskLost    = "relay: host brought no part"
)

// event is one decision of a request, or what led to one.
type event struct {
	at    time.Duration // since the request arrived
	what  string
	attrs []slog.Attr
}

// events are kept until the answer, since its outcome decides whether they are
// written.
type events struct {
	list []event
	more int // beyond maxEvents
}

func (v *events) add(at time.Duration, what string, attrs ...slog.Attr) {
	if len(v.list) >= maxEvents {
		v.more++
		return
	}
	v.list = append(v.list, event{at: at, what: what, attrs: attrs})
}

// note keeps a decision about a leg, with the part of the extra calls that was left.
func (j *job) note(now time.Time, l *leg, what string, replica *fleet.Replica, cause string) {
	j.events.add(now.Sub(j.start), what,
		slog.String("service", string(l.service)),
		slog.String("replica", string(replica.Instance().ID)),
		slog.String("cause", cause),
		slog.Int("attempt", l.attempts),
		slog.Int("budget_left_pct", int(100*j.relay.Extra.Fill(now, l.service))),
	)
}

// noteOpen keeps which shards were open when the query could be closed.
func (j *job) noteOpen(now time.Time) {
	missed := j.missed()
	if missed == "" {
		return
	}
	j.events.add(now.Sub(j.start), partsOpen,
		slog.String("missed", missed),
		slog.Int64("target_ms", j.route.Target.Milliseconds()),
		slog.Int64("lag_us", j.relay.lagNow().Microseconds()),
	)
}

func (j *job) noteTask(now time.Time, h core.HostID, parts int, err error) {
	j.events.add(now.Sub(j.start), taskLost,
		slog.String("peer", string(h)), slog.Int("parts", parts), slog.String("cause", errText(err)))
}

// cause says why an answer is not usable.
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

// missed names the services that brought no answer, with the reason.
func (j *job) missed() string {
	var b strings.Builder
	for i := range j.legs {
		l := &j.legs[i]
		if j.query != nil && j.query.Included(i) || j.query == nil && l.last != nil {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(l.service))
		if l.reason != "" {
			b.WriteString("=" + string(l.reason))
		}
		for _, r := range l.tried {
			b.WriteString("/" + string(r.Instance().ID))
		}
	}
	return b.String()
}

// Reject notes a request that is answered without any work, and returns the answer.
func (r *Relay) Reject(req Request, reply Reply) Reply {
	r.Meter.Count("relay_answers_"+outcome(reply), 1)
	skipped, ok := r.allow(false)
	if !ok {
		return reply
	}
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: answered",
		slog.String("request", string(req.ID)),
		slog.Int("status", reply.Status),
		slog.String("reason", string(reply.Reason)),
		slog.String("host", req.Host),
		slog.Int64("took_us", time.Since(req.Arrived).Microseconds()),
		slog.Int64("left_out", skipped),
	)
	return reply
}

// write logs the answer to a request and what was decided for it.
func (r *Relay) write(j *job, reply Reply) {
	took := time.Since(j.start)
	r.Meter.Count("relay_answers_"+outcome(reply), 1)
	r.Meter.Observe("relay_answer_us", took.Microseconds())
	skipped, ok := r.allow(reply.Status < http.StatusInternalServerError && reply.Missing == 0)
	if !ok {
		return
	}
	r.writeEvents(j)
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: answered",
		slog.String("request", string(j.req.ID)),
		slog.String("route", j.route.Name),
		slog.Uint64("version", j.table.Version()),
		slog.Int("status", reply.Status),
		slog.String("reason", string(reply.Reason)),
		slog.Int("missing", reply.Missing),
		slog.Int("calls", j.sent),
		slog.Int("extra", j.extra),
		slog.Int("tasks", j.delegated),
		slog.Int64("left_ms", j.req.Left.Milliseconds()),
		slog.Int64("took_us", took.Microseconds()),
		slog.String("missed", j.missed()),
		slog.Int64("left_out", skipped),
	)
}

// writeTask logs a part of another host's query.
func (r *Relay) writeTask(j *job) {
	missed := j.missed()
	skipped, ok := r.allow(missed == "")
	if !ok {
		return
	}
	r.writeEvents(j)
	r.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay: task ended",
		slog.String("request", string(j.req.ID)),
		slog.String("route", j.route.Name),
		slog.Int("shards", len(j.legs)),
		slog.Int("calls", j.sent),
		slog.Int("extra", j.extra),
		slog.Int64("took_us", time.Since(j.start).Microseconds()),
		slog.String("missed", missed),
		slog.Int64("left_out", skipped),
	)
}

// allow reports whether a request may be logged now, and how many like it were not.
func (r *Relay) allow(good bool) (skipped int64, ok bool) {
	lines := r.bad
	if good {
		lines = r.good
	}
	skipped, ok = lines.Allow(time.Now())
	if !ok {
		r.Meter.Count("relay_lines_left_out", 1)
	}
	return skipped, ok
}

func (r *Relay) writeEvents(j *job) {
	for i, v := range j.events.list {
		attrs := append([]slog.Attr{
			slog.String("request", string(j.req.ID)),
			slog.Int64("at_us", v.at.Microseconds()),
		}, v.attrs...)
		if more := j.events.more; more > 0 && i == len(j.events.list)-1 {
			attrs = append(attrs, slog.Int("more", more))
		}
		r.Log.LogAttrs(context.Background(), slog.LevelInfo, v.what, attrs...)
	}
}

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
