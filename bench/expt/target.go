package expt

// target is a bound on a figure, stated in docs/design.md.
type target struct {
	point      string
	figure     string
	baseline   string // the bound applies to the ratio of the design to this baseline; empty for the design's own figure
	limit      float64
	lowerBound bool   // limit is a lower bound instead of an upper one
	everyRound bool   // compares the worst round instead of the median
	source     string // section of the design document
}

// Verdict is the result of comparing a figure with its target.
type Verdict struct {
	Point    string  `json:"point"`
	Figure   string  `json:"figure"`
	Baseline string  `json:"over,omitempty"`
	Target   string  `json:"target"`
	Value    float64 `json:"value"`
	Met      bool    `json:"met"`
	Source   string  `json:"source"`
}

// verdicts compares a result with targets. Targets whose point or figure was not
// measured, as in a quick run, are skipped.
func verdicts(r *Result, targets []target) []Verdict {
	var out []Verdict
	for _, t := range targets {
		from := r.Figures[r.Design]
		if t.baseline != "" {
			from = r.Ratios[t.baseline]
		}
		measured, ok := from[t.point][t.figure]
		if !ok {
			continue
		}
		out = append(out, t.check(measured))
	}
	return out
}

// check compares a measured figure, or its ratio to the baseline, with the target.
func (t target) check(measured Spread) Verdict {
	v := Verdict{Point: t.point, Figure: t.figure, Baseline: t.baseline, Value: measured.Median, Source: t.source}
	bound := "at most"
	worst := measured.Max
	if t.lowerBound {
		bound = "at least"
		worst = measured.Min
	}
	if t.everyRound {
		v.Value = worst
	}
	v.Target = bound + " " + formatNumber(t.limit)
	v.Met = v.Value <= t.limit
	if t.lowerBound {
		v.Met = v.Value >= t.limit
	}
	return v
}

// atPoints returns a copy of the target for each operating point.
func atPoints(t target, points ...string) []target {
	var out []target
	for _, p := range points {
		t.point = p
		out = append(out, t)
	}
	return out
}

const (
	tailSource        = "design.md 4, tail"
	slotsSource       = "design.md 4, slots"
	overloadSource    = "design.md 4, overload"
	coverageSource    = "design.md 4, coverage"
	lateSource        = "design.md 4, answers at most 20 ms late"
	propagationSource = "design.md 4, configuration in force within 11 s"
	controlSource     = "design.md 1, control overhead per node"
)

func tailTargets() []target {
	all := []string{"utilisation_30", "utilisation_60", "utilisation_80", "utilisation_90"}
	third := target{figure: "p99_ms", baseline: "random", limit: 1.0 / 3, source: tailSource}
	half := target{figure: "p99_ms", baseline: "random", limit: 0.5, source: tailSource}
	extra := target{figure: "extra_load", limit: 0.03, source: tailSource}
	out := atPoints(third, all[0])
	out = append(out, atPoints(half, all[1:]...)...)
	return append(out, atPoints(extra, all...)...)
}

func slotsTargets() []target {
	points := []string{"steady", "host_paused", "host_cut_off", "host_stopped"}
	out := atPoints(target{figure: "shed_share", limit: 0.005, source: slotsSource}, points...)
	return append(out, atPoints(target{figure: "over_connections", everyRound: true, source: slotsSource}, points...)...)
}

func overloadTargets() []target {
	return []target{{point: "offered_2x", figure: "goodput_to_1x", limit: 0.9, lowerBound: true, source: overloadSource}}
}

func coverageTargets() []target {
	const point = "replicas_lost"
	return []target{
		{point: point, figure: "broken_rules", everyRound: true, source: coverageSource},
		{point: point, figure: "journal_dropped", everyRound: true, source: coverageSource},
		{point: point, figure: "late_answers", everyRound: true, source: lateSource},
	}
}

func propagationTargets() []target {
	points := []string{"hosts_3", "hosts_9", "hosts_30", "hosts_100", "hosts_300"}
	out := atPoints(target{figure: "last_host_max_ms", limit: 11_000, everyRound: true, source: propagationSource}, points...)
	return append(out, atPoints(target{figure: "not_in_force", everyRound: true, source: propagationSource}, points...)...)
}

// controlTargets returns the targets of the design size. The points are smaller than
// that; the fitted slopes show how the figures grow. Bytes are the mean over all
// hosts: with few hosts, most are readers, which get the whole document at each
// change, so small points miss the target.
func controlTargets() []target {
	points := []string{"hosts_9", "hosts_30", "hosts_100", "hosts_300"}
	out := atPoints(target{figure: "cpu_us_per_host_s", limit: 38_000, source: controlSource}, points...)
	out = append(out, atPoints(target{figure: "memory_bytes_per_host", limit: 64e6, source: controlSource}, points...)...)
	return append(out, atPoints(target{figure: "bytes_per_host_s", limit: 22e3, source: controlSource}, points...)...)
}
