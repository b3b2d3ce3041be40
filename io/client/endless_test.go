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

// endless is a set of replicas that send bytes which are no answer until the caller
// closes. Replicas whose address is "10.0.0.1:80" are sound.
type endless struct {
	first, next string        // what is sent, and what is repeated after it
	gap         time.Duration // between the repetitions
	sent        atomic.Int64
	open        atomic.Int64
}

func (e *endless) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	e.open.Add(1)
	go func() {
		defer e.open.Add(-1)
		defer func() { _ = far.Close() }()
		read := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(read); err != nil {
				return
			}
			if address == target.Address {
				_, _ = far.Write([]byte(answer))
				continue
			}
			e.babble(far)
			return
		}
	}()
	return near, nil
}

func (e *endless) babble(c net.Conn) {
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
	replicas  = 200
	bodyBytes = 64 << 10
	heldBytes = 1 << 20
	headBytes = 16 << 10
	// extraBytes of an answer may be read beyond the bound: one buffer, and the writes
	// that are on the way.
	extraBytes = 8 << 10
)

var babble = map[string]*endless{
	"head without a line end": {first: "HTTP/1.1 200 OK\r\nX: ", next: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
	"no HTTP":                 {first: "\x00", next: "\x00\x01\x02\x03\x04\x05\x06\x07"},
	"fields without end":      {first: "HTTP/1.1 200 OK\r\n", next: "X-More: and more of the same\r\n"},
	"interim without end":     {first: "HTTP/1.1 100 Continue\r\n\r\n", next: "HTTP/1.1 100 Continue\r\n\r\n"},
	"body without a length":   {first: "HTTP/1.1 200 OK\r\nReq-Id: r\r\n\r\n", next: "0123456789abcdef0123456789abcdef0123456789abcdef"},
	"chunks without end":      {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", next: "10\r\n0123456789abcdef\r\n"},
	"chunk extension":         {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", next: "x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
	"chunk size":              {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", next: "0000000000000000000"},
	"trailers without end":    {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", next: "X-More: and more of the same\r\n"},
	"slow head":               {first: "HTTP/1.1 200 OK\r\n", next: "X: y\r\n", gap: 100 * time.Millisecond},
	"late answers":            {first: foreign, next: foreign},
}

// TestBytesWithoutEnd guards against replicas that hold connections, memory and time by
// sending without end what is no answer, many at once: each connection is closed after a
// bounded number of bytes, within a bounded time, and sound replicas are read meanwhile.
func TestBytesWithoutEnd(t *testing.T) {
	for name, kind := range babble {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &endless{first: kind.first, next: kind.next, gap: kind.gap}
				c := client.New(client.Options{Names: names, Dial: e.dial, BodyBytes: bodyBytes, HeldBytes: heldBytes})
				defer c.Close()
				results := make(chan client.Result, replicas)
				for i := range replicas {
					c.Send(client.Target{ID: core.InstanceID(fmt.Sprint("i-", i)), Address: "10.0.0.2:80", Connections: 1},
						client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r })
				}
				sound := send(c, "r")
				if sound.Err != nil || string(sound.Reply.Body) != "ok" {
					t.Errorf("a sound replica: %v", sound.Err)
				}
				begin := time.Now()
				for range replicas {
					r := <-results
					if r.Err == nil || r.NotRun {
						t.Fatalf("got status %d, not run %v, error %v", r.Reply.Status, r.NotRun, r.Err)
					}
				}
				if took := time.Since(begin); took > time.Second {
					t.Errorf("the calls ended after %v", took)
				}
				synctest.Wait()
				<-time.After(2 * kind.gap)
				synctest.Wait()
				if n := e.open.Load(); n != 1 {
					t.Errorf("%d connections are open, want that to the sound replica", n)
				}
				if most := int64(replicas * (bodyBytes + headBytes + extraBytes)); e.sent.Load() > most {
					t.Errorf("%d bytes were read, want at most %d", e.sent.Load(), most)
				}
			})
		})
	}
}

// TestHeldBytes guards against memory for bodies that many replicas have begun to send:
// what does not fit is not read, and small answers always are.
func TestHeldBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		big := &endless{first: "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", next: "0123456789abcdef", gap: time.Millisecond}
		c := client.New(client.Options{Names: names, Dial: big.dial, BodyBytes: bodyBytes, HeldBytes: heldBytes})
		defer c.Close()
		results := make(chan client.Result, replicas)
		for i := range replicas {
			c.Send(client.Target{ID: core.InstanceID(fmt.Sprint("i-", i)), Address: "10.0.0.2:80", Connections: 1},
				client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(r client.Result) { results <- r })
		}
		refused := 0
		for range replicas {
			select {
			case r := <-results:
				if r.Err != nil {
					refused++
				}
			case <-time.After(10 * time.Second):
				t.Fatal("a call does not end")
			}
		}
		// Each of the others held its whole body at its end.
		if held := (replicas - refused) * 60000; held > 2*heldBytes {
			t.Errorf("%d bytes were held, want about %d", held, heldBytes)
		}
		if r := send(c, "r"); r.Err != nil {
			t.Errorf("a small answer: %v", r.Err)
		}
		<-time.After(2 * big.gap) // the replicas notice the close at their next write
	})
}
