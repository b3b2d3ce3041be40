package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// repeatingReplica is a stand-in that rejects the first request on each connection, and
// sends the rejection a second time after it has received the next one. It executes all
// other requests.
type repeatingReplica struct {
	dials, open, most atomic.Int32
	ran               atomic.Int32
	release           chan struct{} // closed to let it respond
}

func (r *repeatingReplica) dial(context.Context, string, string) (net.Conn, error) {
	r.dials.Add(1)
	r.most.Store(max(r.most.Load(), r.open.Add(1)))
	clientEnd, serverEnd := net.Pipe()
	go r.serve(serverEnd)
	return &countedConn{Conn: clientEnd, open: &r.open}, nil
}

// countedConn counts as open until its first Close.
type countedConn struct {
	net.Conn
	open   *atomic.Int32
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func (r *repeatingReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	read := bufio.NewReader(c)
	rejection := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		<-r.release
		if n == 0 {
			rejection = fmt.Sprintf("HTTP/1.1 503 Busy\r\nReq-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Req-Id"))
			_, _ = io.WriteString(c, rejection)
			continue
		}
		if n == 1 {
			_, _ = io.WriteString(c, rejection)
		}
		r.ran.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReq-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Req-Id"))
	}
}

// TestCallsOfOneRequest guards against two calls of one request on the same connection,
// where a late copy of the response to the first is taken for the response to the second.
// It also guards against more connections than needed, or than the limit allows.
func TestCallsOfOneRequest(t *testing.T) {
	for _, c := range []struct {
		idle  int   // connections that other requests have used before
		limit int   // of connections
		dials int32 // connections opened for four calls
	}{
		{idle: 0, limit: 1, dials: 4},
		{idle: 0, limit: 6, dials: 4},
		{idle: 2, limit: 2, dials: 2},
		{idle: 2, limit: 3, dials: 2},
		{idle: 6, limit: 6, dials: 0},
	} {
		t.Run(fmt.Sprintf("%d of %d connections are idle", c.idle, c.limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &repeatingReplica{release: make(chan struct{})}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				to := client.Target{ID: "i-1", Address: "10.0.0.1:80", Connections: c.limit}
				results := make(chan client.Result, c.limit)
				send := func(id string, earlier ...*client.Call) *client.Call {
					return cl.Send(to, client.Request{ID: core.RequestID(id), Method: "POST", URI: "/", Host: "h", Earlier: earlier},
						func(r client.Result) { results <- r })
				}
				for n := range c.idle {
					send(fmt.Sprint("first ", n))
				}
				synctest.Wait() // until each has its own connection
				close(r.release)
				for range c.idle {
					<-results
				}
				synctest.Wait()
				before := r.dials.Load()
				if int(before) != c.idle {
					t.Fatalf("%d connections are idle, want %d", before, c.idle)
				}
				var calls []*client.Call
				for n := range 4 {
					ran := r.ran.Load()
					calls = append(calls, send("order", calls...))
					res := <-results
					synctest.Wait()
					if runs := r.ran.Load() - ran; res.Err != nil || res.NotRun != (runs == 0) {
						t.Errorf("call %d: got %v with not run %v, but the replica ran it %d times", n, res.Err, res.NotRun, runs)
					}
				}
				if dials := r.dials.Load() - before; dials != c.dials {
					t.Errorf("%d connections were opened, want %d", dials, c.dials)
				}
				if most := r.most.Load(); int(most) > c.limit {
					t.Errorf("%d connections were open, want at most %d", most, c.limit)
				}
				send("last")
				if res := <-results; res.Reply.Status != 200 {
					t.Errorf("the next request got status %d (%v), want 200", res.Reply.Status, res.Err)
				}
			})
		})
	}
}

// TestRepeatedProbeResponse guards against a late copy of the response to a health probe,
// which has no request ID, that is taken for the response to an order: a copied rejection
// would imply that the order did not run.
func TestRepeatedProbeResponse(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(response, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{response, response + okResponse}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				if got := send(cl, ""); got.Err != nil {
					t.Errorf("probe: got %v", got.Err)
				}
				if got := send(cl, "r"); got.NotRun || got.Err == nil && string(got.Reply.Body) != "ok" {
					t.Errorf("order: got %+v, but the replica ran it", got)
				}
			})
		})
	}
}
