package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
	"oriolebarrow/core/gather"
	"oriolebarrow/core/room"
	"oriolebarrow/core/route"
	"oriolebarrow/io/client"
)

const (
	// unknownUsual and unknownHedge divide a route's target for the usual time
	// of a call and its hedge delay while nothing is learnt.
	unknownUsual = 5
	unknownHedge = 3
	// hedgeFloor keeps hedges from following the first call at once.
	hedgeFloor = 3 * time.Millisecond
	// hedgeFactor times the median, a call is late: service times vary by a
	// third, so few ordinary calls take so long. The tail alone would learn the
	// time of slow replicas.
	hedgeFactor = 2
	// lowFill of the budget of extra calls stretches the hedge delay, up to
	// maxStretch times when it is empty.
	lowFill    = 0.5
	maxStretch = 3
	// maxConnections of one host to one replica: a replica runs few calls at
	// once, and a connection too many costs memory and set-up time.
	maxConnections = 6
	// closeMargin before the target a query is answered with what is there: the
	// way from and to the caller, a few milliseconds each, and the sending.
	closeMargin = 11 * time.Millisecond
	// connectMargin is added for a caller that has just connected: one more way
	// there and back.
	connectMargin = 6 * time.Millisecond
	// lagRise and lagFall are the weights of a new lag that is above or below the
	// estimate.
	lagRise = 0.5
	lagFall = 0.05
	// answerMargin before the deadline the final answer is sent.
	answerMargin = 10 * time.Millisecond
	// lingerAfter is how long an abandoned call may still bring its connection
	// back; pauses of a replica are shorter.
	lingerAfter = 300 * time.Millisecond
	// busyWait is the delay before a leg that found all connections in use looks
	// again.
	busyWait = 4 * time.Millisecond
	// maxAgain calls go to replicas that refused before, after againAfter and
	// twice that: a few slots of a busy replica are free again by then.
	maxAgain   = 2
	againAfter = 3 * time.Millisecond
	never      = 365 * 24 * time.Hour
)

// leg is the part of a request that one service answers.
type leg struct {
	index    int
	service  core.ServiceName
	tried    []*fleet.Replica
	attempts int
	again    int       // calls to replicas that had refused
	againAt  time.Time // zero unless such a call is due
	running  int
	hedgeAt  time.Time // zero when no hedge is due
	retryAt  time.Time // zero unless all connections were in use
	settled  bool
	ran      bool // a call ended and may have run
	refused  bool // a replica had no room, or no extra call was left
	// delegated is set when another host calls the replicas.
	delegated bool
	last      *client.Reply
	reason    core.Reason
}

// mayRun reports whether a replica may have run the request, or may still.
func (l *leg) mayRun() bool { return l.ran || l.running > 0 }

// end is the end of one call.
type end struct {
	leg     *leg
	replica *fleet.Replica
	result  client.Result
	task    *taskEvent // set instead for an event of a delegated part
}

// job is one request while it is served, by one goroutine.
type job struct {
	relay     *Relay
	table     *route.Table
	route     *core.Route
	req       Request
	start     time.Time
	deadline  time.Time
	legs      []leg
	calls     []*client.Call
	results   chan end
	usual     time.Duration
	hedge     time.Duration
	sent      int
	extra     int
	timer     *time.Timer
	query     *gather.Query
	tasks     chan taskEvent
	delegated int  // parts that other hosts carry out
	closing   bool // the time to answer with what is there has come
	room      *room.Room
	told      want // of the hosts that carry out parts
	events    events
}

func newJob(r *Relay, t *route.Table, rt *core.Route, req Request) *job {
	j := &job{relay: r, table: t, route: rt, req: req, start: req.Arrived}
	left := rt.Timeout
	if req.Left > 0 && (left <= 0 || req.Left < left) {
		left = req.Left
	}
	if left <= 0 {
		left = never
	}
	j.deadline = req.Arrived.Add(left)
	j.usual, j.hedge = r.timesOf(rt)
	return j
}

