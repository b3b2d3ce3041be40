// Package cmd implements the subcommands of the oriolebarrow program. Each one parses and
// checks its flags and the environment and leaves the work to other packages.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"context"
	"errors"
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

// streams are the outputs of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

type command struct {
	summary string
	args    string // arguments after the flags, for the help; empty when there are none
	run     func(ctx context.Context, std streams, args []string) int
}

func commands() map[string]command {
	return map[string]command{
		"serve":   {"run one host", "", serve},
		"gateway": {"run one host on the platform", "", gateway},
		"check":   {"validate a configuration document", "FILE", check},
		"query":   {"send one query", "", query},
		"order":   {"send one order", "", order},
		"explain": {"print the life of one request from logs", "LOGFILE... ID", explain},
		"status":  {"compare several hosts", "", status},
		"version": {"print the version", "", version},
		"where":   {"print where a host would send a request", "METHOD HOST PATH", where},
	}
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	std := streams{out: out, err: errOut}
	if len(args) == 0 {
		usage(errOut)
		return ExitUsage
	}
	name, rest := args[0], args[1:]
	if name == "help" || name == "-h" || name == "-help" || name == "--help" {
		if len(rest) == 0 {
			usage(out)
			return ExitOK
		}
		name, rest = rest[0], []string{"-help"}
	}
	c, ok := commands()[name]
	if !ok {
		_, _ = fmt.Fprintf(errOut, "oriolebarrow: unknown command %q; see oriolebarrow help\n", name)
		return ExitUsage
	}
	return c.run(ctx, std, rest)
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
	_, _ = fmt.Fprintln(w, "oriolebarrow help COMMAND lists the flags of a command.")
}

// parse sets the flags from args, and those that args do not name from the environment.
// If the help is requested or an argument is invalid, it prints the help or the reason
// and returns the exit code and false.
func parse(std streams, fs *flag.FlagSet, args []string) (code int, ok bool) {
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, flag.ErrHelp) {
		help(std.out, fs)
		return ExitOK, false
	}
	if err != nil {
		return usageError(std, fs, "%s", firstLine(err)), false
	}
	if c := commands()[fs.Name()]; c.args == "" && fs.NArg() > 0 {
		return usageError(std, fs, "unexpected argument %q", fs.Arg(0)), false
	}
	return ExitOK, true
}

// help prints the usage, summary and flags of a subcommand.
func help(w io.Writer, fs *flag.FlagSet) {
	c := commands()[fs.Name()]
	line := strings.TrimRight("usage: oriolebarrow "+fs.Name()+" [flags] "+c.args, " ")
	_, _ = fmt.Fprintf(w, "%s\n%s\n", line, c.summary)
	fs.VisitAll(func(f *flag.Flag) {
		kind, text := flag.UnquoteUsage(f)
		_, _ = fmt.Fprintf(w, "  -%s %s\n        %s (%s", f.Name, kind, text, envName(f.Name))
		if f.DefValue != "" {
			_, _ = fmt.Fprintf(w, ", default %s", f.DefValue)
		}
		_, _ = fmt.Fprintln(w, ")")
	})
}

func envName(flagName string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// usageError prints why the flags or settings of a command are not valid and returns
// the exit code.
func usageError(std streams, fs *flag.FlagSet, format string, args ...any) int {
	_, _ = fmt.Fprintf(std.err, "oriolebarrow %s: %s\n", fs.Name(), fmt.Sprintf(format, args...))
	return ExitUsage
}

// Version is the version of the program.
const Version = "0.1.0-dev"

func version(_ context.Context, std streams, args []string) int {
	fs := flag.NewFlagSet("version", flag.ContinueOnError)
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	_, _ = fmt.Fprintln(std.out, "oriolebarrow", Version)
	return ExitOK
}
