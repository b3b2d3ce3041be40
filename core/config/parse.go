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
	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// Kind says what a section describes.
type Kind string

// Kinds of section.
const (
	KindBackend Kind = "backend"
	KindCaller  Kind = "caller"
	kindEnd     Kind = "end"
)

// Key names a section across its editions.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind and name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Section is one valid section of the document.
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

// Edition returns the team's version number.
func (s *Section) Edition() core.Edition { return s.edition }

// Removed reports whether the section withdraws what it describes.
func (s *Section) Removed() bool { return s.removed }

// Hash returns a hash of the section's text.
func (s *Section) Hash() uint64 { return s.hash }

// Text returns the section as published.
func (s *Section) Text() []byte { return s.text }

// Service returns the service of a backend section.
func (s *Section) Service() core.Service { return s.service }

// Caller returns the caller of a caller section.
func (s *Section) Caller() core.Caller { return s.caller }

// file mirrors the keys of a section.
type file struct {
	Kind    string `yaml:"kind"`
	Name    string `yaml:"name"`
	Team    string `yaml:"team"`
	Edition uint64 `yaml:"edition"`
	Removed bool   `yaml:"removed"`

	Slots             int           `yaml:"slots"`
	Connections       int           `yaml:"connections"`
	NewConnectionCost string        `yaml:"new_connection_cost"`
	QueueLength       int           `yaml:"queue_length"`
	HedgeFloor        string        `yaml:"hedge_floor"`
	HedgeCeiling      string        `yaml:"hedge_ceiling"`
	HedgeBudget       *float64      `yaml:"hedge_budget"`
	RetryBudget       *float64      `yaml:"retry_budget"`
	MaxRowsBytes      int           `yaml:"max_rows_bytes"`
	Groups            [][]replicaIn `yaml:"groups"`

	Deadline    string   `yaml:"deadline"`
	MinCoverage *float64 `yaml:"min_coverage"`
	Priority    int      `yaml:"priority"`
	Rate        float64  `yaml:"rate"`
	Burst       int      `yaml:"burst"`
	Concurrency int      `yaml:"concurrency"`
	Repeatable  *bool    `yaml:"repeatable"`
	Services    []string `yaml:"services"`
}

type replicaIn struct {
	Address    string `yaml:"address"`
	DataCentre string `yaml:"data_centre"`
}

// Parse decodes one section strictly, sets defaults and validates it. The
// section is nil when there are faults.
func Parse(p Part) (*Section, []Fault) {
	if f := guard(p); f != nil {
		return nil, []Fault{*f}
	}
	f := new(file)
	tree, err := parser.ParseBytes(p.text, 0)
	if err != nil {
		return nil, []Fault{syntaxFault(p, err)}
	}
	dec := yaml.NewDecoder(bytes.NewReader(p.text), yaml.Strict())
	if err := dec.Decode(f); err != nil {
		return nil, []Fault{syntaxFault(p, err)}
	}
	setDefaults(f)
	c := newChecker(p, f, tree)
	section := c.section()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	section.text = p.text
	section.hash = xxhash.Sum64(bytes.TrimSpace(p.text))
	return section, nil
}

func syntaxFault(p Part, err error) Fault {
	line, msg := p.line, err.Error()
	var ye yaml.Error
	if errors.As(err, &ye) {
		msg = ye.GetMessage()
		if t := ye.GetToken(); t != nil {
			line += t.Position.Line - 1
		}
	}
	return Fault{Line: line, Rule: strings.TrimSpace(msg)}
}

// checker validates a decoded section and collects every fault.
type checker struct {
	part   Part
	in     *file
	lines  map[string]int
	faults []Fault
}

func newChecker(p Part, f *file, tree *ast.File) *checker {
	c := &checker{part: p, in: f, lines: make(map[string]int)}
	for _, doc := range tree.Docs {
		if m, ok := doc.Body.(*ast.MappingNode); ok {
			for _, v := range m.Values {
				c.lines[v.Key.String()] = v.Key.GetToken().Position.Line
			}
		}
	}
	return c
}

func (c *checker) fail(key, format string, args ...any) {
	line := c.part.line
	if l := c.lines[key]; l > 0 {
		line += l - 1
	}
	c.faults = append(c.faults, Fault{
		Section: c.in.Kind + "/" + c.in.Name,
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

func (c *checker) name(key, text string) {
	if text == "" || len(text) > maxNameBytes {
		c.fail(key, "want 1 to %d bytes", maxNameBytes)
		return
	}
	for _, r := range text {
		if !strings.ContainsRune(nameRunes, r) {
			c.fail(key, "want lower-case letters, digits, '_' and '-', got %q", text)
			return
		}
	}
}
