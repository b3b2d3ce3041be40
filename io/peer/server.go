package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/wire"
)

// maxMessageBytes bounds a message from another host: a batch of maxBatchBytes and one more
// frame, in which hosts of earlier versions send the whole body of an order.
const maxMessageBytes = 2 << 20

// Handler answers the requests of other hosts.
type Handler interface {
	// Handle is called in a new goroutine for each request. ctx ends when the
	// requesting host cancels the exchange or its link is closed.
	Handle(ctx context.Context, f *wire.Frame, reply Reply)
}

// Reply queues one reply frame of an exchange. The exchange ends with the frame
// for which last is true.
type Reply func(last bool, frame *wire.Frame) error

// Server accepts links from other hosts.
type Server struct {
	handler  Handler
	meter    core.Meter
	drpc     *drpcserver.Server
	limits   *conns.Limits // nil for none
	listener string        // name of the listener in the log

	mu     sync.Mutex    // guards the fields below
	active int           // exchanges whose replies are not all written
	idle   chan struct{} // closed when active reaches 0; nil until Drain waits for it
}

// NewServer returns a server that passes requests to handler.
func NewServer(handler Handler) (*Server, error) {
	s := &Server{handler: handler, meter: core.NoMeter{}}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		return nil, errors.Wrap(err, "peer: register drpc service")
	}
	s.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
	})
	return s, nil
}

// SetMeter sets the meter that counts sent messages. It must be called before
// Serve.
func (s *Server) SetMeter(m core.Meter) { s.meter = core.MeterOr(m) }

// SetLimits sets the limits to whose budget the requests of other hosts are charged. A request
// for which there is no room is refused with core.ReasonOverload. It must be called before
// Serve.
func (s *Server) SetLimits(listener string, l *conns.Limits) { s.listener, s.limits = listener, l }

// Serve accepts links until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, l)
}

// Drain waits until no exchange is open and every reply is written. It returns the
// number of exchanges that are still open if ctx ends first, and otherwise 0.
func (s *Server) Drain(ctx context.Context) int {
	s.mu.Lock()
	if s.active == 0 {
		s.mu.Unlock()
		return 0
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Server) beginExchange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) endExchange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Link implements the drpc service. It serves one connected host and returns when
// the stream ends.
func (s *Server) Link(stream wire.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	l := &inboundLink{
		server: s, ctx: ctx, queue: newSendQueue(s.meter, nil),
		cancels: make(map[uint64]*context.CancelFunc), incoming: make(map[uint64]*incoming),
	}
	defer l.queue.close()
	go func() {
		_ = l.queue.run(stream)
		cancel()
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "peer: receive frames")
		}
		for _, f := range batch.Frames {
			if err := l.handle(f); err != nil {
				return err
			}
		}
	}
}

// inboundLink is the server side of one stream.
type inboundLink struct {
	server *Server
	ctx    context.Context
	queue  *sendQueue

	largeReplies atomic.Bool // the other host accepts them

	mu       sync.Mutex                     // guards the fields below; no cancel function is called while it is held
	cancels  map[uint64]*context.CancelFunc // of the open exchanges, by id
	incoming map[uint64]*incoming           // requests whose contents are arriving, by id
}

// handle handles a frame. The link is closed after an error.
func (l *inboundLink) handle(f *wire.Frame) error {
	switch b := f.Body.(type) {
	case *wire.Frame_Hello:
		l.largeReplies.Store(b.Hello.LargeReplies)
		return nil
	case *wire.Frame_Cancel:
		l.cancel(f.Id)
		return nil
	case *wire.Frame_Chunk:
		return l.addChunk(f.Id, b.Chunk)
	}
	x, err := newInboundExchange(l, f)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.mu.Lock()
	l.cancels[f.Id] = &cancel
	l.mu.Unlock()
	l.server.beginExchange()
	go func() {
		defer l.server.endExchange()
		defer x.release()
		defer l.queue.flush(l.ctx)
		defer l.finish(f.Id, &cancel)
		x.run(ctx)
	}()
	return nil
}

// addChunk adds a chunk to a request whose contents are arriving. One that was refused or
// cancelled meanwhile gets no more.
func (l *inboundLink) addChunk(id uint64, c *wire.Chunk) error {
	l.mu.Lock()
	in := l.incoming[id]
	l.mu.Unlock()
	if in == nil {
		return nil
	}
	return in.add(c)
}

// finish removes an exchange that the handler has answered. If the request was
// received twice, the id may now belong to the second exchange, which continues.
func (l *inboundLink) finish(id uint64, cancel *context.CancelFunc) {
	(*cancel)()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancels[id] == cancel {
		delete(l.cancels, id)
	}
}

func (l *inboundLink) cancel(id uint64) {
	l.mu.Lock()
	cancel := l.cancels[id]
	delete(l.cancels, id)
	l.mu.Unlock()
	if cancel != nil {
		(*cancel)()
	}
}
