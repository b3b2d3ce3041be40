package budget

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	// slices of a window are counted together.
	slices = 20
	// kept slices cover two windows, and one slice more, since the newest one has
	// only begun.
	kept = 2*slices + 1
	// headroom of the share is left for calls that this host counts later than
	// the replica sees them.
	headroom = 0.9
	// startShare of the minimum may be spent at once after a start; the rest is
	// earned within a window.
	startShare = 0.25
)

// ExtraLimits bounds the calls beyond the first of each request: hedges and
// retries, of all hosts together.
type ExtraLimits struct {
	Window  time.Duration
	Ratio   float64 // of the requests for a service
	Minimum float64 // extra calls that are always allowed in a window
}

// Extra limits the extra calls of this host to each service in any window: to the
// ratio of the requests of that window, the one before it or the one half a window
// before it, whichever has most, and the minimum. Each host has its share of the
// minimum, an equal one unless SetShares says otherwise, and the ratio of its own
// requests, so that the sum keeps to the limits without any exchange. It is safe for
// concurrent use.
type Extra struct {
	mu       sync.Mutex
	limits   ExtraLimits
	start    time.Time // slices are counted from here by the steady clock
	hosts    int
	shares   map[core.ServiceName]float64
	services map[core.ServiceName]*usage
}

type usage struct {
	requests counter
	extra    counter
}

// counter counts events of the last slices.
type counter struct {
	counts [kept]int
	at     int64 // number of the newest slice
}

// NewExtra returns the limits of one of a number of hosts.
func NewExtra(limits ExtraLimits, hosts int) *Extra {
	return &Extra{limits: limits, hosts: max(1, hosts), services: make(map[core.ServiceName]*usage)}
}

// SetLimits changes the limits and keeps the counts.
func (e *Extra) SetLimits(limits ExtraLimits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = limits
}

// SetHosts says how many hosts share the minimum.
func (e *Extra) SetHosts(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = max(1, n)
}

// SetShares sets this host's shares of the minimum, 0 to 1, of services that only
// some hosts call. All others are shared equally.
func (e *Extra) SetShares(shares map[core.ServiceName]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares = shares
}

// share returns this host's part of the minimum of a service.
func (e *Extra) share(s core.ServiceName) float64 {
	if share, ok := e.shares[s]; ok {
		return share
	}
	return 1 / float64(e.hosts)
}

// Request notes one request for a service.
func (e *Extra) Request(now time.Time, s core.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage(s).requests.add(e.slice(now))
}

// Take spends one extra call; false when there is none left.
func (e *Extra) Take(now time.Time, s core.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, at := e.usage(s), e.slice(now)
	if float64(u.used(at)+1) > e.allowed(s, u, at) {
		return false
	}
	u.extra.add(at)
	return true
}

// Fill returns the part of the extra calls to a service that is left, 0 to 1.
func (e *Extra) Fill(now time.Time, s core.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, at := e.usage(s), e.slice(now)
	allowed := e.allowed(s, u, at)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(u.used(at))/allowed)
}

func (e *Extra) allowed(s core.ServiceName, u *usage, at int64) float64 {
	// An earlier life of this host may have spent its part of the minimum.
	ramp := min(1, startShare+(1-startShare)*float64(at)/slices)
	return headroom * (e.limits.Ratio*float64(u.earned(at)) + ramp*e.share(s)*e.limits.Minimum)
}

// used returns the extra calls of any window that ends now.
func (u *usage) used(at int64) int { return u.extra.sum(at-slices, at) }

// earned returns the requests that count for every window that holds the present.
func (u *usage) earned(at int64) int {
	least := -1
	for first := at - slices; first <= at; first++ {
		most := max(
			u.requests.sum(first+1, at),
			u.requests.sum(first+1-slices/2, min(at, first+slices/2)),
			u.requests.sum(first+1-slices, first),
		)
		if least < 0 || most < least {
			least = most
		}
	}
	return least
}

func (e *Extra) usage(s core.ServiceName) *usage {
	u, ok := e.services[s]
	if !ok {
		u = new(usage)
		e.services[s] = u
	}
	return u
}

func (e *Extra) slice(now time.Time) int64 {
	if e.start.IsZero() {
		e.start = now
	}
	return int64(now.Sub(e.start) / max(1, e.limits.Window/slices))
}

func (c *counter) add(at int64) {
	c.move(at)
	c.counts[c.at%kept]++
}

// sum returns the events of the slices from first to last.
func (c *counter) sum(first, last int64) (n int) {
	c.move(last)
	for i := max(first, c.at-kept+1, 0); i <= min(last, c.at); i++ {
		n += c.counts[i%kept]
	}
	return n
}

// move forgets the slices that are too old at a new time.
func (c *counter) move(at int64) {
	if at-c.at >= kept {
		*c = counter{at: at}
		return
	}
	for c.at < at {
		c.at++
		c.counts[c.at%kept] = 0
	}
}
