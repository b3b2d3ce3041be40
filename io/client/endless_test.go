package client_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// endlessReplicas is a stand-in for replicas that send bytes which never form a response,
// until the connection is closed. The replica with the address of target responds
// correctly.
type endlessReplicas struct {
	first, next string        // sent once, and sent repeatedly after it
	gap         time.Duration // between the repetitions
	sent        atomic.Int64  // bytes
	open        atomic.Int64  // connections
}

func (e *endlessReplicas) dial(_ context.Context, _, address string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	e.open.Add(1)
	go func() {
		defer e.open.Add(-1)
		defer func() { _ = serverEnd.Close() }()
		read := bufio.NewReader(serverEnd)
		for {
			if _, err := http.ReadRequest(read); err != nil {
				return
			}
			if address == target.Address {
				_, _ = serverEnd.Write([]byte(okResponse))
				continue
			}
			e.sendEndless(serverEnd)
			return
		}
	}()
	return clientEnd, nil
}

func (e *endlessReplicas) sendEndless(c net.Conn) {
	text := e.first
	for {
		n, err := c.Write([]byte(text))
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		text = e.next
		if e.gap > 0 {
			<-time.After(e.gap)
		}
	}
}

const (
	replicas    = 200
	bodyBytes   = 64 << 10
	bufferBytes = 1 << 20
	headBytes   = 16 << 10
	// extraBytes is how much may be sent for one response beyond the limits: the read
	// buffer and the writes in progress.
	extraBytes = 8 << 10
)

var endlessCases = map[string]*endlessReplicas{
	"head without a line end":            {first: "HTTP/1.1 200 OK\r\nX: ", next: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
	"not HTTP":                           {first: "\x00", next: "\x00\x01\x02\x03\x04\x05\x06\x07"},
	"endless fields":                     {first: "HTTP/1.1 200 OK\r\n", next: "X-More: and more of the same\r\n"},
	"endless interim responses":          {first: "HTTP/1.1 100 Continue\r\n\r\n", next: "HTTP/1.1 100 Continue\r\n\r\n"},
	"body without a length":              {first: "HTTP/1.1 200 OK\r\nReq-Id: r\r\n\r\n", next: "0123456789abcdef0123456789abcdef0123456789abcdef"},
	"endless chunks":                     {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", next: "10\r\n0123456789abcdef\r\n"},
	"endless chunk extension":            {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", next: "x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
	"endless chunk size":                 {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", next: "0000000000000000000"},
	"endless trailers":                   {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", next: "X-More: and more of the same\r\n"},
	"slow head":                          {first: "HTTP/1.1 200 OK\r\n", next: "X: y\r\n", gap: 100 * time.Millisecond},
	"late responses to earlier requests": {first: otherResponse, next: otherResponse},
}

// TestEndlessResponses guards against many replicas that use up connections, memory and
// time at once by sending bytes that never form a response. Each connection must be closed
// after a bounded number of bytes and a bounded time, and the response of a healthy replica
// must be read in the meantime.
func TestEndlessResponses(t *testing.T) {
	for name, c := range endlessCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &endlessReplicas{first: c.first, next: c.next, gap: c.gap}
				cl := client.New(client.Options{Names: names, Dial: e.dial, BodyBytes: bodyBytes, BufferBytes: bufferBytes})
				defer cl.Close()
				results := make(chan client.Result, replicas)
				for i := range replicas {
					cl.Send(client.Target{ID: core.InstanceID(fmt.Sprint("i-", i)), Address: "10.0.0.2:80", Connections: 1},
						client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r })
				}
				healthy := send(cl, "r")
				if healthy.Err != nil || string(healthy.Reply.Body) != "ok" {
					t.Errorf("healthy replica: got error %v", healthy.Err)
				}
				begin := time.Now()
				for range replicas {
					r := <-results
					if r.Err == nil || r.NotRun {
						t.Fatalf("got status %d, not run %v, error %v", r.Reply.Status, r.NotRun, r.Err)
					}
				}
				if took := time.Since(begin); took > time.Second {
					t.Errorf("the calls ended after %v, want at most 1s", took)
				}
				synctest.Wait()
				<-time.After(2 * c.gap)
				synctest.Wait()
				if n := e.open.Load(); n != 1 {
					t.Errorf("%d connections are open, want 1 to the healthy replica", n)
				}
				if limit := int64(replicas * (bodyBytes + headBytes + extraBytes)); e.sent.Load() > limit {
					t.Errorf("%d bytes were sent, want at most %d", e.sent.Load(), limit)
				}
			})
		})
	}
}

// TestBodyMemoryLimit guards against too much memory for the bodies that many replicas send
// at the same time. A body that exceeds the limit must fail; small responses must always
// be read.
func TestBodyMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		big := &endlessReplicas{first: "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", next: "0123456789abcdef", gap: time.Millisecond}
		c := client.New(client.Options{Names: names, Dial: big.dial, BodyBytes: bodyBytes, BufferBytes: bufferBytes})
		defer c.Close()
		results := make(chan client.Result, replicas)
		for i := range replicas {
			// No ID may equal that of target: the small response would be read on a connection
			// to this replica if its own call succeeded.
			c.Send(client.Target{ID: core.InstanceID(fmt.Sprint("big-", i)), Address: "10.0.0.2:80", Connections: 1},
				client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r })
		}
		failed := 0
		for range replicas {
			select {
			case r := <-results:
				if r.Err != nil {
					failed++
				}
			case <-time.After(10 * time.Second):
				t.Fatal("a call did not end within 10s")
			}
		}
		// Each successful call had its whole body in memory when it ended.
		if total := (replicas - failed) * 60000; total > 2*bufferBytes {
			t.Errorf("bodies of %d bytes were read, want at most twice %d", total, bufferBytes)
		}
		if r := send(c, "r"); r.Err != nil {
			t.Errorf("small response: got error %v", r.Err)
		}
		<-time.After(2 * big.gap) // the replicas see the closed connections at their next write
	})
}