func (j *job) setLegs(services []core.ServiceName) {
	j.legs = make([]leg, len(services))
	j.results = make(chan end, len(services)*(max(1, j.route.Attempts)+maxAgain))
	for i, s := range services {
		j.legs[i] = leg{index: i, service: s}
	}
}

// attempt sends the leg's next call, if there is a replica for it. why is noted of
// a call beyond the first.
func (j *job) attempt(now time.Time, l *leg, why string) bool {
	l.retryAt = time.Time{}
	replica, busy := j.relay.Fleet.Pick(now, l.service, j.usual, l.tried)
	if replica == nil {
		if busy {
			l.retryAt = now.Add(busyWait)
		}
		return busy
	}
	if l.attempts == 0 {
		j.relay.Extra.Request(now, l.service)
	} else {
		if !j.relay.Extra.Take(now, l.service) {
			l.reason, l.refused = core.ReasonBudget, true
			j.note(now, l, noBudget, replica, "")
			return false
		}
		j.extra++
		j.note(now, l, why, replica, "")
	}
	j.send(now, l, replica)
	return true
}

func (j *job) send(now time.Time, l *leg, replica *fleet.Replica) {
	l.attempts++
	l.running++
	if !slices.Contains(l.tried, replica) {
		l.tried = append(l.tried, replica)
	}
	l.hedgeAt = now.Add(j.hedgeDelay(now, l))
	j.sent++
	in := replica.Instance()
	j.relay.Fleet.Started(now, replica)
	bodyBytes := 0
	if j.query != nil {
		bodyBytes = j.relay.partBytes(j.route)
	}
	call := j.relay.Client.Send(client.Target{
		ID:          in.ID,
		Address:     in.Address,
		Connections: j.relay.Share(j.table, l.service).Calls,
	}, client.Request{
		ID:     j.req.ID,
		Method: j.req.Method,
		URI:    j.req.URI,
		Host:   j.req.Host,
		Fields: j.req.Fields,
		Body:   j.req.Body,
		Left:   j.deadline.Sub(now),
		Fresh:  !j.route.Idempotent,

		BodyBytes: bodyBytes,
	}, func(res client.Result) { j.ended(l, replica, res) })
	j.calls = append(j.calls, call)
}

