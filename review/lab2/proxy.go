package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards the connections of one host to the task port of another one.
type proxy struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	pairs []*pair
}

// pair is one forwarded connection.
type pair struct {
	in, out net.Conn
	silent  atomic.Bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, target: target}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &pair{in: in, out: out}
		p.mu.Lock()
		p.pairs = append(p.pairs, c)
		p.mu.Unlock()
		go c.forward(in, out)
		go c.forward(out, in)
	}
}

// forward copies bytes until the connection ends. Once it is silent, it drops all bytes, and the
// end of one side is not shown to the other.
func (c *pair) forward(from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if c.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_, _ = io.Copy(io.Discard, from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent for good. New ones work. It returns their number.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		if !c.silent.Swap(true) {
			n++
		}
	}
	return n
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}
