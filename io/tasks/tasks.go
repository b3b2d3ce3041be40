// Package tasks delegates parts of queries, called tasks, to other hosts over the
// links of package peer, and serves the tasks that other hosts send.
//
// A task consists of a plan, which is JSON, and of the head and the body of the caller's
// request. All tasks of a query share the latter two, which are sent as they are.
//
// # Usage
//
//	c := tasks.New(tasks.Deps{Self: self, Views: detector, Reachability: detector, Near: replicas.AvailableIn, Peers: client, Log: log})
//	err := c.Run(ctx, host, task, sink)
//
//	server, err := peer.NewServer(tasks.NewHandler(relay, log))
package tasks

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/telem"
	"oriolebarrow/io/wire"
)

var errUnacknowledged = errors.New("tasks: task was not acknowledged in time")

// Peers sends tasks to other hosts, as peer.Client does.
type Peers interface {
	// Execute sends a task to a host. It calls sink with each result and returns when the
	// task has ended, ctx has, or the host is lost. It calls unacknowledged if the host does
	// not acknowledge the task in time, and keeps waiting.
	Execute(ctx context.Context, h core.Host, t peer.Task, unacknowledged func(), sink func(result []byte)) error
}

// Deps holds the dependencies of a Client.
type Deps struct {
	Self  core.Host
	Views core.Views
	// Reachability returns all running hosts, including those that are not ready yet.
	Reachability core.Reachability
	// Near reports whether a service has a usable replica in a data centre.
	Near  func(core.ServiceName, core.DataCentre) bool
	Peers Peers
	Log   *slog.Logger
}

// Client sends tasks to other hosts. An assigner caches results for one view, so
// there is one for each kind of view.
type Client struct {
	Deps
	ready   *assign.Assigner // for the hosts that are ready
	running *assign.Assigner // for all running hosts
}

var (
	_ core.TaskClient    = (*Client)(nil)
	_ core.TaskPreviewer = (*Client)(nil)
)

// New returns a Client with the given dependencies.
func New(d Deps) *Client {
	return &Client{Deps: d, ready: assign.New(d.Self), running: assign.New(d.Self)}
}

// Plan implements core.TaskClient. While fewer than half of the running hosts are ready,
// tasks also go to hosts that are still starting. Otherwise the few ready hosts would
// get all tasks, or this host would call every replica itself. A host that cannot serve
// a task yet refuses it at once.
func (c *Client) Plan(now time.Time, services []core.ServiceName, divide bool) []core.TaskBatch {
	assigner, view := c.assigner(now)
	return assigner.Plan(view, services, divide, c.Near)
}

// Preview implements core.TaskPreviewer.
func (c *Client) Preview(now time.Time, services []core.ServiceName, divide bool) []core.TaskBatch {
	assigner, view := c.assigner(now)
	return assigner.Copy().Plan(view, services, divide, c.Near)
}

// assigner returns the assigner to use and its view.
func (c *Client) assigner(now time.Time) (*assign.Assigner, core.View) {
	ready, running := c.Views.View(now), c.Reachability.Reachable(now)
	if 2*len(ready.Hosts()) < len(running.Hosts()) {
		return c.running, running
	}
	return c.ready, ready
}

// Run implements core.TaskClient. If the host fails, refuses the task or doesn't
// acknowledge it in time, following plans avoid the host until the failure detector
// hears from it. A host that refuses the task for lack of memory is not avoided: it may have
// room for the next one, and the others would get what it refuses.
func (c *Client) Run(ctx context.Context, h core.Host, t core.Task, sink func(core.TaskResult)) error {
	plan, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "tasks: encode task")
	}
	task := peer.Task{Plan: plan, Head: t.Request.EncodeHead(), Body: t.Request.Body, Deadline: t.Deadline}
	// The host may be busy and may already have called replicas, so the task
	// continues and only the following plans avoid the host.
	unacknowledged := func() { c.markDown(h, t.Request.ID, errUnacknowledged) }
	var decodeErr error
	err = c.Peers.Execute(ctx, h, task, unacknowledged, func(raw []byte) {
		var result core.TaskResult
		if err := json.Unmarshal(raw, &result); err != nil {
			decodeErr = errors.Wrapf(err, "tasks: decode a task result of host %s", h.ID())
			return
		}
		sink(result)
	})
	if err != nil && ctx.Err() == nil && !outOfMemory(err) {
		c.markDown(h, t.Request.ID, err)
	}
	if err != nil {
		return err
	}
	return decodeErr
}

