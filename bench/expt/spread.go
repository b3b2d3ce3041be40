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
	// spreadEvery is 150 times the rate of the design size, so that all sizes
	// fit into two minutes.
	spreadEvery   = 80 * time.Millisecond
	spreadReplace = 10     // changes between two replacements of a host
	spreadStream  = 0x5b4d // separates the random numbers of the replacements
)

// spreading measures when each change is in force on the last ready host while
// hosts are killed and started.
func spreading() experiment {
	return experiment{
		name:     "spread",
		expected: 60 * time.Second,
		targets:  spreadTargets(),
		shown:    []string{"last_host_max_ms", "reads_per_s"},
		about:    "time until a configuration change is in force on the last host, by number of hosts",
		rounds:   1,
		variants: func(settings) []variant {
			return memberVariants(func(ctx context.Context, s settings, p core.Placer) (Points, error) {
				out := make(Points)
				for _, hosts := range pick(s, []int{3, 9, 30}, []int{3, 9, 30, 100, 300}) {
					figures, err := spreadPoint(ctx, s, p, hosts)
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

// changes is the history of one run: when each edition was published and how
// long it took to be in force on the last host seen so far.
type changes struct {
	*members
	at    []time.Time // by edition
	took  []time.Duration
	joins []time.Duration
}

func spreadPoint(ctx context.Context, s settings, p core.Placer, hosts int) (Figures, error) {
	c := &changes{members: newMembers(p, "")}
	defer c.stop()
	c.change()
	if err := c.start(hosts); err != nil {
		return nil, err
	}
	if err := c.waitSettled(ctx); err != nil {
		return nil, err
	}
	c.look(time.Now())
	first, joined := c.edition+1, len(c.joins)
	reads, began := c.cluster.Platform.Reads(), time.Now()
	random := rand.New(rand.NewPCG(s.seed, spreadStream))
	for i := range pick(s, 20, 50) {
		if i%spreadReplace == spreadReplace-1 {
			c.kill(random.IntN(len(c.hosts)))
			if err := c.start(1); err != nil {
				return nil, err
			}
		}
		c.change()
		c.watch(ctx, spreadEvery)
	}
	length := time.Since(began).Seconds()
	reads = c.cluster.Platform.Reads() - reads
	c.finish(ctx)
	out := c.figures(first)
	out["reads_per_s"] = float64(reads) / length
	out["joins"] = float64(len(c.joins) - joined)
	if joins := c.joins[joined:]; len(joins) > 0 {
		out["join_max_ms"] = milliseconds(slices.Max(joins))
	}
	return out, nil
}

// finish waits until the newest edition is in force everywhere, with a bound.
func (c *changes) finish(ctx context.Context) {
	for end := time.Now().Add(memberReady); !c.settled() && time.Now().Before(end) && ctx.Err() == nil; {
		c.watch(ctx, memberPoll)
	}
	c.look(time.Now())
}

// figures summarises the changes from an edition on.
func (c *changes) figures(first int) Figures {
	took := slices.Sorted(slices.Values(c.took[first:]))
	behind := 0
	for _, h := range c.hosts {
		behind += c.edition - h.edition
	}
	return Figures{
		"hosts":            float64(len(c.hosts)),
		"changes":          float64(len(took)),
		"last_host_p50_ms": milliseconds(took[len(took)/2]),
		"last_host_p99_ms": milliseconds(took[(len(took)*99-1)/100]),
		"last_host_max_ms": milliseconds(took[len(took)-1]),
		"not_in_force":     float64(behind),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (c *changes) change() {
	for len(c.at) <= c.edition+1 {
		c.at = append(c.at, time.Time{})
		c.took = append(c.took, 0)
	}
	c.at[c.edition+1] = time.Now()
	c.publish()
}

// watch looks at all hosts until d has passed.
func (c *changes) watch(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		pause(ctx, memberPoll)
		c.look(time.Now())
	}
}

// look notes what came into force since the last look. A host counts from the
// time it is ready, since it serves nothing before.
func (c *changes) look(now time.Time) {
	for _, h := range c.hosts {
		if !h.ready {
			if !h.Agent.Ready() {
				continue
			}
			h.ready, h.edition = true, h.inForce()
			c.joins = append(c.joins, now.Sub(h.started))
		}
		for newest := h.inForce(); h.edition < newest; {
			h.edition++
			c.took[h.edition] = max(c.took[h.edition], now.Sub(c.at[h.edition]))
		}
	}
}
