// Package admit admits or rejects the requests of callers: it limits the rate and the
// number of concurrent requests of each caller, and the requests in flight on the host.
//
// # Usage
//
//	l := admit.New()
//	release, refused := l.Admit(now, caller)
//	if refused != nil {
//		return refused
//	}
//	defer release()
package admit

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	// concurrencyRetry is the smallest retry hint after a rejection because of
	// concurrency. The hint grows with the number of rejections in a row, up to
	// maxRetry, so that the requests of a burst do not all return at once.
	concurrencyRetry = 50 * time.Millisecond
	maxRetry         = 5 * time.Second
	// defaultTotal limits the requests in flight on one small host. With 130
	// shards each, they make about 130,000 shard calls.
	defaultTotal = 1024
	// baseShare is the part of the total that requests of every priority may use.
	// Priority n may also use n+1 tenths of the rest, so the highest priority, 9,
	// may use the whole total.
	baseShare  = 0.6
	priorities = 10
)

// Options configures a Limiter.
type Options struct {
	Total       int  // limit of the requests in flight on this host, of all callers; 0 means no limit
	NoFairShare bool // also rejects callers below their fair share when the host is at capacity
}

// bucket contains the token bucket of one caller and its requests in flight.
type bucket struct {
	tokens   float64
	filledAt time.Time // when tokens were last added
	lastHint time.Time // latest time for which a retry hint was given
	running  int       // requests in flight
	rejected int       // requests rejected in a row because of concurrency
}

// Limiter admits requests within the rate and the concurrency of the caller's policy.
// When the host is at capacity, it still admits a caller that runs fewer requests than
// its fair share. It rejects low priorities before high ones. It is safe for concurrent
// use; its one lock guards all fields but opts.
type Limiter struct {
	opts Options

	mu      sync.Mutex
	buckets map[core.CallerName]*bucket
	running int
	active  int // callers with a request in flight
}

var _ core.Admitter = (*Limiter)(nil)

// New returns a Limiter with the default limit of the requests in flight.
func New() *Limiter { return NewWithOptions(Options{Total: defaultTotal}) }

// NewWithOptions returns a Limiter with the given options.
func NewWithOptions(o Options) *Limiter {
	return &Limiter{opts: o, buckets: make(map[core.CallerName]*bucket)}
}

// Admit decides about one request of a caller. It returns a function that must be called
// when the admitted request ends, or the reason of the rejection and a retry hint.
func (l *Limiter) Admit(now time.Time, c core.Caller) (func(), *core.Refusal) {
	p := c.Policy()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.Name()]
	if b == nil {
		b = &bucket{tokens: float64(p.Burst), filledAt: now}
		l.buckets[c.Name()] = b
	}
	b.fill(now, p)
	if b.tokens < 1 {
		return nil, &core.Refusal{Reason: core.ReasonRate, RetryAfter: b.retryAfter(now, p)}
	}
	if b.running >= p.Concurrency || l.full(b, p) {
		b.rejected++
		wait := concurrencyRetry * time.Duration(1+b.rejected/max(1, p.Concurrency))
		return nil, &core.Refusal{Reason: core.ReasonConcurrency, RetryAfter: min(maxRetry, wait)}
	}
	b.rejected = 0
	b.tokens--
	if b.running == 0 {
		l.active++
	}
	b.running++
	l.running++
	var once sync.Once
	return func() { once.Do(func() { l.release(b) }) }, nil
}

// fill adds the tokens earned since the last fill. Requests may arrive here in another
// order than that of their times, so now can be earlier than the last fill.
func (b *bucket) fill(now time.Time, p core.CallerPolicy) {
	if now.After(b.filledAt) {
		b.tokens += now.Sub(b.filledAt).Seconds() * p.Rate
		b.filledAt = now
	}
	b.tokens = min(float64(p.Burst), b.tokens)
}

// retryAfter returns the retry hint of a request that is rejected because of the rate.
// The hints of successive rejections differ by the time between two requests at the
// rate: with the same hint for all, the requests of a burst would return at once.
func (b *bucket) retryAfter(now time.Time, p core.CallerPolicy) time.Duration {
	next := now.Add(time.Duration((1 - b.tokens) / p.Rate * float64(time.Second)))
	if after := b.lastHint.Add(time.Duration(float64(time.Second) / p.Rate)); after.After(next) {
		next = after
	}
	if limit := now.Add(maxRetry); next.After(limit) {
		return maxRetry
	}
	b.lastHint = next
	return next.Sub(now)
}

// full reports whether the host is at capacity for another request of a caller.
func (l *Limiter) full(b *bucket, p core.CallerPolicy) bool {
	if l.opts.Total <= 0 {
		return false
	}
	share := baseShare + (1-baseShare)*float64(p.Priority+1)/priorities
	if float64(l.running) < share*float64(l.opts.Total) {
		return false
	}
	active := l.active
	if b.running == 0 {
		active++
	}
	// The n-th active caller may run up to total/n requests even beyond the total,
	// so ten callers run at most three times the total.
	return l.opts.NoFairShare || b.running >= max(1, l.opts.Total/active)
}

// release records the end of an admitted request.
func (l *Limiter) release(b *bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.running--
	l.running--
	if b.running == 0 {
		l.active--
	}
}
