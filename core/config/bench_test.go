package config_test

import (
	"fmt"
	"strings"
	"testing"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
)

// BenchmarkDocument parses a document of about 1 MB into an empty ledger.
func BenchmarkDocument(b *testing.B) {
	var s strings.Builder
	for n := range 300 {
		fmt.Fprintf(&s, "kind: backend\nname: service_%d\nteam: t\nedition: 1\nslots: 2\nconnections: 25\ngroups:\n", n)
		for g := range 28 {
			fmt.Fprintf(&s, "  - - {address: \"10.%d.%d.1:8080\", data_centre: dc-%d}\n", n%256, g, g%3)
			fmt.Fprintf(&s, "    - {address: \"10.%d.%d.2:8080\", data_centre: dc-%d}\n", n%256, g, (g+1)%3)
		}
		s.WriteString("---\n")
	}
	s.WriteString("kind: end\n")
	text := []byte(s.String())
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		l := config.NewLedger()
		if keys, err := l.Apply(core.Document{Revision: 1, Text: text}); err != nil || len(keys) != 300 {
			b.Fatal(len(keys), err)
		}
	}
}
