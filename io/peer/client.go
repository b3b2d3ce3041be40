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
	// ackTimeout is a small multiple of the usual time to acknowledge (below
	// 2 ms between data centres), so that a lost owner costs little of the deadline.
	ackTimeout = 25 * time.Millisecond
)

// Client calls other hosts. It is safe for concurrent use; its lock is held
// only for the table of links, never while dialing.
type Client struct {
	hello  *wire.Hello
	dial   Dial
	packer func() (*wire.Packer, error) // made at first use
	meter  core.Meter

	mu    sync.Mutex
	links map[core.HostID]*slot
}

var _ core.Peers = (*Client)(nil)

// slot serialises dialing to one host. Waiting for it ends with the request's
// context, so that a host that can't be dialled delays no answer beyond its
// deadline.
type slot struct {
	held chan struct{} // holds one token while the slot is locked
	link *link
}

func newSlot() *slot { return &slot{held: make(chan struct{}, 1)} }

func (s *slot) lock(ctx context.Context) error {
	select {
	case s.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slot) unlock() { <-s.held }

// NewClient returns a client that introduces itself as host.
func NewClient(host core.HostID, inc core.Incarnation, dial Dial) *Client {
	return &Client{
		hello:  &wire.Hello{Host: string(host), Incarnation: uint64(inc)},
		dial:   dial,
		meter:  core.NoMeter{},
		packer: sync.OnceValues(wire.NewPacker),
		links:  make(map[core.HostID]*slot),
	}
}

// SetMeter makes the client report to m. It must be called before the first
// request.
func (c *Client) SetMeter(m core.Meter) { c.meter = core.MeterOr(m) }

// Close ends all links.
func (c *Client) Close() {
	c.mu.Lock()
	slots := c.links
	c.links = make(map[core.HostID]*slot)
	c.mu.Unlock()
	for _, s := range slots {
		_ = s.lock(context.Background()) // held for dialTimeout at most
		if s.link != nil {
			s.link.fail(ErrLinkClosed)
		}
		s.unlock()
	}
}

func (c *Client) link(ctx context.Context, h core.Host) (*link, error) {
	c.mu.Lock()
	s := c.links[h.ID()]
	if s == nil {
		s = newSlot()
		c.links[h.ID()] = s
	}
	c.mu.Unlock()
	if err := s.lock(ctx); err != nil {
		return nil, err
	}
	defer s.unlock()
	if s.link != nil && s.link.alive() {
		return s.link, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", h.Address())
	if err != nil {
		return nil, errors.Wrapf(err, "peer: dial %s", h.ID())
	}
	s.link, err = openLink(conn, c.hello, c.meter)
	return s.link, err
}

// Read sends a batch to the owner of its shards.
func (c *Client) Read(ctx context.Context, h core.Host, b core.ReadBatch, sink func(core.ShardResult)) error {
	link, err := c.link(ctx, h)
	if err != nil {
		return notSent("read", h, core.ReasonOwnerLost, err)
	}
	r := &batchReplies{sink: sink, acked: make(chan struct{}, 1), done: make(chan error, 1)}
	p, err := link.call(ctx, &wire.Frame{Body: &wire.Frame_ReadBatch{ReadBatch: batchToWire(b)}}, b.Query.Deadline,
		exchange{frame: r.frame, closed: func(err error) { r.done <- err }})
	if err != nil {
		return lost("read", h, err)
	}
	defer p.end()
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		select {
		case <-r.acked:
			timer.Stop()
		case err := <-r.done:
			if err == nil && r.refused != "" {
				return notSent("read", h, r.refused, nil)
			}
			if err != nil {
				return lost("read", h, err)
			}
			return nil
		case <-timer.C:
			if b.Unacknowledged == nil {
				return lost("read", h, errors.New("no acknowledgement"))
			}
			b.Unacknowledged()
		case <-ctx.Done():
			return lost("read", h, ctx.Err())
		}
	}
}

// batchReplies receives the replies to one batch.
type batchReplies struct {
	sink    func(core.ShardResult)
	acked   chan struct{}
	done    chan error
	refused core.Reason // read after done
}

func (r *batchReplies) frame(f *wire.Frame) {
	switch body := f.Body.(type) {
	case *wire.Frame_ReadAck:
		select {
		case r.acked <- struct{}{}:
		default: // a repeated acknowledgement says nothing new
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

// Order sends an order to the owner of a group, once.
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

func (c *Client) order(ctx context.Context, op string, h core.Host, body *wire.Frame, deadline time.Time) (core.OrderResult, error) {
	link, err := c.link(ctx, h)
	if err != nil {
		return core.OrderResult{}, notSent(op, h, core.ReasonOwnerLost, err)
	}
	f, sent, err := c.ask(ctx, link, body, deadline)
	if err != nil && !sent {
		reason := core.ReasonOwnerLost
		if errors.Is(err, ErrLate) || ctx.Err() != nil {
			reason = core.ReasonDeadline
		}
		return core.OrderResult{}, notSent(op, h, reason, err)
	}
	if err != nil {
		return core.OrderResult{}, lost(op, h, err)
	}
	switch reply := f.Body.(type) {
	case *wire.Frame_OrderResult:
		return orderResultFromWire(reply.OrderResult), nil
	case *wire.Frame_Refusal:
		return core.OrderResult{}, notSent(op, h, core.Reason(reply.Refusal.Reason), nil)
	default:
		return core.OrderResult{}, lost(op, h, errors.Errorf("unexpected reply %T", f.Body))
	}
}

// Snapshots asks a host which snapshots its groups of a service hold.
func (c *Client) Snapshots(ctx context.Context, h core.Host, s core.ServiceName) ([]core.GroupSnapshot, error) {
	link, err := c.link(ctx, h)
	if err != nil {
		return nil, lost("snapshots", h, err)
	}
	f, _, err := c.ask(ctx, link, &wire.Frame{Body: &wire.Frame_SnapshotsGet{SnapshotsGet: &wire.SnapshotsGet{Service: string(s)}}}, time.Time{})
	if err != nil {
		return nil, lost("snapshots", h, err)
	}
	body, ok := f.Body.(*wire.Frame_SnapshotsReply)
	if !ok {
		return nil, lost("snapshots", h, errors.Errorf("unexpected reply %T", f.Body))
	}
	return snapshotsFromWire(body.SnapshotsReply), nil
}

// ask sends a request that has one reply. Without sent there is proof that the
// request never left this host.
func (c *Client) ask(ctx context.Context, l *link, f *wire.Frame, deadline time.Time) (answer *wire.Frame, sent bool, err error) {
	type reply struct {
		frame *wire.Frame
		err   error
	}
	got := make(chan reply, 1)
	first := func(r reply) {
		select {
		case got <- r:
		default: // a second reply must not block the link's reader
		}
	}
	p, err := l.call(ctx, f, deadline, exchange{
		frame:  func(f *wire.Frame) { first(reply{frame: f}) },
		closed: func(err error) { first(reply{err: err}) },
	})
	if err != nil {
		return nil, false, err
	}
	select {
	case r := <-got:
		return r.frame, !p.end(), r.err
	case <-ctx.Done():
		return nil, !p.end(), ctx.Err()
	}
}

// notSent is the error of a request that the other host never got, or refused
// before it started.
func notSent(op string, h core.Host, reason core.Reason, err error) error {
	return &core.CallError{Op: op, Target: string(h.ID()), Reason: reason, NotRun: true, Cause: err}
}

func lost(op string, h core.Host, err error) error {
	return &core.CallError{Op: op, Target: string(h.ID()), Reason: core.ReasonOwnerLost, Cause: err}
}
