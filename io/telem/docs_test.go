package telem_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"oriolebarrow/io/telem"
)

var (
	metricName = regexp.MustCompile(`(?:(?:Count|Observe|Counter|CounterFunc|Gauge|Histogram)\(|name := )"([a-z_]+)"`)
	logPrefix  = regexp.MustCompile(`\.(?:Debug|Info|Warn|Error)\("([^" ]+) `)
	pageName   = regexp.MustCompile(`obw_([a-z_]+?)(?:_total)?([A-Z]|` + "`)")
)

// sources returns the text of all Go files of the query tier except tests.
func sources(t *testing.T) string {
	var all strings.Builder
	for _, dir := range []string{"../../cmd", "../../core", "../../io"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			raw, err := os.ReadFile(path)
			_, _ = all.Write(raw)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

// found returns the first submatch of each match of re, sorted and without
// duplicates.
func found(re *regexp.Regexp, text string) []string {
	var names []string
	for _, m := range re.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against metrics and log prefixes that the operations page doesn't describe,
// and against metrics on the page that don't exist.
func TestOperationsPage(t *testing.T) {
	raw, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page, code := string(raw), sources(t)
	inCode, onPage := found(metricName, code), found(pageName, page)
	for _, name := range inCode {
		if !slices.Contains(onPage, name) {
			t.Errorf("metric obw_%s is not in docs/OPERATIONS.md", name)
		}
	}
	for _, name := range onPage {
		if !slices.Contains(inCode, name) {
			t.Errorf("metric obw_%s is in docs/OPERATIONS.md but not in the code", name)
		}
	}
	if len(inCode) < 40 {
		t.Errorf("only %d metrics found in the code", len(inCode))
	}
	for _, prefix := range telem.Prefixes() {
		if !strings.Contains(page, "`"+prefix+"`") {
			t.Errorf("log prefix %s is not in docs/OPERATIONS.md", prefix)
		}
	}
	for _, prefix := range found(logPrefix, code) {
		if !slices.Contains(telem.Prefixes(), prefix) {
			t.Errorf("log lines begin with %q, which telem.Prefixes lacks", prefix)
		}
	}
}
