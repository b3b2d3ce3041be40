// Command bench generates load on hosts, runs experiments and soak tests, checks
// the answers, and reports the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"oriolebarrow/bench/demo"
	"oriolebarrow/bench/expt"
	"oriolebarrow/bench/load"
	"oriolebarrow/bench/report"
	"oriolebarrow/bench/soak"
)

const usage = `usage:
  bench demo [flags]                                    load for scripts/demo
  bench list                                            list the experiments
  bench run NAME [-seed N] [-rounds N] [-quick] [-out FILE] [-log FILE]
  bench all -out DIR [-seed N] [-rounds N] [-only NAME,NAME] [-quick]
  bench table FILE...                                   results as Markdown
  bench compare A B                                     ratios of two results
  bench load [flags]                                    open-loop load, JSON lines
  bench soak [flags]                                    hosts as processes, disturbed from outside
  bench report [-out DIR] FILE                          page and plots of a load, or a plot of a result`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		args = []string{""}
	}
	switch args[0] {
	case "demo":
		return demo.Main(ctx, args[1:], os.Stdout, os.Stderr)
	case "load":
		return load.Main(ctx, args[1:], os.Stdout, os.Stderr)
	case "report":
		return report.Main(ctx, args[1:], os.Stderr)
	case "soak":
		return soak.Main(ctx, args[1:], os.Stdout, os.Stderr)
	case "list":
		return expt.List(os.Stdout)
	case "run":
		return expt.Run(ctx, args[1:], os.Stdout, os.Stderr)
	case "all":
		return expt.All(ctx, args[1:], os.Stdout, os.Stderr)
	case "table":
		return expt.Table(args[1:], os.Stdout, os.Stderr)
	case "compare":
		return expt.Compare(args[1:], os.Stdout, os.Stderr)
	}
	fmt.Fprintln(os.Stderr, usage)
	return 2
}
