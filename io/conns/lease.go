package conns

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/quota"
)

const (
	// leaseBytes is charged for a request of another host: its goroutine, its calls and
	// FreeBytes.
	leaseBytes = 16 << 10
	// leaseWait is how long a request of another host waits until others have given way. The
	// host that sent it can still ask others afterwards.
	leaseWait = 100 * time.Millisecond
	// maxLeaseWaits bounds the requests of other hosts that wait.
	maxLeaseWaits = 64
)

// Lease is the part of a budget that one request uses. It implements core.Lease.
type Lease struct {
	budget *quota.Budget
	holder *quota.Holder
	refs   atomic.Int64

	mu      sync.Mutex
	free    int // bytes that may still be used without a charge
	charged int
}

var _ core.Lease = (*Lease)(nil)

func newLease(b *quota.Budget, giveWay func()) *Lease {
	l := &Lease{budget: b, holder: b.Open(time.Now(), giveWay), free: FreeBytes}
	l.refs.Store(1)
	return l
}

// TakeLease returns the lease of a request that was read completely from a connection, and
// that the caller must release. The body, which was charged to the connection, is part of it.
// So it stays charged while calls use it, also when the connection carries the next request.
func TakeLease(ctx context.Context) core.Lease {
	c := FromContext(ctx)
	if c == nil {
		return core.NoLease{}
	}
	l := newLease(c.set.opts.Budget, func() {})
	l.SetRunning()
	moved := c.set.opts.Budget.Move(c.holder, l.holder, c.bodyCharged)
	c.extra -= moved
	c.bodyCharged -= moved
	l.charged = int(moved)
	return l
}

// NewLease returns the lease of a request of another host that is about to arrive with n bytes,
// or false if there is no room for it even after others gave way. Until SetRunning is called,
// the request may have to give way to others; then giveWay is called. A nil *Limits has no
// limit.
func (l *Limits) NewLease(ctx context.Context, listener string, n int, giveWay func()) (*Lease, bool) {
	if l == nil {
		l = &Limits{Budget: quota.New(math.MaxInt64)}
	}
	lease := newLease(l.Budget, giveWay)
	size := int64(leaseBytes + max(0, n-FreeBytes))
	if verdict := tryCharge(l.Budget, lease.holder, size); verdict != quota.Granted {
		defer l.leaseWaits.Add(-1)
		waits := l.leaseWaits.Add(1) <= maxLeaseWaits && verdict == quota.Wait
		if !waits || !charge(ctx, l.Budget, lease.holder, size, leaseWait) {
			l.Refusals.Add(listener, NoMemory)
			lease.Release()
			return nil, false
		}
	}
	lease.free = max(0, FreeBytes-n)
	return lease, true
}

// SetRunning records that the request has arrived completely. It doesn't have to give way any
// more.
func (l *Lease) SetRunning() { l.holder.SetState(time.Now(), quota.Running) }

// Progress records that bytes of the request have arrived.
func (l *Lease) Progress() { l.holder.Progress(time.Now()) }

// Charge implements core.Lease.
func (l *Lease) Charge(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= l.free {
		l.free -= n
		return true
	}
	if tryCharge(l.budget, l.holder, int64(n-l.free)) != quota.Granted {
		return false
	}
	l.charged += n - l.free
	l.free = 0
	return true
}

// Refund implements core.Lease.
func (l *Lease) Refund(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, l.charged)
	l.charged -= n
	l.budget.Refund(l.holder, int64(n))
}

// Hold implements core.Lease.
func (l *Lease) Hold() { l.refs.Add(1) }

// Release implements core.Lease.
func (l *Lease) Release() {
	if l.refs.Add(-1) == 0 {
		l.budget.Close(l.holder)
	}
}
