package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/cost"
	"oriolebarrow/core/gather"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/core/shed"
	"oriolebarrow/io/client"
)

const (
	// lowBudgetFill is the fill of the extra-call budget below which the hedge delay
	// grows, up to maxDelayFactor times when the budget is empty.
	lowBudgetFill  = 0.5
	maxDelayFactor = 3
	// startFactor times the expected time of a call is how long before its closing time a
	// query's call must start to be in time: service times vary by a third.
	startFactor = 1.5
	// maxConnections bounds the connections of this host to one replica: a replica
	// runs few calls at once, and each further connection costs memory and set-up
	// time.
	maxConnections = 6
	// closeMargin is how long before the target a query closes. It covers the
	// network delay from and to the caller, a few milliseconds each, and the
	// sending of the answer.
	closeMargin = 11 * time.Millisecond
	// connectMargin is added for a caller that has just connected, whose connection
	// took one more round trip.
	connectMargin = 6 * time.Millisecond
	// lagRise and lagFall are the weights of a new lag that is above or below the
	// estimate.
	lagRise = 0.5
	lagFall = 0.05
	// answerMargin is how long before the deadline the final answer is sent.
	answerMargin = 10 * time.Millisecond
	// abandonLinger is how long an abandoned call may still run: if it ends within
	// this time, other calls can use its connection. Pauses of a replica are shorter.
	abandonLinger = 300 * time.Millisecond
	// maxRefusedRetries bounds the further calls of a refused subrequest to replicas
	// that were tried before. The first starts after refusedRetryDelay and the second
	// after twice that: a busy replica has free slots again by then.
	maxRefusedRetries = 2
	refusedRetryDelay = 3 * time.Millisecond
	// noDeadline is the remaining time of a request without a timeout.
	noDeadline = 365 * 24 * time.Hour
)

// subrequest is the part of a request that one service answers: one shard of a
// query, or a whole request. It takes one or more calls to replicas.
type subrequest struct {
	index          int
	service        core.ServiceName
	tried          []*picker.Replica
	attempts       int
	refusedRetries int       // see retryRefused
	refusedRetryAt time.Time // zero unless such a call is scheduled
	running        int       // calls that have not ended
	hedgeAt        time.Time // zero unless a hedge is scheduled
	waiting        bool      // for a free slot, or about to be resumed with one
	turnAt         time.Time // zero unless it waits for a turn at a cold replica
	settled        bool      // no further answer is awaited
	ran            bool      // a call ended and may have run
	overloaded     bool      // a replica was at capacity, or the extra-call budget was empty
	// delegated is set when another host calls the replicas.
	delegated bool
	notRun    bool          // the delegate states that no replica has run the request nor will
	last      *client.Reply // last answer of a replica; nil in a query
	reason    core.Reason   // cause of the last failure
}

// event is what a job waits for: the end of a call, a free slot for a subrequest, or an event
// of a delegated task.
type event struct {
	sub     *subrequest
	replica *picker.Replica
	result  client.Result
	call    int        // index in job.calls
	slot    bool       // a replica has a free slot for sub; replica and result are not set
	task    *taskEvent // if not nil, the only field that is set
}

// sentCall is a call of a subrequest.
type sentCall struct {
	*client.Call
	sub   *subrequest
	ended bool // its end has been handled
}

// job is the state of one request while one goroutine serves it.
type job struct {
	relay        *Relay
	table        *route.Table
	route        *core.Route
	req          Request
	start        time.Time
	deadline     time.Time
	subs         []subrequest
	calls        []sentCall
	results      chan *event
	class        cost.Class
	estimate     cost.Estimate // of each call; hedges start when it is late
	callCount    int
	extraCalls   int // hedges and retries among callCount
	slotWaits    int // calls that had to wait for a free slot
	timer        *time.Timer
	query        *gather.Query // nil for a request that one replica answers
	tasks        chan taskEvent
	taskCount    int // delegated tasks
	tasksOpen    int // those whose end has not been handled
	cancelTasks  context.CancelFunc
	pastClose    bool      // the closing time has passed
	set          *shardSet // nil for a request that one replica answers
	queries      int       // see core.Task.Queries
	taskOverload overload  // reported by the delegates
	events       eventLog
	rejection    *shed.Decision
	latestStart  time.Time // a call that starts later is probably not in time
	lease        core.Lease
	head         []byte // of all calls; nil unless the head is large
}