// ended notes the end of a call. It runs on the connection's goroutine.
func (j *job) ended(l *leg, replica *fleet.Replica, res client.Result) {
	r := j.relay
	good := res.Err == nil && res.Reply.Status < http.StatusInternalServerError
	if good {
		r.observe(j.route, res.Took)
	}
	e := fleet.End{
		Took:     res.Took,
		Expected: j.usual,
		Failed:   !good && !res.NotRun,
		Refused:  res.NotRun,
		Silent:   res.Silent && res.Err != nil,
		Moved:    res.Reply.Moved,
		Load:     res.Reply.Load,
	}
	if r.Fleet.Ended(time.Now(), replica, e) {
		in := replica.Instance()
		r.Client.Reset(in.ID)
		r.Log.Warn("relay: replica ejected", "replica", in.ID, "service", in.Service, "request", j.req.ID, "cause", errText(res.Err))
	}
	j.results <- end{leg: l, replica: replica, result: res}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// hedgeDelay returns when the next call of a leg may start, and grows while
// little of the budget is left.
func (j *job) hedgeDelay(now time.Time, l *leg) time.Duration {
	d := j.hedge
	if fill := j.relay.Extra.Fill(now, l.service); fill < lowFill {
		d = time.Duration(float64(d) * (1 + (maxStretch-1)*(1-fill/lowFill)))
	}
	return d
}

// timeouts starts the retries and hedges that are due.
func (j *job) timeouts(now time.Time) {
	for i := range j.legs {
		l := &j.legs[i]
		if l.settled {
			continue
		}
		if !l.retryAt.IsZero() && !now.Before(l.retryAt) {
			if !j.attempt(now, l, retrySent) && l.running == 0 {
				j.settle(l)
			}
		}
		if !l.againAt.IsZero() && !now.Before(l.againAt) {
			l.againAt = time.Time{}
			if !j.tryAgain(now, l) && l.running == 0 {
				j.settle(l)
			}
		}
		if !l.hedgeAt.IsZero() && !now.Before(l.hedgeAt) {
			l.hedgeAt = time.Time{}
			if l.running > 0 && j.mayRepeat(l) {
				j.attempt(now, l, hedgeSent)
				l.retryAt = time.Time{}
			}
		}
	}
}

// tryAgain sends the request to a replica that refused it: one that sheds a part of
// its requests may take the next one, and the route limits the replicas, not the
// calls.
func (j *job) tryAgain(now time.Time, l *leg) bool {
	replica := j.relay.Fleet.Again(now, j.usual, l.tried)
	if replica == nil {
		return false
	}
	if !j.relay.Extra.Take(now, l.service) {
		j.note(now, l, noBudget, replica, "")
		return false
	}
	j.extra++
	j.note(now, l, againSent, replica, "")
	j.send(now, l, replica)
	return true
}

func (j *job) mayRepeat(l *leg) bool {
	return j.route.Idempotent && l.attempts < j.route.Attempts
}

// settle says that no answer of a leg is awaited any more.
func (j *job) settle(l *leg) {
	l.settled = true
	if j.query != nil {
		j.query.Lose(l.index)
	}
}

// failed handles a call that brought no usable answer: the leg tries another
// replica, or is settled when none is running.
func (j *job) failed(now time.Time, e end) {
	l, res := e.leg, e.result
	l.reason = core.ReasonBackendError
	what := callFailed
	if res.NotRun {
		l.reason, what = core.ReasonBusy, callRefused
		l.refused = l.refused || res.Err == nil && !res.Reply.Moved
	} else {
		l.ran = true
	}
	j.note(now, l, what, e.replica, cause(res))
	repeat := l.attempts < j.route.Attempts && (j.route.Idempotent || res.NotRun)
	if repeat && j.attempt(now, l, retrySent) {
		return
	}
	if res.NotRun && l.again < maxAgain && len(l.tried) > 0 && !l.ran {
		l.againAt = now.Add(againAfter << l.again)
		l.again++
		return
	}
	if l.running == 0 && l.againAt.IsZero() {
		j.settle(l)
	}
}

// wake returns the earliest time at which something is due.
func (j *job) wake(last time.Time) time.Time {
	for i := range j.legs {
		l := &j.legs[i]
		if l.settled {
			continue
		}
		if !l.hedgeAt.IsZero() && l.hedgeAt.Before(last) {
			last = l.hedgeAt
		}
		if !l.retryAt.IsZero() && l.retryAt.Before(last) {
			last = l.retryAt
		}
		if !l.againAt.IsZero() && l.againAt.Before(last) {
			last = l.againAt
		}
	}
	return last
}

// wait waits for the end of a call, the given time, or until requests have to end. ok is
// false when the caller left.
func (j *job) wait(ctx context.Context, until time.Time) (e end, got, ok bool) {
	select {
	case e := <-j.results:
		return e, true, true
	case t := <-j.tasks:
		return end{task: &t}, true, true
	default:
	}
	d := time.Until(until)
	if d <= 0 {
		return end{}, false, ctx.Err() == nil
	}
	if j.timer == nil {
		j.timer = time.NewTimer(d)
	} else {
		j.timer.Reset(d)
	}
	select {
	case e := <-j.results:
		return e, true, true
	case t := <-j.tasks:
		return end{task: &t}, true, true
	case <-j.timer.C:
		return end{}, false, true
	case <-j.relay.finish:
		return end{}, false, true
	case <-ctx.Done():
		return end{}, false, false
	}
}

// abandon leaves the calls that still run.
func (j *job) abandon() {
	if j.timer != nil {
		j.timer.Stop()
	}
	for _, c := range j.calls {
		c.Abandon(lingerAfter)
	}
}
