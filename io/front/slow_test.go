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

// pipes is a listener of one connection.
type pipes struct{ conns chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// TestCallersThatSendWithoutEnd guards against callers who hold a host by a head or a
// body that does not end: they get an answer that says "not run", or a closed
// connection, within a bounded time.
func TestCallersThatSendWithoutEnd(t *testing.T) {
	const head = "POST /a/ HTTP/1.1\r\nHost: h.example\r\nReq-Id: r\r\nLeft-Ms: 800\r\n"
	for _, c := range []struct {
		name, first, next string
		status            int // 0: closed without an answer
		within            time.Duration
	}{
		{"chunks, fast", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 413, 100 * time.Millisecond},
		{"chunks, slow", head + "Transfer-Encoding: chunked\r\n\r\n", "", 408, 900 * time.Millisecond},
		{"length, slow", head + "Content-Length: 9\r\n\r\nab", "", 408, 900 * time.Millisecond},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0", 400, 900 * time.Millisecond},
		{"fields", head, "X-More: and more of the same\r\n", 431, 11 * time.Second},
		{"half a head", head, "", 0, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := make(chan *http.Request, 1)
				f := newFront(t, "", got)
				server, l := f.Server(), pipes{make(chan net.Conn, 1)}
				near, far := net.Pipe()
				l.conns <- far
				served := make(chan error, 1)
				go func() { served <- server.Serve(l) }()
				go func() {
					_, err := io.WriteString(near, c.first)
					for c.next != "" && err == nil {
						_, err = io.WriteString(near, c.next)
					}
				}()
				begin := time.Now()
				res, err := http.ReadResponse(bufio.NewReader(near), nil)
				status := 0
				if err == nil {
					status = res.StatusCode
				}
				if took := time.Since(begin); status != c.status || took > c.within {
					t.Errorf("got %d (%v) after %v, want %d within %v", status, err, took, c.status, c.within)
				}
				select {
				case req := <-got:
					t.Errorf("a replica got %s", fmt.Sprint(req.Method, req.RequestURI))
				default:
				}
				_ = near.Close()
				close(l.conns)
				<-served
				_ = server.Close()
				<-time.After(time.Second) // the server lingers after an answer that ends a connection
			})
		})
	}
}
