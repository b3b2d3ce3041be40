package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"oriolebarrow/io/trace"
)

// explain prints what the logs of several hosts say about one request.
func explain(_ context.Context, std streams, args []string) int {
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	before := fs.Duration("before", 0, "time before the request from which changes of state are shown; 0 for 3s")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if fs.NArg() < 2 {
		return usageError(std, fs, "want one log file or more and the id of a request")
	}
	if *before < 0 {
		return usageError(std, fs, "-before: want 0 or more, got %v", *before)
	}
	files, id := fs.Args()[:fs.NArg()-1], fs.Arg(fs.NArg()-1)
	t := trace.New(id, trace.Options{Before: *before})
	for _, name := range files {
		if err := readLog(t, name); err != nil {
			_, _ = fmt.Fprintf(std.err, "oriolebarrow explain: %v\n", err)
			return ExitFault
		}
	}
	if err := t.Write(std.out); err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow explain: %v\n", err)
		return ExitFault
	}
	return ExitOK
}

// readLog adds the relevant lines of a log file to t.
func readLog(t *trace.Trace, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // read only
	return t.Read(name, file)
}
