// Package config parses the configuration document and keeps the active sections.
//
// The configuration document is a YAML stream with one YAML document for each
// section, so that a syntax error makes only its own section invalid. It ends with
// a section "kind: end", so that a truncated document is detected.
//
// # Usage
//
//	raw, err := config.Split(doc.Text)
//	section, faults := config.Parse(raw[0])
//	ledger := config.NewLedger()
//	changes, err := ledger.Apply(doc)
package config

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"
)

// MaxDocumentBytes is the largest value that the configuration service stores.
const MaxDocumentBytes = 1 << 20

// Errors that make the entire document unusable.
var (
	ErrEmpty     = errors.New("config: document is empty")
	ErrTruncated = errors.New("config: document does not end with a section of kind end")
	ErrTooLarge  = errors.New("config: document is larger than 1 MB")
)

// RawSection is the text of one section and the line of the document at which it starts.
type RawSection struct {
	line int
	text []byte
}

// NewRawSection returns the text of a section that starts at a line, counted from one.
func NewRawSection(line int, text []byte) RawSection {
	return RawSection{line: line, text: text}
}

// Line returns the line at which the section starts.
func (r RawSection) Line() int { return r.line }

// Text returns the text of the section.
func (r RawSection) Text() []byte { return r.text }

// Split divides a document into its sections and checks that it is complete. It
// does not return the end section.
func Split(text []byte) ([]RawSection, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, ErrEmpty
	}
	if len(text) > MaxDocumentBytes {
		return nil, ErrTooLarge
	}
	raw := splitSections(text)
	if len(raw) == 0 || !isEndSection(raw[len(raw)-1].text) {
		return nil, ErrTruncated
	}
	return raw[:len(raw)-1], nil
}

func splitSections(text []byte) []RawSection {
	var raw []RawSection
	start, startLine, line := 0, 1, 1
	flush := func(end int) {
		if hasContent(text[start:end]) {
			raw = append(raw, RawSection{line: startLine, text: bytes.Clone(text[start:end])})
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
	return raw
}

func isSeparator(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("---"))
	if !ok {
		return false
	}
	// YAML allows a comment or content after the marker. Content would be lost here,
	// so such a line stays in its section, and Parse then refuses the section.
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

func isEndSection(text []byte) bool {
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

// Fault is one violation of a rule in a section.
type Fault struct {
	Section string // kind and name, or empty if both are unreadable
	Key     string
	Line    int
	Rule    string
}

// Error names section, key, line and rule.
func (f Fault) Error() string {
	return fmt.Sprintf("section %q, key %q, line %d: %s", f.Section, f.Key, f.Line, f.Rule)
}
