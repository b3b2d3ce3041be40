package client_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// openConns counts the connections to replicas that answer each request, except that to
// "/hang".
type openConns struct{ now, most atomic.Int64 }

func (o *openConns) dial(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	if n := o.now.Add(1); n > o.most.Load() {
		o.most.Store(n)
	}
	go func() {
		defer func() { _ = remote.Close() }()
		for read := bufio.NewReader(remote); ; {
			req, err := http.ReadRequest(read)
			if err != nil {
				return
			}
			if req.URL.Path == "/hang" {
				_, _ = io.Copy(io.Discard, read)
				return
			}
			if _, err := io.WriteString(remote, okResponse); err != nil {
				return
			}
		}
	}()
	return &openConn{Conn: local, all: o}, nil
}

// openConn is the client's end of a connection. It counts as open until it is closed.
type openConn struct {
	net.Conn
	all  *openConns
	once sync.Once
}

func (c *openConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.all.now.Add(-1) })
	return err
}

// TestAllConnections guards against a host whose connections to replicas use up the descriptors,
// against a call that is not sent although an idle connection to another replica could be
// closed, and against one without a connection that counts as a failure of the replica.
func TestAllConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const replicas, limit = 40, 8
		o := new(openConns)
		c := client.New(client.Options{Names: names, Dial: o.dial, Connections: limit})
		send := func(replica int, path string) (*client.Call, chan client.Result) {
			results := make(chan client.Result, 1)
			id := core.InstanceID(fmt.Sprint("i-", replica))
			call := c.Send(client.Target{ID: id, Address: string(id), Connections: 2},
				client.Request{ID: "r", Method: "GET", URI: path, Host: "h"}, func(r client.Result) { results <- r })
			synctest.Wait()
			return call, results
		}
		for i := range 2 * replicas {
			if _, results := send(i%replicas, "/"); (<-results).Err != nil {
				t.Fatalf("call %d was not answered", i)
			}
		}
		var hanging []*client.Call
		for i := range limit {
			call, _ := send(i, "/hang")
			hanging = append(hanging, call)
		}
		_, results := send(limit, "/")
		if r := <-results; !errors.Is(r.Err, client.ErrNoConn) || !r.NotRun || r.NoResponse {
			t.Errorf("all connections carry calls: got %+v, want ErrNoConn, not run", r)
		}
		if n := o.most.Load(); n > limit {
			t.Errorf("%d connections were open, want at most %d", n, limit)
		}
		for _, call := range hanging {
			call.Abandon(0)
		}
		synctest.Wait()
		if _, results := send(limit, "/"); (<-results).Err != nil {
			t.Error("a call was not answered although connections had been closed")
		}
		c.Close()
		synctest.Wait()
		if n := o.now.Load(); n != 0 {
			t.Errorf("%d connections are open in the end", n)
		}
	})
}
