package config_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
)

func TestMain(m *testing.M) {
	// A fixed seed makes failures reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const end = "---\nkind: end\n"

func callerSection(name string, edition int, rate int) string {
	return fmt.Sprintf("---\nkind: caller\nname: %s\nteam: clerks\nedition: %d\nrate: %d\nservices: [tickets]\n", name, edition, rate)
}

func doc(r core.Revision, sections ...string) core.Document {
	return core.Document{Revision: r, Text: []byte(strings.Join(sections, "") + end)}
}

// TestBrokenDocumentsChangeNothing guards against an unusable document that
// replaces or removes active sections.
func TestBrokenDocumentsChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":                 {"", config.ErrEmpty},
		"blank":                 {" \n\t\n", config.ErrEmpty},
		"truncated":             {callerSection("a", 2, 9), config.ErrTruncated},
		"truncated end section": {callerSection("a", 2, 9) + "---\nkind: en", config.ErrTruncated},
		"too large":             {callerSection("a", 2, 9) + strings.Repeat("#\n", 1<<19) + end, config.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			l := config.NewLedger()
			mustApply(t, l, doc(1, callerSection("a", 1, 5)))
			before := l.Digest()
			_, err := l.Apply(core.Document{Revision: 2, Text: []byte(c.text)})
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if l.Digest() != before || l.Revision() != 1 {
				t.Errorf("ledger changed: revision %d", l.Revision())
			}
		})
	}
}

func mustApply(t *testing.T, l *config.Ledger, d core.Document) {
	t.Helper()
	if _, err := l.Apply(d); err != nil {
		t.Fatal(err)
	}
}

// TestMergeRules checks which version of a section becomes active and which
// sections are reported as refused. Each step applies a document; rate is the
// expected rate of caller a afterwards (0: no active section), and refused holds the
// keys of the sections that must be reported.
func TestMergeRules(t *testing.T) {
	type step struct {
		doc     core.Document
		rate    float64
		refused []string
	}
	removed := "---\nkind: caller\nname: a\nteam: clerks\nedition: 3\nremoved: true\n"
	backend := "---\nkind: backend\nname: a\nteam: clerks\nedition: 9\nslots: 1\nconnections: 2\ngroups: [[{address: '10.0.0.1:1', data_centre: x}]]\n"
	for name, steps := range map[string][]step{
		"higher edition wins":                    {{doc(1, callerSection("a", 1, 5)), 5, nil}, {doc(2, callerSection("a", 2, 6)), 6, nil}},
		"second change under an edition refused": {{doc(1, callerSection("a", 1, 5)), 5, nil}, {doc(2, callerSection("a", 1, 6)), 5, []string{"caller/a"}}},
		"first change received late":             {{doc(2, callerSection("a", 1, 6)), 6, nil}, {doc(1, callerSection("a", 1, 5)), 5, nil}},
		"stale read":                             {{doc(2, callerSection("a", 2, 6)), 6, nil}, {doc(1, callerSection("a", 1, 5)), 6, nil}},
		"operator edits an old copy":             {{doc(1, callerSection("a", 2, 6)), 6, nil}, {doc(2, callerSection("a", 1, 5)), 6, []string{"caller/a"}}},
		"absent section stays":                   {{doc(1, callerSection("a", 1, 5)), 5, nil}, {doc(2, callerSection("b", 1, 5)), 5, nil}},
		"removed and restored":                   {{doc(1, callerSection("a", 1, 5)), 5, nil}, {doc(2, removed), 0, nil}, {doc(1, callerSection("a", 1, 5)), 0, nil}, {doc(3, callerSection("a", 4, 7)), 7, nil}},
		"removed under the same edition":         {{doc(1, callerSection("a", 3, 5)), 5, nil}, {doc(2, removed), 5, []string{"caller/a"}}},
		"invalid section keeps last valid version, others advance": {{doc(1, callerSection("a", 1, 5)), 5, nil},
			{doc(2, callerSection("b", 1, -1), callerSection("a", 2, 6)), 6, []string{"caller/b"}},
			{doc(3, callerSection("a", 3, -1), callerSection("b", 1, 1)), 6, []string{"caller/a"}}},
		"each syntax error reported": {{doc(1, callerSection("a", 1, 5), "---\n{\n", "---\n[\n"), 5, []string{"line 11", "line 9"}}},
		"listed twice":               {{doc(1, callerSection("a", 1, 5), callerSection("a", 2, 6)), 6, []string{"caller/a"}}},
		"same name in both kinds":    {{doc(1, callerSection("a", 1, 5)), 5, nil}, {doc(2, backend), 5, nil}, {doc(3, backend, removed), 0, nil}},
	} {
		t.Run(name, func(t *testing.T) {
			l := config.NewLedger()
			for i, s := range steps {
				mustApply(t, l, s.doc)
				c, _ := l.Caller("a")
				var refused []string
				for _, r := range l.Refused() {
					refused = append(refused, r.Key)
				}
				if c.Policy().Rate != s.rate || !cmp.Equal(refused, s.refused) {
					t.Errorf("step %d: rate %v and refused %v, want %v and %v", i, c.Policy().Rate, refused, s.rate, s.refused)
				}
			}
		})
	}
}

