package report_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oriolebarrow/bench/expt"
	"oriolebarrow/bench/report"
)

// Guards against a plot that leaves out a variant, and against an axis without a
// finite range when a figure of a point is zero because all its queries failed.
func TestWriteResultPlotsEveryVariant(t *testing.T) {
	r := &expt.Result{Experiment: "tail", Design: "design", Figures: map[string]map[string]map[string]expt.Spread{
		"design": {"utilisation_30": {"p99_ms": {Median: 40}}, "utilisation_90": {"p99_ms": {Median: 120}}},
		"random": {"utilisation_30": {"p99_ms": {Median: 320}}, "utilisation_90": {"p99_ms": {}}},
	}}
	dir := t.TempDir()
	if err := report.WriteResult(dir, r); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "tail.svg"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{">design<", ">random<", ">100<"} {
		if !bytes.Contains(raw, []byte(want)) {
			t.Errorf("tail.svg does not contain %q", want)
		}
	}
	if bytes.Contains(raw, []byte("NaN")) {
		t.Error("tail.svg contains a NaN coordinate")
	}
}

// Guards against a report that leaves out faults, and against one that fails without
// the call counts, which a load without a control address does not have.
func TestWriteReportsFaultsAndPlots(t *testing.T) {
	lines := `{"at_us":100000,"latency_us":2000,"outcome":"complete","answered":2,"total":2}
{"at_us":400000,"fault":"replica lost","answered":0,"total":0}
{"at_us":900000,"latency_us":90000,"outcome":"partial","answered":1,"total":2}
{"summary":{"scheduled":2}}
`
	samples, err := report.Read(strings.NewReader(lines))
	if err != nil || len(samples) != 3 {
		t.Fatalf("%d samples, %v", len(samples), err)
	}
	dir := t.TempDir()
	if err := report.Write(dir, samples); err != nil {
		t.Fatal(err)
	}
	page, _ := os.ReadFile(filepath.Join(dir, "report.md"))
	for _, want := range []string{"| requests | 2 |", "| partial | 1 |", "0.40 s: `replica lost`"} {
		if !bytes.Contains(page, []byte(want)) {
			t.Errorf("report.md does not contain %q:\n%s", want, page)
		}
	}
	for _, name := range []string{"latency.svg", "coverage.svg", "extra_load.svg"} {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !bytes.Contains(raw, []byte("</svg>")) {
			t.Errorf("%s: not a complete SVG, %v", name, err)
		}
	}
}
