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

// closeAfter closes the connections that were idle for longer than limit. The lock is
// held meanwhile: a connection that is just taken into use is left alone.
func (i *idle) closeAfter(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close() // the server notices, and note forgets the connection
		}
	}
}

// CloseIdle closes the callers' connections that carried no request for longer than
// the document's limits allow.
func (f *Front) CloseIdle(now time.Time) {
	if limit := f.parts.Limits().IdleTimeout; limit > 0 {
		f.idle.closeAfter(now, limit)
	}
}
