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
)

// ExtraLimits limits the extra calls (hedges and retries) to each service that all
// hosts together make in a window.
type ExtraLimits struct {
	Window  time.Duration
	Ratio   float64 // extra calls per request for the service
	Minimum float64 // extra calls that are allowed in addition to the ratio
}

// Extra is the extra-call budget of one host. For each service and any window, it
// allows the ratio times the number of requests plus a share of the minimum. The
// number of requests is the largest of three: that of the window itself, of the
// window that begins half a window earlier, and of the window before. Each host
// applies the ratio to its own requests and has an equal share of the minimum,
// unless SetShares sets another, so all hosts together stay within the limits
// without exchanging messages. It is safe for concurrent use.
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
	if float64(u.used(slice)+1) > e.allowed(s, u, slice) {
		return false
	}
	u.extra.add(slice, 1)
	return true
}

// Fill returns the unspent fraction of the extra calls to a service, 0 to 1.
func (e *Extra) Fill(now time.Time, s core.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, slice := e.usage(s), e.slice(now)
	allowed := e.allowed(s, u, slice)
	if allowed <= 0 {
		return 0
	}
	return max(0, 1-float64(u.used(slice))/allowed)
}

// allowed returns how many extra calls may be made in the window that ends in a slice.
func (e *Extra) allowed(s core.ServiceName, u *usage, slice int64) float64 {
	// Shortly before a restart, this host may already have spent its share of the
	// minimum.
	ramp := min(1, initialShare+(1-initialShare)*float64(slice)/slicesPerWindow)
	return usableShare * (e.limits.Ratio*float64(u.creditedRequests(slice)) + ramp*e.share(s)*e.limits.Minimum)
}

// used returns the extra calls of the window that ends in a slice and of the slice
// before that window.
func (u *usage) used(slice int64) int { return u.extra.sum(slice-slicesPerWindow, slice) }

// creditedRequests returns the number of requests to which the ratio applies in a
// slice. Every window that contains the slice must stay within its limit, so the
// smallest number of these windows counts.
func (u *usage) creditedRequests(slice int64) int {
	least := -1
	for first := slice - slicesPerWindow; first <= slice; first++ {
		most := max(
			u.requests.sum(first+1, slice),
			u.requests.sum(first+1-slicesPerWindow/2, min(slice, first-1+slicesPerWindow/2)),
			u.requests.sum(first+1-slicesPerWindow, first-1),
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
