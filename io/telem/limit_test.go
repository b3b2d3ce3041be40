package telem_test

import (
	"testing"
	"time"

	"oriolebarrow/io/telem"
)

// TestLimiter guards against a log that grows with the load, and against lines
// that are left out without a trace.
func TestLimiter(t *testing.T) {
	l := telem.NewLimiter(3)
	now := time.Now()
	written, left := 0, int64(0)
	for i := range 1000 {
		if skipped, ok := l.Allow(now.Add(time.Duration(i) * 5 * time.Millisecond)); ok {
			written++
			left += skipped
		}
	}
	if written != 15 {
		t.Errorf("%d lines in 5 s, want 15", written)
	}
	if skipped, ok := l.Allow(now.Add(time.Minute)); !ok || left+skipped+int64(written) != 1000 {
		t.Errorf("%d lines written, %d reported as left out, of 1000", written, left+skipped)
	}
}
