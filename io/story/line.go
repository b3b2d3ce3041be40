package story

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// line is one line of a log.
type line struct {
	time    time.Time
	source  string // host or file
	message string
	attrs   []attr
	change  bool // of state, not of the request
}

type attr struct{ key, value string }

func (l line) get(key string) string {
	i := slices.IndexFunc(l.attrs, func(a attr) bool { return a.key == key })
	if i < 0 {
		return ""
	}
	return l.attrs[i].value
}

func (l line) micros(key string) (time.Duration, bool) {
	n, err := strconv.ParseInt(l.get(key), 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil
}

// rest returns the attributes that tell something, in the order of the log.
func (l line) rest() string {
	var b strings.Builder
	for _, a := range l.attrs {
		switch {
		case a.key == "level", a.key == "at_us", a.value == "", !l.change && (a.key == "request" || a.key == "request_id"):
			continue
		case strings.ContainsAny(a.value, " \"="):
			fmt.Fprintf(&b, " %s=%q", a.key, a.value)
		default:
			fmt.Fprintf(&b, " %s=%s", a.key, a.value)
		}
	}
	return b.String()
}

// parse reads a line in either format of the program's log. A log collector may put
// text of its own before it; prefix is the last word of that.
func parse(text string) (l line, prefix string, ok bool) {
	at := strings.Index(text, `{"time":`)
	read := parseJSON
	if at < 0 {
		at, read = strings.Index(text, "time="), parseText
	}
	if at < 0 {
		return line{}, "", false
	}
	if words := strings.Fields(text[:at]); len(words) > 0 {
		prefix = words[len(words)-1]
	}
	attrs, ok := read(text[at:])
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

// parseJSON keeps the order of the fields, which a map would lose.
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
		var word string
		if json.Unmarshal(value, &word) != nil {
			word = string(value) // a number, a list
		}
		attrs = append(attrs, attr{key.(string), word})
	}
	return attrs, true
}

// parseText reads key=value pairs, with quoted values where needed.
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
