package soak

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/standin/flood"
)

// Fault is what a proxy does to its connections.
type Fault string

// Faults of connections. Data that a fault holds back is delivered when the fault ends, as
// TCP does after a loss of packets.
const (
	NoFault Fault = ""
	Delay   Fault = "delay"    // each chunk is delayed by delayBy
	Reset   Fault = "reset"    // resets open connections and new ones
	CutTo   Fault = "cut_to"   // holds back data to the target
	CutFrom Fault = "cut_from" // holds back data from the target
	Silent  Fault = "silent"   // holds back data in both directions
)

const (
	delayBy = 60 * time.Millisecond
	// chunkBytes is far more than a request of the soak needs.
	chunkBytes = 32 << 10
)

// proxy forwards connections from one address to another and injects faults into them.
type proxy struct {
	listener net.Listener
	dial     func() (net.Conn, error) // connects to the target
	running  sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and replaced when fault or closed changes
	closed  bool
	conns   map[net.Conn]bool
}

// newProxy returns a proxy that listens on address and forwards to target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "soak: listen for a proxy")
	}
	return startProxy(l, func() (net.Conn, error) { return net.DialTimeout("tcp", target, time.Second) }), nil
}

// startProxy returns a proxy that forwards the connections of a listener to those that dial
// returns.
func startProxy(l net.Listener, dial func() (net.Conn, error)) *proxy {
	p := &proxy{listener: l, dial: dial, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.running.Go(p.accept)
	return p
}

// setFault changes the fault of all connections.
func (p *proxy) setFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// close resets all connections and waits until the goroutines of the proxy have ended.
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
	p.running.Wait()
}

// reset closes a connection with a TCP reset. The copying goroutines then fail and clean up.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		p.running.Go(func() { p.serve(client) })
	}
}

func (p *proxy) serve(client net.Conn) {
	if !p.add(client) {
		reset(client)
		return
	}
	defer p.remove(client)
	upstream, err := p.dial()
	if err != nil {
		reset(client) // as when no process listens on the target
		return
	}
	if !p.add(upstream) {
		reset(upstream)
		reset(client)
		return
	}
	defer p.remove(upstream)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(client, upstream, CutTo) })
	directions.Go(func() { p.forward(upstream, client, CutFrom) })
	directions.Wait()
}

// add registers a connection. It returns false if new connections are to be reset.
func (p *proxy) add(c net.Conn) bool {
	flood.LimitBuffers(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
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

// forward copies data in one direction; the fault cut holds it back. It passes on the end of
// the stream. A failed write, or a connection that the proxy itself closed, ends both
// directions.
func (p *proxy) forward(from, to net.Conn, cut Fault) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.applyFault(cut)
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			p.applyFault(cut)
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, net.ErrClosed) {
				reset(tcp)
			} else if ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// applyFault waits while the current fault delays or holds back data. The fault cut holds
// back only the direction of the caller of applyFault.
func (p *proxy) applyFault(cut Fault) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return
		case fault == Delay:
			select {
			case <-time.After(delayBy):
			case <-changed:
			}
			return
		case fault == Silent || fault == cut:
			<-changed
		default:
			return
		}
	}
}

func proxyFaultNames() []string {
	return []string{string(Delay), string(Reset), string(CutTo), string(CutFrom), string(Silent)}
}

func proxyTarget(name string, p *proxy, host *process) target {
	return target{
		name: name, faults: proxyFaultNames(), host: host,
		set:   func(fault string) { p.setFault(Fault(fault)) },
		clear: func() { p.setFault(NoFault) },
	}
}
