package edge_test

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network is a network in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packets
	dials     map[string]int // by address
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, packets: map[string]*packets{}, dials: map[string]int{}}
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
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialled returns how many connections were tried to an address.
func (n *network) dialled(address string) int {
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
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

// packets is a datagram socket.
type packets struct {
	network *network
	address string
	inbox   chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listenPacket(_, address string) (net.PacketConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &packets{network: n, address: address, inbox: make(chan []byte, 64), closed: make(chan struct{})}
	n.packets[address] = p
	return p, nil
}

func (p *packets) WriteTo(raw []byte, to net.Addr) (int, error) {
	p.network.mu.Lock()
	other := p.network.packets[to.String()]
	p.network.mu.Unlock()
	if other != nil {
		select {
		case other.inbox <- append([]byte(nil), raw...):
		default: // a datagram may be lost
		}
	}
	return len(raw), nil
}

func (p *packets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case raw := <-p.inbox:
		return copy(buffer, raw), address(""), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packets) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *packets) LocalAddr() net.Addr            { return address(p.address) }
func (*packets) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (*packets) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (*packets) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
