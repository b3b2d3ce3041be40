package client

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Call is one request that was passed to Client.Send.
type Call struct {
	client  *Client
	target  Target
	request Request
	done    func(Result)
	start   time.Time
	size    int     // of the request in bytes, at least
	flight  *flight // in which size is reserved; nil if it is not

	connNumber atomic.Uint64 // of the connection that carries or carried the call

	mu          sync.Mutex
	conn        *conn
	abandoned   bool
	ended       bool
	cancel      context.CancelFunc // cancels the dial; nil when none runs
	lingerTimer *time.Timer
}

// Age returns the time from the start of the call to now.
func (c *Call) Age(now time.Time) time.Duration { return now.Sub(c.start) }

// Abandon tells the call that its response is no longer needed. If the response
// arrives within linger, the connection can be used again; otherwise it is closed,
// which makes the replica stop the work. The result is reported in both cases.
func (c *Call) Abandon(linger time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned || c.ended {
		return
	}
	c.abandoned = true
	if linger <= 0 {
		c.abort()
		return
	}
	c.lingerTimer = time.AfterFunc(linger, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.ended {
			c.abort()
		}
	})
}

// Unsent reports whether the call was abandoned before its request was sent. Then it never
// will be.
func (c *Call) Unsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned && c.connNumber.Load() == 0
}

// abort cancels the dial and closes the connection of the call. c.mu must be held.
func (c *Call) abort() {
	if c.cancel != nil {
		c.cancel()
	}
	if c.conn != nil {
		c.conn.abort()
	}
}

// finish ends the call and passes its result to done.
func (c *Call) finish(r Result) {
	r.Took = time.Since(c.start)
	c.mu.Lock()
	c.ended = true
	c.conn = nil
	r.Conn = c.connNumber.Load()
	if c.lingerTimer != nil {
		c.lingerTimer.Stop()
	}
	c.mu.Unlock()
	if c.flight != nil {
		c.flight.release(int64(c.size))
	}
	c.done(r)
}

// detach removes the connection from the call, so that Abandon no longer closes it:
// the connection may carry another call from then on.
func (c *Call) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// dial opens a connection and sends the request on it. If the call was abandoned
// during the dial, the connection is put into the pool instead.
func (c *Call) dial(p *pool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	conn, err := c.client.dial(ctx, c.target, p)
	if err != nil {
		p.release()
		c.finish(Result{Err: err, NotRun: true, NoResponse: !errors.Is(err, ErrNoConn)})
		return
	}
	c.mu.Lock()
	abandoned := c.abandoned
	c.cancel = nil
	c.mu.Unlock()
	if abandoned {
		p.put(conn)
		c.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	conn.run(c)
}

// attach makes conn the connection of the call. It returns false if the call was
// abandoned.
func (c *Call) attach(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.conn = conn
	c.connNumber.Store(conn.number)
	return true
}
