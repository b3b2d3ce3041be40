package config_test

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"oriolebarrow/core/config"
	"oriolebarrow/core/mutate"
)

const (
	// maxFuzzBytes bounds one input, so that a fixed number of inputs takes seconds.
	maxFuzzBytes = 4 << 10
	// maxFuzzAlloc bounds the total allocation, garbage included, while parsing an
	// input of that size. Without the limits of tokenize, 4 KB of '[' exceeded it.
	maxFuzzAlloc = 4 << 20
	// maxParseAlloc bounds the total allocation while parsing any section.
	maxParseAlloc = 96 << 20
)

// mutations is the number of inputs that TestMutatedInputs derives from the seeds.
const mutations = 2000

func seeds(t testing.TB) [][]byte {
	t.Helper()
	var out [][]byte
	for _, name := range []string{"demo", "altiplano", "sarkanbarda"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, text[:min(len(text), maxFuzzBytes)])
	}
	for _, text := range []string{
		"kind: end\n", "---\n---\nkind: end", "kind: caller\nname: a\nteam: t\nedition: 1\nservices: [s]\n---\nkind: end\n",
		strings.Repeat("[", 100), "a: &x [1]\nb: [*x, *x]\n", "kind: |\n  end\n", "{", "\xff\xfe",
	} {
		out = append(out, []byte(text))
	}
	return out
}

func fuzz(f *testing.F, check func(*testing.T, []byte)) {
	for _, s := range seeds(f) {
		f.Add(s)
	}
	f.Fuzz(check)
}

func FuzzSplit(f *testing.F) { fuzz(f, checkSplit) }
func FuzzParse(f *testing.F) { fuzz(f, checkParse) }

// TestMutatedInputs runs the checks of both fuzz targets on a reproducible set of
// inputs.
func TestMutatedInputs(t *testing.T) {
	for input := range mutate.Inputs(seeds(t), mutations) {
		checkSplit(t, input)
		checkParse(t, input)
		if t.Failed() {
			t.Fatalf("input %q", input)
		}
	}
}

// checkSplit guards against a document that crashes every host, and against sections
// that are out of order or not in the text of the document.
func checkSplit(t *testing.T, text []byte) {
	text = text[:min(len(text), maxFuzzBytes)]
	raw, err := config.Split(text)
	if err != nil && raw != nil {
		t.Errorf("an unusable document has sections: %q", text)
	}
	last := 0
	for _, r := range raw {
		if r.Line() <= last || !strings.Contains(string(text), string(r.Text())) {
			t.Errorf("section at line %d after %d is not part of the document", r.Line(), last)
		}
		last = r.Line()
	}
}

// checkParse guards against a section that crashes or stalls every host, and
// against a section that is neither accepted nor reported.
func checkParse(t *testing.T, text []byte) {
	text = text[:min(len(text), maxFuzzBytes)]
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	section, faults := config.Parse(config.NewRawSection(1, text))
	runtime.ReadMemStats(&after)
	if used := after.TotalAlloc - before.TotalAlloc; used > maxFuzzAlloc {
		t.Errorf("parsing %d bytes allocated %d bytes", len(text), used)
	}
	if (section == nil) != (len(faults) > 0) {
		t.Errorf("section %v with faults %v", section, faults)
	}
	for _, fault := range faults {
		if fault.Line < 1 || fault.Rule == "" {
			t.Errorf("fault without line or rule: %+v", fault)
		}
	}
}

// TestCostlyTextIsRefused guards against sections that cost far more time or memory
// than their size suggests. It also covers YAML features that no section needs.
func TestCostlyTextIsRefused(t *testing.T) {
	const head = "kind: caller\nname: a\nteam: t\nedition: 1\n"
	for text, want := range map[string]string{
		head + "services: " + strings.Repeat("[", 50_000):    "levels of brackets",
		head + "services: ]":                                 "closing bracket",
		head + "services: &s [x]\nx: *s":                     "anchors",
		strings.Repeat("- ", 50_000):                         "indented",
		"? a\n: b\n":                                         "not allowed",
		head + strings.Repeat("#", 256<<10):                  "larger than",
		head + "services: [" + strings.Repeat("[],", 30_000): "tokens",
		head + "x: {" + strings.Repeat("b: c, ", 100):        "more than 64 keys",
		strings.Repeat("a:\n- b: 1\n", 100):                  "more than 64 keys",
	} {
		section, faults := config.Parse(config.NewRawSection(1, []byte(text)))
		if section != nil || len(faults) != 1 || !strings.Contains(faults[0].Rule, want) {
			t.Errorf("%.60q: %v, want %q", text, faults, want)
		}
	}
}

// TestParseAllocations guards against a section that makes every host allocate so
// much that requests stall. Each text is costly for another reason and at or just
// below a limit.
func TestParseAllocations(t *testing.T) {
	const head = "kind: backend\nname: a\nteam: t\nedition: 1\nslots: 2\nconnections: 25\n"
	replicas := new(strings.Builder)
	for i := range 2500 {
		fmt.Fprintf(replicas, "- - {address: 10.0.%d.%d:1, data_centre: a}\n  - {address: 10.1.%d.%d:1, data_centre: b}\n", i/250, i%250, i/250, i%250)
	}
	for name, text := range map[string]string{
		"empty lists":  head + "services: [" + strings.Repeat("[],", 20_000) + "]\n",
		"keys in line": strings.Repeat("a: ", 10_000),
		"commas":       head + "services: [" + strings.Repeat(",", 60_000) + "]\n",
		"colons":       strings.Repeat(": ", 30_000),
		"flow keys":    head + "x: {" + strings.Repeat("b: c, ", 60) + "}\n",
		"flow maps":    head + "x: [" + strings.Repeat("{b: c},", 8_000) + "]\n",
		"block keys":   head + "x:\n" + strings.Repeat("- a: 1\n  b: 1\n", 8_000),
		"comments":     head + strings.Repeat("#\n", 60_000),
		"text":         head + "x: |\n" + strings.Repeat("  x\n", 60_000),
		"lines":        head + "x: y\n" + strings.Repeat("  x\n", 60_000),
		"escapes":      head + "x: \"" + strings.Repeat("\\n", 100_000) + "\"\n",
		"replicas":     head + "groups:\n" + replicas.String(),
	} {
		used, ok := measureParse(text)
		t.Logf("%s: parsing %d bytes allocated %d bytes", name, len(text), used)
		if used > maxParseAlloc {
			t.Errorf("%s: want at most %d bytes", name, maxParseAlloc)
		}
		if want := name == "replicas"; ok != want {
			t.Errorf("%s: accepted %t, want %t", name, ok, want)
		}
	}
}

func measureParse(text string) (allocated uint64, ok bool) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	section, _ := config.Parse(config.NewRawSection(1, []byte(text)))
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc, section != nil
}
