package telem

import (
	"sync"
	"time"
)

// LineLimiter allows a fixed number of log lines of one kind per second and counts the
// rejected ones, so that the log of a busy host stays bounded. It is safe for
// concurrent use.
type LineLimiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	allowed     int
	skipped     int64
}

// NewLineLimiter returns a LineLimiter that allows perSecond lines in each second.
func NewLineLimiter(perSecond int) *LineLimiter { return &LineLimiter{perSecond: perSecond} }

// Allow reports whether a line may be written now. If so, skipped is the number of
// lines that were rejected since the last allowed one.
func (l *LineLimiter) Allow(now time.Time) (skipped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.allowed = now, 0
	}
	if l.allowed >= l.perSecond {
		l.skipped++
		return 0, false
	}
	l.allowed++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
