package heads_test

import (
	"errors"
	"strings"
	"testing"

	"oriolebarrow/io/heads"
)

// TestBuffer guards against an end of a head that is missed or found too early, wherever the
// bytes are cut into pieces.
func TestBuffer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\nA: b\n\n", "HTTP/1.1 200 OK\r\nA:\r\r\n\n", "\r\n", "\n", "a\n\r\n", "a\r\n\n",
	} {
		received := head + "\r\n\r\nbody\n\n"
		for first := range len(received) {
			var b heads.Buffer
			n, complete, err := b.Add([]byte(received[:first]))
			if !complete && err == nil {
				var m int
				m, complete, err = b.Add([]byte(received[n:]))
				n += m
			}
			if err != nil || !complete || n != len(head) || b.String() != head {
				t.Errorf("%q cut at %d: took %d bytes and has %q, complete %v, error %v", received, first, n, b.String(), complete, err)
			}
		}
	}
}

// TestBufferLimit guards against a head without end that is kept.
func TestBufferLimit(t *testing.T) {
	for _, piece := range []string{"x", "\r", "X: y\r\n", "\x00\x01", strings.Repeat("x", 3*heads.MaxBytes)} {
		var b heads.Buffer
		var err error
		taken := 0
		for err == nil && taken <= heads.MaxBytes {
			var n int
			n, _, err = b.Add([]byte(piece))
			taken += n
		}
		if !errors.Is(err, heads.ErrTooLong) || len(b.String()) > heads.MaxBytes {
			t.Errorf("%.10q: error %v after %d bytes, %d are kept", piece, err, taken, len(b.String()))
		}
	}
	var b heads.Buffer
	whole := "X: " + strings.Repeat("x", heads.MaxBytes-7) + "\r\n\r\n"
	if n, complete, err := b.Add([]byte(whole)); n != len(whole) || !complete || err != nil {
		t.Errorf("head of %d bytes: took %d, complete %v, error %v", len(whole), n, complete, err)
	}
}

// TestBufferReset guards against a head that begins with bytes of the head before it.
func TestBufferReset(t *testing.T) {
	var b heads.Buffer
	for _, head := range []string{"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		b.Reset()
		if _, complete, err := b.Add([]byte(head)); !complete || err != nil || b.String() != head {
			t.Errorf("got %q, complete %v, error %v, want %q", b.String(), complete, err, head)
		}
	}
}
