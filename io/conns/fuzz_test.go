package conns_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/io/conns"
)

// sendParts sends a text in two parts on a new connection and returns the status of the first
// answer, or 0 if the connection ended without one.
func (s *server) sendParts(text string, first int) int {
	c := s.l.dial()
	defer func() { _ = c.Close() }()
	go func() {
		if _, err := io.WriteString(c, text[:first]); err == nil {
			_, _ = io.WriteString(c, text[first:])
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute)) // fails only on a closed connection
	return readStatus(c)
}

// FuzzHead guards against heads that make the server panic or hold memory beyond the budget or
// after the connection, and against a head within the limits that is refused for its size.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "\n\n\n\n", ":\r\n\r\n", "",
		"GET / HTTP/1.1\nHost: h\na:\nb:\n\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nx: y\r\n z\r\n\r\r\n\r\n", strings.Repeat("a:\n", 9000), head(headBytes, ""), head(headBytes+1, ""),
	} {
		f.Add(text, uint16(7))
	}
	f.Fuzz(func(t *testing.T, text string, first uint16) {
		synctest.Test(t, func(t *testing.T) {
			const budget = 4 << 20
			s := newServer(budget, 0)
			status := s.sendParts(text, min(int(first), len(text)))
			if used := s.budget.Used(); used < 0 || used > budget {
				t.Errorf("%d bytes are used", used)
			}
			if len(text) <= headBytes && (status == http.StatusRequestHeaderFieldsTooLarge || status == http.StatusServiceUnavailable) {
				t.Errorf("a head of at most %d bytes got status %d", len(text), status)
			}
			s.stop(t)
		})
	})
}

// FuzzChunks guards against chunked bodies that make the server panic or hold memory beyond the
// budget or after the connection, and against a body that differs from what net/http alone
// reads from the same bytes.
func FuzzChunks(f *testing.F) {
	const before = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{
		"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "2;x=y\r\nab\r\n0\r\nT: t\r\n\r\n", "ffffffffffffffffff\r\n", "-1\r\n", "1\r\nab", "0\r\n" + strings.Repeat("t:\r\n", 900) + "\r\n",
		"40001\r\n" + strings.Repeat("b", bodyLimit+1) + "\r\n0\r\n\r\n", strings.Repeat("1\r\na\r\n", 5000) + "0\r\n\r\n", "",
	} {
		f.Add(text, uint16(3))
	}
	f.Fuzz(func(t *testing.T, text string, first uint16) {
		synctest.Test(t, func(t *testing.T) {
			const budget = 4 << 20
			s := newServer(budget, 0)
			var got []byte
			s.answer = func(w http.ResponseWriter, _ *http.Request, body []byte) {
				got = body
				w.WriteHeader(statusRan)
			}
			status := s.sendParts(before+text, min(len(before)+int(first), len(before+text)))
			if used := s.budget.Used(); used < 0 || used > budget {
				t.Errorf("%d bytes are used", used)
			}
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(before + text)))
			if err != nil {
				t.Fatal(err)
			}
			want, err := io.ReadAll(req.Body)
			complete := err == nil && len(want) <= bodyLimit
			if (status == statusRan) != complete || complete && !bytes.Equal(got, want) {
				t.Errorf("got status %d and %d bytes, want %d bytes, %v", status, len(got), len(want), err)
			}
			if status == http.StatusRequestTimeout && s.meter.count(conns.SlowBody) != 1 {
				t.Error("status 408 was not counted")
			}
			s.stop(t)
		})
	})
}
