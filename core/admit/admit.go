// Package admit decides whether a caller's request may start.
//
// # Usage
//
//	a := admit.New()
//	release, refused := a.Admit(now, caller)
package admit

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

const concurrencyRetry = 50 * time.Millisecond

type bucket struct {
	tokens  float64
	filled  time.Time
	running int
}

// Gate admits requests by the rate and the concurrency of the caller's section.
// It is safe for concurrent use; its one lock covers all fields.
type Gate struct {
	mu      sync.Mutex
	buckets map[core.CallerName]*bucket
}

var _ core.Admitter = (*Gate)(nil)

// New returns a gate without running requests.
func New() *Gate { return &Gate{buckets: make(map[core.CallerName]*bucket)} }

// Admit takes one request of a caller.
func (g *Gate) Admit(now time.Time, c core.Caller) (func(), *core.Refusal) {
	p := c.Policy()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.buckets[c.Name()]
	if b == nil {
		b = &bucket{tokens: float64(p.Burst), filled: now}
		g.buckets[c.Name()] = b
	}
	b.tokens = min(float64(p.Burst), b.tokens+now.Sub(b.filled).Seconds()*p.Rate)
	b.filled = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / p.Rate * float64(time.Second))
		return nil, &core.Refusal{Reason: core.ReasonRate, RetryAfter: wait}
	}
	if b.running >= p.Concurrency {
		return nil, &core.Refusal{Reason: core.ReasonConcurrency, RetryAfter: concurrencyRetry}
	}
	b.tokens--
	b.running++
	var once sync.Once
	return func() { once.Do(func() { g.release(b) }) }, nil
}

func (g *Gate) release(b *bucket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.running--
}
