// Package story finds the life of one request in the logs of several hosts: the
// lines that carry its id, in the order in which things happened, and the changes
// of state that bear on it.
//
// # Usage
//
//	s := story.New("114cdb3d94a214e0", story.Options{})
//	err := s.Read("host-1.log", file) // for each log
//	err = s.Write(os.Stdout)
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultBefore covers the state changes that lead to a failure: replicas are
	// ejected, and entries come back, within about two seconds.
	defaultBefore = 3 * time.Second
	// after covers what a failed request itself caused.
	after = 200 * time.Millisecond
	// maxLine bounds the memory for one line.
	maxLine = 1 << 20
)

// ErrUnknown is returned when no log has a line of the request.
var ErrUnknown = errors.New("story: no line of the request; its line may have been left out under load (relay_lines_left_out)")

// Options say how much is shown.
type Options struct {
	// Before the request arrived, changes of state are shown; 0 for the default.
	Before time.Duration
}

// Story collects the lines about one request. It is not safe for concurrent use.
type Story struct {
	id      string
	opts    Options
	own     []line // of the request
	changes []line // of state
}

// New returns an empty story of a request.
func New(id string, o Options) *Story {
	if o.Before <= 0 {
		o.Before = defaultBefore
	}
	return &Story{id: id, opts: o}
}

// Read takes what matters of a log. name stands for its host unless the lines say
// which one they are from. Lines that are not the program's are passed over.
func (s *Story) Read(name string, r io.Reader) error {
	hosts := make(map[string]string) // by what a log collector puts before a line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		l, prefix, ok := parse(in.Text())
		if !ok {
			continue
		}
		if host := l.get("host"); host != "" && strings.HasPrefix(l.message, "node: ") {
			hosts[prefix] = host
		}
		l.source = cmp.Or(hosts[prefix], prefix, name)
		switch request := cmp.Or(l.get("request"), l.get("request_id")); {
		case request == s.id:
			s.own = append(s.own, l)
		case changesState(l):
			s.changes = append(s.changes, l)
		}
	}
	return errors.Wrapf(in.Err(), "story: read %s", name)
}

// changesState reports whether a line tells of a change that may bear on requests
// other than the one that it names.
func changesState(l line) bool {
	part, rest, _ := strings.Cut(l.message, ": ")
	switch part {
	case "config", "gate", "gossip", "member", "mirror", "node":
		return true
	case "relay", "owner":
		return strings.HasPrefix(rest, "replica ") && !strings.Contains(rest, "asked")
	default:
		return false
	}
}

// Write prints the story. Changes of state are marked with a star.
func (s *Story) Write(w io.Writer) error {
	if len(s.own) == 0 {
		return errors.Wrapf(ErrUnknown, "%q", s.id)
	}
	s.place()
	first, last := s.own[0].time, s.own[0].time
	for _, l := range s.own {
		if l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
	}
	named := namesOf(s.own)
	lines := slices.Clone(s.own)
	for _, l := range s.changes {
		if l.time.Before(first.Add(-s.opts.Before)) || l.time.After(last.Add(after)) || !named.concerns(l) {
			continue
		}
		l.change = true
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.time.Compare(b.time) })
	out := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(out, "request %s, first seen %s\n", s.id, first.Format(time.RFC3339Nano))
	for _, l := range lines {
		mark := " "
		if l.change {
			mark = "*"
		}
		_, _ = fmt.Fprintf(out, "%s %+10.3f ms  %-24s %s%s\n", mark, float64(l.time.Sub(first).Microseconds())/1e3, l.source, l.message, l.rest())
	}
	return errors.Wrap(out.Flush(), "story: write") // holds the first error of the writes
}

// place moves lines that were written with the answer to the time at which things
// happened: at_us after the request reached that host.
func (s *Story) place() {
	begin := make(map[string]time.Time)
	for _, l := range s.own {
		if took, ok := l.micros("took_us"); ok {
			begin[l.source] = l.time.Add(-took)
		}
	}
	for i := range s.own {
		l := &s.own[i]
		at, ok := l.micros("at_us")
		if start, known := begin[l.source]; ok && known {
			l.time = start.Add(at)
		}
	}
}

// names are what the lines of a request mention.
type names map[string]bool

// namesOf returns the hosts, services, replicas and peers of some lines.
func namesOf(lines []line) names {
	n := make(names)
	for _, l := range lines {
		n[l.source] = true
		for _, key := range []string{"service", "replica", "peer", "owner", "choice"} {
			n[l.get(key)] = true
		}
		for entry := range strings.FieldsSeq(l.get("missed")) {
			parts := strings.Split(entry, "/")
			service, _, _ := strings.Cut(parts[0], "=")
			n[service] = true
			for _, replica := range parts[1:] {
				n[replica] = true
			}
		}
	}
	delete(n, "")
	return n
}

// concerns reports whether a change of state is about something that the request
// met: its replica or service, or else a host that served it.
func (n names) concerns(l line) bool {
	service, replica, peer := l.get("service"), l.get("replica"), l.get("peer")
	if service == "" && replica == "" && peer == "" {
		return n[l.source]
	}
	return n[service] || n[replica] || n[peer]
}
