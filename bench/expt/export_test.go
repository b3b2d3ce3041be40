package expt

import (
	"context"
	"io"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/core"
)

// Design is the policy of the product.
const Design = design

var (
	Slope     = slope
	LinkPoint = linkPoint
)

// RunFake runs an experiment of the named variants.
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

// ServeBriefly loads a small cluster, stops it and returns how many hosts failed.
func ServeBriefly(ctx context.Context, p base.Policy) (*load.Result, int64, error) {
	l := layout{hosts: 2, groups: 2, replicas: 1, slots: 2, connections: 25, deadline: 10 * time.Second, seed: 1}
	c, err := startCluster(ctx, l, p)
	if err != nil {
		return nil, 0, err
	}
	r, err := c.load(ctx, 200, 100*time.Millisecond, 1)
	c.close()
	return r, c.faults.Load(), err
}

// SpreadPoint is a quick run of one point of spread.
func SpreadPoint(ctx context.Context, p core.Placer, hosts int) (Figures, error) {
	return spreadPoint(ctx, settings{seed: 1, quick: true}, p, hosts)
}

// EveryHostReads is the placement of the baseline of spread.
func EveryHostReads(p core.Placer) core.Placer { return everyHostReads{p} }

// Judge compares a figure with an upper bound, or with a lower one.
func Judge(limit float64, least, always bool, measured Spread) Verdict {
	return target{limit: limit, least: least, always: always}.judge(measured)
}
