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
	slowReplicaFactor = 20 // slowdown of the replica that is always slow
	// tailQueries is the number of queries of each point. It leaves two or three
	// above the p99.
	tailQueries    = 220.0
	tailFewQueries = 125.0 // for quick runs, tail_without and tail_stragglers
	tailMinLength  = time.Second
)

// policyChoice is the design, the design without one mechanism, or a baseline.
type policyChoice struct {
	name   string
	policy base.Policy
	owner  owner.Options // switches off mechanisms; used by the design only
}

func designWith(name string, o owner.Options) policyChoice {
	return policyChoice{name: name, policy: design, owner: o}
}

// baselines returns the design and the baselines it is compared with for reads.
func baselines() []policyChoice {
	return []policyChoice{
		designWith(string(design), owner.Options{}),
		{name: string(base.Random), policy: base.Random},
		{name: string(base.RandomOfTwo), policy: base.RandomOfTwo},
		{name: string(base.LeastLoaded), policy: base.LeastLoaded},
		designWith("queue_per_replica", owner.Options{Queue: queue.Options{PerReplica: true}}),
	}
}

// ablations returns the design and, for each of its mechanisms, the design without
// that mechanism.
func ablations() []policyChoice {
	return []policyChoice{
		designWith(string(design), owner.Options{}),
		designWith("no_hedge", owner.Options{Queue: queue.Options{NoHedge: true}}),
		designWith("hedge_now", owner.Options{Queue: queue.Options{NoPendingHedge: true}}),
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

// tail measures tail latency while one replica is always slow. Utilisation refers
// to the slots of the slow replica's group: every query needs that group, so its
// slots limit the load that any policy can serve.
func tail() experiment {
	return experiment{
		name:     "tail",
		expected: 160 * time.Second,
		targets:  tailTargets(),
		shown:    []string{"p99_ms", "extra_load"},
		about:    "tail latency with 1% of calls 10x slow and one replica 20x slow",
		variants: func(s settings) []variant {
			return tailVariants(baselines(), true, tailLayout(s).capacity(1, slowReplicaFactor), tailQueries, []int{30, 60, 80, 90})
		},
	}
}

// tailAblation measures the design without each of its mechanisms. It is separate
// from tail and has fewer operating points, so that a round of either ends within
// 90 s.
func tailAblation() experiment {
	return experiment{
		name:     "tail_without",
		rounds:   1,
		expected: 40 * time.Second,
		shown:    []string{"p99_ms", "complete_share", "extra_load"},
		about:    "as tail, with each mechanism of the design taken out in turn",
		variants: func(s settings) []variant {
			return tailVariants(ablations(), true, tailLayout(s).capacity(1, slowReplicaFactor), tailFewQueries, []int{30, 80})
		},
	}
}

// tailStragglers measures tail latency when single calls are slow but no replica is
// always slow.
func tailStragglers() experiment {
	return experiment{
		name:       "tail_stragglers",
		onlyByName: true,
		expected:   85 * time.Second,
		shown:      []string{"p99_ms", "extra_load"},
		about:      "tail latency with 1% of calls 10x slow and no slow replica",
		variants: func(s settings) []variant {
			return tailVariants(baselines(), false, tailLayout(s).capacity(1, 1), tailFewQueries, []int{30, 60, 80, 90})
		},
	}
}

// tailVariants returns a variant for each choice, measured at utilisations in
// percent of the capacity. Each point lasts long enough for the given number of
// queries, and at least tailMinLength.
func tailVariants(choices []policyChoice, slowReplica bool, capacity, queries float64, utilisations []int) []variant {
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
			if slowReplica {
				slow := c.service.Group(0)[0].Address()
				c.fleet.UpdateFaults(slow, func(f *server.Faults) { f.SlowFactor = slowReplicaFactor })
			}
			out := make(Points)
			for _, percent := range pick(s, []int{30, 80}, utilisations) {
				rate := capacity * float64(percent) / 100
				length := time.Duration(pick(s, tailFewQueries, queries) / rate * float64(time.Second))
				figures, err := measure(ctx, c, rate, max(length, tailMinLength), s.seed)
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

// measure runs one load and returns the figures that every read experiment reports.
//
// The extra load is relative to the number of shards in all answers that state
// their total, and includes refused calls. It is too low if queries ended before
// their calls were sent, so coverage is reported too.
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
	needed := max(1, float64(r.ShardsTotal))
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
