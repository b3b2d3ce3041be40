package demo

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	balancePoll = 100 * time.Millisecond
	// balanceLag is how long a host still gets requests after its last successful
	// readiness check. Hosts must wait longer (-lb-lag) before they close their listeners.
	balanceLag = time.Second
)

// balancer models the platform's load balancer: it checks the readiness of each host and
// distributes requests in turn to the hosts that were ready within balanceLag.
type balancer struct {
	hosts          []string // caller addresses
	adminAddresses []string // admin addresses, in the order of hosts

	mu        sync.Mutex
	lastReady []time.Time // last successful readiness check of each host
	last      int         // index of the host that got the last request
}

func newBalancer(hosts, adminAddresses []string) *balancer {
	return &balancer{hosts: hosts, adminAddresses: adminAddresses, lastReady: make([]time.Time, len(hosts))}
}

// run checks the hosts until ctx ends, each in a goroutine of its own, since a paused host
// doesn't answer.
func (b *balancer) run(ctx context.Context, c *http.Client) {
	for i, address := range b.adminAddresses {
		go func() {
			for ctx.Err() == nil {
				if isReady(ctx, c, address) {
					b.markReady(i, time.Now())
				}
				select {
				case <-time.After(balancePoll):
				case <-ctx.Done():
				}
			}
		}()
	}
}

// isReady reports whether the readiness check at an admin address succeeds.
func isReady(ctx context.Context, c *http.Client, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, balanceLag)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := c.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (b *balancer) markReady(i int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReady[i] = now
}

// pick returns the next host that was ready within balanceLag. If there is none, or without
// admin addresses, it returns the next of all hosts.
func (b *balancer) pick(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.hosts {
		b.last = (b.last + 1) % len(b.hosts)
		if now.Sub(b.lastReady[b.last]) <= balanceLag {
			return b.hosts[b.last]
		}
	}
	b.last = (b.last + 1) % len(b.hosts)
	return b.hosts[b.last]
}

// gracefulStop counts the requests during the graceful stop and restart of a host, and those
// that failed because of it. The demo script disturbs no other host at that time.
type gracefulStop struct {
	span
	mu           sync.Mutex
	running      bool
	sent, failed int
}

// toggle starts the span, or ends it if it is running.
func (g *gracefulStop) toggle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = !g.running
	if g.running {
		g.start(now)
	} else {
		g.stop(now)
	}
}

// check counts a request if the span contains it; lost means that its connection failed or
// that it got no token.
func (g *gracefulStop) check(started, ended time.Time, lost bool, outcome, reason string) {
	if !g.contains(started, ended) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if lost || outcome == "unknown" || outcome == "not_run" && reason == "not_ready" {
		g.failed++
	}
}

// ok reports whether no request failed and, if the span was started, at least one request
// was sent within it.
func (g *gracefulStop) ok() bool {
	started := g.overlaps(time.Time{}, time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed == 0 && (g.sent > 0 || !started)
}
