// Package peer carries requests between hosts over drpc. Each host keeps one
// stream to every host that it calls, and all exchanges share it; frames that
// wait together travel in one message.
//
// # Usage
//
//	client := peer.NewClient("host-1", 7, net.Dialer{}.DialContext)
//	err := client.Read(ctx, owner, batch, sink)
//
//	server := peer.NewServer(handler)
//	err := server.Serve(ctx, listener)
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

// ErrLinkClosed is returned for exchanges whose link ended.
var ErrLinkClosed = errors.New("peer: link closed")

// ErrLate is returned for a frame whose deadline passed before it was sent.
var ErrLate = errors.New("peer: deadline passed before sending")

const (
	sendQueueLength = 1024      // frames
	maxBatchBytes   = 256 << 10 // keeps a batch far below drpc's 4 MB message limit
)

// sender is either side of a Link stream.
type sender interface {
	Send(*wire.Frames) error
}

// States of an outgoing frame.
const (
	frameQueued int32 = iota
	frameSent
	frameWithdrawn
)

// outgoing is a frame that waits to be sent.
type outgoing struct {
	frame    *wire.Frame   // nil for a flush marker
	deadline time.Time     // zero when the frame carries no remaining time
	flushed  chan struct{} // closed once everything queued earlier was written
	state    atomic.Int32
}

// take claims the frame for sending and writes the remaining time into it. It
// is false when the frame was withdrawn or its deadline has passed.
func (o *outgoing) take(now time.Time) (ok, late bool) {
	if !o.deadline.IsZero() {
		left := pause.Left(now, o.deadline)
		if left <= 0 {
			return false, true
		}
		setRemaining(o.frame, left)
	}
	return o.state.CompareAndSwap(frameQueued, frameSent), false
}

// withdraw keeps a queued frame from being sent. It returns false when the
// frame may have left already.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(frameQueued, frameWithdrawn)
}

func setRemaining(f *wire.Frame, left time.Duration) {
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		b.ReadBatch.RemainingUs = left.Microseconds()
	case *wire.Frame_OrderCall:
		b.OrderCall.RemainingUs = left.Microseconds()
	case *wire.Frame_Redeem:
		b.Redeem.RemainingUs = left.Microseconds()
	}
}

// outbox batches frames that wait together into one message.
type outbox struct {
	frames chan *outgoing
	meter  core.Meter
	late   func(id uint64) // called for a frame whose deadline passed in the queue
	done   chan struct{}
	once   sync.Once
}

func newOutbox(meter core.Meter, late func(id uint64)) *outbox {
	return &outbox{meter: meter, frames: make(chan *outgoing, sendQueueLength), late: late, done: make(chan struct{})}
}

func (o *outbox) put(ctx context.Context, f *outgoing) error {
	select {
	case <-o.done:
		return ErrLinkClosed
	default:
	}
	select {
	case o.frames <- f:
		return nil
	case <-o.done:
		return ErrLinkClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush waits until the frames queued so far were written or the link ended.
func (o *outbox) flush(ctx context.Context) {
	marker := &outgoing{flushed: make(chan struct{})}
	if o.put(ctx, marker) != nil {
		return
	}
	select {
	case <-marker.flushed:
	case <-o.done:
	}
}

func (o *outbox) close() { o.once.Do(func() { close(o.done) }) }

// run writes batches until the stream fails or the outbox is closed.
func (o *outbox) run(s sender) error {
	for {
		select {
		case <-o.done:
			return ErrLinkClosed
		case f := <-o.frames:
			batch, markers := o.batch(f)
			if len(batch.Frames) > 0 {
				if err := s.Send(batch); err != nil {
					return errors.Wrap(err, "peer: send")
				}
				o.meter.Count("peer_batches_sent", 1)
				o.meter.Count("peer_frames_sent", int64(len(batch.Frames)))
			}
			for _, m := range markers {
				close(m)
			}
		}
	}
}

func (o *outbox) batch(next *outgoing) (*wire.Frames, []chan struct{}) {
	batch := new(wire.Frames)
	var markers []chan struct{}
	size := 0
	for {
		if next.flushed != nil {
			markers = append(markers, next.flushed)
		} else if ok, late := next.take(time.Now()); ok {
			batch.Frames = append(batch.Frames, next.frame)
			size += frameBytes(next.frame)
		} else if late && o.late != nil {
			o.late(next.frame.Id)
		}
		if size >= maxBatchBytes {
			return batch, markers
		}
		select {
		case next = <-o.frames:
		default:
			return batch, markers
		}
	}
}

// frameBytes estimates the size of a frame by its large fields.
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

// exchange receives the replies to one request. Its functions are called from
// the link's reader and must not block.
type exchange struct {
	frame  func(*wire.Frame)
	closed func(error)
}

// link is the calling side of one stream.
type link struct {
	conn *drpcconn.Conn
	out  *outbox

	mu        sync.Mutex // guards the fields below; nothing is called under it
	exchanges map[uint64]exchange
	next      uint64
	err       error
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
	l := &link{conn: conn, exchanges: make(map[uint64]exchange)}
	l.out = newOutbox(meter, l.expire)
	meter.Count("peer_links_opened", 1)
	l.out.frames <- &outgoing{frame: &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}}
	go func() { l.fail(l.out.run(stream)) }()
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
			return errors.Wrap(err, "peer: receive")
		}
		for _, f := range batch.Frames {
			l.deliver(f)
		}
	}
}

func (l *link) deliver(f *wire.Frame) {
	l.mu.Lock()
	x, ok := l.exchanges[f.Id]
	if ok && f.Last {
		delete(l.exchanges, f.Id)
	}
	l.mu.Unlock()
	if ok {
		x.frame(f)
	}
}

// expire ends an exchange whose request was not sent in time.
func (l *link) expire(id uint64) {
	l.mu.Lock()
	x, ok := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if ok {
		x.closed(ErrLate)
	}
}

// pending is an exchange that has started.
type pending struct {
	link *link
	out  *outgoing
}

// end gives the exchange up. It returns true on proof that the request was not
// and will not be sent. No function of the exchange is called after the link
// has noticed.
func (p *pending) end() (neverSent bool) {
	neverSent = p.out.withdraw()
	p.link.drop(p.out.frame.Id, neverSent)
	return neverSent
}

// call starts an exchange. With an error the request was not queued, so the
// other host never gets it.
func (l *link) call(ctx context.Context, f *wire.Frame, deadline time.Time, x exchange) (*pending, error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, ErrLinkClosed
	}
	l.next++
	f.Id = l.next
	l.exchanges[f.Id] = x
	l.mu.Unlock()
	out := &outgoing{frame: f, deadline: deadline}
	if err := l.out.put(ctx, out); err != nil {
		l.drop(f.Id, true)
		return nil, err
	}
	return &pending{link: l, out: out}, nil
}

// drop forgets an exchange and, unless the request was never sent, tells the
// other side, which may still work on it.
func (l *link) drop(id uint64, neverSent bool) {
	l.mu.Lock()
	_, open := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if !open || neverSent {
		return
	}
	f := &wire.Frame{Id: id, Last: true, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
	select {
	case l.out.frames <- &outgoing{frame: f}:
	default: // a full queue must not block the caller; the deadline ends the work
	}
}

func (l *link) fail(err error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return
	}
	l.err = err
	open := l.exchanges
	l.exchanges = make(map[uint64]exchange)
	l.mu.Unlock()
	l.out.close()
	l.out.meter.Count("peer_links_closed", 1)
	_ = l.conn.Close()
	for _, x := range open {
		x.closed(err)
	}
}

func (l *link) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err == nil
}
