package heads

import (
	"bytes"

	"github.com/pkg/errors"
)

const (
	// MaxBytes bounds a head.
	MaxBytes = 16 << 10
	// usualBytes is enough for most heads.
	usualBytes = 512
)

// ErrTooLong is returned for a head of more than MaxBytes.
var ErrTooLong = errors.New("response head is too long")

// Buffer collects the bytes of one head. The zero value is an empty buffer.
type Buffer struct {
	head []byte
	line int // where the current line starts
}

// Add adds bytes up to the end of the head. It returns how many belong to the head, and
// whether the head is complete.
func (b *Buffer) Add(p []byte) (n int, complete bool, err error) {
	if b.head == nil {
		b.head = make([]byte, 0, usualBytes)
	}
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n') + 1
		if end == 0 {
			end = len(p) - n
		}
		if len(b.head)+end > MaxBytes {
			return n, false, ErrTooLong
		}
		b.head = append(b.head, p[n:n+end]...)
		n += end
		if b.head[len(b.head)-1] != '\n' {
			continue
		}
		if line := string(b.head[b.line:]); line == "\r\n" || line == "\n" {
			return n, true, nil
		}
		b.line = len(b.head)
	}
	return n, false, nil
}

// Len returns the number of bytes added.
func (b *Buffer) Len() int { return len(b.head) }

// String returns the bytes added.
func (b *Buffer) String() string { return string(b.head) }

// Reset empties the buffer. It keeps no more memory than most heads need.
func (b *Buffer) Reset() {
	b.head, b.line = b.head[:0], 0
	if cap(b.head) > usualBytes {
		b.head = nil
	}
}
