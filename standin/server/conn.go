package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// reachable closes the connection of each request while the server is lost.
func (s *Server) reachable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.snapshot().Lost {
			hangUp(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// hangUp closes the connection of a request without an answer.
func hangUp(w http.ResponseWriter) bool {
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
		for old := s.maxConns.Load(); n > old && !s.maxConns.CompareAndSwap(old, n); old = s.maxConns.Load() {
		}
		if n > int64(s.limits.Connections) {
			s.overConn.Add(1)
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// costlyListener delays the first read of each connection by its set-up cost.
type costlyListener struct {
	net.Listener
	cost time.Duration
}

// Accept implements net.Listener.
func (l *costlyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &costlyConn{Conn: c, cost: l.cost}, nil
}

type costlyConn struct {
	net.Conn
	cost time.Duration
	once sync.Once
}

// Read implements net.Conn.
func (c *costlyConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.cost) })
	return c.Conn.Read(b)
}
