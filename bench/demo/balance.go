package demo

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	balancePoll = 100 * time.Millisecond
	// balanceLag is how long a host gets requests after it last said that it is
	// ready. Hosts must wait longer (-lb-lag) before they close their listeners.
	balanceLag = time.Second
)

// balancer models the platform's load balancer: it asks each host whether it is
// ready and takes turns among those that said so within the lag.
type balancer struct {
	hosts []string // caller addresses
	probe []string // administration addresses, in the same order

	mu   sync.Mutex
	seen []time.Time // when the host last said that it is ready
	turn int
}

func newBalancer(hosts, probe []string) *balancer {
	return &balancer{hosts: hosts, probe: probe, seen: make([]time.Time, len(hosts))}
}

// run asks the hosts until ctx ends, each on its own, since a paused host
// doesn't answer.
func (b *balancer) run(ctx context.Context, c *http.Client) {
	for i, address := range b.probe {
		go func() {
			for ctx.Err() == nil {
				if ask(ctx, c, address) {
					b.ready(i, time.Now())
				}
				select {
				case <-time.After(balancePoll):
				case <-ctx.Done():
				}
			}
		}()
	}
}

func ask(ctx context.Context, c *http.Client, address string) bool {
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

func (b *balancer) ready(i int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[i] = now
}

// pick returns the next host that said ready within the lag. Without one, or
// without addresses to ask, hosts take turns.
func (b *balancer) pick(now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.hosts {
		b.turn = (b.turn + 1) % len(b.hosts)
		if now.Sub(b.seen[b.turn]) <= balanceLag {
			return b.hosts[b.turn]
		}
	}
	b.turn = (b.turn + 1) % len(b.hosts)
	return b.hosts[b.turn]
}

// graceful counts the requests during a graceful stop and restart, the only
// disturbance meanwhile, and those that failed because of it.
type graceful struct {
	span
	mu           sync.Mutex
	running      bool
	sent, failed int
}

// toggle opens the span, or closes an open one.
func (g *graceful) toggle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running = !g.running
	if g.running {
		g.open(now)
	} else {
		g.close(now)
	}
}

// check counts a request; lost means that its connection failed.
func (g *graceful) check(started, ended time.Time, lost bool, outcome, reason string) {
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

// ok reports whether the span was used, unless it was never opened, and no
// request failed.
func (g *graceful) ok() bool {
	opened := g.overlaps(time.Time{}, time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed == 0 && (g.sent > 0 || !opened)
}
