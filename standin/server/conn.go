package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// closeWhenLost closes the connection of each request while Faults.Lost is set.
func (s *Server) closeWhenLost(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.currentFaults().Lost {
			closeConn(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// closeConn closes the connection of a request without an answer. It reports whether
// the connection is closed.
func closeConn(w http.ResponseWriter) bool {
	h, ok := w.(http.Hijacker)
	if !ok {
		return false
	}
	c, _, err := h.Hijack()
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// connState counts connections and closes those above the limit.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		n := s.conns.Add(1)
		for peak := s.peakConns.Load(); n > peak && !s.peakConns.CompareAndSwap(peak, n); peak = s.peakConns.Load() {
		}
		if n > int64(s.limits.Connections) {
			s.overLimit.Add(1)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// delayedListener delays the first read of each connection by a set-up cost.
type delayedListener struct {
	net.Listener
	cost time.Duration
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: c, cost: l.cost}, nil
}

type delayedConn struct {
	net.Conn
	cost time.Duration
	once sync.Once
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.cost) })
	return c.Conn.Read(b)
}
