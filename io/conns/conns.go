// Package conns tracks which connections of an HTTP server carry no request, closes
// those that stay idle for too long, and shuts a server down without dropping the first
// request on a connection that a caller has just opened.
//
// # Usage
//
//	set := conns.New()
//	server := &http.Server{Handler: h, ConnState: set.ConnState}
//	err := set.Serve(server, listener)
//	set.CloseIdle(now, limit)
//	err = set.Shutdown(ctx, server, listener)
package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
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
// arrive.
type Set struct {
	mu      sync.Mutex
	open    map[*conn]bool
	closing bool
}

// New returns an empty set.
func New() *Set { return &Set{open: make(map[*conn]bool)} }

// conn is one connection. The lock of its set guards its state.
type conn struct {
	net.Conn
	set *Set

	idleSince time.Time // when the connection was opened or last became idle
	idle      bool      // reported as new or idle by the server, also while it reads the head of a request
	used      bool      // a request was read on the connection
	received  bool      // bytes arrived since the server read the head of the last request
	closed    bool      // the set closed the connection
}

// Read implements net.Conn. It discards bytes that arrive after the set closed the
// connection, since the server would begin to serve them as a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.received = c.received || n > 0
	return n, err
}

// CloseWrite closes the connection for writing, if it supports that. net/http then waits
// before it closes the connection, so that a caller that is still sending can read the
// response before the connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "conns: close for writing")
	}
	return nil
}

// close closes the connection if it carries no request. The lock of the set must be held.
func (c *conn) close() {
	if c.idle && !c.received {
		c.closed = true
		_ = c.Close() // the server then reports StateClosed, and ConnState removes the connection
	}
}

// listener wraps each accepted connection for its set.
type listener struct {
	net.Listener
	set *Set
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, set: l.set}, nil
}

// ConnState implements http.Server.ConnState.
func (s *Set) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return // the connection was not accepted by a listener of a set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
		c.idleSince, c.idle = time.Now(), true
	case http.StateActive:
		c.idle, c.used, c.received = false, true, false
	case http.StateIdle:
		c.idleSince, c.idle = time.Now(), true
	case http.StateHijacked, http.StateClosed:
		delete(s.open, c)
	}
}

// CloseIdle closes the connections that have carried no request for longer than limit. It
// replaces http.Server.IdleTimeout, which cannot change while the server runs.
func (s *Set) CloseIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if now.Sub(c.idleSince) > limit {
			c.close()
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
			c.close()
		}
	}
	return len(s.open)
}
