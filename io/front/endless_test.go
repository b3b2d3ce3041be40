package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// connListener is a listener that accepts the connections of a channel.
type connListener struct{ conns chan net.Conn }

func (l connListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l connListener) Close() error   { return nil }
func (l connListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestEndlessRequests guards against callers that keep a host busy by a head or a body that
// does not end. Within a bounded time they must get a response that rejects the request, or
// the connection must be closed; no replica may get the request.
func TestEndlessRequests(t *testing.T) {
	const head = "POST /a/ HTTP/1.1\r\nHost: h.example\r\nReq-Id: r\r\nLeft-Ms: 800\r\n"
	for _, c := range []struct {
		name, first, next string
		status            int // 0 if the connection is closed without a response
		within            time.Duration
	}{
		{"endless chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 413, 100 * time.Millisecond},
		{"missing chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "", 408, 900 * time.Millisecond},
		{"incomplete body", head + "Content-Length: 9\r\n\r\nab", "", 408, 900 * time.Millisecond},
		{"endless chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", 400, 900 * time.Millisecond},
		{"endless fields", head, "X-More: and more of the same\r\n", 431, 11 * time.Second},
		{"incomplete head", head, "", 0, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := make(chan *http.Request, 1)
				f := newFront(t, "", got)
				server, l := f.Server(), connListener{make(chan net.Conn, 1)}
				clientEnd, serverEnd := net.Pipe()
				l.conns <- serverEnd
				served := make(chan error, 1)
				go func() { served <- server.Serve(l) }()
				go func() {
					_, err := io.WriteString(clientEnd, c.first)
					for c.next != "" && err == nil {
						_, err = io.WriteString(clientEnd, c.next)
					}
				}()
				begin := time.Now()
				res, err := http.ReadResponse(bufio.NewReader(clientEnd), nil)
				status := 0
				if err == nil {
					status = res.StatusCode
				}
				if took := time.Since(begin); status != c.status || took > c.within {
					t.Errorf("got status %d (%v) after %v, want %d within %v", status, err, took, c.status, c.within)
				}
				select {
				case req := <-got:
					t.Errorf("a replica got the request %s", fmt.Sprint(req.Method, req.RequestURI))
				default:
				}
				_ = clientEnd.Close()
				close(l.conns)
				<-served
				_ = server.Close()
				<-time.After(time.Second) // the server delays closing a connection after such a response
			})
		})
	}
}
