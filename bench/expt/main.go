package expt

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func experiments() []experiment {
	return []experiment{tail(), tailAblation(), tailStragglers(), cost(), decisionLog(), links(), slots(), overload(), coverage(), propagation(), control()}
}

// List prints the name, the expected duration on an idle machine and a
// description of each experiment.
func List(out io.Writer) int {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, e := range experiments() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", e.name, e.expected, e.about)
	}
	_ = w.Flush()
	return 0
}

// Run runs one experiment and writes its result as one JSON object to out or to
// the file of the -out flag.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		_, _ = fmt.Fprintln(errOut, "bench run: want the name of an experiment; see bench list")
		return 2
	}
	var s settings
	var rounds int
	var resultPath, logPath string
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Uint64Var(&s.seed, "seed", 1, "seed of arrivals, service times and choices")
	fs.IntVar(&rounds, "rounds", 0, "rounds; 0 means the default of the experiment, or 1 with -quick")
	fs.BoolVar(&s.quick, "quick", false, "shorter run with fewer operating points")
	fs.StringVar(&resultPath, "out", "", "file of the result instead of standard output")
	fs.StringVar(&logPath, "log", "", "file of the hosts' decision log, as JSON lines")
	if fs.Parse(args[1:]) != nil || fs.NArg() > 0 || rounds < 0 {
		return 2
	}
	all := experiments()
	i := slices.IndexFunc(all, func(e experiment) bool { return e.name == args[0] })
	if i < 0 {
		_, _ = fmt.Fprintf(errOut, "bench run: no experiment %q; see bench list\n", args[0])
		return 2
	}
	err := withLog(&s, logPath, func() error {
		n := all[i].roundCount(s, rounds)
		r, err := all[i].run(ctx, s, n, errOut)
		if err != nil {
			return err
		}
		r.Origin.Command = command(all[i].name, s, n)
		return writeResult(r, resultPath, out)
	})
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bench run:", err)
		return 1
	}
	return 0
}

// withLog calls f. If path is not empty, the decision log is written to that file.
func withLog(s *settings, path string, f func() error) error {
	if path == "" {
		return f()
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	buffer := bufio.NewWriter(file)
	s.log = slog.New(slog.NewJSONHandler(buffer, nil))
	err = f()
	if flushErr := buffer.Flush(); err == nil {
		err = errors.Wrap(flushErr, "write log")
	}
	if closeErr := file.Close(); err == nil {
		err = errors.Wrap(closeErr, "close log")
	}
	return err
}

// writeResult writes r to the file at path, or to out if path is empty.
func writeResult(r *Result, path string, out io.Writer) error {
	if path == "" {
		return r.write(out)
	}
	var b bytes.Buffer
	if err := r.write(&b); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, b.Bytes(), 0o644), "write result")
}

// Compare reads the result files A and B of one experiment and prints, as JSON,
// the ratio of each median in B to the one in A.
func Compare(args []string, out, errOut io.Writer) int {
	if len(args) != 2 {
		_, _ = fmt.Fprintln(errOut, "usage: bench compare A B")
		return 2
	}
	var results [2]Result
	for i, path := range args {
		if err := ReadResult(path, &results[i]); err != nil {
			_, _ = fmt.Fprintln(errOut, "bench compare:", err)
			return 1
		}
	}
	a, b := results[0], results[1]
	if a.Experiment != b.Experiment {
		_, _ = fmt.Fprintf(errOut, "bench compare: experiments differ: %s and %s\n", a.Experiment, b.Experiment)
		return 1
	}
	compared := make(map[string]map[string]map[string]float64)
	for variant, points := range a.Figures {
		compared[variant] = make(map[string]map[string]float64)
		for point, figures := range points {
			compared[variant][point] = medianRatios(figures, b.Figures[variant][point])
		}
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	_ = enc.Encode(map[string]any{"experiment": a.Experiment, "ratios_b_to_a": compared})
	return 0
}

func medianRatios(a, b map[string]Spread) map[string]float64 {
	out := make(map[string]float64)
	for name, x := range a {
		if y, ok := b[name]; ok && x.Median != 0 {
			out[name] = round(y.Median / x.Median)
		}
	}
	return out
}

// ReadResult decodes a result file.
func ReadResult(path string, into *Result) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read result")
	}
	return errors.Wrapf(json.Unmarshal(raw, into), "decode result %s", path)
}
