package expt

import (
	"context"
	"time"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
)

const (
	slotsHosts       = 9
	slotsUtilisation = 0.9
	slotsSteady      = 1500 * time.Millisecond
	// A fault lasts longer than the failure detector needs (up to 1.2 s for the
	// probe, then 3 s of suspicion), so that the groups change their owner. The
	// load goes on for as long as the change back takes effect.
	slotsFault = 6300 * time.Millisecond
	faultFrom  = 500 * time.Millisecond
	faultTo    = 5000 * time.Millisecond
	// slotsSettle lets membership settle at the start and after a fault: hosts whose
	// views differ own the same group twice. The baselines have no membership.
	slotsSettle = 1500 * time.Millisecond
)

// slots compares how well the limits of the servers are kept. The load goes to
// all hosts, also to the one with the fault.
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
	for _, point := range c.slotsFaults() {
		if s.quick && point.name == "host_cut_off" {
			continue
		}
		if p == design {
			pause(ctx, slotsSettle)
		}
		figures, err := measure(ctx, c, rate, point.length, s.seed, point.faults...)
		if err != nil {
			return nil, err
		}
		out[point.name] = figures
	}
	return out, nil
}

// slotsPoint is a load with faults of one host.
type slotsPoint struct {
	name   string
	length time.Duration
	faults []load.Fault
}

// slotsFaults are the points in turn. The host that stops is last, since it
// doesn't return.
func (c *cluster) slotsFaults() []slotsPoint {
	last := c.hosts - 1
	mode := func(m gateMode) func(context.Context) error {
		return func(context.Context) error {
			c.setMode(last, m)
			return nil
		}
	}
	during := func(name string, m gateMode) []load.Fault {
		return []load.Fault{
			{At: faultFrom, Name: name, Do: mode(m)},
			{At: faultTo, Name: name + "_ends", Do: mode(open)},
		}
	}
	stop := func(context.Context) error {
		c.stops[last]()
		return nil
	}
	return []slotsPoint{
		{"steady", slotsSteady, nil},
		{"host_paused", slotsFault, during("host_paused", paused)},
		{"host_cut_off", slotsFault, during("host_cut_off", cut)},
		{"host_stopped", slotsFault, []load.Fault{{At: faultFrom, Name: "host_stopped", Do: stop}}},
	}
}
