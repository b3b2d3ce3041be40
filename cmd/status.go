package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"oriolebarrow/io/admin"
)

const (
	maxStatusBytes = 4 << 20 // far above an answer with a view of 3,300 hosts
	maxStatusCalls = 32      // hosts called at the same time
	commonMark     = ""
	differsMark    = "*"
)

type statusFlags struct {
	hosts     string
	tokenFile string
	timeout   time.Duration
	json      bool
}

// hostStatus is the answer of one host, or the error of the call to it.
type hostStatus struct {
	Address string        `json:"address"`
	Error   string        `json:"error,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

// disagreement is a subject on which hosts report different values.
type disagreement struct {
	Subject string              `json:"subject"`
	Values  map[string][]string `json:"values"` // addresses of the hosts by the value that they report
}

// status compares the states that several hosts report.
func status(ctx context.Context, std streams, args []string) int {
	var f statusFlags
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	fs.StringVar(&f.hosts, "hosts", "", "administration addresses of the hosts, IP number and port, separated by commas")
	fs.StringVar(&f.tokenFile, "admin-token-file", "", "file with the operators' bearer token")
	fs.DurationVar(&f.timeout, "timeout", 2*time.Second, "time for each host to answer")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	if code, ok := parse(std, fs, args); !ok {
		return code
	}
	addresses, fault := f.addresses()
	if fault != "" {
		return usageError(std, fs, "%s", fault)
	}
	token, err := adminToken(f.tokenFile)
	if err != nil {
		return usageError(std, fs, "%v", err)
	}
	all := fetchAll(ctx, addresses, token, f.timeout)
	differences := compare(all)
	if f.json {
		out := json.NewEncoder(std.out)
		out.SetIndent("", "  ")
		_ = out.Encode(map[string]any{"hosts": all, "disagreements": differences})
	} else {
		printStatuses(std.out, all, differences)
	}
	failed := slices.ContainsFunc(all, func(h hostStatus) bool { return h.Status == nil })
	if failed || len(differences) > 0 {
		return ExitFault
	}
	return ExitOK
}

// addresses returns the addresses of the hosts, or the first fault of the flags.
func (f *statusFlags) addresses() ([]string, string) {
	if f.hosts == "" {
		return nil, "want -hosts"
	}
	if f.timeout <= 0 {
		return nil, "-timeout: want a value above 0"
	}
	out := strings.Split(f.hosts, ",")
	seen := make(map[string]bool)
	for _, a := range out {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, fmt.Sprintf("-hosts: want an IP number and port, got %q", a)
		}
		if seen[a] {
			return nil, fmt.Sprintf("-hosts: %s is listed twice", a)
		}
		seen[a] = true
	}
	return out, ""
}

// fetchAll calls all hosts, at most maxStatusCalls at the same time.
func fetchAll(ctx context.Context, addresses []string, token string, timeout time.Duration) []hostStatus {
	all := make([]hostStatus, len(addresses))
	slots := make(chan struct{}, maxStatusCalls)
	var wait sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			all[i].Address = address
			s, err := fetch(ctx, address, token, timeout)
			if err != nil {
				all[i].Error = err.Error()
				return
			}
			all[i].Status = s
		})
	}
	wait.Wait()
	return all
}

func fetch(ctx context.Context, address, token string, timeout time.Duration) (*admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
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
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	s := new(admin.Status)
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("answer: %w", err)
	}
	return s, nil
}

// subjects returns the values that should be equal on all hosts. Views are compared by
// their hosts, not by their versions: a version counts the changes seen by one host.
func subjects() []struct {
	name  string
	value func(*admin.Status) string
} {
	return []struct {
		name  string
		value func(*admin.Status) string
	}{
		{"revision", func(s *admin.Status) string { return strconv.FormatUint(s.Revision, 10) }},
		{"sections", func(s *admin.Status) string { return s.SectionsDigest }},
		{"view", func(s *admin.Status) string { return strings.Join(s.View, ",") }},
	}
}

// compare returns the subjects on which the hosts that answered disagree.
func compare(all []hostStatus) []disagreement {
	out := []disagreement{}
	for _, subject := range subjects() {
		values := make(map[string][]string)
		for _, h := range all {
			if h.Status != nil {
				v := subject.value(h.Status)
				values[v] = append(values[v], h.Address)
			}
		}
		if len(values) > 1 {
			out = append(out, disagreement{Subject: subject.name, Values: values})
		}
	}
	return out
}

// mark returns differsMark for a host whose value differs from that of the majority,
// and for all hosts when there is no majority.
func mark(differences []disagreement, subject, address string) string {
	for _, d := range differences {
		if d.Subject != subject {
			continue
		}
		total := 0
		for _, hosts := range d.Values {
			total += len(hosts)
		}
		for _, hosts := range d.Values {
			if slices.Contains(hosts, address) && 2*len(hosts) > total {
				return commonMark
			}
		}
		return differsMark
	}
	return commonMark
}

func printStatuses(w io.Writer, all []hostStatus, differences []disagreement) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ADDRESS\tHOST\tDATA CENTRE\tREADY\tREVISION\tSECTIONS\tREFUSED\tVIEW\tOWNED GROUPS\tPAUSES\tREASONS")
	for _, h := range all {
		s := h.Status
		if s == nil {
			_, _ = fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", h.Address, h.Error)
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d%s\t%d %s%s\t%d\t%d hosts%s\t%d\t%d\t%s\n",
			h.Address, s.Host, s.DataCentre, s.Ready,
			s.Revision, mark(differences, "revision", h.Address),
			s.Sections, shortDigest(s.SectionsDigest), mark(differences, "sections", h.Address),
			s.RefusedSections,
			len(s.View), mark(differences, "view", h.Address),
			s.OwnedGroups, s.Pauses,
			strings.Join(s.Reasons, ","))
	}
	_ = table.Flush()
	for _, d := range differences {
		_, _ = fmt.Fprintf(w, "disagreement on %s (marked *):\n", d.Subject)
		for _, v := range sortedKeys(d.Values) {
			_, _ = fmt.Fprintf(w, "  %s: %s\n", v, strings.Join(d.Values[v], " "))
		}
	}
}

func sortedKeys(m map[string][]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// shortDigest returns the first characters of a digest.
func shortDigest(digest string) string { return digest[:min(8, len(digest))] }
