// Package config reads the configuration document and keeps the sections that
// are in force.
//
// The document is a YAML stream with one document for each section, so that a
// syntax error stays inside its section. It ends with a section "kind: end",
// so that a truncated document is recognised.
//
// # Usage
//
//	parts, err := config.Split(doc.Text)
//	section, faults := config.Parse(parts[0])
//	ledger := config.NewLedger()
//	changes, err := ledger.Apply(doc)
package config

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"
)

// MaxDocumentBytes is the largest value that the configuration service holds.
const MaxDocumentBytes = 1 << 20

// Errors that make a whole document unusable.
var (
	ErrEmpty     = errors.New("config: document is empty")
	ErrTruncated = errors.New("config: document does not end with a section of kind end")
	ErrTooLarge  = errors.New("config: document is larger than 1 MB")
)

// Part is the text of one section and the line of the document it starts at.
type Part struct {
	line int
	text []byte
}

// NewPart returns a part that starts at a line, counted from one.
func NewPart(line int, text []byte) Part {
	return Part{line: line, text: text}
}

// Line returns the line at which the part starts.
func (p Part) Line() int { return p.line }

// Text returns the part's text.
func (p Part) Text() []byte { return p.text }

// Split cuts a document into its sections and checks that it is whole. The
// end section is not returned.
func Split(text []byte) ([]Part, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, ErrEmpty
	}
	if len(text) > MaxDocumentBytes {
		return nil, ErrTooLarge
	}
	parts := cut(text)
	if len(parts) == 0 || !isEnd(parts[len(parts)-1].text) {
		return nil, ErrTruncated
	}
	return parts[:len(parts)-1], nil
}

func cut(text []byte) []Part {
	var parts []Part
	start, startLine, line := 0, 1, 1
	flush := func(end int) {
		if hasContent(text[start:end]) {
			parts = append(parts, Part{line: startLine, text: bytes.Clone(text[start:end])})
		}
	}
	for pos := 0; pos < len(text); {
		next := len(text)
		if i := bytes.IndexByte(text[pos:], '\n'); i >= 0 {
			next = pos + i + 1
		}
		if isSeparator(text[pos:next]) {
			flush(pos)
			start, startLine = next, line+1
		}
		pos = next
		line++
	}
	flush(len(text))
	return parts
}

func isSeparator(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("---"))
	if !ok {
		return false
	}
	// YAML allows a comment after the marker. Content there would be lost, so
	// such a line stays in its part, which is then refused.
	rest = bytes.TrimSpace(rest)
	return len(rest) == 0 || rest[0] == '#'
}

func hasContent(text []byte) bool {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			return true
		}
	}
	return false
}

func isEnd(text []byte) bool {
	found := false
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		if found || !bytes.Equal(line, []byte("kind: end")) {
			return false
		}
		found = true
	}
	return found
}

// Fault is one broken rule in a section.
type Fault struct {
	Section string // kind and name, or empty when they are not readable
	Key     string
	Line    int
	Rule    string
}

// Error names section, key, line and rule.
func (f Fault) Error() string {
	return fmt.Sprintf("section %q, key %q, line %d: %s", f.Section, f.Key, f.Line, f.Rule)
}
