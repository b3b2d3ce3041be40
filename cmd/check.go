package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"oriolebarrow/core/config"
)

func check(_ context.Context, e env, args []string) int {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	if !parse(e, fs, args) {
		return ExitUsage
	}
	if fs.NArg() != 1 {
		reject(e, fs, "want one file")
		return ExitUsage
	}
	text, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow check: %v\n", err)
		return ExitFault
	}
	parts, err := config.Split(text)
	if err != nil {
		_, _ = fmt.Fprintln(e.out, err)
		return ExitFault
	}
	code := ExitOK
	for _, p := range parts {
		section, faults := config.Parse(p)
		for _, f := range faults {
			_, _ = fmt.Fprintln(e.out, f.Error())
			code = ExitFault
		}
		if section != nil {
			_, _ = fmt.Fprintf(e.out, "ok %s edition %d\n", section.Key(), section.Edition())
		}
	}
	return code
}
