package config

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

const (
	// maxDepth is above the four levels that a backend section nests. The YAML
	// parser takes time and memory that grow with the square of the depth:
	// 100 KB of '[' took 32 s and allocated 20 GB.
	maxDepth = 8
	// maxIndent bounds the nesting of block collections in the same way.
	maxIndent = 64
)

// guard refuses what a section never needs and what makes parsing it costly.
// An alias can stand for any number of bytes: 18 KB of aliases allocated 800 MB.
func guard(p Part) *Fault {
	depth := 0
	for _, t := range lexer.Tokenize(string(p.text)) {
		rule := ""
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			rule = "anchors and aliases are not allowed"
		case token.TagType, token.DirectiveType, token.MappingKeyType:
			rule = fmt.Sprintf("%q is not allowed", t.Value)
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType:
			if t.Position.Column > maxIndent {
				rule = fmt.Sprintf("a list is indented by more than %d columns", maxIndent)
			}
		}
		if depth > maxDepth {
			rule = fmt.Sprintf("more than %d levels of brackets", maxDepth)
		}
		if depth < 0 {
			rule = "a closing bracket has no opening one"
		}
		if t.Position.IndentNum > maxIndent {
			rule = fmt.Sprintf("indented by more than %d columns", maxIndent)
		}
		if rule != "" {
			return &Fault{Line: p.line + t.Position.Line - 1, Rule: rule}
		}
	}
	return nil
}
