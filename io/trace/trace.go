// Package trace collects the lines about one request from the logs of several hosts. It
// prints them, and the changes of state that may have affected the request, in the
// order of the events.
//
// # Usage
//
//	t := trace.New("114cdb3d94a214e0", trace.Options{})
//	err := t.Read("host-1.log", file) // for each log
//	err = t.Write(os.Stdout)
package trace

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
	// defaultBefore covers the changes of state that lead to a failure: replicas are
	// ejected, and removed directory entries reappear, within about two seconds.
	defaultBefore = 3 * time.Second
	// afterEnd covers the changes of state that a failed request itself causes.
	afterEnd = 200 * time.Millisecond
	// maxLineBytes bounds the memory for one line.
	maxLineBytes = 1 << 20
)

// ErrUnknown is returned when no log contains a line about the request.
var ErrUnknown = errors.New("trace: no line of the request; its line may have been left out under load (relay_lines_left_out)")

// Options configures a Trace.
type Options struct {
	// Before is the time before the request from which changes of state are shown;
	// 0 selects the default of 3 s.
	Before time.Duration
}

// Trace collects the log lines that concern one request. It is not safe for
// concurrent use.
type Trace struct {
	id           string
	opts         Options
	requestLines []line // lines with the id of the request
	changes      []line // lines that report a change of state
}

// New returns an empty Trace of the request with the given id.
func New(id string, o Options) *Trace {
	if o.Before <= 0 {
		o.Before = defaultBefore
	}
	return &Trace{id: id, opts: o}
}

// Read adds the relevant lines of one log. The source of a line is the host that the
// log names, else the last word that a log collector put before the line, else name.
// Lines in another format are skipped.
func (t *Trace) Read(name string, r io.Reader) error {
	hosts := make(map[string]string) // by the prefix that a log collector puts before lines
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l, prefix, ok := parse(scanner.Text())
		if !ok {
			continue
		}
		if host := l.get("host"); host != "" && strings.HasPrefix(l.message, "node: ") {
			hosts[prefix] = host
		}
		l.source = cmp.Or(hosts[prefix], prefix, name)
		switch request := cmp.Or(l.get("request"), l.get("request_id")); {
		case request == t.id:
			t.requestLines = append(t.requestLines, l)
		case changesState(l):
			t.changes = append(t.changes, l)
		}
	}
	return errors.Wrapf(scanner.Err(), "trace: read %s", name)
}

// changesState reports whether a line is about a change of state that may affect
// other requests than the one that it names.
func changesState(l line) bool {
	component, text, _ := strings.Cut(l.message, ": ")
	switch component {
	case "config", "gate", "gossip", "member", "mirror", "node":
		return true
	case "relay", "owner":
		return strings.HasPrefix(text, "replica ") && !strings.Contains(text, "asked")
	default:
		return false
	}
}

// Write prints the collected lines in the order of their times, which are relative to
// the first line of the request. It marks changes of state with a star.
func (t *Trace) Write(w io.Writer) error {
	if len(t.requestLines) == 0 {
		return errors.Wrapf(ErrUnknown, "%q", t.id)
	}
	t.correctTimes()
	first, last := t.requestLines[0].time, t.requestLines[0].time
	for _, l := range t.requestLines {
		if l.time.Before(first) {
			first = l.time
		}
		if l.time.After(last) {
			last = l.time
		}
	}
	mentioned := mentionedIn(t.requestLines)
	lines := slices.Clone(t.requestLines)
	for _, l := range t.changes {
		if l.time.Before(first.Add(-t.opts.Before)) || l.time.After(last.Add(afterEnd)) || !mentioned.affectedBy(l) {
			continue
		}
		l.stateChange = true
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.time.Compare(b.time) })
	out := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(out, "request %s, first seen %s\n", t.id, first.Format(time.RFC3339Nano))
	for _, l := range lines {
		mark := " "
		if l.stateChange {
			mark = "*"
		}
		_, _ = fmt.Fprintf(out, "%s %+10.3f ms  %-24s %s%s\n", mark, float64(l.time.Sub(first).Microseconds())/1e3, l.source, l.message, l.formatAttrs())
	}
	return errors.Wrap(out.Flush(), "trace: write") // returns the first error of all writes to out
}

// correctTimes replaces the time of each line with at_us by the time of the event. A
// host logs these lines only when it answers; at_us is the time from the arrival of
// the request at that host to the event.
func (t *Trace) correctTimes() {
	starts := make(map[string]time.Time) // of the request, by source
	for _, l := range t.requestLines {
		if took, ok := l.micros("took_us"); ok {
			starts[l.source] = l.time.Add(-took)
		}
	}
	for i := range t.requestLines {
		l := &t.requestLines[i]
		at, ok := l.micros("at_us")
		if start, known := starts[l.source]; ok && known {
			l.time = start.Add(at)
		}
	}
}

// mentions is a set of names of hosts, services, replicas and peers.
type mentions map[string]bool

// mentionedIn returns the names of the hosts, services, replicas and peers in lines.
func mentionedIn(lines []line) mentions {
	m := make(mentions)
	for _, l := range lines {
		m[l.source] = true
		for _, key := range []string{"service", "replica", "peer", "owner", "choice"} {
			m[l.get(key)] = true
		}
		for entry := range strings.FieldsSeq(l.get("missed")) {
			parts := strings.Split(entry, "/")
			service, _, _ := strings.Cut(parts[0], "=")
			m[service] = true
			for _, replica := range parts[1:] {
				m[replica] = true
			}
		}
	}
	delete(m, "")
	return m
}

// affectedBy reports whether a change of state is about a service, replica or peer in
// the set. A change that names none of these must come from a host in the set.
func (m mentions) affectedBy(l line) bool {
	service, replica, peer := l.get("service"), l.get("replica"), l.get("peer")
	if service == "" && replica == "" && peer == "" {
		return m[l.source]
	}
	return m[service] || m[replica] || m[peer]
}
