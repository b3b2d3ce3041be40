package budget

import (
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	// slicesPerWindow is the number of time slices into which a window is divided.
	// Events of the same slice are counted together.
	slicesPerWindow = 20
	// keptSlices covers two windows and one more slice, since the newest slice is
	// not over yet.
	keptSlices = 2*slicesPerWindow + 1
	// usableShare is the fraction of the limit that may be spent. The rest is a
	// margin for calls that this host counts later than the replica receives them.
	usableShare = 0.9
	// initialShare is the fraction of the minimum that may be spent right after a
	// start. It grows to the whole minimum within a window.
	initialShare = 0.25
	// earlierWeight is the weight of the requests of the window before, and the rest that
	// of the window itself. The same weights on all hosts make the sum over the hosts the
	// weighted mean of the sums, which the larger of the two sums is never below.
	earlierWeight = 0.5
)

// ExtraLimits limits the extra calls (hedges and retries) to each service that all
// hosts together make in a window.
type ExtraLimits struct {
	Window  time.Duration
	Ratio   float64 // extra calls per request for the service
	Minimum float64 // extra calls that are allowed in addition to the ratio
}

// Extra is the extra-call budget of one host. For each service and any window, all
// hosts together may make extra calls up to the ratio times the number of requests
// plus the minimum. The number of requests is the larger of that of the window and
// that of the window before. Hosts don't exchange messages about it: each applies
// the ratio to a mean of its own two numbers, with the same weights as all others,
// since a host can't know which of the two is larger for all hosts together. Each
// has an equal share of the minimum, unless SetShares sets another. It is safe for
// concurrent use.
type Extra struct {
	mu       sync.Mutex
	limits   ExtraLimits
	start    time.Time // start of slice 0; slices follow the monotonic clock
	hosts    int
	shares   map[core.ServiceName]float64
	services map[core.ServiceName]*usage
}

// usage counts the requests for one service and the extra calls to it.
type usage struct {
	requests counter
	extra    counter
}

// counter counts events in each of the newest slices.
type counter struct {
	counts [keptSlices]int
	newest int64 // number of the newest slice
}

// NewExtra returns the extra-call budget of one host out of the given number.
func NewExtra(limits ExtraLimits, hosts int) *Extra {
	return &Extra{limits: limits, hosts: max(1, hosts), services: make(map[core.ServiceName]*usage)}
}

// SetLimits changes the limits. If the window changes, its slices do as well: the extra calls
// of the last window then count as calls of the first slice, and the requests are forgotten.
func (e *Extra) SetLimits(now time.Time, limits ExtraLimits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if limits.Window != e.limits.Window {
		last := e.slice(now)
		for s, u := range e.services {
			rebased := new(usage)
			rebased.extra.counts[0] = u.used(last)
			e.services[s] = rebased
		}
		e.start = now
	}
	e.limits = limits
}

// SetHosts sets the number of hosts that share the minimum.
func (e *Extra) SetHosts(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = max(1, n)
}

// SetShares sets this host's share of the minimum, 0 to 1, for services that only
// some hosts call. The minimum of any other service is shared equally by all hosts.
func (e *Extra) SetShares(shares map[core.ServiceName]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares = shares
}

// share returns this host's share of the minimum for a service.
func (e *Extra) share(s core.ServiceName) float64 {
	if share, ok := e.shares[s]; ok {
		return share
	}
	return 1 / float64(e.hosts)
}

// RecordRequests records n requests for a service. Requests count once callers have sent
// them, whether or not a replica gets them.
func (e *Extra) RecordRequests(now time.Time, s core.ServiceName, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usage(s).requests.add(e.slice(now), n)
}

// Take spends one extra call to a service. It returns false if the budget is empty.
func (e *Extra) Take(now time.Time, s core.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, slice := e.usage(s), e.slice(now)
	for first := slice - slicesPerWindow; first <= slice; first++ {
		if float64(u.extra.sum(first, slice)+1) > e.allowed(s, u, first, slice) {
			return false
		}
	}
	u.extra.add(slice, 1)
	return true
}

// Fill returns the unspent fraction of the extra calls to a service, 0 to 1, in the window
// in which it is smallest.
func (e *Extra) Fill(now time.Time, s core.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, slice := e.usage(s), e.slice(now)
	fill := 1.0
	for first := slice - slicesPerWindow; first <= slice; first++ {
		allowed := e.allowed(s, u, first, slice)
		if allowed <= 0 {
			return 0
		}
		fill = min(fill, 1-float64(u.extra.sum(first, slice))/allowed)
	}
	return max(0, fill)
}

// allowed returns how many extra calls may be made until the end of slice in a window that
// begins within the slice first. The requests of the slices in which a window begins or ends
// may lie outside of it and don't count.
func (e *Extra) allowed(s core.ServiceName, u *usage, first, slice int64) float64 {
	requests := earlierWeight*float64(u.requests.sum(first+1-slicesPerWindow, first-1)) +
		(1-earlierWeight)*float64(u.requests.sum(first+1, slice))
	// Shortly before a restart, this host may already have spent its share of the
	// minimum.
	ramp := min(1, initialShare+(1-initialShare)*float64(slice)/slicesPerWindow)
	return usableShare * (e.limits.Ratio*requests + ramp*e.share(s)*e.limits.Minimum)
}

// used returns the extra calls of the window that ends in a slice and of the slice
// before that window.
func (u *usage) used(slice int64) int { return u.extra.sum(slice-slicesPerWindow, slice) }

func (e *Extra) usage(s core.ServiceName) *usage {
	u, ok := e.services[s]
	if !ok {
		u = new(usage)
		e.services[s] = u
	}
	return u
}

// slice returns the number of the slice that contains now.
func (e *Extra) slice(now time.Time) int64 {
	if e.start.IsZero() {
		e.start = now
	}
	return int64(now.Sub(e.start) / max(1, e.limits.Window/slicesPerWindow))
}

func (c *counter) add(slice int64, n int) {
	c.advance(slice)
	c.counts[c.newest%keptSlices] += n
}

// sum returns the events of the slices from first to last.
func (c *counter) sum(first, last int64) (n int) {
	c.advance(last)
	for i := max(first, c.newest-keptSlices+1, 0); i <= min(last, c.newest); i++ {
		n += c.counts[i%keptSlices]
	}
	return n
}

// advance makes a slice the newest one and clears the counts that are too old.
func (c *counter) advance(slice int64) {
	if slice-c.newest >= keptSlices {
		*c = counter{newest: slice}
		return
	}
	for c.newest < slice {
		c.newest++
		c.counts[c.newest%keptSlices] = 0
	}
}