// outOfMemory reports whether a host refused a task for lack of memory.
func outOfMemory(err error) bool {
	var call *core.CallError
	return errors.As(err, &call) && call.NotRun && call.Reason == core.ReasonOverload
}

// markDown makes following plans avoid a host and logs the cause.
func (c *Client) markDown(h core.Host, id core.RequestID, cause error) {
	c.Views.MarkDown(time.Now(), h.ID())
	c.Log.Warn("relay: task failed or was not acknowledged", "peer", h.ID(), "request", telem.Clip(string(id)), "cause", cause)
}

// Owned returns the services that this host calls for queries over all of the given
// services, and whether other hosts call the rest. Hosts that are not ready yet are
// included: otherwise the few ready hosts would own all services while many start.
func (c *Client) Owned(now time.Time, services []core.ServiceName) (owned []core.ServiceName, divided bool) {
	return c.running.Owned(c.Reachability.Reachable(now), services)
}

// Membership returns the version of the view of the running hosts, on which the result of
// Owned depends, and the number of data centres with running hosts.
func (c *Client) Membership(now time.Time) (version uint64, dataCentres int) {
	v := c.Reachability.Reachable(now)
	seen := make(map[core.DataCentre]bool)
	for _, h := range v.Hosts() {
		seen[h.DataCentre()] = true
	}
	return v.Version(), len(seen)
}

// Handler executes the tasks that other hosts send.
type Handler struct {
	runner core.TaskRunner
	log    *slog.Logger
}

var _ peer.Handler = (*Handler)(nil)

// NewHandler returns a Handler that executes tasks with the given runner.
func NewHandler(r core.TaskRunner, log *slog.Logger) *Handler { return &Handler{runner: r, log: log} }

// Handle implements peer.Handler.
func (h *Handler) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) {
	body, ok := f.Body.(*wire.Frame_Task)
	if !ok {
		h.refuse(reply, core.ReasonWrongAnswer, errors.New("tasks: frame is not a task"))
		return
	}
	t, err := decode(body.Task, time.Now())
	if err != nil {
		h.refuse(reply, core.ReasonWrongAnswer, err)
		return
	}
	ack := &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{Accepted: int32(len(t.Services))}}}
	if reply(false, ack) != nil {
		return // the link to the requesting host is lost
	}
	err = h.runner.Execute(ctx, t, func(result core.TaskResult) {
		rows, err := json.Marshal(result)
		if err != nil {
			h.log.Error("relay: task result cannot be encoded", "request", telem.Clip(string(t.Request.ID)), "cause", err)
			return
		}
		// The error needs no handling: a lost link ends ctx.
		_ = reply(false, &wire.Frame{Body: &wire.Frame_ShardResult{ShardResult: peer.ResultToWire(core.ShardResult{Rows: rows})}})
	})
	switch {
	case errors.Is(err, core.ErrNoMemory):
		h.refuse(reply, core.ReasonOverload, err)
		return
	case err != nil:
		h.refuse(reply, core.ReasonNotReady, err)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}}) // fails only if the link is lost
}

// decode returns a task that was received now. Its deadline is on this host's clock.
func decode(w *wire.Task, now time.Time) (core.Task, error) {
	var t core.Task
	if err := json.Unmarshal(w.Plan, &t); err != nil {
		return t, errors.Wrap(err, "tasks: decode the plan of a task")
	}
	var err error
	t.Request, err = core.DecodeTaskRequest(w.Head, w.Body)
	t.Deadline = peer.Deadline(now, w.RemainingUs)
	return t, err
}

// refuse reports to the requesting host that the task is not executed.
func (h *Handler) refuse(reply peer.Reply, reason core.Reason, cause error) {
	h.log.Warn("relay: task refused", "reason", reason, "cause", cause)
	// The error needs no handling: the requesting host notices a lost link itself.
	_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(reason)}}})
}
