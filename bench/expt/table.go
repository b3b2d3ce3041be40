package expt

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Table prints result files as Markdown tables for docs/MEASUREMENTS.md.
func Table(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		_, _ = fmt.Fprintln(errOut, "usage: bench table FILE...")
		return 2
	}
	for _, path := range args {
		var r Result
		if err := ReadResult(path, &r); err != nil {
			_, _ = fmt.Fprintln(errOut, "bench table:", err)
			return 1
		}
		_, _ = io.WriteString(out, r.table())
	}
	return 0
}

// table returns a Markdown table with one row for each point and shown figure and
// one column for each variant. A cell contains the median (minimum to maximum);
// for a baseline, the ratio of the design to it follows.
func (r *Result) table() string {
	var b strings.Builder
	o := r.Origin
	fmt.Fprintf(&b, "**%s**: `%s`, seed %d, commit %.12s, %s, %d processors, load average %.1f before, %s, %.0f s\n\n",
		r.Experiment, o.Command, r.Seed, o.Commit, o.GoVersion, o.Processors, o.LoadAverage,
		o.Started.Format("2006-01-02 15:04 MST"), r.Seconds)
	names := r.baselines()
	fmt.Fprintf(&b, "| point | figure | %s |", r.Design)
	for _, name := range names {
		fmt.Fprintf(&b, " %s; design / %s |", name, name)
	}
	b.WriteString(" target |\n|" + strings.Repeat(" --- |", len(names)+4) + "\n")
	for _, figure := range r.shown() {
		for _, point := range SortedPoints(r.Figures[r.Design]) {
			if _, ok := r.Figures[r.Design][point][figure]; ok {
				r.writeRow(&b, names, point, figure)
			}
		}
	}
	b.WriteString("\n")
	return b.String()
}

// Variants returns the names of the variants, starting with the design.
func (r *Result) Variants() []string { return append([]string{r.Design}, r.baselines()...) }

func (r *Result) baselines() []string {
	names := slices.Sorted(maps.Keys(r.Figures))
	return slices.DeleteFunc(names, func(name string) bool { return name == r.Design })
}

// shown returns the names of the figures in the table of the experiment.
func (r *Result) shown() []string {
	for _, e := range experiments() {
		if e.name == r.Experiment {
			return e.shown
		}
	}
	return nil
}

func (r *Result) writeRow(b *strings.Builder, names []string, point, figure string) {
	fmt.Fprintf(b, "| %s | %s | %s |", point, figure, r.Figures[r.Design][point][figure])
	for _, name := range names {
		cell := "-"
		if x, ok := r.Figures[name][point][figure]; ok {
			cell = x.String()
		}
		if x, ok := r.Ratios[name][point][figure]; ok {
			cell += "; " + x.String()
		}
		fmt.Fprintf(b, " %s |", cell)
	}
	fmt.Fprintf(b, " %s |\n", r.verdictText(point, figure))
}

// verdictText returns the target of a figure and whether it was met, or "-" if it
// has no target.
func (r *Result) verdictText(point, figure string) string {
	for _, v := range r.Verdicts {
		if v.Point != point || v.Figure != figure {
			continue
		}
		text := v.Target
		if v.Baseline != "" {
			text += " of " + v.Baseline
		}
		if v.Met {
			return text + ": met"
		}
		return text + ": missed"
	}
	return "-"
}

// String returns the median, followed by the minimum and the maximum unless all
// are equal.
func (s Spread) String() string {
	if s.Min == s.Max {
		return formatNumber(s.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(s.Median), formatNumber(s.Min), formatNumber(s.Max))
}

// formatNumber returns x with three significant digits; from 1000 on, it returns all
// integer digits without an exponent.
func formatNumber(x float64) string {
	if math.Abs(x) >= 1000 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// SortedPoints returns the names of the points, ordered by the numbers in them.
func SortedPoints[T any](points map[string]T) []string {
	return slices.SortedFunc(maps.Keys(points), func(a, b string) int {
		if c := slices.Compare(nameNumbers(a), nameNumbers(b)); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
}

// nameNumbers returns the parts of a point's name that are integers.
func nameNumbers(name string) []int {
	var out []int
	for part := range strings.SplitSeq(name, "_") {
		if n, err := strconv.Atoi(part); err == nil {
			out = append(out, n)
		}
	}
	return out
}
