// Package cmd holds the subcommands of the oriolebarrow program. Each one
// parses flags and environment, checks them, and calls one package.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitFault = 1 // the command ran and failed
	ExitUsage = 2 // bad flags or settings; nothing was started
)

const envPrefix = "OBW"

// env is what a subcommand gets besides its flags.
type env struct {
	out io.Writer
	err io.Writer
}

type command struct {
	summary string
	run     func(ctx context.Context, e env, args []string) int
}

func commands() map[string]command {
	return map[string]command{
		"serve":   {"run one host", serve},
		"check":   {"validate a configuration document", check},
		"query":   {"send one query", query},
		"order":   {"send one order", order},
		"version": {"print the version", version},
	}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := env{out: out, err: errOut}
	if len(args) == 0 {
		usage(errOut)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(out)
		return ExitOK
	}
	c, ok := commands()[args[0]]
	if !ok {
		_, _ = fmt.Fprintf(errOut, "oriolebarrow: unknown command %q; see oriolebarrow help\n", args[0])
		return ExitUsage
	}
	return c.run(ctx, e, args[1:])
}

func usage(w io.Writer) {
	all := commands()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	_, _ = fmt.Fprintln(w, "usage: oriolebarrow COMMAND [flags]")
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "  %-8s %s\n", name, all[name].summary)
	}
	_, _ = fmt.Fprintln(w, "Each flag can be set as an environment variable, OBW_ and its name in capitals.")
}

// parse reads flags, then the environment for flags that were not given. It
// reports one line for the first fault.
func parse(e env, fs *flag.FlagSet, args []string) bool {
	fs.SetOutput(io.Discard)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if err == flag.ErrHelp {
		fs.SetOutput(e.out)
		fs.PrintDefaults()
		return false
	}
	if err != nil {
		return reject(e, fs, "%s", firstLine(err))
	}
	return true
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

func reject(e env, fs *flag.FlagSet, format string, args ...any) bool {
	_, _ = fmt.Fprintf(e.err, "oriolebarrow %s: %s\n", fs.Name(), fmt.Sprintf(format, args...))
	return false
}

// Version is the program's version; a release build sets it.
const Version = "0.1.0-dev"

func version(_ context.Context, e env, _ []string) int {
	_, _ = fmt.Fprintln(e.out, "oriolebarrow", Version)
	return ExitOK
}
