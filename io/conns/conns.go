// Package conns tracks which connections of an HTTP server carry no request, closes
// those that stay idle for too long, and shuts a server down without dropping the first
// request on a connection that a caller has just opened. It bounds the number of
// connections and what their clients make the host hold; docs/design/client-limits.md
// describes how.
//
// # Usage
//
//	set := conns.NewLimited(conns.Options{Connections: 1000, Budget: budget})
//	server := &http.Server{Handler: h, ConnState: set.ConnState}
//	err := set.Serve(server, listener)
//	set.CloseIdle(now, limit)
//	err = set.Shutdown(ctx, server, listener)
package conns

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core/quota"
)

const (
	// firstRequestWait is how long after its opening a connection is kept for its first
	// request during a shutdown. It covers a round trip and the delay of a busy caller.
	// A connection that is unused for longer is a spare one and can be closed.
	firstRequestWait = 500 * time.Millisecond
	// closePoll is the interval at which a shutdown looks for connections to close.
	closePoll = 20 * time.Millisecond
)

// Set holds the connections of one server. Its lock guards their states and is held while
// a connection is closed, so that no connection is closed on which a request has begun to
// arrive. Lock order: the lock of a set before that of its budget.
type Set struct {
	opts        Options
	answerWaits atomic.Int64  // answers that wait until others have given way
	removed     chan struct{} // gets a value when a displaced connection has ended

	mu           sync.Mutex
	open         map[*Conn]bool
	closing      bool
	closingCount int // displaced connections that have not ended
	// newcomer is closed when a connection was displaced for a new one that waits; nil if none
	// does.
	newcomer chan struct{}
}

// New returns an empty set without limits.
func New() *Set { return NewLimited(Options{}) }

// NewLimited returns an empty set with limits.
func NewLimited(o Options) *Set {
	if o.Budget == nil {
		o.Budget = quota.New(math.MaxInt64)
	}
	return &Set{opts: o, open: make(map[*Conn]bool), removed: make(chan struct{}, 1)}
}

// listener wraps each accepted connection for its set.
type listener struct {
	net.Listener
	set *Set
}

// Accept implements net.Listener. If the set has reached its limit, the connection that was
// idle or stuck longest is closed for the new one.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.set.makeRoom() {
			return newConn(raw, l.set), nil
		}
		l.set.opts.Refusals.Add(l.set.opts.Listener, NoConnection)
		_ = raw.Close() // nothing was read or written
	}
}

// makeRoom makes room for a new connection. It returns false if all connections carry
// requests that are being served.
func (s *Set) makeRoom() bool {
	if s.opts.Connections <= 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open)-s.closingCount >= s.opts.Connections && !s.displaceOne() {
		return false
	}
	for s.closingCount > maxClosing {
		s.mu.Unlock()
		select {
		case <-s.removed:
		case <-time.After(closingWait):
		}
		s.mu.Lock()
	}
	return true
}

// displaceOne closes the connection that was idle or stuck longest. If all carry running
// requests or are new, it waits a moment: for the next request that is answered, since callers
// that send one after the other would keep out those that come later, or until a new connection
// has had time for its first request, since otherwise the next one would take its place. It
// returns false if there is none. The lock of the set must be held; it is given up meanwhile.
func (s *Set) displaceOne() bool {
	for end := time.Now().Add(newcomerWait); ; {
		now := time.Now()
		wait := end.Sub(now)
		if victim := s.longestStuck(now); victim != nil {
			stuck := victim.holder.Stuck(now)
			if stuck >= newcomerTime {
				s.displace(victim)
				return true
			}
			wait = min(wait, newcomerTime-stuck)
		}
		if wait <= 0 {
			return false
		}
		if s.awaitAnswer(wait) {
			return true
		}
	}
}

// awaitAnswer waits until a connection whose request was answered has been displaced for a new
// one. The lock of the set must be held; it is given up meanwhile.
func (s *Set) awaitAnswer(wait time.Duration) bool {
	answered := make(chan struct{})
	s.newcomer = answered
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Unlock()
	select {
	case <-answered:
	case <-timer.C:
	}
	s.mu.Lock()
	if s.newcomer == answered {
		s.newcomer = nil
		return false
	}
	return true
}

