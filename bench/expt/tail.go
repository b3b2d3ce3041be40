package expt

import (
	"context"
	"fmt"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/queue"
	"oriolebarrow/io/owner"
	"oriolebarrow/standin/server"
)

const (
	slowReplica = 20 // factor of the replica that is slow throughout
	// tailQueries leave two or three queries above the p99 of each point.
	tailQueries  = 220.0
	fewQueries   = 125.0
	tailShortest = time.Second
)

// choice is the design, the design without one mechanism, or a baseline.
type choice struct {
	name   string
	policy base.Policy
	owner  owner.Options // of the design
}

func designWith(name string, o owner.Options) choice {
	return choice{name: name, policy: design, owner: o}
}

// baselines are the design and its baselines for reads.
func baselines() []choice {
	return []choice{
		designWith(string(design), owner.Options{}),
		{name: string(base.Random), policy: base.Random},
		{name: string(base.RandomOfTwo), policy: base.RandomOfTwo},
		{name: string(base.LeastLoaded), policy: base.LeastLoaded},
		designWith("queue_per_replica", owner.Options{Queue: queue.Options{PerReplica: true}}),
	}
}

// mechanisms are the design and the design without each mechanism in turn.
func mechanisms() []choice {
	return []choice{
		designWith(string(design), owner.Options{}),
		designWith("no_hedge", owner.Options{Queue: queue.Options{NoHedge: true}}),
		designWith("hedge_now", owner.Options{Queue: queue.Options{HedgeNow: true}}),
		designWith("no_retry", owner.Options{Queue: queue.Options{NoRetry: true}}),
		designWith("no_exclusion", owner.Options{Queue: queue.Options{NoExclusion: true}}),
		designWith("no_infeasible", owner.Options{Queue: queue.Options{NoInfeasible: true}}),
		designWith("no_fairness", owner.Options{Queue: queue.Options{NoFairness: true}}),
		designWith("no_eject", owner.Options{Eject: eject.Options{NoEject: true}}),
		designWith("no_ramp", owner.Options{Eject: eject.Options{NoRamp: true}}),
	}
}

func tailLayout(s settings) layout {
	return layout{
		hosts: 3, groups: 20, replicas: 2, slots: 2, connections: 25, connCost: 6 * time.Millisecond,
		mean: 10 * time.Millisecond, slow: slowShare, deadline: time.Second, seed: s.seed, queue: 1024, log: s.log,
	}
}

// tail has one replica that is slow throughout. Utilisation counts the slots
// of its group, since every query needs that group and no policy can serve
// more than these slots do.
func tail() experiment {
	return experiment{
		name:     "tail",
		expected: 160 * time.Second,
		targets:  tailTargets(),
		shown:    []string{"p99_ms", "extra_load"},
		about:    "tail latency with 1% of calls 10x slow and one replica 20x slow",
		variants: func(s settings) []variant {
			return tailVariants(baselines(), true, tailLayout(s).capacity(1, slowReplica), tailQueries, []int{30, 60, 80, 90})
		},
	}
}

// tailWithout is apart from tail and has fewer operating points, so that each
// of them ends within 90 s.
func tailWithout() experiment {
	return experiment{
		name:     "tail_without",
		rounds:   1,
		expected: 40 * time.Second,
		shown:    []string{"p99_ms", "complete_share", "extra_load"},
		about:    "as tail, with each mechanism of the design taken out in turn",
		variants: func(s settings) []variant {
			return tailVariants(mechanisms(), true, tailLayout(s).capacity(1, slowReplica), fewQueries, []int{30, 80})
		},
	}
}

func tailStragglers() experiment {
	return experiment{
		name:     "tail_stragglers",
		apart:    true,
		expected: 85 * time.Second,
		shown:    []string{"p99_ms", "extra_load"},
		about:    "tail latency with 1% of calls 10x slow and no slow replica",
		variants: func(s settings) []variant {
			return tailVariants(baselines(), false, tailLayout(s).capacity(1, 1), fewQueries, []int{30, 60, 80, 90})
		},
	}
}

func tailVariants(choices []choice, withSlow bool, capacity, queries float64, utilisations []int) []variant {
	var out []variant
	for _, p := range choices {
		out = append(out, variant{name: p.name, run: func(ctx context.Context, s settings) (Points, error) {
			l := tailLayout(s)
			l.owner = p.owner
			c, err := startCluster(ctx, l, p.policy)
			if err != nil {
				return nil, err
			}
			defer c.close()
			if withSlow {
				slow := c.service.Group(0)[0].Address()
				c.fleet.Update(slow, func(f *server.Faults) { f.SlowFactor = slowReplica })
			}
			out := make(Points)
			for _, percent := range pick(s, []int{30, 80}, utilisations) {
				rate := capacity * float64(percent) / 100
				length := time.Duration(pick(s, fewQueries, queries) / rate * float64(time.Second))
				figures, err := measure(ctx, c, rate, max(length, tailShortest), s.seed)
				if err != nil {
					return nil, err
				}
				out[fmt.Sprintf("utilisation_%d", percent)] = figures
			}
			return out, nil
		}})
	}
	return out
}

// measure runs one load and returns what every read experiment reports. Extra
// load counts refused calls too, over the shards of all answers that name a
// total; it reads low where queries ended before their calls were sent, so
// coverage stands next to it.
func measure(ctx context.Context, c *cluster, rate float64, length time.Duration, seed uint64, faults ...load.Fault) (Figures, error) {
	c.fleet.ResetPeaks()
	before := c.fleet.Stats()
	r, err := c.load(ctx, rate, length, seed, faults...)
	if err != nil {
		return nil, err
	}
	after := c.fleet.Stats()
	ran := float64(after.Executions - before.Executions)
	shed := float64(after.Shed - before.Shed)
	needed := max(1, float64(r.Needed))
	queries := max(1, float64(r.Scheduled))
	return Figures{
		"rate_per_s":       rate,
		"queries":          float64(r.Scheduled),
		"p50_ms":           float64(r.Quantile(50).Microseconds()) / 1000,
		"p99_ms":           float64(r.Quantile(99).Microseconds()) / 1000,
		"complete_p99_ms":  float64(r.CompleteLatency.ValueAtQuantile(99)) / 1000,
		"max_ms":           float64(r.Quantile(100).Microseconds()) / 1000,
		"coverage":         r.Coverage(),
		"complete_share":   float64(r.Outcomes["complete"]) / queries,
		"not_run_share":    float64(r.Outcomes["not_run"]) / queries,
		"lost_share":       float64(r.Outcomes["connection_lost"]) / queries,
		"dropped":          float64(r.Dropped),
		"extra_load":       (ran+shed)/needed - 1,
		"extra_runs":       ran/needed - 1,
		"shed_share":       shed / max(1, ran+shed),
		"max_connections":  float64(after.MaxConnections),
		"over_connections": float64(after.OverConnections - before.OverConnections),
		"goodput_per_s":    float64(r.Outcomes["complete"]) / length.Seconds(),
	}, nil
}
