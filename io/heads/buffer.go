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
		line := b.head[b.line:]
		if line[len(line)-1] != '\n' {
			continue
		}
		if len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			return n, true, nil
		}
		b.line = len(b.head)
	}
	return n, false, nil
}

// String returns the bytes added.
func (b *Buffer) String() string { return string(b.head) }

// Reset empties the buffer. It keeps no more memory than most heads need.
func (b *Buffer) Reset() {
	b.head, b.line = b.head[:0], 0
	if cap(b.head) > usualBytes {
		b.head = nil
	}
}
