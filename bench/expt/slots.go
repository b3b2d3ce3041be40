package expt

import (
	"context"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
)

const (
	slotsHosts        = 9
	slotsUtilisation  = 0.9
	slotsSteadyLength = 1500 * time.Millisecond
	// slotsFaultLength is the length of a load with a fault. The fault lasts from
	// faultStart to faultEnd, longer than the failure detector needs (1.2 s until a
	// probe fails, then 3 s of suspicion), so that the groups move to other owners.
	// The load continues until they have moved back.
	slotsFaultLength = 6300 * time.Millisecond
	faultStart       = 500 * time.Millisecond
	faultEnd         = 5000 * time.Millisecond
	// slotsSettleTime is a wait before each point for the hosts' views to converge:
	// while they differ, a group may have two owners. The baselines have no
	// membership and don't wait.
	slotsSettleTime = 1500 * time.Millisecond
)

// slots compares how well the variants keep within the slot and connection limits
// of the servers. The load goes to all hosts, including the one with the fault.
func slots() experiment {
	return experiment{
		name:     "slots",
		expected: 80 * time.Second,
		targets:  slotsTargets(),
		shown:    []string{"shed_share", "over_connections"},
		rounds:   1,
		about:    "calls shed and connections at 90% with 9 hosts, also with a host stopped, paused and cut off",
		variants: func(settings) []variant {
			var out []variant
			for _, p := range []base.Policy{design, base.Random, base.StaticShare} {
				out = append(out, variant{name: string(p), run: func(ctx context.Context, s settings) (Points, error) {
					return slotsPoints(ctx, p, s)
				}})
			}
			return out
		},
	}
}

func slotsPoints(ctx context.Context, p base.Policy, s settings) (Points, error) {
	l := tailLayout(s)
	l.hosts = slotsHosts
	c, err := startCluster(ctx, l, p)
	if err != nil {
		return nil, err
	}
	defer c.close()
	rate := slotsUtilisation * l.capacity(1, 1)
	out := make(Points)
	for _, point := range c.faultPoints() {
		if s.quick && point.name == "host_cut_off" {
			continue
		}
		if p == design {
			sleep(ctx, slotsSettleTime)
		}
		figures, err := measure(ctx, c, rate, point.length, s.seed, point.faults...)
		if err != nil {
			return nil, err
		}
		out[point.name] = figures
	}
	return out, nil
}

// faultPoint is an operating point: a load of the given length, during which faults
// of one host occur.
type faultPoint struct {
	name   string
	length time.Duration
	faults []load.Fault
}

// faultPoints returns the points in the order in which they run. The one that stops
// the host comes last, since the host is not started again.
func (c *cluster) faultPoints() []faultPoint {
	last := c.hosts - 1
	mode := func(m netMode) func(context.Context) error {
		return func(context.Context) error {
			c.setMode(last, m)
			return nil
		}
	}
	during := func(name string, m netMode) []load.Fault {
		return []load.Fault{
			{At: faultStart, Name: name, Do: mode(m)},
			{At: faultEnd, Name: name + "_ends", Do: mode(open)},
		}
	}
	stop := func(context.Context) error {
		c.hostStops[last]()
		return nil
	}
	return []faultPoint{
		{"steady", slotsSteadyLength, nil},
		{"host_paused", slotsFaultLength, during("host_paused", paused)},
		{"host_cut_off", slotsFaultLength, during("host_cut_off", cut)},
		{"host_stopped", slotsFaultLength, []load.Fault{{At: faultStart, Name: "host_stopped", Do: stop}}},
	}
}
