package remote_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// pipeServer answers one request on each in-memory connection with a raw response.
type pipeServer struct {
	response string
	delay    time.Duration
	silence  time.Duration // before the connection is closed

	mu        sync.Mutex
	openConns int
	maxOpen   int
	wg        sync.WaitGroup
}

func (p *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.mu.Lock()
	p.openConns++
	p.maxOpen = max(p.maxOpen, p.openConns)
	p.mu.Unlock()
	p.wg.Go(func() {
		defer func() { _ = server.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(p.delay)
		_, _ = io.WriteString(server, echoCallID(p.response, req))
		time.Sleep(p.silence)
	})
	return &countedConn{Conn: client, parent: p}, nil
}

// countedConn is the client's end of a connection. It counts as open in parent until it
// is closed.
type countedConn struct {
	net.Conn
	parent *pipeServer
	once   sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.parent.mu.Lock()
		defer c.parent.mu.Unlock()
		c.parent.openConns--
	})
	return c.Conn.Close()
}

// rawResponse returns an HTTP response with the given body and Content-Length and the
// checksum of the string checksummed.
func rawResponse(body, checksummed string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		remote.ChecksumHeader, remote.Checksum([]byte(checksummed)), length, body)
}

// TestWrongAnswers guards against accepting a response that is corrupt, truncated,
// without a checksum, or for another snapshot or shard, and against treating it as proof
// that the call did not run.
func TestWrongAnswers(t *testing.T) {
	const good = `{"snapshot":41,"shard":3,"rows":[1,2]}`
	const bad = `{"snapshot":41,"shard":3,"rows":[1,3]}`
	for name, c := range map[string]struct {
		response string
		reason   core.Reason
	}{
		"good":                    {rawResponse(good, good, len(good)), ""},
		"corrupt":                 {rawResponse(bad, good, len(bad)), core.ReasonWrongAnswer},
		"truncated":               {rawResponse(good[:20], good, 20), core.ReasonWrongAnswer},
		"connection closed early": {rawResponse(good[:20], good, len(good)), core.ReasonBackendError},
		"no checksum":             {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(good), good), core.ReasonWrongAnswer},
		"wrong snapshot":          {okResponse(`{"snapshot":42,"shard":3,"rows":[1,2]}`), core.ReasonWrongAnswer},
		"wrong shard":             {okResponse(`{"snapshot":41,"shard":4,"rows":[1,2]}`), core.ReasonWrongAnswer},
		"no rows":                 {okResponse(`{"snapshot":41,"shard":3}`), core.ReasonWrongAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipeServer{response: c.response}
				client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
				rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
				client.Close()
				p.wg.Wait()
				var call *core.CallError
				switch {
				case c.reason == "":
					if err != nil || string(rows) != "[1,2]" {
						t.Errorf("rows %s, error %v, want [1,2]", rows, err)
					}
				case !errors.As(err, &call) || call.Reason != c.reason || call.NotRun || rows != nil:
					t.Errorf("rows %s, error %v, want no rows and reason %s", rows, err, c.reason)
				}
			})
		})
	}
}

// TestOddStatuses guards against a status that HTTP does not define being taken for success,
// or for proof that the call did not run.
func TestOddStatuses(t *testing.T) {
	const body = `{"snapshot":41,"shard":3,"rows":[1,2]}`
	const refusal = `{"refused":"busy","ran":false}`
	for _, code := range []string{"000", "+20", "2 0", "099", "100", "600", "999", "20"} {
		for _, body := range []string{body, refusal} {
			testOddStatus(t, code, body)
		}
	}
}

func testOddStatus(t *testing.T, code, body string) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeServer{response: strings.Replace(okResponse(body), "200 OK", code+" Odd", 1)}
		client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
		rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
		client.Close()
		p.wg.Wait()
		var call *core.CallError
		if !errors.As(err, &call) || call.NotRun || rows != nil {
			t.Errorf("%q: rows %s, error %v, want an error that proves nothing", code, rows, err)
		}
	})
}

// okResponse returns an HTTP response with the right checksum and length of its body.
func okResponse(body string) string { return rawResponse(body, body, len(body)) }

// TestConnectionLimit guards against more connections to a replica than its limit.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = `{"snapshot":41,"shard":3,"rows":[]}`
		p := &pipeServer{response: okResponse(body), delay: 10 * time.Millisecond}
		client := remote.New(remote.Options{Connections: 20, Dial: p.dial})
		client.SetConnectionLimit("b", 3)
		var wg sync.WaitGroup
		for range 12 {
			wg.Go(func() {
				if _, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		client.Close()
		p.wg.Wait()
		if p.maxOpen != 3 {
			t.Errorf("at most %d open connections, want 3", p.maxOpen)
		}
	})
}

// TestTruncatedAnswers guards against an answer that is cut at any byte of its head or body
// and is accepted as complete, or as proof that the call did not run.
func TestTruncatedAnswers(t *testing.T) {
	for _, whole := range []string{
		okResponse(`{"snapshot":41,"shard":3,"rows":[]}`),
		strings.Replace(okResponse(`{"refused":"busy","ran":false}`), "200 OK", "503 Busy", 1),
	} {
		for size := range len(whole) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipeServer{response: whole[:size]}
				client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
				rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
				client.Close()
				p.wg.Wait()
				var call *core.CallError
				if !errors.As(err, &call) || call.NotRun {
					t.Errorf("cut after %q: rows %s, error %v, want an error that is no proof", whole[:size], rows, err)
				}
			})
		}
	}
}
