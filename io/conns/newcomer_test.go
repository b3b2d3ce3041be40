package conns_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestNewcomers guards against callers that get no connection while others send one request after
// the other on all of them, and against new connections that close each other before their first
// request has arrived.
func TestNewcomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, work = 4, 30 * time.Millisecond
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		s := newServer(8<<20, limit)
		s.answer = func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			<-time.After(work)
			w.WriteHeader(statusRan)
		}
		end := time.Now().Add(3 * time.Second)
		for range 2 * limit {
			go func() { // connects again when its connection is closed
				for time.Now().Before(end) {
					for c := s.l.dial(); time.Now().Before(end) && ask(c, request); {
					}
					<-time.After(time.Millisecond)
				}
			}()
		}
		<-time.After(time.Second)
		for i := range 10 {
			c := s.l.dial()
			<-time.After(5 * time.Millisecond) // to the caller and back
			if !ask(c, request) {
				t.Errorf("caller %d was not answered", i)
			}
		}
		<-time.After(time.Until(end) + time.Second)
		s.stop(t)
	})
}

func ask(c net.Conn, request string) bool {
	_, err := fmt.Fprint(c, request)
	return err == nil && readStatus(c) == statusRan
}
