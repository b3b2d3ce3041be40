package remote_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// endlessServer is a stand-in for backend servers that send bytes which never form an answer,
// until the connection is closed or far too many have been accepted.
type endlessServer struct {
	first, next string // sent once, and sent repeatedly after it
	sent        atomic.Int64
	wg          sync.WaitGroup
}

func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.wg.Go(func() {
		defer func() { _ = server.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		for text := echoCallID(s.first, req); err == nil && s.sent.Load() <= 2*endlessLimit; text = s.next {
			n := 0
			n, err = io.WriteString(server, text)
			s.sent.Add(int64(n))
		}
	})
	return client, nil
}

const (
	endlessRows  = 64 << 10 // limit of the rows of a read
	endlessReads = 50
	// endlessSlack is how much a server may send beyond the limits on a head and on a body:
	// the JSON fields around the rows, buffers, and the writes in progress.
	endlessSlack     = 16 << 10
	endlessHeadBytes = 16 << 10
	endlessLimit     = endlessReads * (endlessHeadBytes + endlessRows + endlessSlack)
)

// TestEndlessAnswers guards against servers whose bytes are kept without a limit, in a head or
// in a body. The read must fail as soon as a limit is reached, and prove nothing.
func TestEndlessAnswers(t *testing.T) {
	for name, s := range map[string]*endlessServer{
		"head without a line end":   {first: "HTTP/1.1 200 OK\r\nX: ", next: strings.Repeat("x", 64)},
		"not HTTP":                  {first: "\r\n\x00", next: "\x00\x01\x02\x03\x04\x05\x06\x07"},
		"endless fields":            {first: "HTTP/1.1 200 OK\r\n", next: "X-More: and more of the same\r\n"},
		"endless short fields":      {first: "HTTP/1.1 200 OK\r\n", next: "a:\r\n"},
		"endless interim responses": {first: "HTTP/1.1 100 Continue\r\n\r\n", next: "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without a length":     {first: "HTTP/1.1 200 OK\r\n\r\n", next: strings.Repeat("0", 64)},
		"body of an error":          {first: "HTTP/1.1 503 Busy\r\n\r\n", next: strings.Repeat("0", 64)},
		"endless chunks":            {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", next: "10\r\n0123456789abcdef\r\n"},
		"endless chunk extension":   {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", next: "x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"endless trailers":          {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", next: "X-More: and more of the same\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := remote.New(remote.Options{Connections: endlessReads, Dial: s.dial})
				var reads sync.WaitGroup
				for range endlessReads {
					reads.Go(func() {
						rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, MaxBytes: endlessRows, Deadline: time.Now().Add(time.Second)})
						var call *core.CallError
						if !errors.As(err, &call) || call.NotRun {
							t.Errorf("rows %q, error %v, want an error that proves nothing", rows, err)
						}
					})
				}
				reads.Wait()
				client.Close()
				s.wg.Wait()
				if n := s.sent.Load(); n > endlessLimit {
					t.Errorf("%d bytes were sent for %d reads, want at most %d", n, endlessReads, endlessLimit)
				}
			})
		})
	}
}
