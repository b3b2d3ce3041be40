package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientSlack is waited beyond the deadline, so that the host answers first.
const clientSlack = 2 * time.Second

type clientFlags struct {
	host     string
	caller   string
	service  string
	body     string
	deadline time.Duration
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.host, "host", "", "caller address of a host, IP number and port")
	fs.StringVar(&f.caller, "caller", "", "caller section")
	fs.StringVar(&f.service, "service", "", "service")
	fs.StringVar(&f.body, "body", "{}", "request body, JSON")
	fs.DurationVar(&f.deadline, "deadline", 0, "deadline; 0 for the section's")
}

func (f *clientFlags) check(e env, fs *flag.FlagSet) bool {
	if f.host == "" || f.caller == "" || f.service == "" {
		return reject(e, fs, "want -host, -caller and -service")
	}
	if !json.Valid([]byte(f.body)) {
		return reject(e, fs, "-body: want JSON")
	}
	return true
}

func query(ctx context.Context, e env, args []string) int {
	var f clientFlags
	fs := flag.NewFlagSet("query", flag.ContinueOnError)
	f.register(fs)
	coverage := fs.Float64("min-coverage", -1, "minimum coverage, 0 to 1; -1 for the section's")
	if !parse(e, fs, args) || !f.check(e, fs) {
		return ExitUsage
	}
	in := map[string]any{
		"caller": f.caller, "service": f.service, "body": json.RawMessage(f.body), "deadline_ms": f.deadline.Milliseconds(),
	}
	if *coverage >= 0 {
		in["min_coverage"] = *coverage
	}
	return f.post(ctx, e, "/v1/query", in)
}

func order(ctx context.Context, e env, args []string) int {
	var f clientFlags
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	f.register(fs)
	key := fs.String("key", "", "key of the order; it chooses the replica group")
	token := fs.String("token", "", "token; empty to ask for one (the order does not run)")
	if !parse(e, fs, args) || !f.check(e, fs) {
		return ExitUsage
	}
	return f.post(ctx, e, "/v1/orders", map[string]any{
		"caller": f.caller, "service": f.service, "key": *key, "token": *token,
		"body": json.RawMessage(f.body), "deadline_ms": f.deadline.Milliseconds(),
	})
}

func (f *clientFlags) post(ctx context.Context, e env, path string, in any) int {
	raw, err := json.Marshal(in)
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow: %v\n", err)
		return ExitFault
	}
	if f.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.deadline+clientSlack)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.host+path, bytes.NewReader(raw))
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow: %v\n", err)
		return ExitUsage
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		_, _ = fmt.Fprintf(e.err, "oriolebarrow: %v\n", err)
		return ExitFault
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(e.out, res.Body)
	if res.StatusCode != http.StatusOK {
		return ExitFault
	}
	return ExitOK
}
