package config_test

import (
	"os"
	"runtime"
	"strings"
	"testing"

	"oriolebarrow/core/config"
)

const (
	// maxFuzzBytes keeps one input cheap, so that a fixed count ends in seconds.
	maxFuzzBytes = 4 << 10
	// maxFuzzAlloc is the memory that parsing an input of that size may allocate
	// in total, garbage included. Without the guard, 4 KB of '[' exceeded it.
	maxFuzzAlloc = 64 << 20
)

func seeds(f *testing.F) {
	for _, name := range []string{"demo", "altiplano", "sarkanbarda"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text[:min(len(text), maxFuzzBytes)])
	}
	for _, text := range []string{
		"kind: end\n", "---\n---\nkind: end", "kind: caller\nname: a\nteam: t\nedition: 1\nservices: [s]\n---\nkind: end\n",
		strings.Repeat("[", 100), "a: &x [1]\nb: [*x, *x]\n", "kind: |\n  end\n", "{", "\xff\xfe",
	} {
		f.Add([]byte(text))
	}
}

// Guards against a document that crashes every host, and against sections that
// get lost or change between splitting and parsing.
func FuzzSplit(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		text = text[:min(len(text), maxFuzzBytes)]
		parts, err := config.Split(text)
		if err != nil && parts != nil {
			t.Fatal("an unusable document has sections")
		}
		last := 0
		for _, p := range parts {
			if p.Line() <= last || !strings.Contains(string(text), string(p.Text())) {
				t.Fatalf("section at line %d after %d is not part of the document", p.Line(), last)
			}
			last = p.Line()
		}
	})
}

// Guards against a section that crashes or stalls every host, and against a
// section that is neither taken nor reported.
func FuzzParse(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		text = text[:min(len(text), maxFuzzBytes)]
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		section, faults := config.Parse(config.NewPart(1, text))
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > maxFuzzAlloc {
			t.Fatalf("parsing %d bytes allocated %d", len(text), used)
		}
		if (section == nil) != (len(faults) > 0) {
			t.Fatalf("section %v with faults %v", section, faults)
		}
		for _, fault := range faults {
			if fault.Line < 1 || fault.Rule == "" {
				t.Fatalf("fault says nothing: %+v", fault)
			}
		}
	})
}

// Guards against sections whose parsing takes time that grows with the square
// of their size or faster.
func TestGuard(t *testing.T) {
	const head = "kind: caller\nname: a\nteam: t\nedition: 1\n"
	for text, want := range map[string]string{
		head + "services: " + strings.Repeat("[", 50_000): "levels of brackets",
		head + "services: ]":                              "closing bracket",
		head + "services: &s [x]\nx: *s":                  "anchors",
		strings.Repeat("- ", 50_000):                      "indented",
		"? a\n: b\n":                                      "not allowed",
	} {
		section, faults := config.Parse(config.NewPart(1, []byte(text)))
		if section != nil || len(faults) != 1 || !strings.Contains(faults[0].Rule, want) {
			t.Errorf("%.60q: %v, want %q", text, faults, want)
		}
	}
}
