package config

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// Kind states whether a section describes a backend service or a caller.
type Kind string

// Kinds of section.
const (
	KindBackend Kind = "backend"
	KindCaller  Kind = "caller"
	kindEnd     Kind = "end"
)

// Key identifies a section in all its editions.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind and name, separated by a slash.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Section is one valid section of a document.
type Section struct {
	key     Key
	team    string
	edition core.Edition
	removed bool
	hash    uint64
	text    []byte
	service core.Service
	caller  core.Caller
}

// Key returns the section's kind and name.
func (s *Section) Key() Key { return s.key }

// Team returns the team that owns the section.
func (s *Section) Team() string { return s.team }

// Edition returns the version number that the team gave the section.
func (s *Section) Edition() core.Edition { return s.edition }

// Removed reports whether the section states that its service or caller no longer
// exists.
func (s *Section) Removed() bool { return s.removed }

// Hash returns a hash of the section's text.
func (s *Section) Hash() uint64 { return s.hash }

// Text returns the section as published.
func (s *Section) Text() []byte { return s.text }

// Service returns the service of a backend section.
func (s *Section) Service() core.Service { return s.service }

// Caller returns the caller of a caller section.
func (s *Section) Caller() core.Caller { return s.caller }

// sectionFields has a field for each key of a section.
type sectionFields struct {
	Kind    string `yaml:"kind"`
	Name    string `yaml:"name"`
	Team    string `yaml:"team"`
	Edition uint64 `yaml:"edition"`
	Removed bool   `yaml:"removed"`

	Slots             int               `yaml:"slots"`
	Connections       int               `yaml:"connections"`
	NewConnectionCost string            `yaml:"new_connection_cost"`
	QueueLength       int               `yaml:"queue_length"`
	HedgeFloor        string            `yaml:"hedge_floor"`
	HedgeCeiling      string            `yaml:"hedge_ceiling"`
	HedgeBudget       *float64          `yaml:"hedge_budget"`
	RetryBudget       *float64          `yaml:"retry_budget"`
	MaxRowsBytes      int               `yaml:"max_rows_bytes"`
	Groups            [][]replicaFields `yaml:"groups"`

	Deadline    string   `yaml:"deadline"`
	MinCoverage *float64 `yaml:"min_coverage"`
	Priority    int      `yaml:"priority"`
	Rate        float64  `yaml:"rate"`
	Burst       int      `yaml:"burst"`
	Concurrency int      `yaml:"concurrency"`
	Repeatable  *bool    `yaml:"repeatable"`
	Services    []string `yaml:"services"`
}

type replicaFields struct {
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
}

// Parse decodes one section, sets defaults and validates it. Unknown keys are
// faults. The section is nil if there are faults.
func Parse(raw RawSection) (*Section, []Fault) {
	tokens, fault := tokenize(raw)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	tree, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, []Fault{syntaxFault(raw, scanName(raw.text), err)}
	}
	f := new(sectionFields)
	c := newChecker(raw, f, tree)
	if len(tree.Docs) != 1 {
		return nil, []Fault{{Section: c.name(), Line: raw.line, Rule: "want one YAML document"}}
	}
	if tree.Docs[0].Body == nil {
		return nil, []Fault{{Line: raw.line, Rule: "section is empty"}}
	}
	rest, groups := extractGroups(tree.Docs[0].Body)
	dec := yaml.NewDecoder(bytes.NewReader(nil), yaml.Strict())
	if err := dec.DecodeFromNode(rest, f); err != nil {
		return nil, []Fault{syntaxFault(raw, c.name(), err)}
	}
	if groups != nil {
		f.Groups = groups
	}
	setDefaults(f)
	section := c.section()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	section.text = raw.text
	section.hash = textHash(raw.text)
	return section, nil
}

// scanName finds kind and name in a text with a syntax error.
func scanName(text []byte) string {
	var kind, name string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "kind:"); ok {
			kind = strings.TrimSpace(rest)
		}
		if rest, ok := strings.CutPrefix(line, "name:"); ok {
			name = strings.TrimSpace(rest)
		}
	}
	if kind == "" && name == "" {
		return ""
	}
	return kind + "/" + name
}

func textHash(text []byte) uint64 { return xxhash.Sum64(bytes.TrimSpace(text)) }

