package client_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/client"
)

var names = core.HeaderNames{
	RequestID: "Req-Id", Deadline: "Left-Ms", Stamp: "Stamp", Expect: "Expect-Instance", Instance: "Instance",
	NotRun: "Not-Run", Load: "Load", RetryAfter: "Retry-After", Leaving: "Leaving", Warmup: "Warm-Left",
}

// replica is a stand-in that sends the next script as its response to each request.
// For "" it closes the connection, for "silent" it sends nothing, and after a script with
// the field X-Cut it closes the connection.
type replica struct {
	scripts []string
	dials   atomic.Int32
	seen    []string
}

func (r *replica) dial(context.Context, string, string) (net.Conn, error) {
	r.dials.Add(1)
	clientEnd, serverEnd := net.Pipe()
	go r.serve(serverEnd)
	return clientEnd, nil
}

func (r *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	read := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		r.seen = append(r.seen, req.Method+" "+req.RequestURI+" "+req.Header.Get("Left-Ms")+" "+req.Header.Get("Expect-Instance"))
		script := r.scripts[0]
		r.scripts = r.scripts[1:]
		if script == "" {
			return
		}
		if script == "silent" {
			_, _ = read.ReadByte()
			return
		}
		if _, err := c.Write([]byte(script)); err != nil || strings.Contains(script, "\r\nX-Cut") {
			return
		}
	}
}

var target = client.Target{ID: "i-1", Address: "10.0.0.1:80", Connections: 2}

func send(c *client.Client, id string) client.Result {
	results := make(chan client.Result, 1)
	c.Send(target, client.Request{ID: core.RequestID(id), Method: "GET", URI: "/a?b", Host: "h", Remaining: time.Second},
		func(r client.Result) { results <- r })
	synctest.Wait()
	select {
	case r := <-results:
		return r
	default:
		return client.Result{Err: context.DeadlineExceeded}
	}
}

// sendOrAbandon is like send, but abandons the call if there is no response.
func sendOrAbandon(c *client.Client, id string) client.Result {
	results := make(chan client.Result, 1)
	call := c.Send(target, client.Request{ID: core.RequestID(id), Method: "GET", URI: "/a?b", Host: "h", Remaining: time.Second},
		func(r client.Result) { results <- r })
	synctest.Wait()
	select {
	case r := <-results:
		return r
	default:
		call.Abandon(0)
		return client.Result{Err: context.DeadlineExceeded}
	}
}

const (
	okResponse    = "HTTP/1.1 200 OK\r\nReq-Id: r\r\nStamp: s\r\nLoad: 1,2,3\r\nContent-Length: 2\r\n\r\nok"
	chunked       = "HTTP/1.1 200 OK\r\nReq-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
	otherResponse = "HTTP/1.1 200 OK\r\nReq-Id: other\r\nContent-Length: 3\r\n\r\nbad"
)