func (s *Set) displace(c *Conn) {
	c.displaced = true
	s.closingCount++
	c.cut(Displaced)
}

// longestStuck returns the connection that was idle or stuck longest, or nil. The lock of the
// set must be held.
func (s *Set) longestStuck(now time.Time) *Conn {
	var victim *Conn
	var longest time.Duration
	for c := range s.open {
		stuck, state := c.holder.Stuck(now), c.holder.State()
		if c.closed || state == quota.Running || state == quota.Sending && stuck < quota.StuckAfter {
			continue
		}
		if !c.used {
			stuck *= unusedWeight
		}
		if victim == nil || stuck > longest {
			victim, longest = c, stuck
		}
	}
	return victim
}

// ConnState implements http.Server.ConnState.
func (s *Set) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return // the connection was not accepted by a listener of a set
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
		c.idleSince, c.idle = now, true
	case http.StateActive:
		c.idle, c.used, c.received, c.headSince = false, true, false, time.Time{}
		c.holder.SetState(now, quota.Running)
	case http.StateIdle:
		c.idleSince, c.idle = now, true
		c.head, c.headCharged, c.bodyCharged = headCount{}, 0, 0
		if c.extra > 0 {
			c.extra = 0
			s.opts.Budget.RefundTo(c.holder, BaseBytes)
		}
		c.holder.SetState(now, quota.Receiving)
		switch {
		case s.newcomer != nil && !c.closed:
			close(s.newcomer)
			s.newcomer = nil
			s.displace(c)
		case c.leaves:
			c.cut(Displaced)
		}
	case http.StateHijacked, http.StateClosed:
		delete(s.open, c)
		s.opts.Budget.Close(c.holder)
		if c.displaced {
			s.closingCount--
			select {
			case s.removed <- struct{}{}:
			default: // Accept has not noticed the last one yet, or does not wait
			}
		}
	}
}

func (s *Set) headLimits() HeadLimits {
	if s.opts.Head == nil {
		return HeadLimits{}
	}
	return s.opts.Head()
}

// CloseIdle closes the connections that have carried no request for longer than limit, if
// that is not 0, those whose head takes too long, and those whose reader is stuck. It
// replaces http.Server.IdleTimeout, which cannot change while the server runs.
func (s *Set) CloseIdle(now time.Time, limit time.Duration) {
	headTimeout := s.headLimits().Timeout
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if limit > 0 && now.Sub(c.idleSince) > limit {
			c.closeIdle()
		}
		if reason := c.slow(now, headTimeout); reason != "" {
			c.cut(reason)
		}
	}
}

// Watch calls CloseIdle each second with the limit that idle returns, until ctx ends.
func (s *Set) Watch(ctx context.Context, idle func() time.Duration) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.CloseIdle(now, idle())
		}
	}
}

// Serve serves connections of a listener until Shutdown or the server's Close is called.
func (s *Set) Serve(server *http.Server, l net.Listener) error {
	err := server.Serve(listener{Listener: l, set: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || s.closing {
		return nil
	}
	return errors.Wrap(err, "conns: serve")
}

// Shutdown stops accepting connections and waits for running requests. From its beginning,
// the handler must send "Connection: close" with each response. http.Server.Shutdown would
// close a connection while it reads the next request from it, and drop the first request of
// a connection that had carried none when the shutdown began. This method keeps a connection
// that has carried no request open until firstRequestWait after its opening.
func (s *Set) Shutdown(ctx context.Context, server *http.Server, l net.Listener) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = l.Close() // fails only if the listener is closed already
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for s.closeForShutdown(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return server.Shutdown(ctx)
}

// closeForShutdown closes the connections that carry no request, except those that may
// still receive their first one. It returns the number of connections, including those
// that it has just closed.
func (s *Set) closeForShutdown(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.used || now.Sub(c.idleSince) >= firstRequestWait {
			c.closeIdle()
		}
	}
	return len(s.open)
}
