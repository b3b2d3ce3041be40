package telem_test

import (
	"testing"
	"time"

	"oriolebarrow/io/telem"
)

// Guards against a log that grows with the load, and against skipped lines that no
// later line reports.
func TestLineLimiter(t *testing.T) {
	l := telem.NewLineLimiter(3)
	now := time.Now()
	written, reported := 0, int64(0)
	for i := range 1000 {
		if skipped, ok := l.Allow(now.Add(time.Duration(i) * 5 * time.Millisecond)); ok {
			written++
			reported += skipped
		}
	}
	if written != 15 {
		t.Errorf("%d lines in 5 s, want 15", written)
	}
	if skipped, ok := l.Allow(now.Add(time.Minute)); !ok || reported+skipped+int64(written) != 1000 {
		t.Errorf("%d lines written, %d reported as skipped, of 1000", written, reported+skipped)
	}
}
