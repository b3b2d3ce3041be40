package edge

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// acceptAfterLeave is how long a leaving host still accepts connections: the
	// load balancer removes a host after two failed checks, one per second.
	acceptAfterLeave = 2500 * time.Millisecond
	// graceMargin is how long before the end of the grace period the connections of
	// running requests are closed. answerMargin is how long before that these
	// requests are answered.
	graceMargin  = 700 * time.Millisecond
	answerMargin = 300 * time.Millisecond
)

// drainPlan holds the times of a drain, from its beginning.
type drainPlan struct {
	accept time.Duration // until then, connections are accepted
	answer time.Duration // then, requests that still run are answered
	close  time.Duration // then, connections are closed
}

// planDrain divides a grace period. The margins of a short one are smaller, so that the
// requests that still run are always answered before their connections are closed.
func planDrain(grace time.Duration) drainPlan {
	end := grace - min(graceMargin, grace/4)
	return drainPlan{
		accept: min(acceptAfterLeave, grace/2),
		answer: end - min(answerMargin, grace/8),
		close:  end,
	}
}

// drain stops accepting callers and waits for running requests and tasks, within
// the grace period.
func (e *Edge) drain(server *http.Server, callers net.Listener) {
	begin := time.Now()
	e.leaving.Store(true)
	e.front.DisableKeepAlive()
	e.members.Leave()
	e.log.Info("node: host leaves", "host", e.opts.Host)
	plan := planDrain(time.Duration(e.grace.Load()))
	<-time.After(plan.accept)
	ctx, cancel := context.WithTimeout(context.Background(), plan.close-time.Since(begin))
	defer cancel()
	finish := time.AfterFunc(plan.answer-time.Since(begin), func() {
		e.log.Warn("node: requests that still run are given up")
		e.relay.Finish()
	})
	defer finish.Stop()
	if err := e.front.Shutdown(ctx, server, callers); err != nil {
		e.log.Warn("node: requests still run at the end of the drain", "cause", err)
		_ = server.Close() // closes the connections of these requests, as the warning reports
	}
	if open := e.taskServer.Drain(ctx); open > 0 {
		e.log.Warn("node: tasks of other hosts still run at the end of the drain", "tasks", open)
	}
}