func newJob(r *Relay, t *route.Table, rt *core.Route, req Request) *job {
	j := &job{relay: r, table: t, route: rt, req: req, start: req.Arrived}
	remaining := rt.Timeout
	if req.Remaining > 0 && (remaining <= 0 || req.Remaining < remaining) {
		remaining = req.Remaining
	}
	if remaining <= 0 {
		remaining = noDeadline
	}
	j.deadline = req.Arrived.Add(remaining)
	j.class = cost.ClassOf(rt.Name, req.Method, req.URI, max(len(req.Body), req.BodyBytes))
	j.estimate = r.costs.Estimate(req.Arrived, j.class, rt.Target)
	return j
}

// setServices creates one subrequest for each service.
func (j *job) setServices(services []core.ServiceName) {
	j.subs = make([]subrequest, len(services))
	// Besides the ends of its calls, each subrequest gets one free slot at a time.
	j.results = make(chan *event, len(services)*(max(1, j.route.Attempts)+maxRefusedRetries+1))
	for i, s := range services {
		j.subs[i] = subrequest{index: i, service: s}
	}
}

// attempt starts the next call of a subrequest. It returns false if no replica is
// left to try or the extra-call budget is empty. If no replica has a free slot, the
// subrequest joins the relay's queue, and attempt returns true. A call beyond the first is
// logged with message.
func (j *job) attempt(now time.Time, sub *subrequest, message string) bool {
	paid := false // whether an extra call was taken from the budget
	for {
		replica, busy := j.relay.Replicas.Pick(now, sub.service, j.estimate.Usual, sub.tried)
		if replica == nil {
			if busy {
				j.awaitSlot(now, sub)
			}
			return busy || j.awaitTurn(now, sub)
		}
		if sub.attempts > 0 && !paid && !j.relay.Extra.Take(now, sub.service) {
			// A retry that is missing after a failure shows no overload: with fewer queries,
			// the same share would fail.
			sub.reason, sub.overloaded = core.ReasonBudget, sub.overloaded || !sub.ran
			j.addEvent(now, sub, noBudget, replica, "")
			return false
		}
		paid = true
		if !j.relay.Replicas.StartCall(now, replica, j.estimate.Usual) {
			continue // another job has just used the last slot
		}
		if sub.attempts > 0 {
			j.extraCalls++
			j.addEvent(now, sub, message, replica, "")
		}
		j.send(now, sub, replica)
		return true
	}
}

// setLatestStart sets when calls must start whose answers are needed by a time.
func (j *job) setLatestStart(neededAt time.Time) {
	j.latestStart = neededAt.Add(-time.Duration(startFactor * float64(j.estimate.Usual)))
}

// awaitSlot adds a subrequest to the relay's queue.
func (j *job) awaitSlot(now time.Time, sub *subrequest) {
	if sub.waiting {
		return
	}
	j.relay.Meter.Count("relay_slot_waits", 1)
	sub.waiting = j.join(now, sub)
	if !sub.waiting {
		return
	}
	j.slotWaits++
	// Since Pick, the last running call may have ended, or the data centre may have been
	// evacuated; then no end of a call offers a slot.
	if replica, busy := j.relay.Replicas.Pick(now, sub.service, j.estimate.Usual, sub.tried); replica != nil || !busy {
		j.relay.offerSlot(now, sub.service)
	}
}

// stopWaiting removes a subrequest from the relay's queue. If it has just been given a slot,
// it stays marked as waiting until resume handles the event and passes the slot on.
func (j *job) stopWaiting(sub *subrequest) {
	if sub.waiting && j.relay.waiting.Remove(sub.service, waiter{j, sub}) {
		sub.waiting = false
	}
}

// resume starts the call of a subrequest that has been given a free slot.
func (j *job) resume(now time.Time, sub *subrequest) {
	sub.waiting = false
	if !sub.settled && !j.attempt(now, sub, retrySent) && sub.running == 0 {
		j.settleUnavailable(sub)
	}
	if !sub.waiting {
		j.relay.offerSlot(now, sub.service) // the call may have used another slot, or none
	}
}

