package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

// Dial opens a connection to another host.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is a small multiple of the time that an acknowledgement usually takes
	// (below 2 ms between data centres), so that a lost owner uses up little of a
	// query's deadline.
	ackTimeout = 25 * time.Millisecond
)

// Client sends requests to other hosts. It is safe for concurrent use; its lock
// guards only the table of links and is never held while dialing.
type Client struct {
	hello  *wire.Hello
	dial   Dial
	packer func() (*wire.Packer, error) // creates the packer on first use
	meter  core.Meter

	mu    sync.Mutex
	links map[core.HostID]*hostLink
}

var _ core.PeerClient = (*Client)(nil)

// hostLink holds the link to one host. Its lock serialises dialing. Waiting for
// the lock ends with the request's context, so that a host that can't be dialled
// delays no answer beyond its deadline.
type hostLink struct {
	locked chan struct{} // of capacity 1; full while the lock is held
	link   *link         // nil if none is open; may have failed
}

func newHostLink() *hostLink { return &hostLink{locked: make(chan struct{}, 1)} }

func (l *hostLink) lock(ctx context.Context) error {
	select {
	case l.locked <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *hostLink) unlock() { <-l.locked }

// NewClient returns a client that identifies itself to other hosts as host with
// incarnation inc.
func NewClient(host core.HostID, inc core.Incarnation, dial Dial) *Client {
	return &Client{
		hello:  &wire.Hello{Host: string(host), Incarnation: uint64(inc), LargeReplies: true},
		dial:   dial,
		meter:  core.NoMeter{},
		packer: sync.OnceValues(wire.NewPacker),
		links:  make(map[core.HostID]*hostLink),
	}
}

// SetMeter sets the meter that counts links, sent messages and received bytes. It
// must be called before the first request.
func (c *Client) SetMeter(m core.Meter) { c.meter = core.MeterOr(m) }

// Close closes all links.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[core.HostID]*hostLink)
	c.mu.Unlock()
	for _, hl := range links {
		_ = hl.lock(context.Background()) // a dial holds the lock for dialTimeout at most
		if hl.link != nil {
			hl.link.fail(ErrLinkClosed)
		}
		hl.unlock()
	}
}

// linkTo returns the link to a host. It opens a new one if there is none or the
// last one has failed.
func (c *Client) linkTo(ctx context.Context, h core.Host) (*link, error) {
	c.mu.Lock()
	hl := c.links[h.ID()]
	if hl == nil {
		hl = newHostLink()
		c.links[h.ID()] = hl
	}
	c.mu.Unlock()
	if err := hl.lock(ctx); err != nil {
		return nil, err
	}
	defer hl.unlock()
	if hl.link != nil && hl.link.alive() {
		return hl.link, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", h.Address())
	if err != nil {
		return nil, errors.Wrapf(err, "peer: dial %s", h.ID())
	}
	hl.link, err = openLink(conn, c.hello, c.meter)
	return hl.link, err
}

// Read sends a batch to the owner of its shards and calls sink with each result. It
// returns when the owner has sent its last reply, the link fails, or ctx ends. If
// the owner doesn't acknowledge the batch within ackTimeout, Read calls
// b.Unacknowledged and keeps waiting, or fails if that function is nil. The rows are charged
// to the lease of ctx; a shard for whose rows there is no room is reported as missing.
func (c *Client) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	return c.read(ctx, h, readRequest{
		op: "read", frame: &wire.Frame{Body: &wire.Frame_ReadBatch{ReadBatch: batchToWire(b)}},
		deadline: b.Query.Deadline, unacknowledged: b.Unacknowledged, keepsRows: true,
	}, sink)
}

// Task is a part of a query that another host executes. What Head and Body refer to is not
// copied.
type Task struct {
	Plan     []byte // how to execute it
	Head     []byte // of the caller's request
	Body     []byte
	Deadline time.Time
}

// Execute sends a task to a host and calls sink with each result. It returns when the host has
// sent its last reply, the link fails, or ctx ends. If the host doesn't acknowledge the task
// within ackTimeout, Execute calls unacknowledged and keeps waiting. The lease of ctx is held
// while the link refers to the task.
func (c *Client) Execute(ctx context.Context, h core.Host, t Task, unacknowledged func(), sink func(result []byte)) error {
	return c.read(ctx, h, readRequest{
		op: "task", frame: &wire.Frame{Body: &wire.Frame_Task{Task: &wire.Task{Plan: t.Plan, Head: t.Head, Body: t.Body}}},
		deadline: t.Deadline, unacknowledged: unacknowledged,
	}, func(r core.ShardResult) { sink(r.Rows) })
}

// readRequest is a request whose replies are results of shards.
type readRequest struct {
	op             string
	frame          *wire.Frame
	deadline       time.Time
	unacknowledged func() // if it is nil, a request that is not acknowledged in time fails
	keepsRows      bool
}

func (c *Client) read(ctx context.Context, h core.Host, req readRequest, sink func(core.ShardResult)) error {
	l, err := c.linkTo(ctx, h)
	if err != nil {
		return notRunError(req.op, h, core.ReasonOwnerLost, err)
	}
	r := &batchReplies{sink: sink, acked: make(chan struct{}, 1), done: make(chan error, 1)}
	x, err := l.start(ctx, req.frame, req.deadline,
		callbacks{onFrame: r.receive, onClosed: func(err error) { r.done <- err }, keepsReplies: req.keepsRows})
	if err != nil {
		return notRunError(req.op, h, core.ReasonOwnerLost, err)
	}
	defer x.end()
	// lost returns the error for a request that ended without the owner's last reply.
	lost := func(err error) error {
		if x.end() {
			return notRunError(req.op, h, core.ReasonOwnerLost, err)
		}
		return ownerLostError(req.op, h, err)
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.acked:
			timer.Stop()
		case err := <-r.done:
			if err == nil && r.refused != "" {
				return notRunError(req.op, h, r.refused, nil)
			}
			if err != nil {
				return lost(err)
			}
			return nil
		case <-timer.C:
			if req.unacknowledged == nil {
				return ownerLostError(req.op, h, errors.New("owner did not acknowledge the batch in time"))
			}
			req.unacknowledged()
		case <-ctx.Done():
			return lost(ctx.Err())
		}
	}
}

