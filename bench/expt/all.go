package expt

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// roundCount returns the requested number of rounds. If it is 0, it returns 1
// for a quick run and the default of the experiment otherwise.
func (e *experiment) roundCount(s settings, requested int) int {
	return cmp.Or(requested, pick(s, 1, cmp.Or(e.rounds, defaultRounds)))
}

// selectExperiments returns the experiments named in a comma-separated list. For
// an empty list it returns those that "bench all" runs by default.
func selectExperiments(names string) ([]experiment, error) {
	all := experiments()
	if names == "" {
		return slices.DeleteFunc(all, func(e experiment) bool { return e.onlyByName }), nil
	}
	var out []experiment
	for name := range strings.SplitSeq(names, ",") {
		i := slices.IndexFunc(all, func(e experiment) bool { return e.name == name })
		if i < 0 {
			return nil, errors.Errorf("no experiment %q; see bench list", name)
		}
		out = append(out, all[i])
	}
	return out, nil
}

// All runs experiments one after another and writes a result file for each. If
// an experiment fails, the others still run and the exit code is 1.
func All(ctx context.Context, args []string, out, errOut io.Writer) int {
	var s settings
	var rounds int
	var dir, names string
	fs := flag.NewFlagSet("all", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&dir, "out", "", "directory of the result files")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of arrivals, service times and choices")
	fs.IntVar(&rounds, "rounds", 0, "rounds; 0 means the default of each experiment, or 1 with -quick")
	fs.StringVar(&names, "only", "", "names of the experiments to run, separated by commas")
	fs.BoolVar(&s.quick, "quick", false, "shorter runs with fewer operating points")
	if fs.Parse(args) != nil || fs.NArg() > 0 || rounds < 0 {
		return 2
	}
	chosen, err := selectExperiments(names)
	if err == nil && dir == "" {
		err = errors.New("want -out DIR")
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bench all:", err)
		return 2
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		_, _ = fmt.Fprintln(errOut, "bench all: create directory:", err)
		return 1
	}
	code := 0
	for _, e := range chosen {
		line, err := e.runToFile(ctx, s, e.roundCount(s, rounds), dir)
		if err != nil {
			line, code = fmt.Sprintf("%s: failed: %v", e.name, err), 1
		}
		_, _ = fmt.Fprintln(out, line)
	}
	return code
}

// runToFile runs the experiment, writes its result to a file in dir and returns
// a one-line summary.
func (e *experiment) runToFile(ctx context.Context, s settings, rounds int, dir string) (string, error) {
	r, err := e.run(ctx, s, rounds, io.Discard)
	if err != nil {
		return "", err
	}
	r.Origin.Command = command(e.name, s, rounds)
	path := filepath.Join(dir, e.name+".json")
	if err := writeResult(r, path, nil); err != nil {
		return "", err
	}
	met := 0
	for _, v := range r.Verdicts {
		if v.Met {
			met++
		}
	}
	return fmt.Sprintf("%s: %.0f s, %d of %d targets met, load average %.1f, %s",
		e.name, r.Seconds, met, len(r.Verdicts), r.Origin.LoadAverage, path), nil
}

// command returns the command line that runs the experiment again with the same
// arguments.
func command(name string, s settings, rounds int) string {
	out := fmt.Sprintf("bench run %s -seed %d -rounds %d", name, s.seed, rounds)
	if s.quick {
		out += " -quick"
	}
	return out
}
