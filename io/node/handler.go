package node

import (
	"context"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// handler answers the requests of other hosts.
type handler struct {
	node *Node
}

var _ peer.Handler = handler{}

// Handle implements peer.Handler.
func (h handler) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) {
	if !h.node.gate.Open() {
		// The request may have been received before a pause of the process, after
		// which this host's view is outdated.
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonNotReady)}}})
		return
	}
	defer h.node.active.add(requestID(f))()
	switch body := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		h.read(ctx, body.ReadBatch, reply)
	case *wire.Frame_OrderCall:
		h.order(ctx, body.OrderCall, reply)
	case *wire.Frame_Redeem:
		h.redeem(ctx, body.Redeem, reply)
	case *wire.Frame_SnapshotsGet:
		snapshots := h.node.entry.GroupSnapshots(ctx, core.ServiceName(body.SnapshotsGet.Service))
		_ = reply(true, &wire.Frame{Body: &wire.Frame_SnapshotsReply{SnapshotsReply: peer.SnapshotsToWire(snapshots)}})
	case *wire.Frame_SectionsGet:
		h.sections(body.SectionsGet, reply)
	case *wire.Frame_HostsGet:
		h.hosts(body.HostsGet, reply)
	case *wire.Frame_StatesGet:
		h.states(reply)
	default:
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: "unknown_message"}}})
	}
}

// requestID returns the id of the caller's request that a frame belongs to, or an
// empty id.
func requestID(f *wire.Frame) core.RequestID {
	switch body := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		return core.RequestID(body.ReadBatch.GetRequestId())
	case *wire.Frame_OrderCall:
		return core.RequestID(body.OrderCall.GetRequestId())
	case *wire.Frame_Redeem:
		return core.RequestID(body.Redeem.GetRequestId())
	default:
		return ""
	}
}

func (h handler) read(ctx context.Context, w *wire.ReadBatch, reply peer.Reply) {
	b := peer.BatchFromWire(w, time.Now())
	ack := &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{Accepted: int32(len(b.Shards))}}}
	if reply(false, ack) != nil {
		return
	}
	h.node.owner.Read(ctx, b, func(r core.ShardResult) {
		_ = reply(false, &wire.Frame{Body: &wire.Frame_ShardResult{ShardResult: peer.ResultToWire(r)}})
	})
	_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
}

func (h handler) order(ctx context.Context, w *wire.OrderCall, reply peer.Reply) {
	o := peer.OrderFromWire(w.Order)
	r := h.node.owner.Order(ctx, core.OrderCall{
		OrderID:   w.OrderId,
		RequestID: core.RequestID(w.RequestId),
		Service:   o.Service,
		Key:       o.Key,
		Body:      o.Body,
		Deadline:  peer.Deadline(time.Now(), w.RemainingUs),
	}, core.GroupID(w.Group))
	_ = reply(true, orderResultFrame(r))
}

func (h handler) redeem(ctx context.Context, w *wire.Redeem, reply peer.Reply) {
	deadline := peer.Deadline(time.Now(), w.RemainingUs)
	r := h.node.entry.Redeem(ctx, w.Token, core.RequestID(w.RequestId), peer.OrderFromWire(w.Order), deadline)
	_ = reply(true, orderResultFrame(r))
}

func orderResultFrame(r core.OrderResult) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: peer.OrderResultToWire(r)}}
}
