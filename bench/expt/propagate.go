package expt

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oriolebarrow/core"
)

const (
	// propagationInterval gives 150 times as many changes as at the design size, so
	// that all sizes fit into two minutes.
	propagationInterval   = 80 * time.Millisecond
	changesPerReplacement = 10     // changes between two replacements of a host
	propagationStream     = 0x5b4d // random stream of the replacements, separate from other uses of the seed
)

// propagation measures how long each configuration change takes to become active
// on the last ready host, while hosts are killed and started.
func propagation() experiment {
	return experiment{
		name:     "spread",
		expected: 60 * time.Second,
		targets:  propagationTargets(),
		shown:    []string{"last_host_max_ms", "reads_per_s"},
		about:    "time until a configuration change is in force on the last host, by number of hosts",
		rounds:   1,
		variants: func(settings) []variant {
			return memberVariants(func(ctx context.Context, s settings, p core.Placer) (Points, error) {
				out := make(Points)
				for _, hosts := range pick(s, []int{3, 9, 30}, []int{3, 9, 30, 100, 300}) {
					figures, err := propagationPoint(ctx, s, p, hosts)
					if err != nil {
						return nil, err
					}
					out[fmt.Sprintf("hosts_%d", hosts)] = figures
				}
				return out, nil
			})
		},
	}
}

// changeTracker publishes changes to a set of hosts and measures how long each
// takes to become active on all of them.
type changeTracker struct {
	*members
	published []time.Time     // by edition
	delays    []time.Duration // by edition, until active on the last host observed so far
	joins     []time.Duration // from the start of each host until it was ready
}

// propagationPoint runs one operating point with the given number of hosts.
func propagationPoint(ctx context.Context, s settings, p core.Placer, hosts int) (Figures, error) {
	c := &changeTracker{members: newMembers(p, "")}
	defer c.stop()
	c.publishChange()
	if err := c.start(hosts); err != nil {
		return nil, err
	}
	if err := c.waitSettled(ctx); err != nil {
		return nil, err
	}
	c.observe(time.Now())
	first, joined := c.edition+1, len(c.joins)
	reads, began := c.cluster.Platform.Reads(), time.Now()
	random := rand.New(rand.NewPCG(s.seed, propagationStream))
	for i := range pick(s, 20, 50) {
		if i%changesPerReplacement == changesPerReplacement-1 {
			c.kill(random.IntN(len(c.hosts)))
			if err := c.start(1); err != nil {
				return nil, err
			}
		}
		c.publishChange()
		c.observeFor(ctx, propagationInterval)
	}
	length := time.Since(began).Seconds()
	reads = c.cluster.Platform.Reads() - reads
	c.observeUntilSettled(ctx)
	out := c.figures(first)
	out["reads_per_s"] = float64(reads) / length
	out["joins"] = float64(len(c.joins) - joined)
	if joins := c.joins[joined:]; len(joins) > 0 {
		out["join_max_ms"] = milliseconds(slices.Max(joins))
	}
	return out, nil
}

// observeUntilSettled observes the hosts until the latest edition is active on all of
// them or memberReadyTimeout has passed.
func (c *changeTracker) observeUntilSettled(ctx context.Context) {
	for end := time.Now().Add(memberReadyTimeout); !c.settled() && time.Now().Before(end) && ctx.Err() == nil; {
		c.observeFor(ctx, memberPollInterval)
	}
	c.observe(time.Now())
}

// figures summarises the changes, starting with edition first. The figure
// not_in_force is the number of editions that hosts lack at the end, summed over
// the hosts.
func (c *changeTracker) figures(first int) Figures {
	delays := slices.Sorted(slices.Values(c.delays[first:]))
	missing := 0
	for _, h := range c.hosts {
		missing += c.edition - h.edition
	}
	return Figures{
		"hosts":            float64(len(c.hosts)),
		"changes":          float64(len(delays)),
		"last_host_p50_ms": milliseconds(delays[len(delays)/2]),
		"last_host_p99_ms": milliseconds(delays[(len(delays)*99-1)/100]),
		"last_host_max_ms": milliseconds(delays[len(delays)-1]),
		"not_in_force":     float64(missing),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// publishChange publishes a new edition and records the time.
func (c *changeTracker) publishChange() {
	for len(c.published) <= c.edition+1 {
		c.published = append(c.published, time.Time{})
		c.delays = append(c.delays, 0)
	}
	c.published[c.edition+1] = time.Now()
	c.publish()
}

// observeFor observes all hosts repeatedly until d has passed.
func (c *changeTracker) observeFor(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, memberPollInterval)
		c.observe(time.Now())
	}
}

// observe records which hosts became ready and which editions became active since
// the last call. Hosts that are not ready yet are ignored, since they serve no
// requests.
func (c *changeTracker) observe(now time.Time) {
	for _, h := range c.hosts {
		if !h.ready {
			if !h.Agent.Ready() {
				continue
			}
			h.ready, h.edition = true, h.activeEdition()
			c.joins = append(c.joins, now.Sub(h.started))
		}
		for latest := h.activeEdition(); h.edition < latest; {
			h.edition++
			c.delays[h.edition] = max(c.delays[h.edition], now.Sub(c.published[h.edition]))
		}
	}
}
