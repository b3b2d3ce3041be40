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
	maxStatusBytes = 4 << 20 // the view of 3,300 hosts is far below
	maxStatusCalls = 32      // hosts asked at once
	commonMark     = ""
	differsMark    = "*"
)

type statusFlags struct {
	hosts   string
	file    string
	timeout time.Duration
	json    bool
}

// hostStatus is what one host said, or why it said nothing.
type hostStatus struct {
	Address string        `json:"address"`
	Error   string        `json:"error,omitempty"`
	Status  *admin.Status `json:"status,omitempty"`
}

// disagreement lists the hosts by what they say about one subject.
type disagreement struct {
	Subject string              `json:"subject"`
	Values  map[string][]string `json:"values"` // addresses by value
}

func status(ctx context.Context, e env, args []string) int {
	var f statusFlags
	fs := flag.NewFlagSet("status", flag.ContinueOnError)
	fs.StringVar(&f.hosts, "hosts", "", "administration addresses of the hosts, IP number and port, separated by commas")
	fs.StringVar(&f.file, "admin-token-file", "", "file with the operators' bearer token")
	fs.DurationVar(&f.timeout, "timeout", 2*time.Second, "time for each host to answer")
	fs.BoolVar(&f.json, "json", false, "print JSON")
	if code, ok := parse(e, fs, args); !ok {
		return code
	}
	addresses, fault := f.addresses()
	if fault != "" {
		return reject(e, fs, "%s", fault)
	}
	token, err := adminToken(f.file)
	if err != nil {
		return reject(e, fs, "%v", err)
	}
	all := fetchAll(ctx, addresses, token, f.timeout)
	differ := compare(all)
	if f.json {
		out := json.NewEncoder(e.out)
		out.SetIndent("", "  ")
		_ = out.Encode(map[string]any{"hosts": all, "disagreements": differ})
	} else {
		printFleet(e.out, all, differ)
	}
	lost := slices.ContainsFunc(all, func(h hostStatus) bool { return h.Status == nil })
	if lost || len(differ) > 0 {
		return ExitFault
	}
	return ExitOK
}

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

func fetchAll(ctx context.Context, addresses []string, token string, timeout time.Duration) []hostStatus {
	all := make([]hostStatus, len(addresses))
	free := make(chan struct{}, maxStatusCalls)
	var wait sync.WaitGroup
	for i, address := range addresses {
		free <- struct{}{}
		wait.Go(func() {
			defer func() { <-free }()
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

// subjects are what all hosts should say alike. The version of a view counts
// changes on one host, so views are compared by their hosts.
func subjects() []struct {
	name string
	of   func(*admin.Status) string
} {
	return []struct {
		name string
		of   func(*admin.Status) string
	}{
		{"revision", func(s *admin.Status) string { return strconv.FormatUint(s.Revision, 10) }},
		{"sections", func(s *admin.Status) string { return s.SectionsDigest }},
		{"view", func(s *admin.Status) string { return strings.Join(s.View, ",") }},
	}
}

func compare(all []hostStatus) []disagreement {
	out := []disagreement{}
	for _, subject := range subjects() {
		values := make(map[string][]string)
		for _, h := range all {
			if h.Status != nil {
				v := subject.of(h.Status)
				values[v] = append(values[v], h.Address)
			}
		}
		if len(values) > 1 {
			out = append(out, disagreement{Subject: subject.name, Values: values})
		}
	}
	return out
}

// mark tells whether a host differs from what most hosts say; without a
// majority all hosts are marked.
func mark(differ []disagreement, subject, address string) string {
	for _, d := range differ {
		if d.Subject != subject {
			continue
		}
		total := 0
		for _, at := range d.Values {
			total += len(at)
		}
		for _, at := range d.Values {
			if slices.Contains(at, address) && 2*len(at) > total {
				return commonMark
			}
		}
		return differsMark
	}
	return commonMark
}

func printFleet(w io.Writer, all []hostStatus, differ []disagreement) {
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
			s.Revision, mark(differ, "revision", h.Address),
			s.Sections, short(s.SectionsDigest), mark(differ, "sections", h.Address),
			s.RefusedSections,
			len(s.View), mark(differ, "view", h.Address),
			s.OwnedGroups, s.Pauses,
			strings.Join(s.Reasons, ","))
	}
	_ = table.Flush()
	for _, d := range differ {
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

func short(digest string) string { return digest[:min(8, len(digest))] }
