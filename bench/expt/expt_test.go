package expt

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/bench/base"
)

// Guards against ratios taken over medians instead of round by round, or the
// wrong way round: either would turn a loss into a win.
func TestRunTakesRatiosOfTheSameRound(t *testing.T) {
	byRound := map[string][]float64{"design": {10, 40, 30}, "other": {20, 20, 20}}
	calls := map[string]int{}
	var order []string
	e := experiment{name: "fake", variants: func(settings) []variant {
		var out []variant
		for _, name := range []string{"design", "other"} {
			out = append(out, variant{name: name, run: func(_ context.Context, s settings) (Points, error) {
				order = append(order, name)
				x := byRound[name][calls[name]]
				calls[name]++
				return Points{"p": {"x": x, "seed": float64(s.seed)}}, nil
			}})
		}
		return out
	}}
	r, err := e.run(t.Context(), settings{seed: 5}, 3, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Spread{Min: 0.5, Median: 1.5, Max: 2}, r.Ratios["other"]["p"]["x"]); diff != "" {
		t.Errorf("ratio differs:\n%s", diff)
	}
	if diff := cmp.Diff(Spread{Min: 1, Median: 1, Max: 1}, r.Ratios["other"]["p"]["seed"]); diff != "" {
		t.Errorf("variants of a round ran with different seeds:\n%s", diff)
	}
	if diff := cmp.Diff([]string{"design", "other", "other", "design", "design", "other"}, order); diff != "" {
		t.Errorf("order of the variants differs:\n%s", diff)
	}
}

// Guards against a slope over points that differ in more than one size.
func TestSlopeUsesOnlyPointsWithTheFixedSize(t *testing.T) {
	points := Points{
		"a": {"shards": 20, "hosts": 3, "y": 100},
		"b": {"shards": 60, "hosts": 3, "y": 180},
		"c": {"shards": 130, "hosts": 3, "y": 320},
		"d": {"shards": 20, "hosts": 30, "y": 9999},
	}
	if got := slope(points, "shards", "y", "hosts", 3); got < 1.999 || got > 2.001 {
		t.Errorf("slope = %v, want 2", got)
	}
}

// Guards against hosts, stand-ins or connections that outlive an experiment,
// and against a host that can't be reached through its gate.
func TestClusterServesAndStops(t *testing.T) {
	for _, p := range []base.Policy{design, base.Random} {
		l := layout{hosts: 2, groups: 2, replicas: 1, slots: 2, connections: 25, deadline: 10 * time.Second, seed: 1}
		c, err := startCluster(t.Context(), l, p)
		if err != nil {
			t.Fatalf("%s: %v", p, err)
		}
		r, err := c.load(t.Context(), 200, 100*time.Millisecond, 1)
		c.close()
		if err != nil || r.Outcomes["complete"] != r.Scheduled || c.faults.Load() != 0 {
			t.Errorf("%s: outcomes %v of %d, %d hosts failed, %v", p, r.Outcomes, r.Scheduled, c.faults.Load(), err)
		}
	}
}

// Guards against links that can't be opened to one listener, so that fewer
// links than reported are measured.
func TestLinkPointMeasuresEveryLink(t *testing.T) {
	f, err := linkPoint(t.Context(), 40)
	if err != nil {
		t.Fatal(err)
	}
	if f["links"] != 40 {
		t.Errorf("%v links were accepted, want 40", f["links"])
	}
}

// Guards against a verdict that takes the median where every round counts, or
// a lower bound as an upper one.
func TestTargetJudgesTheRightBound(t *testing.T) {
	measured := Spread{Min: 1, Median: 2, Max: 3}
	for _, c := range []struct {
		target target
		met    bool
	}{
		{target{limit: 2}, true},
		{target{limit: 2, always: true}, false},
		{target{limit: 2, least: true}, true},
		{target{limit: 2, least: true, always: true}, false},
		{target{limit: 1.9}, false},
	} {
		if v := c.target.judge(measured); v.Met != c.met {
			t.Errorf("%+v: met %v, want %v", c.target, v.Met, c.met)
		}
	}
}
