package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core/quota"
)

// errLimit ends the reading of a connection whose client met a limit. net/http sends no
// response of its own after a *net.OpError of a read.
var errLimit = errors.New("conns: client met a limit")

// Conn is one connection. The lock of its set guards its state. A nil *Conn has no limits.
type Conn struct {
	net.Conn
	set    *Set
	holder *quota.Holder

	// The fields below belong to the goroutine of the server that serves the connection.
	charged     bool // BaseBytes are charged
	head        headCount
	headCharged int64
	extra       int64 // charged beyond BaseBytes
	bodyCharged int64 // part of extra, for the body of the request

	writingSince atomic.Int64 // begin of a write that has not returned, Unix nanoseconds; 0 if there is none

	idleSince time.Time // when the connection was opened or last became idle
	headSince time.Time // when the head that is being read began; zero if none is
	idle      bool      // reported as new or idle by the server, also while it reads the head of a request
	used      bool      // a request was read on the connection
	received  bool      // bytes arrived since the server read the head of the last request
	closed    bool      // the set closed the connection
	displaced bool      // the connection was closed for a new one
	leaves    bool      // the connection has to give way as soon as its request is answered
}

func newConn(raw net.Conn, s *Set) *Conn {
	c := &Conn{Conn: raw, set: s}
	c.holder = s.opts.Budget.Open(time.Now(), c.giveWay)
	return c
}

type connKey struct{}

// NewContext returns a context with the connection, if a Set has accepted it.
func NewContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read implements net.Conn. While the head of a request is read, it counts what arrives. It
// discards bytes that arrive after the set closed the connection, since the server would
// begin to serve them as a request.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.charged {
		if !c.charge(BaseBytes, chargeWait) {
			return 0, c.refuse(http.StatusServiceUnavailable, NoMemory)
		}
		c.charged = true
		c.extra = 0
	}
	n, err := c.Conn.Read(b)
	now := time.Now()
	c.set.mu.Lock()
	if c.closed {
		c.set.mu.Unlock()
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.received = true
		if c.idle && c.headSince.IsZero() {
			c.headSince = now
		}
	}
	inHead := c.idle
	c.set.mu.Unlock()
	if n == 0 {
		return n, err
	}
	c.holder.Progress(now)
	if inHead && !c.head.ended {
		if refused := c.countHead(b[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// countHead counts and charges a part of a head before the server parses it.
func (c *Conn) countHead(b []byte) error {
	c.head.add(b)
	if limit := c.set.headLimits().Bytes; limit > 0 && c.head.bytes > limit {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, HeadTooLarge)
	}
	if missing := c.head.cost() - freeHeadCost - c.headCharged; missing > 0 {
		missing = (missing + headStep - 1) / headStep * headStep
		if !c.charge(missing, chargeWait) {
			return c.refuse(http.StatusServiceUnavailable, NoMemory)
		}
		c.headCharged += missing
	}
	return nil
}

// refuse answers a request whose head has not been read, and waits a moment until the client
// has read the answer. The returned error ends the connection.
func (c *Conn) refuse(status int, reason Reason) error {
	c.set.opts.Refusals.Add(c.set.opts.Listener, reason)
	end := time.Now().Add(lingerTime)
	// Setting a deadline fails only on a broken connection; writing and reading then fail.
	_ = c.SetDeadline(end)
	if _, err := io.WriteString(c.Conn, refusal(status)); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errLimit}
}

// Write implements net.Conn. It writes in parts, so that a reader that makes no progress is
// noticed.
func (c *Conn) Write(b []byte) (n int, err error) {
	now := time.Now()
	for {
		part := b[n:min(len(b), n+writeChunk)]
		c.writingSince.Store(now.UnixNano())
		m, err := c.Conn.Write(part)
		n += m
		if err != nil || n >= len(b) {
			c.writingSince.Store(0)
			return n, err
		}
		now = time.Now()
		c.holder.Progress(now)
	}
}

// CloseWrite closes the connection for writing, if it supports that. net/http then waits
// before it closes the connection, so that a caller that is still sending can read the
// response before the connection is reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "conns: close for writing")
	}
	return nil
}

