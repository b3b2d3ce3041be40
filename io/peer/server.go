package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oriolebarrow/io/wire"
)

// Handler answers the requests of other hosts. It is called in a goroutine of
// its own for each request; ctx ends when the caller cancels or is lost.
type Handler interface {
	Handle(ctx context.Context, f *wire.Frame, reply Reply)
}

// Reply sends one reply frame of an exchange; last ends the exchange.
type Reply func(last bool, body *wire.Frame) error

// Server accepts links from other hosts.
type Server struct {
	handler Handler
	drpc    *drpcserver.Server
}

// NewServer returns a server for handler.
func NewServer(handler Handler) (*Server, error) {
	s := &Server{handler: handler}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		return nil, errors.Wrap(err, "peer: register")
	}
	s.drpc = drpcserver.New(mux)
	return s, nil
}

// Serve accepts links until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, l)
}

// Link implements the drpc service: one call for each connected host.
func (s *Server) Link(stream wire.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &inbound{server: s, ctx: ctx, out: newOutbox(), cancels: make(map[uint64]context.CancelFunc)}
	defer in.out.close()
	go func() {
		_ = in.out.run(stream)
		cancel()
	}()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "peer: receive")
		}
		for _, f := range batch.Frames {
			in.take(f)
		}
	}
}

// inbound is the serving side of one stream.
type inbound struct {
	server *Server
	ctx    context.Context
	out    *outbox

	mu      sync.Mutex // guards cancels; nothing is called under it
	cancels map[uint64]context.CancelFunc
}

func (i *inbound) take(f *wire.Frame) {
	switch f.Body.(type) {
	case *wire.Frame_Hello:
		return
	case *wire.Frame_Cancel:
		i.cancel(f.Id)
		return
	}
	ctx, cancel := context.WithCancel(i.ctx)
	i.mu.Lock()
	i.cancels[f.Id] = cancel
	i.mu.Unlock()
	go func() {
		defer i.cancel(f.Id)
		i.server.handler.Handle(ctx, f, func(last bool, body *wire.Frame) error {
			body.Id = f.Id
			body.Last = last
			return i.out.put(i.ctx, body)
		})
	}()
}

func (i *inbound) cancel(id uint64) {
	i.mu.Lock()
	cancel := i.cancels[id]
	delete(i.cancels, id)
	i.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
