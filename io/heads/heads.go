// Package heads parses the heads of HTTP/1.1 responses, more strictly than net/http: a head
// that breaks the protocol is an error, since the length of its body, and where the next
// response begins, can't be trusted. The head of a response is its status line and its
// header fields.
//
// # Usage
//
//	var b heads.Buffer
//	n, complete, err := b.Add(received) // until complete
//	h, err := heads.Parse(b.String())
//	body := received[n:]
package heads

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// Head is the parsed head of a response, final or interim.
type Head struct {
	status int
	fields []core.Field
	reuse  bool
}

// Parse parses a head with the empty line that ends it.
func Parse(text string) (Head, error) {
	line, rest := cutLine(text)
	h, err := parseStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	h.fields = make([]core.Field, 0, 8)
	for rest != "" {
		line, rest = cutLine(rest)
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !validName(name) || !validText(value) {
			return Head{}, errors.Errorf("invalid header line %q", shorten(line))
		}
		h.fields = append(h.fields, core.Field{Name: name, Value: strings.Trim(value, " \t")})
	}
	for _, f := range h.fields {
		if strings.EqualFold(f.Name, "Connection") && hasToken(f.Value, "close") {
			h.reuse = false
		}
	}
	return h, nil
}

// Status returns the status.
func (h *Head) Status() int { return h.status }

// Fields returns the header fields in their order.
func (h *Head) Fields() []core.Field { return h.fields }

// Reuse reports whether the connection can carry another request after the response.
func (h *Head) Reuse() bool { return h.reuse }

// cutLine returns the first line of a text without its end, and the text after it.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

func parseStatusLine(line string) (Head, error) {
	proto, after, ok := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(after, " ")
	status, valid := parseStatus(code)
	if !ok || !valid || !validText(reason) || proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return Head{}, errors.Errorf("invalid status line %q", shorten(line))
	}
	return Head{status: status, reuse: proto == "HTTP/1.1"}, nil
}

// parseStatus parses the three digits of a status that HTTP defines.
func parseStatus(code string) (int, bool) {
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !digits(code) {
		return 0, false
	}
	status, err := strconv.Atoi(code)
	return status, err == nil
}

// digits reports whether a text consists of digits only.
func digits(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }

// validName reports whether a text is the name of a field: a token.
func validName(name string) bool {
	for i := range len(name) {
		if !nameBytes[name[i]] {
			return false
		}
	}
	return name != ""
}

// nameBytes tells which bytes the name of a field may have.
var nameBytes = func() (valid [256]bool) {
	const symbols = "!#$%&'*+-.^_`|~"
	const digits, letters = "0123456789", "abcdefghijklmnopqrstuvwxyz"
	for _, b := range []byte(symbols + digits + letters + strings.ToUpper(letters)) {
		valid[b] = true
	}
	return valid
}()

// validText reports whether a text has no control byte but tabs, as the value of a field and
// the reason in a status line.
func validText(text string) bool {
	const firstPrintable, del = ' ', 0x7f
	for i := range len(text) {
		if b := text[i]; b < firstPrintable && b != '\t' || b == del {
			return false
		}
	}
	return true
}

// hasToken reports whether a comma-separated list contains a token.
func hasToken(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}

// shorten limits the length of a text of a server in an error.
func shorten(s string) string {
	const maxLen = 80
	if len(s) > maxLen {
		return s[:maxLen]
	}
	return s
}
