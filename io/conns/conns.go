// Package conns knows which connections of an HTTP server carry no request, closes
// those that stay idle for too long, and ends a server without dropping the first
// request of a connection that its caller has just opened.
//
// # Usage
//
//	set := conns.New()
//	server := &http.Server{Handler: h, ConnState: set.Note}
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
	// firstRequestWait is how long after it was opened a connection may still bring
	// its first request at a shutdown: the way there and back, and a busy caller.
	// Callers that keep spare connections send nothing on them for longer.
	firstRequestWait = 500 * time.Millisecond
	// closePoll is how often a shutdown looks for connections that it can close.
	closePoll = 20 * time.Millisecond
)

// Set holds the connections of one server. Its lock covers their states; connections are
// closed while it is held, so that one on which a request has begun to arrive is left
// alone.
type Set struct {
	mu      sync.Mutex
	open    map[*conn]bool
	closing bool
}

// New returns an empty set.
func New() *Set { return &Set{open: make(map[*conn]bool)} }

// conn is one connection. The lock of its set covers its state.
type conn struct {
	net.Conn
	set *Set

	since  time.Time // when it last began to carry no request
	idle   bool      // as the server says, which reads the head of a request before it says otherwise
	used   bool      // it has carried a request
	bytes  bool      // bytes of a request came since the last request was read
	closed bool      // by the set
}

// Read implements net.Conn. What arrives after the set closed the connection is not read:
// the server would begin to serve it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.bytes = c.bytes || n > 0
	return n, err
}

// CloseWrite says that nothing more will be sent. The server waits after it, so that a
// caller who is still sending reads the answer before the connection is reset.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(w.CloseWrite(), "conns: close for writing")
	}
	return nil
}

// close closes the connection if it carries no request. The caller holds the lock.
func (c *conn) close() {
	if c.idle && !c.bytes {
		c.closed = true
		_ = c.Close() // the server notices, and Note forgets the connection
	}
}

// listener hands out connections of a set.
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

// Note implements http.Server.ConnState.
func (s *Set) Note(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return // the server does not serve a listener of this set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[c] = true
		c.since, c.idle = time.Now(), true
	case http.StateActive:
		c.idle, c.used, c.bytes = false, true, false
	case http.StateIdle:
		c.since, c.idle = time.Now(), true
	case http.StateHijacked, http.StateClosed:
		delete(s.open, c)
	}
}

// CloseIdle closes the connections that carried no request for longer than limit. The
// server's own bound cannot change while it runs.
func (s *Set) CloseIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if now.Sub(c.since) > limit {
			c.close()
		}
	}
}

// Serve serves the listener until Shutdown or the server's Close.
func (s *Set) Serve(server *http.Server, l net.Listener) error {
	err := server.Serve(listener{Listener: l, set: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || s.closing {
		return nil
	}
	return errors.Wrap(err, "conns: serve")
}

// Shutdown stops accepting connections and waits for the requests that run; the handler
// must end each connection with its answer. It replaces http.Server.Shutdown, which closes
// connections whose next request it is just reading, and drops the first request of a
// connection on which none had come when it began. Here a connection that was never used
// is served while it is young, and closed afterwards.
func (s *Set) Shutdown(ctx context.Context, server *http.Server, l net.Listener) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = l.Close() // fails only if it is closed already
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for s.closeUnneeded(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return server.Shutdown(ctx)
}

// closeUnneeded closes the connections that carry no request and need not be expected to
// carry one, and returns how many there were.
func (s *Set) closeUnneeded(now time.Time) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.used || now.Sub(c.since) >= firstRequestWait {
			c.close()
		}
	}
	return len(s.open)
}
