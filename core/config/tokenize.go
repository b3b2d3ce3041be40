package config

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

const (
	// maxSectionBytes suffices for about 5,000 replicas. It is checked before the
	// lexer runs, which allocates up to 300 bytes for each byte of text.
	maxSectionBytes = 256 << 10
	// maxTokens suffices for a section of that size with replicas, which has one
	// token for every four bytes. One token per byte would cost four times as much.
	maxTokens = 64 << 10
	// maxKeys is above the 15 keys that a backend section can have. The parser's
	// memory grows with the square of the number of keys in one mapping: 44 KB with
	// 5,000 keys allocated 114 MB.
	maxKeys = 64
	// maxDepth is above the four levels of a backend section. The parser's time and
	// memory grow with the square of the depth: 100 KB of '[' took 32 s and
	// allocated 20 GB.
	maxDepth = 8
	// maxIndent bounds the depth of block collections for the same reason.
	maxIndent = 64
)

// tokenize splits a section into tokens for the parser. It refuses sections that
// would be costly to parse and YAML features that no section needs. Aliases are
// refused because each can expand to any number of bytes: 18 KB of them allocated
// 800 MB. The parser gets these tokens because the lexer takes a good part of the
// parsing time.
func tokenize(raw RawSection) (token.Tokens, *Fault) {
	if len(raw.text) > maxSectionBytes {
		return nil, &Fault{Line: raw.line, Rule: fmt.Sprintf("section is larger than %d bytes", maxSectionBytes)}
	}
	s := structureChecker{blockKeys: make(map[int]int)}
	tokens := lexer.Tokenize(string(raw.text))
	for _, t := range tokens {
		if rule := s.check(t); rule != "" {
			return nil, &Fault{Line: raw.line + t.Position.Line - 1, Rule: rule}
		}
	}
	return tokens, nil
}

// structureChecker checks the tokens of a section against the limits. It tracks the
// open brackets and block mappings.
type structureChecker struct {
	tokens    int
	flowKeys  []int       // number of keys in each open bracket
	blockKeys map[int]int // number of keys in each open block mapping, by column
}

// check adds a token and returns the rule that it breaks, or an empty string.
func (s *structureChecker) check(t *token.Token) string {
	s.tokens++
	if s.tokens > maxTokens {
		return fmt.Sprintf("section has more than %d tokens", maxTokens)
	}
	if t.Position.IndentNum > maxIndent {
		return fmt.Sprintf("indented by more than %d columns", maxIndent)
	}
	switch t.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType:
		return "anchors and aliases are not allowed"
	case token.TagType, token.DirectiveType, token.MappingKeyType:
		return fmt.Sprintf("%q is not allowed", t.Value)
	case token.SequenceStartType, token.MappingStartType:
		s.flowKeys = append(s.flowKeys, 0)
		if len(s.flowKeys) > maxDepth {
			return fmt.Sprintf("more than %d levels of brackets", maxDepth)
		}
	case token.SequenceEndType, token.MappingEndType:
		if len(s.flowKeys) == 0 {
			return "a closing bracket has no opening one"
		}
		s.flowKeys = s.flowKeys[:len(s.flowKeys)-1]
	case token.SequenceEntryType:
		return s.startItem(t.Position.Column)
	case token.MappingValueType:
		return s.addKey(t)
	}
	return ""
}

// startItem closes the mappings of the previous list item. Mappings at the column
// of the dash or left of it contain the list and stay open.
func (s *structureChecker) startItem(column int) string {
	if column > maxIndent {
		return fmt.Sprintf("a list is indented by more than %d columns", maxIndent)
	}
	for c := range s.blockKeys {
		if c > column {
			delete(s.blockKeys, c)
		}
	}
	return ""
}

func (s *structureChecker) addKey(t *token.Token) string {
	keys := 0
	if n := len(s.flowKeys); n > 0 {
		s.flowKeys[n-1]++
		keys = s.flowKeys[n-1]
	} else {
		column := t.Position.Column
		if t.Prev != nil {
			column = t.Prev.Position.Column
		}
		s.blockKeys[column]++
		keys = s.blockKeys[column]
	}
	if keys > maxKeys {
		return fmt.Sprintf("a mapping has more than %d keys", maxKeys)
	}
	return ""
}
