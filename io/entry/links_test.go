package entry_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// links carries the messages of one host over drpc on in-memory connections.
// Each write on a connection, each request and each reply can have a fault.
type links struct {
	host   *host
	client *peer.Client
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// connect replaces the function calls between hosts by links.
func (w *world) connect(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	for id, h := range w.hosts {
		l := &links{host: h, conns: make(chan net.Conn, 16), closed: make(chan struct{})}
		l.client = peer.NewClient(id, 1, l.dial)
		h.links = l
		s, err := peer.NewServer(l)
		if err != nil {
			t.Fatal(err)
		}
		served.Go(func() { _ = s.Serve(ctx, l) })
	}
	return func() {
		for _, h := range w.hosts {
			h.links.client.Close()
		}
		cancel()
		served.Wait()
	}
}

func (l *links) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *links) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *links) Addr() net.Addr { return &net.TCPAddr{} }

func (l *links) dial(_ context.Context, _, address string) (net.Conn, error) {
	to := l.host.world.hosts[core.HostID(address)]
	if l.host.dead.Load() || to.dead.Load() {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	to.links.conns <- faulty{far, to, l.host}
	return faulty{near, l.host, to}, nil
}

// faulty cuts a connection before, within or after a write. It doesn't delay
// writes: drpc waits for them under a lock, where synctest's clock stands still.
type faulty struct {
	net.Conn
	from, to *host
}

func (f faulty) Write(p []byte) (int, error) {
	w := f.from.world
	part := len(p)
	switch w.faults[w.points.Add(1)-1] {
	case none, delay, pauseLong:
		if !f.from.dead.Load() && !f.to.dead.Load() {
			return f.Conn.Write(p)
		}
		part = 0
	case refuse:
		part = 0
	case drop:
		part /= 2
	case stopSender, stopReceiver:
		f.from.wake.CompareAndSwap(0, time.Now().Add(stopTime).UnixNano())
		return f.Conn.Write(p)
	case killSender:
		f.from.dead.Store(true)
	case killReceiver:
		f.to.dead.Store(true)
	}
	n, _ := f.Conn.Write(p[:part])
	_ = f.Close()
	return n, net.ErrClosed
}

// Handle answers requests as a host does.
func (l *links) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) {
	h := l.host
	if !h.gate.Open() {
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonNotReady)}}})
		return
	}
	var do func() core.OrderResult
	switch b := f.Body.(type) {
	case *wire.Frame_OrderCall:
		o := peer.OrderFromWire(b.OrderCall.Order)
		run := core.OrderRun{
			OrderID: b.OrderCall.OrderId, Service: o.Service, Key: o.Key, Body: o.Body,
			Deadline: peer.Deadline(time.Now(), b.OrderCall.RemainingUs),
		}
		do = func() core.OrderResult { return h.owner.Order(ctx, run, core.GroupID(b.OrderCall.Group)) }
	case *wire.Frame_Redeem:
		by := peer.Deadline(time.Now(), b.Redeem.RemainingUs)
		o := peer.OrderFromWire(b.Redeem.Order)
		do = func() core.OrderResult { return h.entry.Redeem(ctx, b.Redeem.Token, "r", o, by) }
	default:
		return
	}
	switch h.world.next(h, nil) {
	case refuse:
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonNotReady)}}})
		return
	case drop:
		return
	case duplicate:
		go do()
	}
	if h.dead.Load() {
		return
	}
	r := do()
	f2 := h.world.next(h, nil)
	if f2 == drop || f2 == refuse || h.dead.Load() {
		return
	}
	last := &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: peer.OrderResultToWire(r)}}
	if f2 == duplicate {
		_ = reply(false, &wire.Frame{Body: last.Body})
	}
	_ = reply(true, last)
}
