package telem

import (
	"sync"
	"time"
)

// Limiter lets a number of log lines of one kind through in each second and
// counts the others, so that a busy host's log stays bounded. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	begin   time.Time
	lines   int
	skipped int64
}

// NewLimiter returns a limiter of a number of lines a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written now, and how many were left out
// since the last one that was.
func (l *Limiter) Allow(now time.Time) (skipped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.begin) >= time.Second {
		l.begin, l.lines = now, 0
	}
	if l.lines >= l.perSecond {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
