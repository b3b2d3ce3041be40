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
	// unusedPoll is how often a shutdown looks for connections that are still unused.
	unusedPoll = 20 * time.Millisecond
)

// mark says since when a connection carries no request, and whether it ever did.
type mark struct {
	since  time.Time
	unused bool
}

// Set holds the connections of one server that carry no request. Its lock covers all
// fields; connections are closed while it is held, so that one that is just taken into
// use is left alone.
type Set struct {
	mu      sync.Mutex
	idle    map[net.Conn]mark
	closing bool
}

// New returns an empty set.
func New() *Set { return &Set{idle: make(map[net.Conn]mark)} }

// Note implements http.Server.ConnState.
func (s *Set) Note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.idle[c] = mark{since: time.Now(), unused: state == http.StateNew}
	default:
		delete(s.idle, c)
	}
}

// CloseIdle closes the connections that carried no request for longer than limit. The
// server's own bound cannot change while it runs.
func (s *Set) CloseIdle(now time.Time, limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, m := range s.idle {
		if now.Sub(m.since) > limit {
			_ = c.Close() // the server notices, and Note forgets the connection
		}
	}
}

// Serve serves the listener until Shutdown or the server's Close.
func (s *Set) Serve(server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || s.closing {
		return nil
	}
	return errors.Wrap(err, "conns: serve")
}

// Shutdown stops accepting connections and waits for the requests that run. It replaces
// http.Server.Shutdown, which drops the first request of a connection on which none had
// come when it began: such a connection is served here while it is young, with an answer
// that ends it, and closed afterwards.
func (s *Set) Shutdown(ctx context.Context, server *http.Server, l net.Listener) error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = l.Close() // fails only if it is closed already
	server.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(unusedPoll)
	defer ticker.Stop()
	for s.closeUnused(time.Now()) > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return server.Shutdown(ctx)
}

// closeUnused closes the connections that were opened long ago and never used, and
// returns how many younger ones there are.
func (s *Set) closeUnused(now time.Time) (young int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, m := range s.idle {
		switch {
		case !m.unused:
		case now.Sub(m.since) < firstRequestWait:
			young++
		default:
			_ = c.Close() // as in CloseIdle
		}
	}
	return young
}
