package soak

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Trouble is what a proxy does to its connections.
type Trouble string

// Troubles of a connection. What is held back is delivered when the trouble ends, as
// after a loss of packets.
const (
	Clear   Trouble = ""
	Delay   Trouble = "delay"    // each chunk waits for delayBy
	Reset   Trouble = "reset"    // all connections, the new ones too
	CutTo   Trouble = "cut_to"   // nothing reaches the target
	CutFrom Trouble = "cut_from" // nothing comes back from it
	Silent  Trouble = "silent"   // nothing passes either way
)

const (
	delayBy = 60 * time.Millisecond
	// chunk is far above a request of the soak.
	chunk = 32 << 10
)

// proxy passes the connections to one address on to another one.
type proxy struct {
	target   string
	listener net.Listener
	work     sync.WaitGroup

	mu      sync.Mutex
	trouble Trouble
	changed chan struct{} // closed by the next change
	closed  bool
	conns   map[net.Conn]bool
}

// newProxy listens on address.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "soak: proxy")
	}
	p := &proxy{target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.work.Go(p.accept)
	return p, nil
}

// set changes the trouble.
func (p *proxy) set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// close ends all connections and waits until that is done.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		reset(c)
	}
	p.mu.Unlock()
	p.work.Wait()
}

// reset ends a connection at once; its pumps see that and clean up.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.work.Go(func() { p.serve(near) })
	}
}

func (p *proxy) serve(near net.Conn) {
	if !p.add(near) {
		reset(near)
		return
	}
	defer p.remove(near)
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(near) // as from a machine without the process
		return
	}
	if !p.add(far) {
		reset(far)
		reset(near)
		return
	}
	defer p.remove(far)
	var both sync.WaitGroup
	both.Go(func() { p.pump(near, far, CutTo) })
	both.Go(func() { p.pump(far, near, CutFrom) })
	both.Wait()
}

// add keeps a connection, unless new ones are reset now.
func (p *proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.trouble == Reset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// pump copies one direction. An end of the stream is passed on; a reset ends both
// directions.
func (p *proxy) pump(from, to net.Conn, cut Trouble) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.hold(cut)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.hold(cut)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, net.ErrClosed) {
				reset(tcp)
			} else if ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// hold waits while the trouble keeps a direction back.
func (p *proxy) hold(cut Trouble) {
	for {
		p.mu.Lock()
		trouble, changed, closed := p.trouble, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return
		case trouble == Delay:
			select {
			case <-time.After(delayBy):
			case <-changed:
			}
			return
		case trouble == Silent || trouble == cut:
			<-changed
		default:
			return
		}
	}
}