// TestResponses guards against an incomplete response or one to another request that is
// accepted, and against a request that is wrongly reported as not executed.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, script string
		body         string
		fails        bool
		notRun       bool
		dials        int32 // connections opened for this request and a second one
	}{
		{name: "content length", script: okResponse, body: "ok", dials: 1},
		{name: "chunked", script: chunked, body: "ok", dials: 1},
		{name: "interim response", script: "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, body: "ok", dials: 1},
		{name: "connection close", script: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", body: "ok", dials: 2},
		{name: "no length", script: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nX-Cut: 1\r\n\r\nok", body: "ok", dials: 2},
		{name: "truncated body", script: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nX-Cut: 1\r\nContent-Length: 9\r\n\r\nok", fails: true, dials: 2},
		{name: "truncated chunk", script: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nX-Cut: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", fails: true, dials: 2},
		{name: "no response", script: "", fails: true, dials: 2},
		{name: "not HTTP", script: "\x00\x01\x02 what\r\n\r\n", fails: true, dials: 2},
		{name: "no request id", script: "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok", fails: true, dials: 2},
		{name: "rejected, no request id", script: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", fails: true, dials: 2},
		{name: "another instance, no request id", script: "HTTP/1.1 421 Misdirected Request\r\nInstance: i-9\r\nContent-Length: 0\r\n\r\n", fails: true, dials: 2},
		{name: "conflicting lengths", script: "HTTP/1.1 200 OK\r\nReq-Id: r\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!", fails: true, dials: 2},
		{name: "bytes after the response", script: okResponse + "HTTP/1.1 200", body: "ok", dials: 2},
		{name: "late response to an earlier request", script: otherResponse + okResponse, body: "ok", dials: 1},
		{name: "another instance", script: "HTTP/1.1 421 Misdirected Request\r\nReq-Id: r\r\nInstance: i-9\r\nContent-Length: 0\r\n\r\n", notRun: true, dials: 1},
		{name: "rejected, not executed", script: "HTTP/1.1 503 Busy\r\nReq-Id: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", notRun: true, dials: 1},
		{name: "failed after execution", script: "HTTP/1.1 503 Busy\r\nReq-Id: r\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", dials: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{c.script, okResponse}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				got := send(cl, "r")
				if (got.Err != nil) != c.fails || got.NotRun != c.notRun || string(got.Reply.Body) != c.body {
					t.Errorf("got %+v", got)
				}
				if second := send(cl, "r"); string(second.Reply.Body) != "ok" {
					t.Errorf("second request: got %+v", second)
				}
				if n := r.dials.Load(); n != c.dials {
					t.Errorf("got %d connections, want %d", n, c.dials)
				}
				if diff := cmp.Diff([]string{"GET /a?b 1000 i-1", "GET /a?b 1000 i-1"}, r.seen); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestLoad guards against a load field that is parsed wrongly or accepted although it is
// invalid.
func TestLoad(t *testing.T) {
	for field, want := range map[string]*picker.Load{
		"1,2,3":        {Running: 1, Waiting: 2, Slots: 3},
		"1, 2, 3, 250": {Running: 1, Waiting: 2, Slots: 3, ServiceTimePct: 250},
		"1,2,3,100,7":  {Running: 1, Waiting: 2, Slots: 3, ServiceTimePct: 100},
		"1,2":          nil,
		"1,2,x":        nil,
		"1,-2,3":       nil,
		"":             nil,
	} {
		t.Run(field, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{strings.Replace(okResponse, "1,2,3", field, 1)}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				if diff := cmp.Diff(want, send(cl, "r").Reply.Load); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestConnectionLimit guards against more connections to a replica than the target
// allows.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replica{scripts: []string{"silent", "silent", "silent"}}
		cl := client.New(client.Options{Names: names, Dial: r.dial})
		defer cl.Close()
		var calls []*client.Call
		results := make(chan client.Result, 3)
		for range 3 {
			calls = append(calls, cl.Send(target, client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r }))
			synctest.Wait()
		}
		got := <-results
		if !got.NotRun || r.dials.Load() != 2 {
			t.Errorf("third call: got %+v after %d connections, want not run after 2", got, r.dials.Load())
		}
		for _, call := range calls[:2] {
			call.Abandon(0)
			if got := <-results; got.Err == nil || got.NotRun {
				t.Errorf("abandoned call: got %+v", got)
			}
		}
	})
}

// TestAbandonedCallKeepsConnection guards against closing the connection of a call that was
// abandoned because its hedge won, although its response arrives within the linger time.
func TestAbandonedCallKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		dials := 0
		cl := client.New(client.Options{Names: names, Dial: func(context.Context, string, string) (net.Conn, error) {
			dials++
			return clientEnd, nil
		}})
		defer cl.Close()
		go func() {
			read := bufio.NewReader(serverEnd)
			for {
				if _, err := http.ReadRequest(read); err != nil {
					return
				}
				<-time.After(100 * time.Millisecond) // a pause of the replica
				if _, err := serverEnd.Write([]byte(okResponse)); err != nil {
					return
				}
			}
		}()
		results := make(chan client.Result, 2)
		for range 2 {
			call := cl.Send(target, client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r })
			synctest.Wait() // until the request was sent
			call.Abandon(300 * time.Millisecond)
			if got := <-results; got.Err != nil {
				t.Errorf("got %v", got.Err)
			}
		}
		if dials != 1 {
			t.Errorf("got %d connections, want 1", dials)
		}
	})
}

// FuzzAnswer guards against bytes from a replica that make the program panic, let a call
// hang, or are returned as the response to a later request.
func FuzzAnswer(f *testing.F) {
	for _, script := range []string{
		okResponse, chunked, otherResponse + okResponse, okResponse + "HTTP/1.1 200",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\n\r\n", "\r\n\r\n", "HTTP/1.1 200\n\n",
	} {
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script string) {
		if script == "" || script == "silent" || strings.Contains(script, "\r\nX-Cut") {
			t.Skip("has a special meaning for the stand-in replica")
		}
		synctest.Test(t, func(t *testing.T) {
			r := &replica{scripts: []string{script, okResponse, okResponse}}
			cl := client.New(client.Options{Names: names, Dial: r.dial})
			defer cl.Close()
			first := sendOrAbandon(cl, "r")
			if first.Err == nil && (first.Reply.Status < 200 || first.Reply.Status > 599) {
				t.Errorf("status %d was accepted as a final response", first.Reply.Status)
			}
			synctest.Wait()
			second := sendOrAbandon(cl, "r")
			if second.Err == nil && string(second.Reply.Body) != "ok" {
				t.Errorf("the later request got %q, want ok", second.Reply.Body)
			}
		})
	})
}
