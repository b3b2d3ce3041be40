package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

const (
	// clientSlack is how long the client waits beyond the deadline, so that an answer
	// that the host sends at the deadline still arrives.
	clientSlack = 2 * time.Second
	// maxSectionDeadline is the largest deadline that a section may have. The client
	// assumes it when no flag sets a deadline.
	maxSectionDeadline = 10 * time.Minute
	// maxReplyBytes bounds an answer; a host sends at most 64 MB of rows.
	maxReplyBytes = 80 << 20
)

// clientFlags are the flags that query and order have in common.
type clientFlags struct {
	host     string
	caller   string
	service  string
	body     string
	deadline time.Duration
	json     bool
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.host, "host", "", "caller address of a host, IP number and port")
	fs.StringVar(&f.caller, "caller", "", "caller section")
	fs.StringVar(&f.service, "service", "", "service")
	fs.StringVar(&f.body, "body", "{}", "request body, JSON")
	fs.DurationVar(&f.deadline, "deadline", 0, "deadline; 0 for the section's")
	fs.BoolVar(&f.json, "json", false, "print the host's answer as it is")
}

// check returns the first fault of the flags, or an empty string.
func (f *clientFlags) check() string {
	if f.host == "" || f.caller == "" || f.service == "" {
		return "want -host, -caller and -service"
	}
	if _, err := netip.ParseAddrPort(f.host); err != nil {
		return fmt.Sprintf("-host: want an IP number and port, got %q", f.host)
	}
	if !json.Valid([]byte(f.body)) {
		return "-body: want JSON"
	}
	if f.deadline != 0 && f.deadline < time.Millisecond {
		return "-deadline: want 0 or at least 1ms"
	}
	return ""
}

func query(ctx context.Context, std streams, args []string) int {
	var f clientFlags
	fs := flag.NewFlagSet("query", flag.ContinueOnError)
	f.register(fs)
	coverage := fs.Float64("min-coverage", -1, "minimum coverage, 0 to 1; -1 for the section's")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if fault := f.check(); fault != "" {
		return usageError(std, fs, "%s", fault)
	}
	if *coverage != -1 && !(*coverage >= 0 && *coverage <= 1) {
		return usageError(std, fs, "-min-coverage: want 0 to 1, or -1, got %g", *coverage)
	}
	in := map[string]any{
		"caller": f.caller, "service": f.service, "body": json.RawMessage(f.body), "deadline_ms": f.deadline.Milliseconds(),
	}
	if *coverage >= 0 {
		in["min_coverage"] = *coverage
	}
	return f.post(ctx, std, "/v1/query", in)
}

func order(ctx context.Context, std streams, args []string) int {
	var f clientFlags
	fs := flag.NewFlagSet("order", flag.ContinueOnError)
	f.register(fs)
	key := fs.String("key", "", "key of the order; it chooses the replica group")
	token := fs.String("token", "", "token; empty to get one first")
	tokenOnly := fs.Bool("token-only", false, "only get a token; the order does not run")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if fault := f.check(); fault != "" {
		return usageError(std, fs, "%s", fault)
	}
	if *tokenOnly && *token != "" {
		return usageError(std, fs, "-token-only and -token: want one of them")
	}
	if !*tokenOnly && *key == "" {
		return usageError(std, fs, "-key: want the key of the order")
	}
	if *token == "" {
		got, code := f.newToken(ctx, std, *tokenOnly)
		if code != ExitOK || *tokenOnly {
			return code
		}
		*token = got
	}
	return f.post(ctx, std, "/v1/orders", map[string]any{
		"caller": f.caller, "service": f.service, "key": *key, "token": *token,
		"body": json.RawMessage(f.body), "deadline_ms": f.deadline.Milliseconds(),
	})
}

// newToken gets a token from the host. It prints the token before the order is sent: if
// the answer to the order is lost, the order must be repeated with the same token so that
// it can't run twice. With only set, or if the host refuses, newToken prints the whole
// answer instead.
func (f *clientFlags) newToken(ctx context.Context, std streams, only bool) (string, int) {
	a, err := f.send(ctx, "/v1/tokens", nil)
	if err != nil {
		return "", reportError(std, err)
	}
	if a.status == http.StatusOK && a.Token == "" {
		return "", reportError(std, errors.New("the host issued no token"))
	}
	if a.status != http.StatusOK || only {
		return a.Token, f.printReply(std, a)
	}
	_, _ = fmt.Fprintf(std.err, "oriolebarrow order: got token %s; repeat an unknown outcome with -token and this token\n", a.Token)
	return a.Token, ExitOK
}

