package client

import (
	"slices"
	"sync"
	"time"
)

// pool holds the connections to one instance.
type pool struct {
	emptied func() // the replica closed the last connection

	mu     sync.Mutex
	limit  int
	open   int // connections that are open or being opened
	idle   []*conn
	closed bool
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, n)
}

// take returns an idle connection, or reserves a place for a new one. A request
// that must not meet a closed connection gets the one that was used last.
func (p *pool) take(now time.Time, fresh bool) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.usable(now, fresh) {
			return c, false
		}
		p.open--
		go c.shut()
	}
	if p.closed || p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// reserveFirst reserves a place if nothing is open.
func (p *pool) reserveFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > 0 {
		return false
	}
	p.open++
	return true
}

// put makes a connection idle.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.open--
		p.mu.Unlock()
		c.shut()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// release gives back the place of a connection that is closed.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// remove takes an idle connection out that ended. A replica that resets one wants
// fewer, so only a plain close is reported.
func (p *pool) remove(c *conn, plain bool) {
	p.mu.Lock()
	i := slices.Index(p.idle, c)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.open--
	}
	empty := plain && i >= 0 && p.open == 0 && !p.closed
	p.mu.Unlock()
	if empty {
		p.emptied()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.shut()
	}
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
