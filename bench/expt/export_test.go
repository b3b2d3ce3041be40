package expt

import (
	"context"
	"io"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/core"
)

// Design is the policy name of the product.
const Design = design

var (
	Slope     = slope
	LinkPoint = linkPoint
)

// RunFake runs an experiment whose variants have the given names and call run.
func RunFake(ctx context.Context, seed uint64, rounds int, names []string, run func(name string, seed uint64) Points) (*Result, error) {
	e := experiment{name: "fake", variants: func(settings) []variant {
		var out []variant
		for _, name := range names {
			out = append(out, variant{name: name, run: func(_ context.Context, s settings) (Points, error) {
				return run(name, s.seed), nil
			}})
		}
		return out
	}}
	return e.run(ctx, settings{seed: seed}, rounds, io.Discard)
}

// ServeBriefly sends load to a small cluster and stops it. It returns the result
// and the number of hosts that failed.
func ServeBriefly(ctx context.Context, p base.Policy) (*load.Result, int64, error) {
	l := layout{hosts: 2, groups: 2, replicas: 1, slots: 2, connections: 25, deadline: 10 * time.Second, seed: 1}
	c, err := startCluster(ctx, l, p)
	if err != nil {
		return nil, 0, err
	}
	r, err := c.load(ctx, 200, 100*time.Millisecond, 1)
	c.close()
	return r, c.failedHosts.Load(), err
}

// PropagationPoint runs one point of the experiment "spread" in quick mode.
func PropagationPoint(ctx context.Context, p core.Placer, hosts int) (Figures, error) {
	return propagationPoint(ctx, settings{seed: 1, quick: true}, p, hosts)
}

// EveryHostReads returns the placement of the baseline of the experiment "spread".
func EveryHostReads(p core.Placer) core.Placer { return everyHostReads{p} }

// CheckTarget compares a figure with an upper bound, or with a lower one.
func CheckTarget(limit float64, lowerBound, everyRound bool, measured Spread) Verdict {
	return target{limit: limit, lowerBound: lowerBound, everyRound: everyRound}.check(measured)
}