// post sends a request and prints its answer.
func (f *clientFlags) post(ctx context.Context, std streams, path string, in any) int {
	a, err := f.send(ctx, path, in)
	if err != nil {
		return reportError(std, err)
	}
	return f.printReply(std, a)
}

// printReply prints an answer and returns the exit code.
func (f *clientFlags) printReply(std streams, a *reply) int {
	if f.json {
		_, _ = std.out.Write(a.raw)
	} else {
		a.print(std.out)
	}
	if a.status != http.StatusOK || a.Coverage != nil && a.Coverage.BelowMinimum {
		return ExitFault
	}
	return ExitOK
}

// send sends one request and reads its answer, whatever its status.
func (f *clientFlags) send(ctx context.Context, path string, in any) (*reply, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	wait := maxSectionDeadline
	if f.deadline > 0 {
		wait = f.deadline
	}
	ctx, cancel := context.WithTimeout(ctx, wait+clientSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.host+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	a := &reply{status: res.StatusCode}
	if a.raw, err = io.ReadAll(io.LimitReader(res.Body, maxReplyBytes)); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(a.raw, a); err != nil {
		return nil, fmt.Errorf("the answer (status %d) is not the expected JSON: %w", res.StatusCode, err)
	}
	return a, nil
}

// reportError prints an error and returns the exit code.
func reportError(std streams, err error) int {
	_, _ = fmt.Fprintf(std.err, "oriolebarrow: %v\n", err)
	return ExitFault
}

// reply is the answer of a host to a query, an order, a request for a token or a faulty
// request.
type reply struct {
	status int
	raw    []byte

	RequestID      string `json:"request_id"`
	Outcome        string `json:"outcome"`
	Reason         string `json:"reason"`
	Error          string `json:"error"`
	Snapshot       uint64 `json:"snapshot"`
	ConfigRevision uint64 `json:"config_revision"`
	RetryAfterMS   int64  `json:"retry_after_ms"`
	DeadlineMS     int64  `json:"deadline_ms"`
	DeadlineCapped bool   `json:"deadline_capped"`
	Token          string `json:"token"`
	ExpiresInMS    int64  `json:"expires_in_ms"`
	Coverage       *struct {
		Answered     int  `json:"answered"`
		Total        int  `json:"total"`
		BelowMinimum bool `json:"below_minimum"`
		Missing      []struct {
			Shard  int32  `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	Rows   []json.RawMessage `json:"rows"`
	Result json.RawMessage   `json:"result"`
}

// print writes the answer with one value on each line.
func (a *reply) print(w io.Writer) {
	for _, f := range []struct{ name, value string }{
		{"outcome", a.Outcome}, {"reason", a.Reason}, {"error", a.Error}, {"request", a.RequestID}, {"token", a.Token},
	} {
		if f.value != "" {
			printLine(w, f.name, "%s", f.value)
		}
	}
	if a.ExpiresInMS > 0 {
		printLine(w, "expires", "in %d ms", a.ExpiresInMS)
	}
	a.printCoverage(w)
	if a.ConfigRevision > 0 {
		printLine(w, "revision", "%d", a.ConfigRevision)
	}
	if a.RetryAfterMS > 0 {
		printLine(w, "retry", "after %d ms", a.RetryAfterMS)
	}
	if a.DeadlineCapped {
		printLine(w, "deadline", "%d ms, capped by the caller's section", a.DeadlineMS)
	}
	for _, r := range a.Rows {
		printLine(w, "rows", "%s", r)
	}
	if len(a.Result) > 0 {
		printLine(w, "result", "%s", a.Result)
	}
}

func (a *reply) printCoverage(w io.Writer) {
	c := a.Coverage
	if c == nil {
		return
	}
	printLine(w, "coverage", "%d of %d shards", c.Answered, c.Total)
	if c.BelowMinimum {
		printLine(w, "warning", "coverage is below the minimum")
	}
	for _, m := range c.Missing {
		printLine(w, "missing", "shard %d: %s", m.Shard, m.Reason)
	}
	printLine(w, "snapshot", "%d", a.Snapshot)
}

func printLine(w io.Writer, name, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "%-10s %s\n", name, fmt.Sprintf(format, args...))
}
