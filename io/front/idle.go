package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idle knows since when connections carry no request. The server's own bound cannot
// change while it runs, and the routing document's may.
type idle struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdle() *idle { return &idle{since: make(map[net.Conn]time.Time)} }

// note implements http.Server.ConnState.
func (i *idle) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		i.since[c] = time.Now()
	default:
		delete(i.since, c)
	}
}

// expired returns the connections that were idle for longer than limit.
func (i *idle) expired(now time.Time, limit time.Duration) (conns []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			conns = append(conns, c)
		}
	}
	return conns
}

// CloseIdle closes the callers' connections that carried no request for longer than
// the document's limits allow.
func (f *Front) CloseIdle(now time.Time) {
	limit := f.parts.Limits().IdleTimeout
	if limit <= 0 {
		return
	}
	for _, c := range f.idle.expired(now, limit) {
		_ = c.Close() // the server notices and forgets the connection
	}
}
