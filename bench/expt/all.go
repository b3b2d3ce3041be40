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

// roundsOr returns the rounds asked for, or the default of the experiment.
func (e *experiment) roundsOr(s settings, asked int) int {
	return cmp.Or(asked, pick(s, 1, cmp.Or(e.rounds, defaultRounds)))
}

// selected returns the experiments with the given names, or those of bench all.
func selected(names string) ([]experiment, error) {
	all := experiments()
	if names == "" {
		return slices.DeleteFunc(all, func(e experiment) bool { return e.apart }), nil
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

// All runs experiments one after another and writes one result file each. An
// experiment that fails doesn't keep the others from running.
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
	chosen, err := selected(names)
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
		line, err := e.runToFile(ctx, s, e.roundsOr(s, rounds), dir)
		if err != nil {
			line, code = fmt.Sprintf("%s: failed: %v", e.name, err), 1
		}
		_, _ = fmt.Fprintln(out, line)
	}
	return code
}

// runToFile returns a line about the result.
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

// command returns the command line that repeats a run.
func command(name string, s settings, rounds int) string {
	out := fmt.Sprintf("bench run %s -seed %d -rounds %d", name, s.seed, rounds)
	if s.quick {
		out += " -quick"
	}
	return out
}