// send sends a call that the table of replicas has recorded as started.
func (j *job) send(now time.Time, sub *subrequest, replica *picker.Replica) {
	earlier := j.earlierCalls(sub)
	sub.attempts++
	sub.running++
	if !slices.Contains(sub.tried, replica) {
		sub.tried = append(sub.tried, replica)
	}
	sub.hedgeAt = now.Add(j.hedgeDelay(now, sub))
	j.callCount++
	inst := replica.Instance()
	index := len(j.calls)
	bodyBytes := 0
	if j.query != nil {
		bodyBytes = j.relay.partLimit(j.route)
	}
	j.lease.Hold() // until callEnded
	call := j.relay.Client.Send(client.Target{
		ID:          inst.ID,
		Address:     inst.Address,
		Connections: j.relay.HostLimits(j.table, sub.service).Calls,
	}, client.Request{
		ID:             j.req.ID,
		Method:         j.req.Method,
		URI:            j.req.URI,
		Host:           j.req.Host,
		Header:         j.req.Header,
		Head:           j.head,
		Body:           j.req.Body,
		Remaining:      j.deadline.Sub(now),
		AvoidStaleConn: !j.route.Idempotent,
		Earlier:        earlier,

		BodyBytes: bodyBytes,
		SendBy:    j.sendBy(now, replica),
	}, func(res client.Result) { j.callEnded(sub, replica, index, res) })
	j.calls = append(j.calls, sentCall{Call: call, sub: sub})
}

// earlierCalls returns the calls of a subrequest so far.
func (j *job) earlierCalls(sub *subrequest) []*client.Call {
	if sub.attempts == 0 {
		return nil
	}
	calls := make([]*client.Call, 0, sub.attempts)
	for _, c := range j.calls {
		if c.sub == sub {
			calls = append(calls, c.Call)
		}
	}
	return calls
}

