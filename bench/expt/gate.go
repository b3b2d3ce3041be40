package expt

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// gateMode is what a host can reach.
type gateMode int

const (
	open   gateMode = iota
	cut             // other hosts and servers can't be reached; open connections end
	paused          // nothing moves on any connection until the gate opens
)

var errCut = errors.New("expt: host is cut off")

// gate stands between one host and the network. In one process it stands for a
// paused process: the host's timers still run, so the detection of pauses isn't
// covered by it.
type gate struct {
	mu      sync.Mutex // guards the fields below
	mode    gateMode
	changed chan struct{}
	conns   map[*gatedConn]struct{}
}

func newGate() *gate {
	return &gate{changed: make(chan struct{}), conns: make(map[*gatedConn]struct{})}
}

func (g *gate) set(m gateMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = m
	close(g.changed)
	g.changed = make(chan struct{})
	if m != cut {
		return
	}
	for c := range g.conns {
		_ = c.Conn.Close()
	}
}

// pass waits while the gate is paused.
func (g *gate) pass() error {
	for {
		g.mu.Lock()
		mode, changed := g.mode, g.changed
		g.mu.Unlock()
		switch mode {
		case cut:
			return errCut
		case paused:
			<-changed
		default:
			return nil
		}
	}
}

func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := g.pass(); err != nil {
		return nil, err
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return g.wrap(c), nil
}

func (g *gate) wrap(c net.Conn) net.Conn {
	w := &gatedConn{Conn: c, gate: g}
	g.mu.Lock()
	g.conns[w] = struct{}{}
	g.mu.Unlock()
	return w
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if passErr := c.gate.pass(); passErr != nil {
		return 0, passErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// gated puts a gate before accepted connections.
type gated struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l gated) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.gate.pass() == nil {
			return l.gate.wrap(c), nil
		}
		_ = c.Close()
	}
}

// counting counts the bytes of accepted connections in both directions.
type counting struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// listenPacket opens a UDP socket behind the gate.
func (g *gate) listenPacket(network, address string) (net.PacketConn, error) {
	c, err := net.ListenPacket(network, address)
	if err != nil {
		return nil, errors.Wrap(err, "expt: listen for packets")
	}
	return gatedPacketConn{PacketConn: c, gate: g}, nil
}

// gatedPacketConn drops packets while its host is cut off.
type gatedPacketConn struct {
	net.PacketConn
	gate *gate
}

// ReadFrom implements net.PacketConn.
func (c gatedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || c.gate.pass() == nil {
			return n, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (c gatedPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if err := c.gate.pass(); err != nil {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
