package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got for one request.
type answer struct {
	id     string
	host   string
	sent   time.Time
	took   time.Duration
	status int // 0 if the connection ended without a whole answer
	header http.Header
	body   []byte
	err    error
}

// caller keeps one connection to a host and sends one request at a time.
type caller struct {
	host string // address
	conn net.Conn
	in   *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for its answer, a second longer than the deadline that
// it states.
func (c *caller) send(method, name, path, id string, deadline time.Duration, body []byte) (a answer) {
	a = answer{id: id, host: c.host, sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, name, id, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, b.String()+string(body)); err != nil {
		a.err = err
		c.close()
		return a
	}
	res, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err == nil {
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = res.StatusCode, res.Header
	if res.Close {
		c.close()
	}
	return a
}
