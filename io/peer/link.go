// Package peer carries requests between hosts over drpc. An exchange is one
// request and its replies; each request and each reply is one frame. A host
// keeps one stream, called a link, to every host that it calls. All exchanges
// with that host share the link, and frames that are queued at the same time are
// sent as one message.
//
// # Usage
//
//	client := peer.NewClient("host-1", 7, new(net.Dialer).DialContext)
//	err := client.Read(ctx, owner, batch, sink)
//
//	server, err := peer.NewServer(handler)
//	err = server.Serve(ctx, listener)
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
	"oriolebarrow/io/wire"
)

// ErrLinkClosed is returned for an exchange whose link is closed.
var ErrLinkClosed = errors.New("peer: link closed")

// ErrDeadlinePassed is returned for a request whose deadline passed before it was
// sent.
var ErrDeadlinePassed = errors.New("peer: deadline passed before sending")

const (
	sendQueueLength = 1024      // frames
	maxBatchBytes   = 256 << 10 // keeps a batch far below drpc's 4 MB message limit
)

// sender is the sending half of a Link stream, on the client or the server.
type sender interface {
	Send(*wire.Frames) error
}

// States of an outgoing frame. A queued frame is either sent or withdrawn, never
// both.
const (
	frameQueued int32 = iota
	frameSent
	frameWithdrawn
)

// outgoing is a frame in the send queue, or a flush marker.
type outgoing struct {
	frame    *wire.Frame   // nil for a flush marker
	deadline time.Time     // zero when the frame carries no remaining time
	flushed  chan struct{} // of a flush marker; closed when all frames queued before it are written
	state    atomic.Int32
}

// claim marks the frame as sent and writes the remaining time into it. claimed is
// false if the frame was withdrawn or its deadline has passed. expired is true only
// in the latter case.
func (o *outgoing) claim(now time.Time) (claimed, expired bool) {
	if !o.deadline.IsZero() {
		remaining := pause.Remaining(now, o.deadline)
		if remaining <= 0 {
			return false, true
		}
		setRemaining(o.frame, remaining)
	}
	return o.state.CompareAndSwap(frameQueued, frameSent), false
}

// withdraw prevents a queued frame from being sent. It returns false if the frame
// may have been sent already.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn)
}

func setRemaining(f *wire.Frame, remaining time.Duration) {
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		b.ReadBatch.RemainingUs = remaining.Microseconds()
	case *wire.Frame_OrderCall:
		b.OrderCall.RemainingUs = remaining.Microseconds()
	case *wire.Frame_Redeem:
		b.Redeem.RemainingUs = remaining.Microseconds()
	}
}

// sendQueue queues the frames of a stream and sends those that are queued at the
// same time as one message.
type sendQueue struct {
	frames    chan *outgoing
	meter     core.Meter
	onExpired func(id uint64) // called for a frame whose deadline passed in the queue; may be nil
	closed    chan struct{}
	closeOnce sync.Once
}

func newSendQueue(meter core.Meter, onExpired func(id uint64)) *sendQueue {
	return &sendQueue{meter: meter, frames: make(chan *outgoing, sendQueueLength), onExpired: onExpired, closed: make(chan struct{})}
}

