package demo

import (
	"os"
	"time"
)

// Driver exposes the checks of driver to tests.
type Driver struct{ d *driver }

// NewDriver returns a driver for which paused is the host that the script pauses.
func NewDriver(paused string) Driver {
	d := new(driver)
	d.pause.host = paused
	return Driver{d}
}

// HandleSignal handles a signal of the demo script.
func (d Driver) HandleSignal(s os.Signal, now time.Time) { d.d.handleSignal(s, now) }

// Elapsed returns the duration that is checked for a request, and the number of requests so
// far whose duration isn't checked.
func (d Driver) Elapsed(host string, started, ended time.Time) (time.Duration, int64) {
	elapsed := d.d.pause.elapsed(host, started, ended)
	return elapsed, d.d.pause.untimed.Load()
}

// Check counts a request and returns the counts so far, and whether the check of the
// graceful stop passes.
func (d Driver) Check(started, ended time.Time, lost bool, outcome, reason string) (sent, failed int, ok bool) {
	g := &d.d.gracefulStop
	g.check(started, ended, lost, outcome, reason)
	return g.sent, g.failed, g.ok()
}

// Balancer exposes balancer to tests.
type Balancer struct{ b *balancer }

// BalanceLag is how long a host still gets requests after it was last ready.
const BalanceLag = balanceLag

// NewBalancer returns a balancer for the given hosts.
func NewBalancer(hosts ...string) Balancer { return Balancer{newBalancer(hosts, nil)} }

// MarkReady records that the i-th host is ready.
func (b Balancer) MarkReady(i int, now time.Time) { b.b.markReady(i, now) }

// Pick returns the host of the next request.
func (b Balancer) Pick(now time.Time) string { return b.b.pick(now) }
