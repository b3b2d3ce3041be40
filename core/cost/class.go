package cost

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSegments and prefixSegments are the numbers of path segments in a pattern and in
	// a prefix.
	maxSegments    = 4
	prefixSegments = 2
	// maxSegmentBytes is the length from which a segment counts as an identifier.
	maxSegmentBytes = 24
	// identifier replaces a segment that differs from request to request.
	identifier = "*"
)

// Indexes of Class.keys and bases.
const (
	sizeFeature = iota
	prefixFeature
	patternFeature
	allFeatures
	featureCount
)

var bases = [featureCount]Basis{BasisSize, BasisPrefix, BasisPattern, BasisAll}

// Class describes a request by what is known before it is sent: route, method, size of the
// body and path.
type Class struct {
	route string
	keys  [featureCount]uint64
}

// ClassOf returns the class of a request of a route. uri is its path with or without a query.
func ClassOf(route, method, uri string, bodyBytes int) Class {
	path, _, _ := strings.Cut(uri, "?")
	pattern, prefix := Pattern(path)
	size := string(rune('a' + sizeClass(bodyBytes)))
	return Class{route: route, keys: [featureCount]uint64{
		sizeFeature:    key("size", method, size),
		prefixFeature:  key("prefix", method, prefix),
		patternFeature: key("pattern", method, pattern),
		allFeatures:    key("all", method, size+pattern),
	}}
}

// key returns the key of a feature. A method has no space, so that keys of different
// features or methods are not equal by concatenation.
func key(feature, method, value string) uint64 {
	return xxhash.Sum64String(feature + " " + method + " " + value)
}

// sizeClass returns the class of a body size, a power of four. Sizes of requests that are
// alike vary less.
func sizeClass(bytes int) int { return (bits.Len(uint(max(0, bytes))) + 1) / 2 }

// Pattern returns the pattern of a path: its first segments, with those replaced that look
// like identifiers. prefix consists of the first two of them.
func Pattern(path string) (pattern, prefix string) {
	var b strings.Builder
	rest := strings.TrimPrefix(path, "/")
	for n := 0; rest != "" && n < maxSegments; n++ {
		if n == prefixSegments {
			prefix = b.String()
		}
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		b.WriteByte('/')
		if isIdentifier(segment) {
			segment = identifier
		}
		b.WriteString(segment)
	}
	pattern = b.String()
	if prefix == "" {
		prefix = pattern
	}
	return pattern, prefix
}

func isIdentifier(segment string) bool {
	return len(segment) > maxSegmentBytes || strings.ContainsFunc(segment, func(c rune) bool {
		return c >= '0' && c <= '9' || c == '%' || c > '~'
	})
}
