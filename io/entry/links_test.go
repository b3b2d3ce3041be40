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
// Each write on a connection, each request and each reply is a fault point.
type links struct {
	host   *host
	client *peer.Client
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// connectLinks makes the hosts communicate over links instead of function calls until
// stop is called.
func (c *cluster) connectLinks(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for id, h := range c.hosts {
		l := &links{host: h, conns: make(chan net.Conn, 16), closed: make(chan struct{})}
		l.client = peer.NewClient(id, 1, l.dial)
		h.links = l
		s, err := peer.NewServer(l)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = s.Serve(ctx, l) })
	}
	return func() {
		for _, h := range c.hosts {
			h.links.client.Close()
		}
		cancel()
		wg.Wait()
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
	to := l.host.cluster.hosts[core.HostID(address)]
	if l.host.dead.Load() || to.dead.Load() {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	to.links.conns <- faultyConn{server, to, l.host}
	return faultyConn{client, l.host, to}, nil
}

// faultyConn closes a connection before, during or after a write, or suspends the sending
// host. It doesn't delay writes: drpc holds a lock while it writes, and synctest's clock
// does not advance while a goroutine waits for a lock.
type faultyConn struct {
	net.Conn
	from, to *host
}

func (f faultyConn) Write(p []byte) (int, error) {
	c := f.from.cluster
	size := len(p)
	switch c.faults[c.faultPoints.Add(1)-1] {
	case none, delay, pauseLong:
		if !f.from.dead.Load() && !f.to.dead.Load() {
			return f.Conn.Write(p)
		}
		size = 0
	case refuse:
		size = 0
	case drop:
		size /= 2
	case suspendSender, suspendReceiver:
		f.from.wakeAt.CompareAndSwap(0, time.Now().Add(suspendTime).UnixNano())
		return f.Conn.Write(p)
	case killSender:
		f.from.dead.Store(true)
	case killReceiver:
		f.to.dead.Store(true)
	}
	n, _ := f.Conn.Write(p[:size])
	_ = f.Close()
	return n, net.ErrClosed
}

// Handle runs an order or redeems a token at the host and replies.
func (l *links) Handle(ctx context.Context, f *wire.Frame, reply peer.Reply) {
	h := l.host
	if !h.gate.Open() {
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonNotReady)}}})
		return
	}
	var execute func() core.OrderResult
	switch b := f.Body.(type) {
	case *wire.Frame_OrderCall:
		o := peer.OrderFromWire(b.OrderCall.Order)
		run := core.OrderCall{
			OrderID: b.OrderCall.OrderId, Service: o.Service, Key: o.Key, Body: o.Body,
			Deadline: peer.Deadline(time.Now(), b.OrderCall.RemainingUs),
		}
		execute = func() core.OrderResult { return h.owner.Order(ctx, run, core.GroupID(b.OrderCall.Group)) }
	case *wire.Frame_Redeem:
		deadline := peer.Deadline(time.Now(), b.Redeem.RemainingUs)
		o := peer.OrderFromWire(b.Redeem.Order)
		execute = func() core.OrderResult { return h.entry.Redeem(ctx, b.Redeem.Token, "r", o, deadline) }
	default:
		return
	}
	switch h.cluster.nextFault(h, nil) {
	case refuse:
		_ = reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonNotReady)}}})
		return
	case drop:
		return
	case duplicate:
		go execute()
	}
	if h.dead.Load() {
		return
	}
	r := execute()
	replyFault := h.cluster.nextFault(h, nil)
	if replyFault == drop || replyFault == refuse || h.dead.Load() {
		return
	}
	last := &wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: peer.OrderResultToWire(r)}}
	if replyFault == duplicate {
		_ = reply(false, &wire.Frame{Body: last.Body})
	}
	_ = reply(true, last)
}
