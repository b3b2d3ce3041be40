package client

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// unreservedBytes is how much of each body is read without a reservation. The responses
// that are gathered for a query are smaller, so they can be read even when the memory
// limit is reached.
const unreservedBytes = 4 << 10

var (
	errTooLong     = errors.New("response body is too long")
	errMemoryLimit = errors.New("memory limit for response bodies is reached")
)

// memoryBudget limits the bytes of the bodies that are being read on all connections.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes, or returns false if that would exceed the limit.
func (m *memoryBudget) reserve(n int) bool {
	if m.used.Add(int64(n)) <= m.limit {
		return true
	}
	m.used.Add(-int64(n))
	return false
}

func (m *memoryBudget) release(n int) { m.used.Add(-int64(n)) }

// limits contains the limits for reading the body of one response.
type limits struct {
	bodyBytes int
	memory    *memoryBudget
}

// read reads up to n bytes of a body. It reserves and allocates memory as the bytes
// arrive, since a replica may announce a length that it never sends.
func (l limits) read(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, unreservedBytes))
	reserved := 0
	defer func() { l.memory.release(reserved) }()
	for len(body) < n {
		if len(body) == cap(body) {
			size := min(n, 2*cap(body))
			if !l.memory.reserve(size) {
				return nil, errMemoryLimit
			}
			reserved += size
			body = append(make([]byte, 0, size), body...)
		}
		m, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+m]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// startHeadTimeout limits the time until the rest of a head has arrived. If the whole
// head is buffered already, which is usual, it sets no deadline, which saves a timer.
// The returned function removes the limit.
func startHeadTimeout(c net.Conn, r *bufio.Reader) (stop func()) {
	buffered, err := r.Peek(r.Buffered())
	if err == nil && bytes.Contains(buffered, []byte("\r\n\r\n")) {
		return func() {}
	}
	// Setting a deadline fails only on a broken connection; the read then returns an
	// error.
	_ = c.SetReadDeadline(time.Now().Add(headTimeout))
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}
