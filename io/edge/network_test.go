package edge_test

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network connects hosts, replicas and callers in memory.
type network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	packetConns map[string]*packetConn
	dials       map[string]int // attempts by address
	open        map[string]int // connections that their dialer has not closed, by address
	mostOpen    map[string]int // greatest value of open
	mute        bool           // datagrams are lost
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, packetConns: map[string]*packetConn{}, dials: map[string]int{}, open: map[string]int{}, mostOpen: map[string]int{}}
}

func (n *network) listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		select {
		case <-l.closed:
			l.resetQueued()
		default:
		}
		n.addOpen(address, 1)
		return &dialedConn{Conn: client, closed: func() { n.addOpen(address, -1) }}, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) addOpen(address string, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[address] += change
	n.mostOpen[address] = max(n.mostOpen[address], n.open[address])
}

// mostOpenTo returns the greatest number of connections to an address that were open at once.
func (n *network) mostOpenTo(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mostOpen[address]
}

// forgetMostOpen starts the search for the greatest numbers of connections anew.
func (n *network) forgetMostOpen() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mostOpen = make(map[string]int)
}

// dialedConn is the dialer's end of a connection.
type dialedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

func (c *dialedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// setMute sets whether datagrams are lost, so that hosts don't find each other.
func (n *network) setMute(mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute = mute
}

// dialCount returns the number of attempts to connect to an address.
func (n *network) dialCount(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

type listener struct {
	network *network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		l.resetQueued()
	})
	return nil
}

// resetQueued closes the connections that were not accepted, as a kernel does when a
// listening socket is closed.
func (l *listener) resetQueued() {
	for {
		select {
		case c := <-l.conns:
			_ = c.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

// packetConn is a datagram socket in memory.
type packetConn struct {
	network *network
	address string
	inbox   chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listenPacket(_, address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &packetConn{network: n, address: address, inbox: make(chan []byte, 64), closed: make(chan struct{})}
	n.packetConns[address] = p
	return p, nil
}

func (p *packetConn) WriteTo(raw []byte, to net.Addr) (int, error) {
	p.network.mu.Lock()
	receiver := p.network.packetConns[to.String()]
	if p.network.mute {
		receiver = nil
	}
	p.network.mu.Unlock()
	if receiver != nil {
		select {
		case receiver.inbox <- append([]byte(nil), raw...):
		default: // the inbox is full: the datagram is lost
		}
	}
	return len(raw), nil
}

func (p *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case raw := <-p.inbox:
		return copy(buffer, raw), address(""), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *packetConn) LocalAddr() net.Addr            { return address(p.address) }
func (*packetConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (*packetConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (*packetConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