func (c *Conn) setState(s quota.State) {
	if c != nil {
		c.holder.SetState(time.Now(), s)
	}
}

// chargeWaiting charges n bytes until the request has been answered. It returns false if
// there is no room even after others gave way.
func (c *Conn) chargeWaiting(n int) bool { return c == nil || c.charge(int64(n), chargeWait) }

// refund returns n charged bytes before the request has been answered.
func (c *Conn) refund(n int) {
	if c == nil || n <= 0 {
		return
	}
	c.extra -= int64(n)
	c.set.opts.Budget.Refund(c.holder, int64(n))
}

// setBodyCharged records how much of what is charged is for the body of the request.
func (c *Conn) setBodyCharged(n int) {
	if c != nil {
		c.bodyCharged = int64(n)
	}
}

// ChargeAnswer must be called before an answer of n bytes is written. It returns false if the
// answer must be dropped, since there is no room for it while its reader takes it. The answer
// is in memory already, so it waits only briefly, and only a few answers wait at a time.
func (c *Conn) ChargeAnswer(n int) bool {
	if c == nil {
		return true
	}
	defer c.setState(quota.Sending)
	if n <= FreeBytes || c.tryCharge(int64(n)) == quota.Granted {
		return true
	}
	defer c.set.answerWaits.Add(-1)
	if c.set.answerWaits.Add(1) <= maxAnswerWaits && c.charge(int64(n), answerWait) {
		return true
	}
	c.refused(NoMemory)
	return false
}

// refused records that the client met a limit.
func (c *Conn) refused(reason Reason) {
	if c != nil {
		c.set.opts.Refusals.Add(c.set.opts.Listener, reason)
	}
}

// tryCharge charges n bytes or makes others give way for them.
func (c *Conn) tryCharge(n int64) quota.Verdict {
	verdict := tryCharge(c.set.opts.Budget, c.holder, n)
	if verdict == quota.Granted {
		c.extra += n
	}
	return verdict
}

// charge charges n bytes and waits for those that give way.
func (c *Conn) charge(n int64, wait time.Duration) bool {
	if !charge(context.Background(), c.set.opts.Budget, c.holder, n, wait) {
		return false
	}
	c.extra += n
	return true
}

func tryCharge(b *quota.Budget, h *quota.Holder, n int64) quota.Verdict {
	verdict, victims := b.Charge(time.Now(), h, n)
	for _, v := range victims {
		v.GiveWay()
	}
	return verdict
}

func charge(ctx context.Context, b *quota.Budget, h *quota.Holder, n int64, wait time.Duration) bool {
	verdict := tryCharge(b, h, n)
	if verdict != quota.Wait {
		return verdict == quota.Granted
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := b.Changed()
		if verdict := tryCharge(b, h, n); verdict != quota.Wait {
			return verdict == quota.Granted
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// giveWay closes the connection because others need its memory. A request that has been read
// completely in the meantime is answered first.
func (c *Conn) giveWay() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch state := c.holder.State(); {
	case state == quota.Running, state == quota.Sending && c.holder.Stuck(time.Now()) < quota.StuckAfter:
		c.leaves = true
	default:
		c.cut(Displaced)
	}
}

// cut closes the connection. The lock of the set must be held.
func (c *Conn) cut(reason Reason) {
	if c.closed {
		return
	}
	c.closed = true
	c.set.opts.Refusals.Add(c.set.opts.Listener, reason)
	_ = c.Close() // the server then reports StateClosed, and ConnState removes the connection
}

// closeIdle closes the connection if it carries no request. The lock of the set must be held.
func (c *Conn) closeIdle() {
	if c.idle && !c.received {
		c.closed = true
		_ = c.Close() // as in cut
	}
}

// slow returns the limit on time that the client exceeds, or an empty string. The lock of the
// set must be held.
func (c *Conn) slow(now time.Time, headTimeout time.Duration) Reason {
	if headTimeout > 0 && c.idle && !c.headSince.IsZero() && now.Sub(c.headSince) > headTimeout {
		return SlowHead
	}
	if since := c.writingSince.Load(); since != 0 && now.UnixNano()-since > writeTimeout.Nanoseconds() {
		return SlowReader
	}
	return ""
}
