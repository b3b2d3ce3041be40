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

const (
	// concurrencyRetry is the first hint after a refusal for concurrency; it
	// grows with the refusals that follow, up to maxRetry, so that callers of a
	// storm do not all come back at once.
	concurrencyRetry = 50 * time.Millisecond
	maxRetry         = 5 * time.Second
	// defaultTotal bounds the requests in flight of one small entry host: at
	// 130 shards each, about 130,000 shard calls.
	defaultTotal = 1024
	// lowShare of the total is open to every priority; the rest opens in equal
	// steps up to the highest priority.
	lowShare   = 0.6
	priorities = 10
)

// Options configures a gate.
type Options struct {
	Total  int  // requests in flight on this host, over all callers
	NoFair bool // takes the shares of callers out
}

type bucket struct {
	tokens  float64
	filled  time.Time
	hinted  time.Time // latest time that was given as a hint
	running int
	refused int // in a row, for concurrency
}

// Gate admits requests by the rate and the concurrency of the caller's section.
// When the host is busy, a caller that runs less than its fair share is still
// admitted, and low priorities are refused first. It is safe for concurrent
// use; its one lock covers all fields.
type Gate struct {
	opts Options

	mu      sync.Mutex
	buckets map[core.CallerName]*bucket
	running int
	active  int // callers with a request in flight
}

var _ core.Admitter = (*Gate)(nil)

// New returns a gate without running requests.
func New() *Gate { return NewGate(Options{Total: defaultTotal}) }

// NewGate is New with options.
func NewGate(o Options) *Gate {
	return &Gate{opts: o, buckets: make(map[core.CallerName]*bucket)}
}

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
	b.fill(now, p)
	if b.tokens < 1 {
		return nil, &core.Refusal{Reason: core.ReasonRate, RetryAfter: b.hint(now, p)}
	}
	if b.running >= p.Concurrency || g.full(b, p) {
		b.refused++
		wait := concurrencyRetry * time.Duration(1+b.refused/max(1, p.Concurrency))
		return nil, &core.Refusal{Reason: core.ReasonConcurrency, RetryAfter: min(maxRetry, wait)}
	}
	b.refused = 0
	b.tokens--
	if b.running == 0 {
		g.active++
	}
	b.running++
	g.running++
	var once sync.Once
	return func() { once.Do(func() { g.release(b) }) }, nil
}

// fill adds the tokens since the last request. Requests may arrive here out of
// the order of their times, so that now can lie before the last one.
func (b *bucket) fill(now time.Time, p core.CallerPolicy) {
	if now.After(b.filled) {
		b.tokens += now.Sub(b.filled).Seconds() * p.Rate
		b.filled = now
	}
	b.tokens = min(float64(p.Burst), b.tokens)
}

// hint returns when to try again. Each refusal gets a later time, one request
// of the rate apart: with the same hint for all, a storm would come back as one.
func (b *bucket) hint(now time.Time, p core.CallerPolicy) time.Duration {
	next := now.Add(time.Duration((1 - b.tokens) / p.Rate * float64(time.Second)))
	if after := b.hinted.Add(time.Duration(float64(time.Second) / p.Rate)); after.After(next) {
		next = after
	}
	if limit := now.Add(maxRetry); next.After(limit) {
		return maxRetry
	}
	b.hinted = next
	return next.Sub(now)
}

// full reports whether the host has no room for another request of a caller.
func (g *Gate) full(b *bucket, p core.CallerPolicy) bool {
	if g.opts.Total <= 0 {
		return false
	}
	share := lowShare + (1-lowShare)*float64(p.Priority+1)/priorities
	if float64(g.running) < share*float64(g.opts.Total) {
		return false
	}
	active := g.active
	if b.running == 0 {
		active++
	}
	// The n-th caller to arrive gets up to total/n beyond the total, so that ten
	// callers have at most three times the total in flight.
	return g.opts.NoFair || b.running >= max(1, g.opts.Total/active)
}

func (g *Gate) release(b *bucket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b.running--
	g.running--
	if b.running == 0 {
		g.active--
	}
}
