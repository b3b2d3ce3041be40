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
	sendQueueLength = 1024 // frames
	// maxBatchBytes bounds a batch, but for its last frame. Both ends of a link keep buffers of
	// the size of the largest batch.
	maxBatchBytes = 32 << 10
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
	id       uint64        // of the exchange
	frame    *wire.Frame   // nil for a flush marker, and once it was withdrawn
	deadline time.Time     // zero when the frame carries no remaining time
	flushed  chan struct{} // of a flush marker; closed when all frames queued before it are written
	written  func()        // called after the frame was claimed and the write has ended; may be nil
	state    atomic.Int32
}

func newOutgoing(f *wire.Frame, deadline time.Time) *outgoing {
	return &outgoing{id: f.Id, frame: f, deadline: deadline}
}

// claim marks the frame as sent and writes the remaining time into it. claimed is
// false if the frame was withdrawn or its deadline has passed. expired is true only
// in the latter case.
func (o *outgoing) claim(now time.Time) (claimed, expired bool) {
	remaining := time.Duration(0)
	if !o.deadline.IsZero() {
		if remaining = pause.Remaining(now, o.deadline); remaining <= 0 {
			return false, true
		}
	}
	if !o.state.CompareAndSwap(frameQueued, frameSent) {
		return false, false
	}
	if !o.deadline.IsZero() {
		setRemaining(o.frame, remaining)
	}
	return true, false
}

// withdraw prevents a queued frame from being sent. It returns false if the frame
// may have been sent already. The queue no longer refers to the frame, which may stay in it
// for long if the other host does not read.
func (o *outgoing) withdraw() bool {
	if !o.state.CompareAndSwap(frameQueued, frameWithdrawn) {
		return false
	}
	o.frame = nil
	return true
}

// claimed reports whether the frame was or will be sent.
func (o *outgoing) claimed() bool { return o.state.Load() == frameSent }

func setRemaining(f *wire.Frame, remaining time.Duration) {
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		b.ReadBatch.RemainingUs = remaining.Microseconds()
	case *wire.Frame_OrderCall:
		b.OrderCall.RemainingUs = remaining.Microseconds()
	case *wire.Frame_Redeem:
		b.Redeem.RemainingUs = remaining.Microseconds()
	case *wire.Frame_Task:
		b.Task.RemainingUs = remaining.Microseconds()
	case *wire.Frame_Large:
		setRemaining(b.Large.Frame, remaining)
	case *wire.Frame_Chunk:
		b.Chunk.RemainingUs = remaining.Microseconds()
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
			batch, written, markers := q.nextBatch(f)
			if len(batch.Frames) > 0 {
				err := s.Send(batch)
				for _, f := range written {
					f()
				}
				if err != nil {
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
// returns what has to be called after the write, and the channels of flush markers.
func (q *sendQueue) nextBatch(next *outgoing) (batch *wire.Frames, written []func(), markers []chan struct{}) {
	batch = new(wire.Frames)
	size := 0
	for {
		if next.flushed != nil {
			markers = append(markers, next.flushed)
		} else if claimed, expired := next.claim(time.Now()); claimed {
			batch.Frames = append(batch.Frames, next.frame)
			size += frameBytes(next.frame)
			if next.written != nil {
				written = append(written, next.written)
			}
		} else if expired && q.onExpired != nil {
			q.onExpired(next.id)
		}
		if size >= maxBatchBytes {
			return batch, written, markers
		}
		select {
		case next = <-q.frames:
		default:
			return batch, written, markers
		}
	}
}

// frameBytes estimates the size of a frame from its large fields.
func frameBytes(f *wire.Frame) int {
	const overhead = 64
	size := overhead + contentBytes(f)
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		size += 8 * len(b.ReadBatch.Shards)
	case *wire.Frame_SectionsReply:
		size += len(b.SectionsReply.Compressed)
	case *wire.Frame_Task:
		size += len(b.Task.Plan)
	case *wire.Frame_Large:
		size += frameBytes(b.Large.Frame)
	case *wire.Frame_Chunk:
		size += len(b.Chunk.Data)
	}
	return size
}

// callbacks receive the replies and the failure of one exchange. The link's
// goroutines and Client.Close call them, so they must not block.
type callbacks struct {
	onFrame  func(*wire.Frame)
	onClosed func(error) // called if the request expired or the link failed
	// keepsReplies is set if what the replies hold is kept until the caller's request ends.
	keepsReplies bool
}

// clientExchange is an open exchange as the client's link knows it.
type clientExchange struct {
	callbacks
	lease    core.Lease    // of the caller's request
	proceed  chan struct{} // gets a value when the other host has room for the contents
	assembly *assembly     // of a large reply; only the link's reader uses it
}

// link is the client side of one stream.
type link struct {
	conn  *drpcconn.Conn
	queue *sendQueue

	mu        sync.Mutex                 // guards the fields below; no callback is called while it is held
	exchanges map[uint64]*clientExchange // open exchanges by id
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
	l := &link{conn: conn, exchanges: make(map[uint64]*clientExchange)}
	l.queue = newSendQueue(meter, l.expire)
	meter.Count("peer_links_opened", 1)
	l.queue.frames <- newOutgoing(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}, time.Time{})
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
			if err := l.deliver(f); err != nil {
				return err
			}
		}
	}
}