// callEnded records the end of a call and passes it to the job's goroutine. It runs
// on the goroutine of the connection.
func (j *job) callEnded(sub *subrequest, replica *picker.Replica, index int, res client.Result) {
	r := j.relay
	succeeded := res.Err == nil && res.Reply.Status < http.StatusInternalServerError
	if succeeded {
		j.observeCost(time.Now(), replica, res)
	}
	e := picker.CallEnd{
		Took:          res.Took,
		Expected:      j.estimate.Usual,
		Failed:        !succeeded && !res.NotRun,
		Refused:       res.NotRun,
		Silent:        res.NoResponse && res.Err != nil,
		AddressReused: res.Reply.AddressReused,
		Load:          res.Reply.Load,
	}
	r.Note(time.Now(), replica, res)
	if r.Replicas.Ended(time.Now(), replica, e) {
		inst := replica.Instance()
		r.Client.CloseIdle(inst.ID)
		r.Log.Warn("relay: replica ejected", "replica", inst.ID, "service", inst.Service, "request", j.req.ID, "cause", errText(res.Err))
	}
	if load := res.Reply.Load; load != nil && j.set != nil {
		now := time.Now()
		others := load.Running + load.Waiting
		if !res.NotRun {
			others-- // the load includes the call itself
		}
		if j.set.demand.Observe(now, max(0, others), load.Slots) {
			r.logDemand(now, j.set)
		}
	}
	j.results <- &event{sub: sub, replica: replica, result: res, call: index}
	j.lease.Release()
	r.offerSlot(time.Now(), sub.service)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// hedgeDelay returns the delay after which a subrequest may be hedged. The delay
// grows while the extra-call budget is low.
func (j *job) hedgeDelay(now time.Time, sub *subrequest) time.Duration {
	d := j.estimate.Late
	if fill := j.relay.Extra.Fill(now, sub.service); fill < lowBudgetFill {
		d = time.Duration(float64(d) * (1 + (maxDelayFactor-1)*(1-fill/lowBudgetFill)))
	}
	return d
}

// startDueCalls starts the retries and hedges that are due.
func (j *job) startDueCalls(now time.Time) {
	for i := range j.subs {
		sub := &j.subs[i]
		if sub.settled {
			continue
		}
		j.takeTurn(now, sub)
		if !sub.refusedRetryAt.IsZero() && !now.Before(sub.refusedRetryAt) {
			sub.refusedRetryAt = time.Time{}
			if !j.retryRefused(now, sub) && sub.running == 0 {
				j.settle(sub)
			}
		}
		if !sub.hedgeAt.IsZero() && !now.Before(sub.hedgeAt) {
			sub.hedgeAt = time.Time{}
			if sub.running > 0 && !sub.waiting && j.mayHedge(sub) {
				j.attempt(now, sub, hedgeSent)
				j.stopWaiting(sub) // a hedge that has to wait brings nothing
			}
		}
	}
}

// retryRefused sends a refused request again to one of the replicas that were tried,
// since a replica that sheds a part of its requests may accept the next one. These
// calls may exceed the attempts of the route, which limit the number of replicas to
// try.
func (j *job) retryRefused(now time.Time, sub *subrequest) bool {
	replica := j.relay.Replicas.PickTried(now, j.estimate.Usual, sub.tried)
	if replica == nil {
		return false
	}
	if !j.relay.Extra.Take(now, sub.service) {
		j.addEvent(now, sub, noBudget, replica, "")
		return false
	}
	if !j.relay.Replicas.StartCall(now, replica, j.estimate.Usual) {
		return false
	}
	j.extraCalls++
	j.addEvent(now, sub, refusedRetrySent, replica, "")
	j.send(now, sub, replica)
	return true
}

func (j *job) mayHedge(sub *subrequest) bool {
	return j.route.Idempotent && sub.attempts < j.route.Attempts
}

// settle ends the wait for an answer to a subrequest.
func (j *job) settle(sub *subrequest) {
	sub.settled = true
	j.stopWaiting(sub)
	j.leaveTurn(sub)
	if j.query != nil {
		j.query.MarkLost(sub.index)
	}
}

// handleFailure handles a call without a usable answer: it retries the subrequest, now
// or later, or settles it if no other call is running or due.
func (j *job) handleFailure(now time.Time, e event) {
	sub, res := e.sub, e.result
	sub.reason = core.ReasonBackendError
	message := callFailed
	if res.NotRun {
		sub.reason, message = core.ReasonBusy, callRefused
		sub.overloaded = sub.overloaded || res.Err == nil && !res.Reply.AddressReused
	}
	j.addCallEvent(now, e, message)
	retry := sub.attempts < j.route.Attempts && (j.route.Idempotent || res.NotRun)
	if retry && j.attempt(now, sub, retrySent) {
		return
	}
	again := res.NotRun && sub.refusedRetries < maxRefusedRetries && len(sub.tried) > 0 && !sub.ran
	if again && j.relay.Replicas.Available(now, sub.service) {
		sub.refusedRetryAt = now.Add(refusedRetryDelay << sub.refusedRetries)
		sub.refusedRetries++
		return
	}
	if sub.running == 0 && sub.refusedRetryAt.IsZero() {
		j.settle(sub)
	}
}

// wakeAt returns the earliest time at which a hedge or retry is due, or last if that
// is earlier.
func (j *job) wakeAt(last time.Time) time.Time {
	for i := range j.subs {
		sub := &j.subs[i]
		if sub.settled {
			continue
		}
		if !sub.hedgeAt.IsZero() && sub.hedgeAt.Before(last) {
			last = sub.hedgeAt
		}
		if !sub.refusedRetryAt.IsZero() && sub.refusedRetryAt.Before(last) {
			last = sub.refusedRetryAt
		}
		if !sub.turnAt.IsZero() && sub.turnAt.Before(last) {
			last = sub.turnAt
		}
	}
	return last
}

// wait waits for an event, the given time, or a call of Finish. got is true if an
// event is returned, ok is false if ctx ended.
func (j *job) wait(ctx context.Context, until time.Time) (e event, got, ok bool) {
	select {
	case e := <-j.results:
		return *e, true, true
	case t := <-j.tasks:
		return event{task: &t}, true, true
	default:
	}
	d := time.Until(until)
	if d <= 0 {
		return event{}, false, ctx.Err() == nil
	}
	if j.timer == nil {
		j.timer = time.NewTimer(d)
	} else {
		j.timer.Reset(d)
	}
	select {
	case e := <-j.results:
		return *e, true, true
	case t := <-j.tasks:
		return event{task: &t}, true, true
	case <-j.timer.C:
		return event{}, false, true
	case <-j.relay.finish:
		return event{}, false, true
	case <-ctx.Done():
		return event{}, false, false
	}
}

// abandon stops waiting for the calls that still run.
func (j *job) abandon() {
	if j.timer != nil {
		j.timer.Stop()
	}
	for i := range j.subs {
		sub := &j.subs[i]
		j.stopWaiting(sub)
		j.leaveTurn(sub)
		if sub.waiting {
			j.relay.offerSlot(time.Now(), sub.service) // its slot, which it doesn't use
		}
	}
	for _, c := range j.calls {
		c.Abandon(abandonLinger)
	}
}