// TestFaultsNameSectionKeyAndLine guards against faults that name the wrong
// section, key or line. The faulty section starts at line 5, after another section
// and a separator with a comment.
func TestFaultsNameSectionKeyAndLine(t *testing.T) {
	head := "kind: caller\nname: x\n\n--- # second\n"
	callerHead := "kind: caller\nname: a\nteam: clerks\nedition: 1\nservices: [s]\n"
	backendHead := "kind: backend\nname: b\nteam: clerks\nedition: 1\nslots: 1\nconnections: 2\n"
	for name, c := range map[string]struct {
		text    string
		section string
		key     string
		line    int
	}{
		"value out of range":    {callerHead + "priority: 12\n", "caller/a", "priority", 10},
		"unknown key":           {callerHead + "priorty: 1\n", "caller/a", "priorty", 10},
		"wrong type":            {callerHead + "rate: fast\n", "caller/a", "rate", 10},
		"key of the other kind": {callerHead + "slots: 2\n", "caller/a", "slots", 10},
		"missing key":           {"kind: caller\nname: a\nteam: clerks\nedition: 1\n", "caller/a", "services", 5},
		"syntax":                {callerHead + "rate: [1\n", "caller/a", "rate", 10},
		"nested value":          {backendHead + "groups:\n  - - address: nowhere\n      data_centre: x\n", "backend/b", "groups[0][0].address", 12},
		"nested key missing":    {backendHead + "groups:\n  - - {address: '10.0.0.1:1', data_centre: x}\n    - {address: '10.0.0.2:1'}\n", "backend/b", "groups[0][1]", 13},
		"nested unknown key":    {backendHead + "groups:\n  - - address: '10.0.0.1:1'\n      data_center: x\n", "backend/b", "data_center", 13},
		"two YAML documents":    {callerHead + "--- {a: b}\n", "caller/a", "", 5},
		"duplicate key":         {callerHead + "rate: 1\nrate: 2\n", "caller/a", "rate", 11},
		"edition missing":       {"kind: caller\nname: a\nteam: clerks\nservices: [s]\n", "caller/a", "edition", 5},
		"unknown kind":          {"kind: other\nname: a\nteam: clerks\nedition: 1\n", "other/a", "kind", 5},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := config.Split([]byte(head + c.text + end))
			if err != nil || len(raw) != 2 {
				t.Fatalf("%d sections, error %v", len(raw), err)
			}
			_, faults := config.Parse(raw[1])
			if len(faults) == 0 {
				t.Fatal("no fault")
			}
			f := faults[0]
			if f.Section != c.section || f.Line != c.line || f.Key != c.key {
				t.Errorf("got %v; want section %q, key %q, line %d", f, c.section, c.key, c.line)
			}
		})
	}
}

// TestReplicaSyntaxForms guards against replicas that extractGroups decodes
// differently from the YAML decoder, whose conversions and faults must apply to
// every form of the list.
func TestReplicaSyntaxForms(t *testing.T) {
	head := "kind: backend\nname: b\nteam: clerks\nedition: 1\nslots: 1\nconnections: 2\n"
	for text, want := range map[string]string{
		"groups: [[{address: '10.0.0.1:1', data_centre: x}]]":                        "[[{10.0.0.1:1 x}]]",
		"groups:\n- - address: 10.0.0.1:1\n    data_centre: \"x\"":                   "[[{10.0.0.1:1 x}]]",
		"groups: [[{address: 10.0.0.1:1, data_centre: 3}]]":                          "[[{10.0.0.1:1 3}]]",
		"groups: [[{address: 10.0.0.1:1, data_centre: true}]]":                       "[[{10.0.0.1:1 true}]]",
		"groups: [[{\"address\": 10.0.0.1:1, 'data_centre': x}]]":                    "[[{10.0.0.1:1 x}]]",
		"\"groups\": [[{address: 10.0.0.1:1, data_centre: x}]]":                      "[[{10.0.0.1:1 x}]]",
		"groups: [[{address: 10.0.0.1:1, data_centre: null}]]":                       "line 7",
		"groups: [[{address: 10.0.0.1:1, data_centre: x, \"address\": 10.0.0.2:1}]]": "line 7",
		"groups: [[{address: 10.0.0.1:1, data_centre: [x]}]]":                        "line 7",
		"groups: [[{address: 10.0.0.1:1, data_centre: x, slots: 2}]]":                "line 7",
		"groups: [{address: 10.0.0.1:1, data_centre: x}]":                            "line 7",
		"groups: [[]]": "line 7",
		"groups: []":   "line 7",
		"groups:\n- - address: |\n      10.0.0.1:1\n    data_centre: x": "line 8",
	} {
		section, faults := config.Parse(config.NewRawSection(1, []byte(head+text+"\n")))
		got := ""
		if len(faults) > 0 {
			got = fmt.Sprintf("line %d", faults[0].Line)
		} else {
			got = fmt.Sprint(section.Service().Groups())
		}
		if got != want {
			t.Errorf("%s: got %s (%v), want %s", text, got, faults, want)
		}
	}
}