// put queues a frame. It returns an error if the queue is closed or ctx ends first.
func (q *sendQueue) put(ctx context.Context, f *outgoing) error {
	select {
	case <-q.closed:
		return ErrLinkClosed
	default:
	}
	select {
	case q.frames <- f:
		return nil
	case <-q.closed:
		return ErrLinkClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush waits until all frames queued before the call are written, or the queue is
// closed.
func (q *sendQueue) flush(ctx context.Context) {
	marker := &outgoing{flushed: make(chan struct{})}
	if q.put(ctx, marker) != nil {
		return
	}
	select {
	case <-marker.flushed:
	case <-q.closed:
	}
}

func (q *sendQueue) close() { q.closeOnce.Do(func() { close(q.closed) }) }

// run sends batches until the stream fails or the queue is closed.
func (q *sendQueue) run(s sender) error {
	for {
		select {
		case <-q.closed:
			return ErrLinkClosed
		case f := <-q.frames:
			batch, markers := q.nextBatch(f)
			if len(batch.Frames) > 0 {
				if err := s.Send(batch); err != nil {
					return errors.Wrap(err, "peer: send frames")
				}
				q.meter.Count("peer_batches_sent", 1)
				q.meter.Count("peer_frames_sent", int64(len(batch.Frames)))
			}
			for _, m := range markers {
				close(m)
			}
		}
	}
}

// nextBatch collects next and the frames queued after it until there are none or
// their size reaches maxBatchBytes. It skips withdrawn and expired frames, and
// returns the channels of flush markers separately.
func (q *sendQueue) nextBatch(next *outgoing) (*wire.Frames, []chan struct{}) {
	batch := new(wire.Frames)
	var markers []chan struct{}
	size := 0
	for {
		if next.flushed != nil {
			markers = append(markers, next.flushed)
		} else if claimed, expired := next.claim(time.Now()); claimed {
			batch.Frames = append(batch.Frames, next.frame)
			size += frameBytes(next.frame)
		} else if expired && q.onExpired != nil {
			q.onExpired(next.frame.Id)
		}
		if size >= maxBatchBytes {
			return batch, markers
		}
		select {
		case next = <-q.frames:
		default:
			return batch, markers
		}
	}
}

// frameBytes estimates the size of a frame from its large fields.
func frameBytes(f *wire.Frame) int {
	const overhead = 64
	switch b := f.Body.(type) {
	case *wire.Frame_ShardResult:
		return overhead + len(b.ShardResult.Rows)
	case *wire.Frame_ReadBatch:
		return overhead + len(b.ReadBatch.Body) + 8*len(b.ReadBatch.Shards)
	case *wire.Frame_SectionsReply:
		return overhead + len(b.SectionsReply.Compressed)
	default:
		return overhead
	}
}

// callbacks receive the replies and the failure of one exchange. The link's
// goroutines and Client.Close call them, so they must not block.
type callbacks struct {
	onFrame  func(*wire.Frame)
	onClosed func(error) // called if the request expired or the link failed
}

// link is the client side of one stream.
type link struct {
	conn  *drpcconn.Conn
	queue *sendQueue

	mu        sync.Mutex           // guards the fields below; no callback is called while it is held
	exchanges map[uint64]callbacks // open exchanges by id
	lastID    uint64
	err       error // why the link failed
}

func openLink(raw net.Conn, hello *wire.Hello, meter core.Meter) (*link, error) {
	conn := drpcconn.New(raw)
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := wire.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer: open stream")
	}
	l := &link{conn: conn, exchanges: make(map[uint64]callbacks)}
	l.queue = newSendQueue(meter, l.expire)
	meter.Count("peer_links_opened", 1)
	l.queue.frames <- &outgoing{frame: &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}}
	go func() { l.fail(l.queue.run(stream)) }()
	go func() {
		defer cancel()
		l.fail(l.receive(stream))
	}()
	return l, nil
}

func (l *link) receive(stream wire.DRPCPeer_LinkClient) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "peer: receive frames")
		}
		for _, f := range batch.Frames {
			l.deliver(f)
		}
	}
}

func (l *link) deliver(f *wire.Frame) {
	l.mu.Lock()
	cb, ok := l.exchanges[f.Id]
	if ok && f.Last {
		delete(l.exchanges, f.Id)
	}
	l.mu.Unlock()
	if ok {
		cb.onFrame(f)
	}
}

// expire ends an exchange whose deadline passed before the request was sent.
func (l *link) expire(id uint64) {
	l.mu.Lock()
	cb, ok := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if ok {
		cb.onClosed(ErrDeadlinePassed)
	}
}

// openExchange is an exchange whose request was queued.
type openExchange struct {
	link    *link
	request *outgoing
}

// end ends the exchange if it is still open. It returns true only if the request
// was not sent and never will be. A callback for a frame that is being delivered
// may still run after end has returned; no later frame is delivered.
func (x *openExchange) end() (neverSent bool) {
	neverSent = x.request.withdraw()
	x.link.abandon(x.request.frame.Id, neverSent)
	return neverSent
}

// start begins an exchange by queueing its request. If it returns an error, the
// request was not queued and the other host never receives it.
func (l *link) start(ctx context.Context, f *wire.Frame, deadline time.Time, cb callbacks) (*openExchange, error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, ErrLinkClosed
	}
	l.lastID++
	f.Id = l.lastID
	l.exchanges[f.Id] = cb
	l.mu.Unlock()
	request := &outgoing{frame: f, deadline: deadline}
	if err := l.queue.put(ctx, request); err != nil {
		l.abandon(f.Id, true)
		return nil, err
	}
	return &openExchange{link: l, request: request}, nil
}

// abandon removes an exchange if it is still open. Unless its request was never
// sent, it also sends a cancel frame, since the other host may be working on the
// request.
func (l *link) abandon(id uint64, neverSent bool) {
	l.mu.Lock()
	_, open := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if !open || neverSent {
		return
	}
	f := &wire.Frame{Id: id, Last: true, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
	select {
	case l.queue.frames <- &outgoing{frame: f}:
	default: // don't block on a full queue; the request's deadline ends the work
	}
}

// fail closes the link and ends all open exchanges. Only the first call has an effect.
func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return
	}
	l.err = err
	open := l.exchanges
	l.exchanges = make(map[uint64]callbacks)
	l.mu.Unlock()
	l.queue.close()
	l.queue.meter.Count("peer_links_closed", 1)
	_ = l.conn.Close()
	for _, cb := range open {
		cb.onClosed(err)
	}
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err == nil
}
