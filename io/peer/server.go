package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oriolebarrow/core"
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
	meter   core.Meter
	drpc    *drpcserver.Server

	mu     sync.Mutex // guards the fields below
	active int        // exchanges whose replies were not all written
	idle   chan struct{}
}

// NewServer returns a server for handler.
func NewServer(handler Handler) (*Server, error) {
	s := &Server{handler: handler, meter: core.NoMeter{}}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		return nil, errors.Wrap(err, "peer: register")
	}
	s.drpc = drpcserver.New(mux)
	return s, nil
}

// SetMeter makes the server report to m. It must be called before Serve.
func (s *Server) SetMeter(m core.Meter) { s.meter = core.MeterOr(m) }

// Serve accepts links until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return s.drpc.Serve(ctx, l)
}

// Drain waits until no exchange runs and every reply was written. It returns
// the number of exchanges that were still open when ctx ended.
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

func (s *Server) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Link implements the drpc service: one call for each connected host.
func (s *Server) Link(stream wire.DRPCPeer_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	in := &inbound{server: s, ctx: ctx, out: newOutbox(s.meter, nil), cancels: make(map[uint64]*context.CancelFunc)}
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
	cancels map[uint64]*context.CancelFunc
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
	i.cancels[f.Id] = &cancel
	i.mu.Unlock()
	i.server.enter()
	go func() {
		defer i.server.leave()
		defer i.out.flush(i.ctx)
		defer i.end(f.Id, &cancel)
		i.server.handler.Handle(ctx, f, func(last bool, body *wire.Frame) error {
			body.Id = f.Id
			body.Last = last
			return i.out.put(i.ctx, &outgoing{frame: body})
		})
	}()
}

// end forgets an exchange that was answered. After a duplicated frame the id may
// belong to another exchange by now, which goes on.
func (i *inbound) end(id uint64, cancel *context.CancelFunc) {
	(*cancel)()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancels[id] == cancel {
		delete(i.cancels, id)
	}
}

func (i *inbound) cancel(id uint64) {
	i.mu.Lock()
	cancel := i.cancels[id]
	delete(i.cancels, id)
	i.mu.Unlock()
	if cancel != nil {
		(*cancel)()
	}
}
