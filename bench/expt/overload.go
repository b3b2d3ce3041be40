package expt

import (
	"context"
	"fmt"
	"time"
)

const overloadHosts = 3

// overload offers a load equal to the capacity of the slots, then twice that. The
// design limits the caller's rate to the capacity, divided equally among the hosts.
func overload() experiment {
	return experiment{
		name:     "overload",
		rounds:   2,
		expected: 30 * time.Second,
		targets:  overloadTargets(),
		shown:    []string{"goodput_per_s", "goodput_to_1x", "p99_ms"},
		about:    "goodput at 1x and 2x of the capacity, with and without admission",
		variants: func(settings) []variant {
			return []variant{
				{name: string(design), run: func(ctx context.Context, s settings) (Points, error) { return overloadPoints(ctx, s, true) }},
				{name: "no_admission", run: func(ctx context.Context, s settings) (Points, error) { return overloadPoints(ctx, s, false) }},
			}
		},
	}
}

func overloadPoints(ctx context.Context, s settings, admission bool) (Points, error) {
	l := tailLayout(s)
	l.hosts, l.groups, l.deadline = overloadHosts, 8, 300*time.Millisecond
	capacity := l.capacity(1, 1)
	if admission {
		l.rate = capacity / overloadHosts
	}
	c, err := startCluster(ctx, l, design)
	if err != nil {
		return nil, err
	}
	defer c.close()
	out := make(Points)
	for _, times := range []int{1, 2} {
		figures, err := measure(ctx, c, capacity*float64(times), pick(s, 2*time.Second, 3*time.Second), s.seed)
		if err != nil {
			return nil, err
		}
		out[fmt.Sprintf("offered_%dx", times)] = figures
	}
	once, twice := out["offered_1x"]["goodput_per_s"], out["offered_2x"]["goodput_per_s"]
	if once > 0 {
		out["offered_2x"]["goodput_to_1x"] = twice / once
	}
	return out, nil
}
