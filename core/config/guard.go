package config

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

const (
	// maxSectionBytes holds about 5,000 replicas. It is checked before the
	// lexer, which allocates up to 300 bytes for each byte of text.
	maxSectionBytes = 256 << 10
	// maxTokens is what a section of that size with replicas needs (a token for
	// every four bytes). Text of one token a byte would cost four times as much.
	maxTokens = 64 << 10
	// maxKeys is above the 26 keys that a section can have. The parser takes
	// memory that grows with the square of the keys of one mapping: 44 KB with
	// 5,000 keys allocated 114 MB.
	maxKeys = 64
	// maxDepth is above the four levels that a backend section nests. The YAML
	// parser takes time and memory that grow with the square of the depth:
	// 100 KB of '[' took 32 s and allocated 20 GB.
	maxDepth = 8
	// maxIndent bounds the nesting of block collections in the same way.
	maxIndent = 64
)

// guard refuses what a section never needs and what makes parsing it costly.
// An alias can stand for any number of bytes: 18 KB of aliases allocated 800 MB.
// It returns the tokens for the parser, since the lexer takes a good part of the
// time.
func guard(p Part) (token.Tokens, *Fault) {
	if len(p.text) > maxSectionBytes {
		return nil, &Fault{Line: p.line, Rule: fmt.Sprintf("section is larger than %d bytes", maxSectionBytes)}
	}
	s := shape{block: make(map[int]int)}
	tokens := lexer.Tokenize(string(p.text))
	for _, t := range tokens {
		if rule := s.add(t); rule != "" {
			return nil, &Fault{Line: p.line + t.Position.Line - 1, Rule: rule}
		}
	}
	return tokens, nil
}

// shape follows the nesting of a section token by token.
type shape struct {
	tokens int
	flow   []int       // keys at each open bracket
	block  map[int]int // keys of the open block mappings, by column
}

// add returns the rule that a token breaks, or nothing.
func (s *shape) add(t *token.Token) string {
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
		s.flow = append(s.flow, 0)
		if len(s.flow) > maxDepth {
			return fmt.Sprintf("more than %d levels of brackets", maxDepth)
		}
	case token.SequenceEndType, token.MappingEndType:
		if len(s.flow) == 0 {
			return "a closing bracket has no opening one"
		}
		s.flow = s.flow[:len(s.flow)-1]
	case token.SequenceEntryType:
		return s.item(t.Position.Column)
	case token.MappingValueType:
		return s.key(t)
	}
	return ""
}

// item ends the mappings of the previous list item. Those at the column of the
// dash or left of it contain the list and stay open.
func (s *shape) item(column int) string {
	if column > maxIndent {
		return fmt.Sprintf("a list is indented by more than %d columns", maxIndent)
	}
	for c := range s.block {
		if c > column {
			delete(s.block, c)
		}
	}
	return ""
}

func (s *shape) key(t *token.Token) string {
	keys := 0
	if n := len(s.flow); n > 0 {
		s.flow[n-1]++
		keys = s.flow[n-1]
	} else {
		column := t.Position.Column
		if t.Prev != nil {
			column = t.Prev.Position.Column
		}
		s.block[column]++
		keys = s.block[column]
	}
	if keys > maxKeys {
		return fmt.Sprintf("a mapping has more than %d keys", maxKeys)
	}
	return ""
}
