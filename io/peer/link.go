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

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"oriolebarrow/io/wire"
)

// ErrLinkClosed is returned for exchanges whose link ended.
var ErrLinkClosed = errors.New("peer: link closed")

const (
	sendQueueLength = 1024      // frames
	maxBatchBytes   = 256 << 10 // keeps a batch far below drpc's 4 MB message limit
)

// sender is either side of a Link stream.
type sender interface {
	Send(*wire.Frames) error
}

// outbox batches frames that wait together into one message.
type outbox struct {
	frames chan *wire.Frame
	done   chan struct{}
	once   sync.Once
}

func newOutbox() *outbox {
	return &outbox{frames: make(chan *wire.Frame, sendQueueLength), done: make(chan struct{})}
}

func (o *outbox) put(ctx context.Context, f *wire.Frame) error {
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

func (o *outbox) close() { o.once.Do(func() { close(o.done) }) }

// run writes batches until the stream fails or the outbox is closed.
func (o *outbox) run(s sender) error {
	for {
		select {
		case <-o.done:
			return ErrLinkClosed
		case f := <-o.frames:
			if err := s.Send(o.batch(f)); err != nil {
				return errors.Wrap(err, "peer: send")
			}
		}
	}
}

func (o *outbox) batch(first *wire.Frame) *wire.Frames {
	batch := &wire.Frames{Frames: []*wire.Frame{first}}
	size := frameBytes(first)
	for size < maxBatchBytes {
		select {
		case f := <-o.frames:
			batch.Frames = append(batch.Frames, f)
			size += frameBytes(f)
		default:
			return batch
		}
	}
	return batch
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

func openLink(raw net.Conn, hello *wire.Hello) (*link, error) {
	conn := drpcconn.New(raw)
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := wire.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer: open stream")
	}
	l := &link{conn: conn, out: newOutbox(), exchanges: make(map[uint64]exchange)}
	l.out.frames <- &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}
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

// call starts an exchange. The returned function ends it; no function of x is
// called after the link has noticed.
func (l *link) call(ctx context.Context, f *wire.Frame, x exchange) (end func(), err error) {
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return nil, ErrLinkClosed
	}
	l.next++
	f.Id = l.next
	l.exchanges[f.Id] = x
	l.mu.Unlock()
	end = func() { l.drop(f.Id) }
	if err := l.out.put(ctx, f); err != nil {
		end()
		return nil, err
	}
	return end, nil
}

// drop forgets an exchange and tells the other side, which may still work on it.
func (l *link) drop(id uint64) {
	l.mu.Lock()
	_, open := l.exchanges[id]
	delete(l.exchanges, id)
	l.mu.Unlock()
	if !open {
		return
	}
	f := &wire.Frame{Id: id, Last: true, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
	select {
	case l.out.frames <- f:
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