// batchReplies receives the replies to one batch.
type batchReplies struct {
	sink    func(core.ShardResult)
	acked   chan struct{}
	done    chan error
	refused core.Reason // set before the send on done, and read after it
}

func (r *batchReplies) receive(f *wire.Frame) {
	switch body := f.Body.(type) {
	case *wire.Frame_ReadAck:
		select {
		case r.acked <- struct{}{}:
		default: // already acknowledged
		}
	case *wire.Frame_ShardResult:
		r.sink(resultFromWire(body.ShardResult))
	case *wire.Frame_Refusal:
		r.refused = core.Reason(body.Refusal.Reason)
	}
	if f.Last {
		r.done <- nil
	}
}

// Order sends an order to the owner of a group. It never sends it twice.
func (c *Client) Order(ctx context.Context, h core.Host, id string, req core.RequestID, o core.Order, g core.GroupID, deadline time.Time) (core.OrderResult, error) {
	return c.order(ctx, "order", h, &wire.Frame{Body: &wire.Frame_OrderCall{OrderCall: &wire.OrderCall{
		OrderId:   id,
		RequestId: string(req),
		Order:     orderToWire(o),
		Group:     int32(g),
	}}}, deadline)
}

// Redeem sends an order to the host that issued its token.
func (c *Client) Redeem(ctx context.Context, h core.Host, token string, req core.RequestID, o core.Order, deadline time.Time) (core.OrderResult, error) {
	return c.order(ctx, "redeem", h, &wire.Frame{Body: &wire.Frame_Redeem{Redeem: &wire.Redeem{
		Token:     token,
		RequestId: string(req),
		Order:     orderToWire(o),
	}}}, deadline)
}

func (c *Client) order(ctx context.Context, op string, h core.Host, request *wire.Frame, deadline time.Time) (core.OrderResult, error) {
	l, err := c.linkTo(ctx, h)
	if err != nil {
		return core.OrderResult{}, notRunError(op, h, core.ReasonOwnerLost, err)
	}
	f, sent, err := c.roundTrip(ctx, l, request, deadline)
	if err != nil && !sent {
		reason := core.ReasonOwnerLost
		if errors.Is(err, ErrDeadlinePassed) || ctx.Err() != nil {
			reason = core.ReasonDeadline
		}
		return core.OrderResult{}, notRunError(op, h, reason, err)
	}
	if err != nil {
		return core.OrderResult{}, ownerLostError(op, h, err)
	}
	switch reply := f.Body.(type) {
	case *wire.Frame_OrderResult:
		return orderResultFromWire(reply.OrderResult), nil
	case *wire.Frame_Refusal:
		return core.OrderResult{}, notRunError(op, h, core.Reason(reply.Refusal.Reason), nil)
	default:
		return core.OrderResult{}, ownerLostError(op, h, errors.Errorf("unexpected reply %T", f.Body))
	}
}

// Snapshots returns the snapshots of those replica groups of a service that another
// host owns.
func (c *Client) Snapshots(ctx context.Context, h core.Host, s core.ServiceName) ([]core.GroupSnapshot, error) {
	l, err := c.linkTo(ctx, h)
	if err != nil {
		return nil, ownerLostError("snapshots", h, err)
	}
	f, _, err := c.roundTrip(ctx, l, &wire.Frame{Body: &wire.Frame_SnapshotsGet{SnapshotsGet: &wire.SnapshotsGet{Service: string(s)}}}, time.Time{})
	if err != nil {
		return nil, ownerLostError("snapshots", h, err)
	}
	body, ok := f.Body.(*wire.Frame_SnapshotsReply)
	if !ok {
		return nil, ownerLostError("snapshots", h, errors.Errorf("unexpected reply %T", f.Body))
	}
	return snapshotsFromWire(body.SnapshotsReply), nil
}

// roundTrip sends a request that has one reply. sent is false only if the
// request was not sent and never will be.
func (c *Client) roundTrip(ctx context.Context, l *link, f *wire.Frame, deadline time.Time) (answer *wire.Frame, sent bool, err error) {
	type reply struct {
		frame *wire.Frame
		err   error
	}
	replies := make(chan reply, 1)
	deliver := func(r reply) {
		select {
		case replies <- r:
		default: // drop a second reply, since the link's reader must not block
		}
	}
	x, err := l.start(ctx, f, deadline, callbacks{
		onFrame:  func(f *wire.Frame) { deliver(reply{frame: f}) },
		onClosed: func(err error) { deliver(reply{err: err}) },

		keepsReplies: true,
	})
	if err != nil {
		return nil, false, err
	}
	select {
	case r := <-replies:
		return r.frame, !x.end(), r.err
	case <-ctx.Done():
		return nil, !x.end(), ctx.Err()
	}
}

// notRunError returns the error for a request that the other host never received,
// or refused before it began to execute it.
func notRunError(op string, h core.Host, reason core.Reason, err error) error {
	return &core.CallError{Op: op, Target: string(h.ID()), Reason: reason, NotRun: true, Cause: err}
}

// ownerLostError returns the error for a request that the other host may have
// executed.
func ownerLostError(op string, h core.Host, err error) error {
	return &core.CallError{Op: op, Target: string(h.ID()), Reason: core.ReasonOwnerLost, Cause: err}
}
