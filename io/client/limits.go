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

// smallAnswer is read whatever other answers hold: parts of queries are smaller.
const smallAnswer = 4 << 10

var (
	errTooLong = errors.New("body is too long")
	errHeld    = errors.New("answers that are being read hold too many bytes")
)

// held counts the bytes of the bodies that are being read, of all connections.
type held struct {
	limit int64
	used  atomic.Int64
}

// grow reserves n bytes; false when there is no room.
func (h *held) grow(n int) bool {
	if h.used.Add(int64(n)) <= h.limit {
		return true
	}
	h.used.Add(-int64(n))
	return false
}

func (h *held) shrink(n int) { h.used.Add(-int64(n)) }

// limits bound what is read of one answer.
type limits struct {
	body int
	held *held
}

// read reads up to n bytes of a body. Memory is taken as the bytes come, not as a head
// promises them.
func (l limits) read(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, smallAnswer))
	reserved := 0
	defer func() { l.held.shrink(reserved) }()
	for len(body) < n {
		if len(body) == cap(body) {
			size := min(n, 2*cap(body))
			if !l.held.grow(size) {
				return nil, errHeld
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

// boundHead limits the time in which the rest of a head may come. A head that is there
// already, as usual, costs no timer. The returned function lifts the limit.
func boundHead(c net.Conn, r *bufio.Reader) (lift func()) {
	there, err := r.Peek(r.Buffered())
	if err == nil && bytes.Contains(there, []byte("\r\n\r\n")) {
		return func() {}
	}
	// A connection that cannot have a deadline is broken; the read says so.
	_ = c.SetReadDeadline(time.Now().Add(headWithin))
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}
