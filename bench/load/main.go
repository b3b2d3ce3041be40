package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/standin/server"
)

const controlTimeout = 2 * time.Second

// errFlagsPrinted is returned for an error that the flag package has already printed.
var errFlagsPrinted = errors.New("load: invalid flags")

// Main runs the load that the command line describes and returns the exit code: 1 if the load
// failed, 2 if the arguments are invalid. It writes samples and a summary as lines of JSON to
// out, and progress to errOut if that is a terminal.
func Main(ctx context.Context, args []string, out io.Writer, errOut *os.File) int {
	o, err := parse(args, errOut)
	if err != nil {
		if !errors.Is(err, errFlagsPrinted) {
			_, _ = fmt.Fprintln(errOut, "bench load:", err)
		}
		return 2
	}
	o.SampleWriter = out
	if info, err := errOut.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		o.Progress = errOut
	}
	r, err := Run(ctx, o)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "bench load:", err)
		return 1
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"summary": map[string]any{
		"scheduled": r.Scheduled, "dropped": r.Dropped, "outcomes": r.Outcomes, "coverage": r.Coverage(),
		"p50_ms": r.Quantile(50).Seconds() * 1000, "p99_ms": r.Quantile(99).Seconds() * 1000,
	}})
	return 0
}

func parse(args []string, errOut io.Writer) (Options, error) {
	var o Options
	var hosts, control string
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&hosts, "hosts", "", "caller addresses of the hosts, separated by commas")
	fs.StringVar(&control, "control", "", "control address of the stand-ins, for faults and counts")
	fs.Float64Var(&o.Rate, "rate", 50, "queries a second")
	fs.DurationVar(&o.Length, "duration", 10*time.Second, "length of the load")
	fs.IntVar(&o.MaxArrivals, "max", defaultMaxArrivals, "queries at most")
	fs.IntVar(&o.MaxInFlight, "in-flight", defaultMaxInFlight, "queries in flight at most")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the schedule")
	fs.Func("mix", "caller,service,weight,deadline; may be repeated", func(text string) error {
		kind, err := parseMix(text)
		o.Kinds = append(o.Kinds, kind)
		return err
	})
	var faults []string
	fs.Func("fault", "'TIME METHOD PATH [BODY]' for the control address; may be repeated", func(text string) error {
		faults = append(faults, text)
		return nil
	})
	if fs.Parse(args) != nil {
		return o, errFlagsPrinted
	}
	o.Hosts = strings.Split(hosts, ",")
	for _, text := range faults {
		f, err := parseFault(control, text)
		if err != nil {
			return o, errors.Wrap(err, "-fault")
		}
		o.Faults = append(o.Faults, f)
	}
	if hosts == "" || len(o.Kinds) == 0 || control == "" && len(faults) > 0 {
		return o, errors.New("want -hosts, -mix, and -control for faults")
	}
	if control != "" {
		o.CountCalls = func(ctx context.Context) (int64, error) { return countCalls(ctx, control) }
	}
	return o, nil
}

func parseMix(text string) (RequestKind, error) {
	f := strings.Split(text, ",")
	if len(f) != 4 {
		return RequestKind{}, errors.Errorf("want caller,service,weight,deadline, got %q", text)
	}
	weight, err := strconv.ParseFloat(f[2], 64)
	if err != nil || !(weight > 0) {
		return RequestKind{}, errors.Errorf("want a weight above 0, got %q", f[2])
	}
	deadline, err := time.ParseDuration(f[3])
	if err != nil || deadline <= 0 {
		return RequestKind{}, errors.Errorf("want a deadline such as 500ms, got %q", f[3])
	}
	return RequestKind{Caller: f[0], Service: f[1], Weight: weight, Deadline: deadline}, nil
}

func parseFault(control, text string) (Fault, error) {
	f := strings.SplitN(text, " ", 4)
	if len(f) < 3 {
		return Fault{}, errors.Errorf("want 'TIME METHOD PATH [BODY]', got %q", text)
	}
	at, err := time.ParseDuration(f[0])
	if err != nil {
		return Fault{}, errors.Wrap(err, "parse time")
	}
	body := strings.Join(f[3:], "")
	return Fault{At: at, Name: strings.Join(f[1:], " "), Do: func(ctx context.Context) error {
		_, err := callControl(ctx, f[1], "http://"+control+f[2], body)
		return err
	}}, nil
}

func callControl(ctx context.Context, method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "control: create request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "control: send request")
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err == nil && res.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", res.StatusCode)
	}
	return raw, errors.Wrap(err, "control: read answer")
}

func countCalls(ctx context.Context, control string) (int64, error) {
	raw, err := callControl(ctx, http.MethodGet, "http://"+control+"/servers/stats", "")
	if err != nil {
		return 0, err
	}
	var stats server.Stats
	if err := json.Unmarshal(raw, &stats); err != nil {
		return 0, errors.Wrap(err, "control: decode stats")
	}
	return stats.Executions + stats.Shed, nil
}
