package trace

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// line is one parsed log line.
type line struct {
	time        time.Time
	source      string // host name, prefix from a log collector, or name of the log
	message     string
	attrs       []attr
	stateChange bool // the line reports a change of state instead of a step of the request
}

type attr struct{ key, value string }

// get returns the value of an attribute, or an empty string if the line lacks it.
func (l line) get(key string) string {
	i := slices.IndexFunc(l.attrs, func(a attr) bool { return a.key == key })
	if i < 0 {
		return ""
	}
	return l.attrs[i].value
}

// micros returns the value of an attribute in microseconds as a duration.
func (l line) micros(key string) (time.Duration, bool) {
	n, err := strconv.ParseInt(l.get(key), 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil
}

// formatAttrs returns the attributes as key=value pairs in the order of the log. It
// leaves out the level, at_us and empty values, and in a line of the request itself
// also the id of the request.
func (l line) formatAttrs() string {
	var b strings.Builder
	for _, a := range l.attrs {
		switch {
		case a.key == "level", a.key == "at_us", a.value == "", !l.stateChange && (a.key == "request" || a.key == "request_id"):
			continue
		case strings.ContainsAny(a.value, " \"="):
			fmt.Fprintf(&b, " %s=%q", a.key, a.value)
		default:
			fmt.Fprintf(&b, " %s=%s", a.key, a.value)
		}
	}
	return b.String()
}

// parse reads a log line in JSON or text format. A log collector may have put other
// text before it; prefix is the last word of that text.
func parse(text string) (l line, prefix string, ok bool) {
	start := strings.Index(text, `{"time":`)
	read := parseJSON
	if start < 0 {
		start, read = strings.Index(text, "time="), parseText
	}
	if start < 0 {
		return line{}, "", false
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		prefix = words[len(words)-1]
	}
	attrs, ok := read(text[start:])
	if !ok {
		return line{}, "", false
	}
	for _, a := range attrs {
		switch a.key {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, a.value)
			if err != nil {
				return line{}, "", false
			}
			l.time = t
		case "msg":
			l.message = a.value
		default:
			l.attrs = append(l.attrs, a)
		}
	}
	return l, prefix, l.message != ""
}

// parseJSON reads the fields of a JSON object in their order, which decoding into a
// map would lose.
func parseJSON(text string) (attrs []attr, ok bool) {
	d := json.NewDecoder(strings.NewReader(text))
	if _, err := d.Token(); err != nil {
		return nil, false
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, false
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, false
		}
		var str string
		if json.Unmarshal(value, &str) != nil {
			str = string(value) // not a string, such as a number or a list
		}
		attrs = append(attrs, attr{key.(string), str})
	}
	return attrs, true
}

// parseText reads key=value pairs whose values may be quoted.
func parseText(text string) (attrs []attr, ok bool) {
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			return nil, false
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			word, _, _ := strings.Cut(rest, " ")
			attrs = append(attrs, attr{key, word})
			text = rest[len(word):]
			continue
		}
		word, err := strconv.Unquote(quoted)
		if err != nil {
			return nil, false
		}
		attrs = append(attrs, attr{key, word})
		text = rest[len(quoted):]
	}
	return attrs, true
}
