package expt

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/bench/verify"
	"oriolebarrow/standin/server"
)

const (
	coverUtilisation = 0.3
	coverStream      = 0xc07e // random stream of the schedule, separate from other uses of the seed
	coverLossTime    = 400 * time.Millisecond
)

// coverage makes random replicas unavailable, sometimes all of a group, and checks
// each answer against the executions in the servers' journal.
func coverage() experiment {
	return experiment{
		name:     "coverage",
		rounds:   2,
		expected: 30 * time.Second,
		targets:  coverageTargets(),
		shown:    []string{"reported_coverage", "actual_coverage", "broken_rules", "late_answers", "journal_dropped"},
		about:    "reported against real coverage while replicas are lost at random",
		variants: func(settings) []variant {
			var out []variant
			for _, p := range []base.Policy{design, base.Random} {
				out = append(out, variant{name: string(p), run: func(ctx context.Context, s settings) (Points, error) {
					return coveragePoints(ctx, p, s)
				}})
			}
			return out
		},
	}
}

func coveragePoints(ctx context.Context, p base.Policy, s settings) (Points, error) {
	l := tailLayout(s)
	l.deadline = 500 * time.Millisecond
	c, err := startCluster(ctx, l, p)
	if err != nil {
		return nil, err
	}
	defer c.close()
	length := pick(s, 3*time.Second, 6*time.Second)
	before := c.fleet.Stats()
	r, err := c.load(ctx, coverUtilisation*l.capacity(1, 1), length, s.seed, c.lossSchedule(s.seed, length)...)
	if err != nil {
		return nil, err
	}
	after := c.fleet.Stats()
	report := verify.Check(r.Queries, nil, c.fleet.Journal())
	report.RequireJournal(after.JournalDropped)
	ran, shed := float64(after.Executions-before.Executions), float64(after.Shed-before.Shed)
	return Points{"replicas_lost": Figures{
		"queries":           float64(r.Scheduled),
		"reported_coverage": report.ReportedCoverage,
		"actual_coverage":   report.ActualCoverage,
		"broken_rules":      float64(report.ViolationCount),
		"p99_ms":            float64(r.Quantile(99).Microseconds()) / 1000,
		"extra_load":        (ran+shed)/max(1, float64(r.ShardsTotal)) - 1,
		"late_answers":      float64(report.Late),
		"journal_dropped":   float64(after.JournalDropped),
		"partial_share":     float64(r.Outcomes["partial"]) / float64(r.Scheduled),
		"max_connections":   float64(after.MaxConnections),
		"over_connections":  float64(after.OverConnections),
	}}, nil
}

// lossSchedule returns faults that make a random replica unavailable every 200 ms
// for coverLossTime. On average, one fault in four affects the whole group.
func (c *cluster) lossSchedule(seed uint64, length time.Duration) []load.Fault {
	random := rand.New(rand.NewPCG(seed, coverStream))
	const interval = 200 * time.Millisecond
	var out []load.Fault
	for at := interval; at+coverLossTime < length; at += interval {
		g := random.IntN(c.groups)
		replicas := c.service.Groups()[g]
		if random.IntN(4) > 0 {
			i := random.IntN(len(replicas))
			replicas = replicas[i : i+1]
		}
		set := func(lost bool) func(context.Context) error {
			return func(context.Context) error {
				for _, r := range replicas {
					c.fleet.UpdateFaults(r.Address(), func(f *server.Faults) { f.Lost = lost })
				}
				return nil
			}
		}
		name := fmt.Sprintf("group_%d_lost_%d", g, len(replicas))
		out = append(out,
			load.Fault{At: at, Name: name, Do: set(true)},
			load.Fault{At: at + coverLossTime, Name: name + "_ends", Do: set(false)})
	}
	return out
}
