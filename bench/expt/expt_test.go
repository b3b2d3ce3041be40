package expt_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/expt"
)

// Guards against ratios of medians instead of ratios within a round, and against
// inverted ratios: either could show a regression as an improvement.
func TestRunComputesRatiosWithinRound(t *testing.T) {
	byRound := map[string][]float64{"design": {10, 40, 30}, "other": {20, 20, 20}}
	calls := map[string]int{}
	var order []string
	r, err := expt.RunFake(t.Context(), 5, 3, []string{"design", "other"}, func(name string, seed uint64) expt.Points {
		order = append(order, name)
		x := byRound[name][calls[name]]
		calls[name]++
		return expt.Points{"p": {"x": x, "seed": float64(seed)}}
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(expt.Spread{Min: 0.5, Median: 1.5, Max: 2}, r.Ratios["other"]["p"]["x"]); diff != "" {
		t.Errorf("ratio differs:\n%s", diff)
	}
	if diff := cmp.Diff(expt.Spread{Min: 1, Median: 1, Max: 1}, r.Ratios["other"]["p"]["seed"]); diff != "" {
		t.Errorf("variants of a round ran with different seeds:\n%s", diff)
	}
	if diff := cmp.Diff([]string{"design", "other", "other", "design", "design", "other"}, order); diff != "" {
		t.Errorf("order of the variants differs:\n%s", diff)
	}
}

// Guards against a slope over points that differ in the number of hosts as well as
// in the number of shards.
func TestSlopeUsesOnlyPointsWithFixedFigure(t *testing.T) {
	points := expt.Points{
		"a": {"shards": 20, "hosts": 3, "y": 100},
		"b": {"shards": 60, "hosts": 3, "y": 180},
		"c": {"shards": 130, "hosts": 3, "y": 320},
		"d": {"shards": 20, "hosts": 30, "y": 9999},
	}
	if got := expt.Slope(points, "shards", "y", "hosts", 3); got < 1.999 || got > 2.001 {
		t.Errorf("slope = %v, want 2", got)
	}
}

// Guards against hosts, stand-ins or connections that stay open after an
// experiment, and against hosts that can't be reached through a faultNet.
func TestClusterServesAndStops(t *testing.T) {
	for _, p := range []base.Policy{expt.Design, base.Random} {
		r, failed, err := expt.ServeBriefly(t.Context(), p)
		if err != nil || r.Outcomes["complete"] != r.Scheduled || failed != 0 {
			t.Errorf("%s: result %+v, %d hosts failed, %v", p, r, failed, err)
		}
	}
}

// Guards against a client that shares one link between hosts with the same address,
// so that fewer links are measured than requested.
func TestLinkPointOpensEveryLink(t *testing.T) {
	f, err := expt.LinkPoint(t.Context(), 40)
	if err != nil {
		t.Fatal(err)
	}
	if f["links"] != 40 {
		t.Errorf("%v links were accepted, want 40", f["links"])
	}
}

// Guards against a verdict that uses the median although every round must meet the
// target, and against a lower bound that is treated as an upper one.
func TestTargetCheck(t *testing.T) {
	measured := expt.Spread{Min: 1, Median: 2, Max: 3}
	for _, c := range []struct {
		limit                       float64
		lowerBound, everyRound, met bool
	}{
		{limit: 2, met: true},
		{limit: 2, everyRound: true},
		{limit: 2, lowerBound: true, met: true},
		{limit: 2, lowerBound: true, everyRound: true},
		{limit: 1.9},
	} {
		if v := expt.CheckTarget(c.limit, c.lowerBound, c.everyRound, measured); v.Met != c.met {
			t.Errorf("%+v: got met = %v", c, v.Met)
		}
	}
}
