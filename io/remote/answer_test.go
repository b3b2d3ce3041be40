package remote_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// piped serves one request with a raw response on each in-memory connection.
type piped struct {
	answer string
	delay  time.Duration

	mu   sync.Mutex
	open int
	most int
	wait sync.WaitGroup
}

func (p *piped) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.mu.Lock()
	p.open++
	p.most = max(p.most, p.open)
	p.mu.Unlock()
	p.wait.Go(func() {
		defer func() { _ = server.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(p.delay)
		_, _ = io.WriteString(server, p.answer)
	})
	return &counted{Conn: client, from: p}, nil
}

// counted is an open connection of the client.
type counted struct {
	net.Conn
	from *piped
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() {
		c.from.mu.Lock()
		defer c.from.mu.Unlock()
		c.from.open--
	})
	return c.Conn.Close()
}

func answerOf(body, checked string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		remote.ChecksumHeader, remote.Checksum([]byte(checked)), length, body)
}

// Guards against rows from an answer that is corrupt, cut off, unchecked, or for
// another snapshot or shard. No such answer proves that the call did not run.
func TestWrongAnswers(t *testing.T) {
	const good = `{"snapshot":41,"shard":3,"rows":[1,2]}`
	const bad = `{"snapshot":41,"shard":3,"rows":[1,3]}`
	for name, c := range map[string]struct {
		answer string
		reason core.Reason
	}{
		"good":           {answerOf(good, good, len(good)), ""},
		"corrupt":        {answerOf(bad, good, len(bad)), core.ReasonWrongAnswer},
		"truncated":      {answerOf(good[:20], good, 20), core.ReasonWrongAnswer},
		"cut off":        {answerOf(good[:20], good, len(good)), core.ReasonBackendError},
		"no checksum":    {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(good), good), core.ReasonWrongAnswer},
		"wrong snapshot": {wrong(`{"snapshot":42,"shard":3,"rows":[1,2]}`), core.ReasonWrongAnswer},
		"wrong shard":    {wrong(`{"snapshot":41,"shard":4,"rows":[1,2]}`), core.ReasonWrongAnswer},
		"no rows":        {wrong(`{"snapshot":41,"shard":3}`), core.ReasonWrongAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &piped{answer: c.answer}
				client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
				rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
				client.Close()
				p.wait.Wait()
				var call *core.CallError
				switch {
				case c.reason == "":
					if err != nil || string(rows) != "[1,2]" {
						t.Errorf("%s, %v", rows, err)
					}
				case !errors.As(err, &call) || call.Reason != c.reason || call.NotRun || rows != nil:
					t.Errorf("rows %s, error %v, want %s", rows, err, c.reason)
				}
			})
		})
	}
}

func wrong(body string) string { return answerOf(body, body, len(body)) }

// Guards against more connections to a replica than the bound.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = `{"snapshot":41,"shard":3,"rows":[]}`
		p := &piped{answer: wrong(body), delay: 10 * time.Millisecond}
		client := remote.New(remote.Options{Connections: 20, Dial: p.dial})
		client.Bound("b", 3)
		var wait sync.WaitGroup
		for range 12 {
			wait.Go(func() {
				if _, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)}); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		client.Close()
		p.wait.Wait()
		if p.most != 3 {
			t.Errorf("%d connections, want 3", p.most)
		}
	})
}
