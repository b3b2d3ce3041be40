package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Main runs the seeds that the command line names, several at the same time. It returns
// exit code 1 if a promise was broken or a run failed, and 2 if the command line or the
// file of cases is invalid.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	fs.SetOutput(errOut)
	var o Options
	kind := fs.String("kind", string(Gateway), "gateway or serve")
	fs.StringVar(&o.Program, "program", "target/oriolebarrow", "the built program")
	fs.Uint64Var(&o.Seed, "seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds")
	fs.DurationVar(&o.Duration, "duration", defaultDuration, "of the disturbances of a seed")
	fs.IntVar(&o.Hosts, "hosts", defaultHosts, "hosts of a run, 2 to 200")
	cases := fs.String("cases", "", "file of kinds and seeds that run before -seeds")
	jobs := fs.Int("jobs", 1, "seeds that run at the same time, 1 to 50")
	dir := fs.String("dir", "", "directory for settings and logs; empty for a temporary one that is kept only if a promise was broken")
	if err := fs.Parse(args); err != nil {
		return 2
	}
	if o.Kind = Kind(*kind); !slices.Contains([]Kind{Gateway, Serve}, o.Kind) || *seeds < 1 || *jobs < 1 || *jobs > 50 || o.Hosts < 2 || o.Hosts > 200 {
		_, _ = fmt.Fprintln(errOut, "bench soak: -kind: want gateway or serve; -seeds: 1 or more; -jobs: 1 to 50; -hosts: 2 to 200")
		return 2
	}
	runs, err := readCases(*cases)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bench soak:", err)
		return 2
	}
	for i := range *seeds {
		runs = append(runs, seedRun{o.Kind, o.Seed + uint64(i)})
	}
	root, keep := *dir, true
	if root == "" {
		if root, err = os.MkdirTemp("", "soak"); err != nil {
			_, _ = fmt.Fprintln(errOut, "bench soak:", err)
			return 1
		}
		keep = false
	}
	failed := runSeeds(ctx, o, runs, *jobs, root, out)
	if failed == 0 && !keep {
		_ = os.RemoveAll(root) // files that remain in the temporary directory do no harm
	}
	_, _ = fmt.Fprintf(out, "soak: %d of %d seeds broke a promise\n", failed, len(runs))
	if failed > 0 {
		_, _ = fmt.Fprintf(out, "soak: logs are in %s\n", root)
		return 1
	}
	return 0
}

// seedRun is a run of one kind with one seed.
type seedRun struct {
	kind Kind
	seed uint64
}

// readCases reads a file whose lines name a kind, a seed and why the seed once failed.
func readCases(path string) ([]seedRun, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "soak: read cases")
	}
	var runs []seedRun
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") || strings.TrimSpace(line) == "" {
			continue
		}
		var r seedRun
		if _, err := fmt.Sscan(line, &r.kind, &r.seed); err != nil {
			return nil, errors.Wrapf(err, "soak: %s: %q: want a kind and a seed", path, line)
		}
		runs = append(runs, r)
	}
	return runs, nil
}

// runSeeds runs seeds, up to jobs of them at the same time, and returns how many broke a
// promise or failed to run.
func runSeeds(ctx context.Context, o Options, runs []seedRun, jobs int, root string, out io.Writer) int64 {
	slots := make(chan int, jobs)
	for i := range jobs {
		slots <- i + 1
	}
	var failed atomic.Int64
	var mu sync.Mutex // guards out
	var group errgroup.Group
	for _, run := range runs {
		o := o
		o.Kind, o.Seed = run.kind, run.seed
		o.Slot = <-slots
		o.Dir = seedDir(root, o.Kind, o.Seed)
		group.Go(func() error {
			defer func() { slots <- o.Slot }()
			r, err := Run(ctx, o)
			if err != nil || len(r.BrokenPromises) > 0 {
				failed.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			printReport(out, o, r, err)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors; printReport prints them
	return failed.Load()
}

func printReport(out io.Writer, o Options, r *Report, err error) {
	if err != nil {
		_, _ = fmt.Fprintf(out, "%s seed %d: %v\n", o.Kind, o.Seed, err)
		return
	}
	_, _ = fmt.Fprintf(out, "%s seed %d: %d promises broken; %v\n", o.Kind, o.Seed, r.BrokenCount, r.Requests)
	if r.BrokenCount == 0 {
		return
	}
	for _, step := range r.Plan {
		_, _ = fmt.Fprintln(out, "   plan:", step)
	}
	for _, b := range r.BrokenPromises {
		_, _ = fmt.Fprintln(out, "  ", b)
	}
}
