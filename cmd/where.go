package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

const (
	maxWhereBytes      = 8 << 20 // far above an answer for 225 shards of 9 replicas
	maxWhereErrorBytes = 4 << 10
)

type whereFlags struct {
	host      string
	bodyBytes int
	tokenFile string
	timeout   time.Duration
	json      bool
}

// where prints what a host would do with a request.
func where(ctx context.Context, std streams, args []string) int {
	var f whereFlags
	fs := flag.NewFlagSet("where", flag.ContinueOnError)
	fs.StringVar(&f.host, "host", "", "metrics or administration address of the host to ask, IP number and port")
	fs.IntVar(&f.bodyBytes, "body-bytes", 0, "size of the request's body")
	fs.StringVar(&f.tokenFile, "admin-token-file", "", "file with the operators' bearer token")
	fs.DurationVar(&f.timeout, "timeout", 2*time.Second, "time for the host to answer")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	if _, err := netip.ParseAddrPort(f.host); err != nil {
		return usageError(std, fs, "-host: want an IP number and port, got %q", f.host)
	}
	if f.timeout <= 0 || f.bodyBytes < 0 {
		return usageError(std, fs, "-timeout and -body-bytes: want a time above 0 and a size of 0 or more")
	}
	if fs.NArg() != 3 || !strings.HasPrefix(fs.Arg(2), "/") {
		return usageError(std, fs, "want a method, a host and a path that begins with a slash")
	}
	token, err := adminToken(f.tokenFile)
	if err != nil {
		return usageError(std, fs, "%v", err)
	}
	answer, err := f.fetch(ctx, token, fs.Args())
	if err != nil {
		_, _ = fmt.Fprintf(std.err, "oriolebarrow where: %s: %v\n", f.host, err)
		return ExitFault
	}
	if f.json {
		out := json.NewEncoder(std.out)
		out.SetIndent("", "  ")
		_ = out.Encode(answer)
	} else {
		printWhere(std.out, answer)
	}
	return ExitOK
}

func (f *whereFlags) fetch(ctx context.Context, token string, request []string) (*core.Where, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	q := url.Values{"method": {request[0]}, "host": {request[1]}, "path": {request[2]}, "body_bytes": {strconv.Itoa(f.bodyBytes)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.host+"/v1/where?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxWhereErrorBytes))
		return nil, errors.Errorf("status %d: %s", res.StatusCode, strings.Join(strings.Fields(string(text)), " "))
	}
	answer := new(core.Where)
	if err := json.NewDecoder(io.LimitReader(res.Body, maxWhereBytes)).Decode(answer); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return answer, nil
}

func printWhere(w io.Writer, a *core.Where) {
	_, _ = fmt.Fprintf(w, "host %s, route %s of document %d, directory read %d ms ago\n", a.Host, a.Route, a.RoutingVersion, a.DirectoryAgeMS)
	_, _ = fmt.Fprintf(w, "a call usually takes %s, is late after %s (by %s)\n", micros(a.Estimate.UsualUS), micros(a.Estimate.LateUS), a.Estimate.Basis)
	if a.Admission.Admitted {
		_, _ = fmt.Fprintf(w, "admitted; %d%% of the work, %d%% of such requests are\n", a.Admission.SharePct, a.Admission.ChancePct)
	} else {
		_, _ = fmt.Fprintf(w, "rejected: %s; come back after %d ms\n", a.Admission.Reason, a.Admission.RetryAfterMS)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tOWNER\tWAITING\tORDER\tREPLICA\tDATA CENTRE\tCOST\tQUEUED\tRUNNING\tREPORTED\tSLOWNESS\tFAILURES\tSTATE")
	for _, s := range a.Services {
		for _, c := range s.Candidates {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%d of %d\t%s\t%.2f\t%.2f\t%s\n",
				serviceName(s), s.Owner, s.Waiting, placeOf(c), c.ID, c.DataCentre, micros(c.CostUS), micros(c.QueuedUS), c.Running, c.Slots,
				reported(c), c.Slowness, c.FailureShare, states(c))
		}
		if len(s.Candidates) == 0 {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t-\tno replica\n", serviceName(s), s.Owner, s.Waiting)
		}
	}
	_ = table.Flush()
}

func micros(us int64) string {
	return time.Duration(us * int64(time.Microsecond)).Round(10 * time.Microsecond).String()
}

// serviceName returns the name of a service, marked if another one gets the next request.
func serviceName(s core.WhereService) string {
	if s.Next {
		return string(s.Service)
	}
	return fmt.Sprintf("%s (not next, weight %d)", s.Service, s.Weight)
}

func placeOf(c core.Candidate) string {
	if c.Order == 0 {
		return "-"
	}
	return strconv.Itoa(c.Order)
}

// reported returns the calls that a replica reported last, with the age of the report.
func reported(c core.Candidate) string {
	if c.LoadAgeMS < 0 {
		return "-"
	}
	return fmt.Sprintf("%d, %d ms ago", c.ReportedBusy, c.LoadAgeMS)
}

func states(c core.Candidate) string {
	var out []string
	if c.Reason != "" {
		out = append(out, c.Reason)
	}
	if c.Cold {
		out = append(out, "cold")
	}
	if !c.Local {
		out = append(out, "remote")
	}
	if !c.InSubset {
		out = append(out, "outside the subset")
	}
	return strings.Join(out, ", ")
}
