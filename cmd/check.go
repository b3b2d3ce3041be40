package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"oriolebarrow/core/config"
)

// check validates a configuration document and prints a line for each valid section
// and each fault.
func check(_ context.Context, std streams, args []string) int {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if fs.NArg() != 1 {
		return usageError(std, fs, "want one file")
	}
	text, err := readDocument(fs.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow check: %v\n", err)
		return ExitFault
	}
	raw, err := config.Split(text)
	if err != nil {
		_, _ = fmt.Fprintln(std.out, err)
		return ExitFault
	}
	return checkSections(std.out, raw)
}

// readDocument reads a document up to one byte above the allowed size, so that
// config.Split reports a document that is too large.
func readDocument(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, config.MaxDocumentBytes+1))
}

// checkSections checks all sections of a document and prints the result of each one.
func checkSections(w io.Writer, raw []config.RawSection) int {
	code := ExitOK
	first := make(map[config.Key]int)
	for _, r := range raw {
		section, faults := config.Parse(r)
		if section != nil {
			if line, ok := first[section.Key()]; ok {
				faults = append(faults, config.Fault{
					Section: section.Key().String(), Key: "name", Line: r.Line(),
					Rule: fmt.Sprintf("the document already has this section at line %d", line),
				})
			} else {
				first[section.Key()] = r.Line()
			}
		}
		for _, f := range faults {
			_, _ = fmt.Fprintln(w, f.Error())
			code = ExitFault
		}
		if len(faults) == 0 {
			_, _ = fmt.Fprintf(w, "ok %s edition %d\n", section.Key(), section.Edition())
		}
	}
	return code
}