// syntaxFault converts an error of the YAML parser or decoder. It sets Key if the
// error has a token.
func syntaxFault(raw RawSection, section string, err error) Fault {
	fault := Fault{Section: section, Line: raw.line}
	var ye yaml.Error
	if !errors.As(err, &ye) {
		fault.Rule = strings.TrimSpace(err.Error())
	} else {
		// Error() would quote the source around the token. For 60 KB of "[]," on one
		// line that allocated 2 GB.
		fault.Rule = strings.TrimSpace(ye.GetMessage())
		if t := ye.GetToken(); t != nil {
			fault.Line += t.Position.Line - 1
			fault.Key = keyAt(t)
		}
	}
	return fault
}

// keyAt returns the token's text if it is a key, else the key of its value.
func keyAt(t *token.Token) string {
	if t.Next != nil && t.Next.Type == token.MappingValueType {
		return t.Value
	}
	for ; t != nil; t = t.Prev {
		if t.Type == token.MappingValueType && t.Prev != nil {
			return t.Prev.Value
		}
	}
	return ""
}

// checker validates a decoded section and collects all faults.
type checker struct {
	raw    RawSection
	fields *sectionFields
	tree   *ast.File
	nested bool              // lines includes nested paths
	lines  map[string]int    // by path, such as groups[0][1].address
	values map[string]string // top-level scalars by key
	faults []Fault
}

func newChecker(raw RawSection, f *sectionFields, tree *ast.File) *checker {
	c := &checker{raw: raw, fields: f, tree: tree, lines: make(map[string]int), values: make(map[string]string)}
	c.walkAll()
	return c
}

func (c *checker) walkAll() {
	for _, doc := range c.tree.Docs {
		c.walk("", doc.Body)
	}
}

// line returns the line of a path in the section, or 0. The lines of nested paths,
// which are most of a large section, are collected only when a lookup first fails.
func (c *checker) line(path string) int {
	if c.lines[path] == 0 && !c.nested {
		c.nested = true
		c.walkAll()
	}
	return c.lines[path]
}

// walk records the lines of a node's keys and list items, and the values of
// top-level scalars. It descends into the values of keys only if nested is set.
func (c *checker) walk(path string, n ast.Node) {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			c.walk(path, v)
		}
	case *ast.MappingValueNode:
		key := n.Key.String()
		if path != "" {
			key = path + "." + key
		}
		c.lines[key] = n.Key.GetToken().Position.Line
		if scalar, ok := n.Value.(ast.ScalarNode); ok && path == "" {
			c.values[key] = fmt.Sprint(scalar.GetValue())
		}
		if c.nested {
			c.walk(key, n.Value)
		}
	case *ast.SequenceNode:
		for i, v := range n.Values {
			item := fmt.Sprintf("%s[%d]", path, i)
			c.lines[item] = v.GetToken().Position.Line
			c.walk(item, v)
		}
	}
}

// name returns kind and name, or an empty string if both are unreadable.
func (c *checker) name() string {
	kind, name := c.values["kind"], c.values["name"]
	if kind == "" && name == "" {
		return ""
	}
	return kind + "/" + name
}

func (c *checker) fail(key, format string, args ...any) {
	line := c.raw.line
	if l := c.line(key); l > 0 {
		line += l - 1
	}
	c.faults = append(c.faults, Fault{
		Section: c.name(),
		Key:     key,
		Line:    line,
		Rule:    fmt.Sprintf(format, args...),
	})
}

func (c *checker) duration(key, text string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		c.fail(key, "want a duration such as 40ms, got %q", text)
		return 0
	}
	if d < low || d > high {
		c.fail(key, "want %s to %s, got %s", low, high, d)
	}
	return d
}

func (c *checker) integer(key string, n, low, high int) {
	if n < low || n > high {
		c.fail(key, "want %d to %d, got %d", low, high, n)
	}
}

func (c *checker) number(key string, x, low, high float64) {
	if !(x >= low && x <= high) {
		c.fail(key, "want %g to %g, got %g", low, high, x)
	}
}

func (c *checker) identifier(key, text string) {
	if text == "" || len(text) > maxNameBytes {
		c.fail(key, "want 1 to %d bytes", maxNameBytes)
		return
	}
	for _, r := range text {
		if !strings.ContainsRune(nameAlphabet, r) {
			c.fail(key, "want lower-case letters, digits, '_' and '-', got %q", text)
			return
		}
	}
}
