package conns

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core/quota"
)

const (
	// unknownFree bytes may arrive on a connection of a host without being charged, until the
	// first message has been answered.
	unknownFree = 16 << 10
	// unknownFactor is how much memory a byte of an incomplete message takes: drpc's buffer
	// doubles, and the one before it stays until the next collection. Charges are multiples
	// of unknownStep.
	unknownFactor = 4
	unknownStep   = 16 << 10
)

// Guard returns a listener for connections from other hosts that accepts at most the given
// number of them at a time: it closes the one from which nothing was read for the longest time
// when another one comes. 0 means no limit. What arrives on a connection is charged until the
// first message has been answered: something that is no host may begin a message and never
// end it.
func (l *Limits) Guard(name string, listener net.Listener, connections int) net.Listener {
	if l == nil || connections <= 0 {
		return listener
	}
	return &guard{Listener: listener, name: name, limits: l, connections: connections, open: make(map[*guarded]struct{})}
}

type guard struct {
	net.Listener
	name        string
	limits      *Limits
	connections int

	mu   sync.Mutex
	open map[*guarded]struct{}
}

// Accept implements net.Listener.
func (g *guard) Accept() (net.Conn, error) {
	raw, err := g.Listener.Accept()
	if err != nil {
		return nil, err // not wrapped, since servers look for temporary errors
	}
	c := &guarded{Conn: raw, guard: g}
	c.holder = g.limits.Budget.Open(time.Now(), c.giveWay)
	g.mu.Lock()
	var oldest *guarded
	if len(g.open) >= g.connections {
		now := time.Now()
		for other := range g.open {
			if oldest == nil || other.holder.Stuck(now) > oldest.holder.Stuck(now) {
				oldest = other
			}
		}
	}
	g.open[c] = struct{}{}
	g.mu.Unlock()
	if oldest != nil {
		oldest.giveWay()
	}
	return c, nil
}

// guarded is a connection that a guard has accepted.
type guarded struct {
	net.Conn
	guard    *guard
	holder   *quota.Holder
	answered atomic.Bool // something was written

	received, charged int64 // until answered; only one goroutine reads
}

// Read implements net.Conn.
func (c *guarded) Read(b []byte) (int, error) {
	unknown := !c.answered.Load()
	if unknown {
		b = b[:min(len(b), unknownStep)]
		if !c.chargeFor(int64(len(b))) {
			c.guard.limits.Refusals.Add(c.guard.name, NoMemory)
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errLimit}
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.holder.Progress(time.Now())
	}
	if unknown {
		c.received += int64(n)
	}
	return n, err
}

// chargeFor charges what the message takes after n more bytes.
func (c *guarded) chargeFor(n int64) bool {
	missing := unknownFactor*(c.received+n-unknownFree) - c.charged
	if missing <= 0 {
		return true
	}
	missing = (missing + unknownStep - 1) / unknownStep * unknownStep
	c.charged += missing
	return charge(context.Background(), c.guard.limits.Budget, c.holder, missing, chargeWait)
}

// Write implements net.Conn.
func (c *guarded) Write(b []byte) (int, error) {
	if !c.answered.Swap(true) {
		c.guard.limits.Budget.RefundTo(c.holder, 0)
	}
	return c.Conn.Write(b)
}

// giveWay closes the connection for another one, or since others need its memory. Its bytes
// count until the server, whose reads fail, has closed it too.
func (c *guarded) giveWay() {
	c.guard.limits.Refusals.Add(c.guard.name, Displaced)
	c.remove()
	_ = c.Conn.Close() // the server closes it again
}

func (c *guarded) remove() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	delete(c.guard.open, c)
}

// Close implements net.Conn.
func (c *guarded) Close() error {
	c.remove()
	err := c.Conn.Close()
	c.guard.limits.Budget.Close(c.holder)
	return errors.Wrap(err, "conns: close")
}
