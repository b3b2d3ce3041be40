// Package heads parses the heads of HTTP/1.1 responses, more strictly than net/http: a head
// that breaks the protocol is an error, since the length of its body, and where the next
// response begins, can't be trusted. The head of a response is its status line and its
// header fields.
//
// # Usage
//
//	var b heads.Buffer
//	n, complete, err := b.Add(received) // until complete
//	h, err := heads.Parse(b.String(), http.MethodGet)
//	switch h.Length() { ... } // of the body, which begins at received[n:]
package heads

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// Lengths of bodies whose head states no number of bytes.
const (
	Chunked    = -1 // the body has chunks, of which the last one is empty
	UntilClose = -2 // the body ends with the connection
)

// Head is the parsed head of a response, final or interim.
type Head struct {
	status int
	fields []core.Field
	http10 bool
	reuse  bool
	length int
}

// Parse parses the head of a response to a request with a method, with the empty line that
// ends it.
func Parse(text, method string) (Head, error) {
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
	if h.status == http.StatusSwitchingProtocols {
		return Head{}, errors.New("unexpected protocol switch") // no request asks for one
	}
	f, err := parseFraming(h.fields)
	if err != nil {
		return Head{}, err
	}
	h.reuse = !h.http10 && !f.closes
	h.length, err = h.bodyLength(f, method)
	return h, err
}

// Status returns the status.
func (h *Head) Status() int { return h.status }

// Fields returns the header fields in their order.
func (h *Head) Fields() []core.Field { return h.fields }

// Reuse reports whether the connection can carry another request after the response.
func (h *Head) Reuse() bool { return h.reuse }

// Length returns the length of the body in bytes, Chunked or UntilClose.
func (h *Head) Length() int { return h.length }

// bodyLength returns the length of the body. A head that contradicts itself is an error: the
// field that states the length may be missing or wrong.
func (h *Head) bodyLength(f framing, method string) (int, error) {
	empty := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case f.chunked && (h.http10 || f.sized()):
		return 0, errors.New("chunks in a response of HTTP/1.0 or with a content length")
	case empty && (f.chunked || f.length > 0):
		return 0, errors.Errorf("body in a response with status %d", h.status)
	case empty, method == http.MethodHead, h.status == http.StatusNotModified:
		return 0, nil
	case f.chunked:
		return Chunked, nil
	case f.sized():
		return f.length, nil
	case f.keepsOpen && !f.closes:
		return 0, errors.New("no length of the body, though the connection stays open")
	}
	return UntilClose, nil
}

// framing is what the fields of a head state on the end of the response.
type framing struct {
	chunked   bool
	size      string // as the head states it; empty if it does not
	length    int    // size as a number
	closes    bool
	keepsOpen bool // stated explicitly
}

// sized reports whether the head states the number of bytes of the body.
func (f *framing) sized() bool { return f.size != "" }

func parseFraming(fields []core.Field) (framing, error) {
	var f framing
	for _, field := range fields {
		switch {
		case strings.EqualFold(field.Name, "Content-Length"):
			n, err := strconv.Atoi(field.Value)
			if err != nil || !digits(field.Value) || f.sized() && f.size != field.Value {
				return framing{}, errors.Errorf("invalid content length %q", shorten(field.Value))
			}
			f.size, f.length = field.Value, n
		case strings.EqualFold(field.Name, "Transfer-Encoding"):
			if f.chunked || !strings.EqualFold(field.Value, "chunked") {
				return framing{}, errors.Errorf("invalid transfer encoding %q", shorten(field.Value))
			}
			f.chunked = true
		case strings.EqualFold(field.Name, "Connection"):
			f.closes = f.closes || hasToken(field.Value, "close")
			f.keepsOpen = f.keepsOpen || hasToken(field.Value, "keep-alive")
		case strings.EqualFold(field.Name, "Keep-Alive"):
			f.keepsOpen = true
		}
	}
	return f, nil
}

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
	return Head{status: status, http10: proto == "HTTP/1.0"}, nil
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
