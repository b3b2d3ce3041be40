package client

import (
	"slices"
	"sync"
	"time"
)

// pool holds the idle connections to one instance, and counts all connections to it.
type pool struct {
	onEmpty func() // called when the replica closed the last connection while it was idle
	flight  flight

	mu     sync.Mutex
	limit  int
	open   int // connections that are open or being opened, which limit bounds
	idle   []*conn
	closed bool
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, n)
}

// take returns the idle connection that was used last, and closes those that can't be
// used. If there is none and the limit allows another one, dial is true and a new
// connection is reserved. If fresh is set, take returns only a connection that was used
// so recently that no idle timeout of the replica has closed it. It returns none that
// carried one of the earlier calls. If only such connections are idle and the limit is
// reached, a new connection replaces one of them.
func (p *pool) take(now time.Time, fresh bool, earlier []*Call) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.carriedAny(earlier) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.usable(now, fresh) {
			return c, false
		}
		p.open--
		go c.close()
	}
	if !p.closed && p.open == p.limit && len(p.idle) > 0 {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	if p.closed || p.open >= p.limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// reserveFirst reserves a connection if none is open or being opened.
func (p *pool) reserveFirst() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > 0 {
		return false
	}
	p.open++
	return true
}

// put adds an idle connection, or closes it if the pool is closed or above its limit.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.open--
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// release ends the reservation of a connection that is closed or could not be opened.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// remove removes a connection that ended while it was idle. If it was the last one and
// the replica closed it cleanly, remove calls onEmpty. A reset is not reported, since it
// means that the replica wants fewer connections.
func (p *pool) remove(c *conn, clean bool) {
	p.mu.Lock()
	i := slices.Index(p.idle, c)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.open--
	}
	empty := clean && i >= 0 && p.open == 0 && !p.closed
	p.mu.Unlock()
	if empty {
		p.onEmpty()
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
		c.close()
	}
}

// trim closes idle connections that were last used before a time while more than keep are open.
func (p *pool) trim(keep int, before time.Time) (closed int) {
	p.mu.Lock()
	var spare []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if p.open <= keep || !c.unusedSince(before) {
			return false
		}
		p.open--
		spare = append(spare, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range spare {
		c.close()
	}
	return len(spare)
}

// idleSince returns since when the connection that was used least recently is idle.
func (p *pool) idleSince() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].usedAt(), true
}

// closeOldest closes the idle connection that was used least recently. It returns false if
// there is none.
func (p *pool) closeOldest() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	c := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
	p.mu.Unlock()
	c.close()
	return true
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
