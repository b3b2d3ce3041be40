package expt

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// netMode is the state of a faultNet.
type netMode int

const (
	open   netMode = iota // no fault
	cut                   // connections are closed, new ones fail and packets are dropped
	paused                // reads, writes, dials and accepts block until the mode changes
)

var errCut = errors.New("expt: host is cut off")

// faultNet is the network of one host, in which faults can be injected. Since all
// hosts share a process, the mode paused simulates a paused host. The host's
// timers still run, so its detection of pauses is not tested this way.
type faultNet struct {
	mu      sync.Mutex // guards the fields below
	mode    netMode
	changed chan struct{} // closed and replaced when the mode is set
	conns   map[*faultConn]struct{}
}

func newFaultNet() *faultNet {
	return &faultNet{changed: make(chan struct{}), conns: make(map[*faultConn]struct{})}
}

// set changes the mode. Changing it to cut closes all connections.
func (n *faultNet) set(m netMode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode = m
	close(n.changed)
	n.changed = make(chan struct{})
	if m != cut {
		return
	}
	for c := range n.conns {
		_ = c.Conn.Close()
	}
}

// wait blocks while the network is paused. It returns errCut if the network is cut.
func (n *faultNet) wait() error {
	for {
		n.mu.Lock()
		mode, changed := n.mode, n.changed
		n.mu.Unlock()
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

func (n *faultNet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := n.wait(); err != nil {
		return nil, err
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(c), nil
}

// wrap returns c as a connection that is subject to the mode of the network.
func (n *faultNet) wrap(c net.Conn) net.Conn {
	w := &faultConn{Conn: c, faults: n}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.mu.Unlock()
	return w
}

// faultConn is a connection in a faultNet.
type faultConn struct {
	net.Conn
	faults *faultNet
}

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.faults.wait(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultConn) Write(b []byte) (int, error) {
	if err := c.faults.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.faults.mu.Lock()
	delete(c.faults.conns, c)
	c.faults.mu.Unlock()
	return c.Conn.Close()
}

// faultListener adds the connections that it accepts to a faultNet.
type faultListener struct {
	net.Listener
	faults *faultNet
}

// Accept implements net.Listener.
func (l faultListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.faults.wait() == nil {
			return l.faults.wrap(c), nil
		}
		_ = c.Close()
	}
}

// countingListener counts the bytes of accepted connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// listenPacket opens a UDP socket that is subject to the mode of the network.
func (n *faultNet) listenPacket(network, address string) (net.PacketConn, error) {
	c, err := net.ListenPacket(network, address)
	if err != nil {
		return nil, errors.Wrap(err, "expt: listen for packets")
	}
	return faultPacketConn{PacketConn: c, faults: n}, nil
}

// faultPacketConn drops packets while its network is cut.
type faultPacketConn struct {
	net.PacketConn
	faults *faultNet
}

// ReadFrom implements net.PacketConn.
func (c faultPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || c.faults.wait() == nil {
			return n, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (c faultPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if err := c.faults.wait(); err != nil {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