func (l *link) deliver(f *wire.Frame) error {
	l.mu.Lock()
	x, ok := l.exchanges[f.Id]
	l.mu.Unlock()
	if !ok {
		return nil // it was abandoned
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Continue:
		select {
		case x.proceed <- struct{}{}:
		default: // a second one has no meaning
		}
		return nil
	case *wire.Frame_Large:
		a, err := newAssembly(b.Large)
		if err != nil {
			return err
		}
		if x.lease.Charge(a.total) {
			a.allocate()
		}
		x.assembly = a
		return nil
	case *wire.Frame_Chunk:
		if x.assembly == nil {
			return errContent
		}
		complete, err := x.assembly.add(b.Chunk.Data)
		if err != nil || !complete {
			return err
		}
		f, x.assembly = x.assembly.frame, nil
	default:
		if x.keepsReplies && !x.lease.Charge(contentBytes(f)) {
			dropContents(f)
		}
	}
	if f.Last {
		l.mu.Lock()
		_, ok = l.exchanges[f.Id]
		delete(l.exchanges, f.Id)
		l.mu.Unlock()
		if !ok {
			return nil // it ended meanwhile
		}
	}
	x.onFrame(f)
	return nil
}

// expire ends an exchange whose deadline passed before the request was sent.
func (l *link) expire(id uint64) {
	l.mu.Lock()
	x, ok := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if ok {
		x.onClosed(ErrDeadlinePassed)
	}
}

// openExchange is an exchange whose request was queued.
type openExchange struct {
	link *link
	id   uint64
	// first and last are the frames in which the request begins and ends. They are the same
	// unless its contents follow in chunks. The other host can't execute the request before it
	// has received the last one.
	first, last *outgoing
	stopped     chan struct{} // closed by end
	ended       sync.Once
	neverSent   bool // set by end
}

// end ends the exchange if it is still open. It returns true only if the request
// was not sent completely and never will be. A callback for a frame that is being delivered
// may still run after end has returned; no later frame is delivered.
func (x *openExchange) end() (neverSent bool) {
	x.ended.Do(func() {
		close(x.stopped)
		x.neverSent = x.last.withdraw()
		x.link.abandon(x.id, x.first == x.last && x.neverSent || x.first != x.last && x.first.withdraw())
	})
	return x.neverSent
}

// start begins an exchange by queueing its request. Large contents follow once the other host
// has room for them; the lease is held while the queue refers to them, and what the replies
// hold is charged to it. If start returns an error, the request was not queued and the other
// host never receives it.
func (l *link) start(ctx context.Context, f *wire.Frame, deadline time.Time, cb callbacks) (*openExchange, error) {
	lease := core.LeaseOf(ctx)
	proceed := make(chan struct{}, 1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, ErrLinkClosed
	}
	l.lastID++
	f.Id = l.lastID
	l.exchanges[f.Id] = &clientExchange{callbacks: cb, lease: lease, proceed: proceed}
	l.mu.Unlock()
	x := &openExchange{link: l, id: f.Id, stopped: make(chan struct{})}
	var chunks [][]byte
	if contentBytes(f) > maxInlineBytes {
		f, chunks = detach(f)
	}
	x.first = newOutgoing(f, deadline)
	x.last = x.first
	if len(chunks) > 0 {
		x.last = newOutgoing(chunkFrame(x.id, chunks[len(chunks)-1]), deadline)
	}
	if err := l.queue.put(ctx, x.first); err != nil {
		l.abandon(x.id, true)
		return nil, err
	}
	if len(chunks) > 0 {
		lease.Hold()
		go x.sendContents(proceed, chunks, lease)
	}
	return x, nil
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
	case l.queue.frames <- newOutgoing(f, time.Time{}):
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
	l.exchanges = make(map[uint64]*clientExchange)
	l.mu.Unlock()
	l.queue.close()
	l.queue.meter.Count("peer_links_closed", 1)
	_ = l.conn.Close()
	for _, x := range open {
		x.onClosed(err)
	}
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err == nil
}
