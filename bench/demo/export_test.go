package demo

import (
	"os"
	"time"
)

// Driver gives tests the checks of the driver.
type Driver struct{ d *driver }

// NewDriver returns a driver whose paused host is given.
func NewDriver(paused string) Driver {
	d := new(driver)
	d.pause.host = paused
	return Driver{d}
}

// Note takes a signal of the script.
func (d Driver) Note(s os.Signal, now time.Time) { d.d.note(s, now) }

// Took returns the time that counts for an answer, and how many didn't count.
func (d Driver) Took(host string, started, ended time.Time) (time.Duration, int64) {
	took := d.d.pause.took(host, started, ended)
	return took, d.d.pause.untimed.Load()
}

// Check counts a request and returns the counts and the verdict.
func (d Driver) Check(started, ended time.Time, lost bool, outcome, reason string) (sent, failed int, ok bool) {
	g := &d.d.graceful
	g.check(started, ended, lost, outcome, reason)
	return g.sent, g.failed, g.ok()
}

// Balancer gives tests the load balancer.
type Balancer struct{ b *balancer }

// BalanceLag is the balancer's lag.
const BalanceLag = balanceLag

// NewBalancer returns a balancer of the given hosts.
func NewBalancer(hosts ...string) Balancer { return Balancer{newBalancer(hosts, nil)} }

// Ready notes that a host said that it is ready.
func (b Balancer) Ready(i int, now time.Time) { b.b.ready(i, now) }

// Pick returns the host of the next request.
func (b Balancer) Pick(now time.Time) string { return b.b.pick(now) }
