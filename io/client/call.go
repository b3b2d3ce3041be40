package client

import (
	"context"
	"sync"
	"time"
)

// Call is one request on its way.
type Call struct {
	client  *Client
	target  Target
	request Request
	done    func(Result)
	start   time.Time

	mu       sync.Mutex
	conn     *conn
	left     bool // the caller abandoned the call
	ended    bool
	cancel   context.CancelFunc // ends a dial
	lingerer *time.Timer
}

// Age returns the time since the start.
func (c *Call) Age(now time.Time) time.Duration { return now.Sub(c.start) }

// Abandon says that nobody waits for the answer. A connection whose answer comes
// within linger can be used again; later it is closed, which ends the work at
// the replica. The call still reports its end.
func (c *Call) Abandon(linger time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left || c.ended {
		return
	}
	c.left = true
	if linger <= 0 {
		c.breakOff()
		return
	}
	c.lingerer = time.AfterFunc(linger, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.ended {
			c.breakOff()
		}
	})
}

// breakOff closes what the call uses. The caller holds the lock.
func (c *Call) breakOff() {
	if c.cancel != nil {
		c.cancel()
	}
	if c.conn != nil {
		c.conn.abort()
	}
}

func (c *Call) finish(r Result) {
	r.Took = time.Since(c.start)
	c.mu.Lock()
	c.ended = true
	c.conn = nil
	if c.lingerer != nil {
		c.lingerer.Stop()
	}
	c.mu.Unlock()
	c.done(r)
}

// detach unties the call from its connection, which may carry another call from
// now on.
func (c *Call) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// dial opens a connection for the call. If the call was abandoned meanwhile,
// the connection stays for the next one.
func (c *Call) dial(p *pool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	conn, err := c.client.open(ctx, c.target, p)
	if err != nil {
		p.release()
		c.finish(Result{Err: err, NotRun: true, Silent: true})
		return
	}
	c.mu.Lock()
	left := c.left
	c.cancel = nil
	c.mu.Unlock()
	if left {
		p.put(conn)
		c.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	conn.run(c)
}

// attach ties the call to its connection; false when the caller left already.
func (c *Call) attach(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return false
	}
	c.conn = conn
	return true
}
