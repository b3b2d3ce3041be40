// Package assist carries the parts of a query to the hosts that call the
// replicas, over the links of package peer, and serves the parts that other
// hosts send.
//
// # Usage
//
//	a := assist.New(assist.Parts{Self: self, Views: detector, Near: fleet.Near, Peers: client})
//	err := a.Run(ctx, host, task, sink)
//
//	server, err := peer.NewServer(assist.NewHandler(relay, log))
package assist

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

var errUnacknowledged = errors.New("assist: no acknowledgement")

// Parts are what an assistant works with.
type Parts struct {
	Self  core.Host
	Views core.Views
	// Reach tells which hosts will carry out tasks once they are ready.
	Reach core.Reach
	Near  func(core.ServiceName, core.DataCentre) bool
	Peers core.BatchReader
	Log   *slog.Logger
}

// Assistant sends tasks to other hosts.
type Assistant struct {
	Parts
	plans *assign.Assigner // over the hosts that are ready
	roles *assign.Assigner // over all that run; a cache holds for one kind of view
}

var _ core.Helpers = (*Assistant)(nil)

// New returns an assistant.
func New(p Parts) *Assistant {
	return &Assistant{Parts: p, plans: assign.New(p.Self), roles: assign.New(p.Self)}
}

// Plan implements core.Helpers. While fewer than half of the hosts are ready, those
// that start count too: the few would get all tasks, or this host would call every
// replica itself. One that cannot serve a task yet refuses it at once.
func (a *Assistant) Plan(now time.Time, services []core.ServiceName) []core.TaskBatch {
	ready, running := a.Views.View(now), a.Reach.Reachable(now)
	if 2*len(ready.Hosts()) < len(running.Hosts()) {
		return a.roles.Plan(running, services, a.Near)
	}
	return a.plans.Plan(ready, services, a.Near)
}

// Run implements core.Helpers. A host that does not answer is left out of the
// following plans until the failure detector hears it.
func (a *Assistant) Run(ctx context.Context, h core.Host, t core.Task, sink func(core.TaskResult)) error {
	body, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "assist: encode task")
	}
	batch := core.ReadBatch{
		Query: core.Query{ID: t.ID, Body: body, Deadline: t.Deadline},
		// The host may only be busy, and may have sent calls: the task is not
		// repeated, but the following ones avoid the host.
		Unacknowledged: func() { a.lost(h, t.ID, errUnacknowledged) },
	}
	var broken error
	err = a.Peers.Read(ctx, h, batch, func(r core.ShardResult) {
		var result core.TaskResult
		if err := json.Unmarshal(r.Rows, &result); err != nil {
			broken = errors.Wrapf(err, "assist: result of %s", h.ID())
			return
		}
		sink(result)
	})
	if err != nil && ctx.Err() == nil {
		a.lost(h, t.ID, err)
	}
	if err != nil {
		return err
	}
	return broken
}

func (a *Assistant) lost(h core.Host, id core.RequestID, cause error) {
	a.Views.MarkDown(time.Now(), h.ID())
	a.Log.Warn("relay: host does not carry out a task", "peer", h.ID(), "request", id, "cause", cause)
}

// Owned returns the services that this host calls for queries over all of the
// services, and whether other hosts call the rest. Hosts that are not ready yet
// count: while many start, the few that are ready would own everything.
func (a *Assistant) Owned(now time.Time, services []core.ServiceName) (owned []core.ServiceName, divided bool) {
	return a.roles.Owned(a.Reach.Reachable(now), services)
}

// Roles returns a number that changes when other hosts may have come to call
// other services, and the number of data centres with hosts.
func (a *Assistant) Roles(now time.Time) (version uint64, dataCentres int) {
	v := a.Reach.Reachable(now)
	seen := make(map[core.DataCentre]bool)
	for _, h := range v.Hosts() {
		seen[h.DataCentre()] = true
	}
	return v.Version(), len(seen)
}

// Handler serves the tasks of other hosts.
type Handler struct {
	runner core.TaskRunner
	log    *slog.Logger
}

var _ peer.Handler = (*Handler)(nil)

// NewHandler returns a handler.
func NewHandler(r core.TaskRunner, log *slog.Logger) *Handler { return &Handler{runner: r, log: log} }

// Handle implements peer.Handler.
func (h *Handler) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) {
	body, ok := f.Body.(*wire.Frame_ReadBatch)
	if !ok {
		h.refuse(reply, core.ReasonWrongAnswer, errors.New("unknown message"))
		return
	}
	b := peer.BatchFromWire(body.ReadBatch, time.Now())
	var t core.Task
	if err := json.Unmarshal(b.Query.Body, &t); err != nil {
		h.refuse(reply, core.ReasonWrongAnswer, err)
		return
	}
	t.Deadline = b.Query.Deadline
	ack := &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{Accepted: int32(len(t.Services))}}}
	if reply(false, ack) != nil {
		return // the link is lost, and with it the host that asks
	}
	err := h.runner.Assist(ctx, t, func(result core.TaskResult) {
		rows, err := json.Marshal(result)
		if err != nil {
			h.log.Error("relay: result of a task", "request", t.ID, "cause", err)
			return
		}
		// A lost link ends ctx.
		_ = reply(false, &wire.Frame{Body: &wire.Frame_ShardResult{ShardResult: peer.ResultToWire(core.ShardResult{Rows: rows})}})
	})
	if err != nil {
		h.refuse(reply, core.ReasonNotReady, err)
		return
	}
	_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}}) // as above
}

func (h *Handler) refuse(reply peer.Reply, reason core.Reason, cause error) {
	h.log.Warn("relay: task refused", "reason", reason, "cause", cause)
	// The host that asks takes a lost link as a loss.
	_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(reason)}}})
}
