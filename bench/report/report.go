// Package report writes a Markdown page with plots from the JSON lines of a load,
// or a plot from the result of an experiment.
//
// # Usage
//
//	samples, err := report.Read(file)
//	err = report.Write(dir, samples)
package report

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"oriolebarrow/bench/expt"
	"oriolebarrow/bench/load"
)

const (
	maxLineBytes  = 1 << 20
	maxLines      = 1_000_000
	bucketLength  = 500 * time.Millisecond
	maxLatencyUS  = int64(5 * time.Minute / time.Microsecond)
	latencyDigits = 3 // significant digits of the histogram
)

// Main runs "bench report" with the given arguments and returns the exit code.
func Main(_ context.Context, args []string, errOut io.Writer) int {
	var dir string
	fs := flag.NewFlagSet("report", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&dir, "out", "report", "directory of the report")
	if fs.Parse(args) != nil || fs.NArg() != 1 {
		_, _ = fmt.Fprintln(errOut, "usage: bench report [-out DIR] FILE")
		return 2
	}
	if err := run(fs.Arg(0), dir); err != nil {
		_, _ = fmt.Fprintln(errOut, "bench report:", err)
		return 1
	}
	return 0
}

// run reports on a file that contains either the result of an experiment or the lines
// of a load. The lines are separate JSON values, so they don't decode as a result.
func run(path, dir string) error {
	var result expt.Result
	if err := expt.ReadResult(path, &result); err == nil && result.Experiment != "" {
		return WriteResult(dir, &result)
	}
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "report: open file")
	}
	defer func() { _ = f.Close() }()
	samples, err := Read(f)
	if err != nil {
		return err
	}
	return Write(dir, samples)
}

// Read decodes the JSON lines of a load. It skips the summary line.
func Read(r io.Reader) ([]load.Sample, error) {
	var out []load.Sample
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if n > maxLines {
			return nil, errors.Errorf("report: more than %d lines", maxLines)
		}
		if strings.HasPrefix(lines.Text(), `{"summary"`) {
			continue
		}
		var s load.Sample
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, errors.Wrapf(err, "report: line %d", n)
		}
		out = append(out, s)
	}
	return out, errors.Wrap(lines.Err(), "report: read lines")
}

// bucket sums up the samples of one interval of length bucketLength.
type bucket struct {
	answered int   // shards answered
	total    int   // shards needed
	calls    int64 // backend calls
	counted  bool  // whether calls is known
}

// fillBuckets sums up samples in buckets by their scheduled time. Samples with a
// call count contain the total so far; the difference between two successive counts
// is added to the bucket of the later one.
func fillBuckets(samples []load.Sample) []bucket {
	var out []bucket
	at := func(us int64) *bucket {
		i := int(time.Duration(us) * time.Microsecond / bucketLength)
		for len(out) <= i {
			out = append(out, bucket{})
		}
		return &out[i]
	}
	last := int64(-1)
	for _, s := range samples {
		switch {
		case s.Fault != "":
		case s.Calls != nil:
			b := at(s.AtUS)
			if last >= 0 {
				b.calls += *s.Calls - last
				b.counted = true
			}
			last = *s.Calls
		default:
			b := at(s.AtUS)
			b.answered += s.Answered
			b.total += s.Total
		}
	}
	return out
}

// Write writes the page report.md and its plots to a directory.
func Write(dir string, samples []load.Sample) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report: create directory")
	}
	latency := hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	outcomes := make(map[string]int)
	var faults []load.Sample
	for _, s := range samples {
		switch {
		case s.Fault != "":
			faults = append(faults, s)
		case s.Calls == nil:
			outcomes[s.Outcome]++
			_ = latency.RecordValue(min(max(s.LatencyUS, 1), maxLatencyUS))
		}
	}
	if latency.TotalCount() == 0 {
		return errors.New("report: no requests in the samples")
	}
	buckets := fillBuckets(samples)
	if err := plotLatency(filepath.Join(dir, "latency.svg"), latency); err != nil {
		return err
	}
	if err := plotCoverage(filepath.Join(dir, "coverage.svg"), buckets, faults); err != nil {
		return err
	}
	if err := plotExtraLoad(filepath.Join(dir, "extra_load.svg"), buckets, faults); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "report.md"), page(latency, outcomes, faults), 0o644), "report: write page")
}

// page returns the Markdown page.
func page(latency *hdrhistogram.Histogram, outcomes map[string]int, faults []load.Sample) []byte {
	var b strings.Builder
	b.WriteString("# Load report\n\n| figure | value |\n| --- | --- |\n")
	fmt.Fprintf(&b, "| requests | %d |\n", latency.TotalCount())
	for _, q := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(&b, "| p%g | %.1f ms |\n", q, float64(latency.ValueAtQuantile(q))/1000)
	}
	for _, name := range []string{"complete", "partial", "not_run", "unknown", "connection_lost"} {
		fmt.Fprintf(&b, "| %s | %d |\n", name, outcomes[name])
	}
	b.WriteString("\n![latency](latency.svg)\n![coverage](coverage.svg)\n![extra load](extra_load.svg)\n\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "- %.2f s: `%s` %s\n", seconds(f.AtUS), f.Fault, f.Error)
	}
	return []byte(b.String())
}

func seconds(us int64) float64 { return float64(us) / 1e6 }
