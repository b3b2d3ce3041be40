package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"oriolebarrow/core/config"
)

func check(_ context.Context, e env, args []string) int {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	if fs.NArg() != 1 {
		return reject(e, fs, "want one file")
	}
	text, err := readDocument(fs.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow check: %v\n", err)
		return ExitFault
	}
	parts, err := config.Split(text)
	if err != nil {
		_, _ = fmt.Fprintln(e.out, err)
		return ExitFault
	}
	return checkParts(e.out, parts)
}

// readDocument reads one byte more than a document may have, so that Split
// reports what is too large.
func readDocument(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, config.MaxDocumentBytes+1))
}

func checkParts(w io.Writer, parts []config.Part) int {
	code := ExitOK
	first := make(map[config.Key]int)
	for _, p := range parts {
		section, faults := config.Parse(p)
		if section != nil {
			if line, ok := first[section.Key()]; ok {
				faults = append(faults, config.Fault{
					Section: section.Key().String(), Key: "name", Line: p.Line(),
					Rule: fmt.Sprintf("the document already has this section at line %d", line),
				})
			} else {
				first[section.Key()] = p.Line()
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
