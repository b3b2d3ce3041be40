package expt_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"oriolebarrow/bench/expt"
)

// Guards against a result file without the command that repeats the run, and
// against an unknown experiment name that is ignored.
func TestAllWritesResultFiles(t *testing.T) {
	dir := t.TempDir()
	var out, errOut bytes.Buffer
	if code := expt.All(t.Context(), []string{"-out", dir, "-quick", "-seed", "7", "-only", "links"}, &out, &errOut); code != 0 {
		t.Fatalf("code %d: %s%s", code, &out, &errOut)
	}
	path := filepath.Join(dir, "links.json")
	var r expt.Result
	if err := expt.ReadResult(path, &r); err != nil {
		t.Fatal(err)
	}
	o := r.Origin
	if o.Command != "bench run links -seed 7 -rounds 1 -quick" || o.GoVersion == "" || o.Processors == 0 || o.Started.IsZero() {
		t.Errorf("unexpected origin %+v", o)
	}
	if code := expt.All(t.Context(), []string{"-out", dir, "-only", "links,none"}, &out, &errOut); code != 2 {
		t.Errorf("unknown name: code %d, want 2", code)
	}
}

// Guards against a table without minimum and maximum, and against rows that are
// sorted by the text of their names instead of the numbers in them.
func TestTable(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := expt.Table([]string{resultFile(t, "tail", 40)}, &out, &errOut); code != 0 {
		t.Fatal(&errOut)
	}
	if want := "| utilisation_30 | p99_ms | 40 (20 to 80) |"; !strings.Contains(out.String(), want) {
		t.Errorf("table does not contain %q:\n%s", want, &out)
	}
	if got := strings.Join(expt.SortedPoints(map[string]int{"hosts_100": 0, "hosts_9": 0, "hosts_30": 0}), " "); got != "hosts_9 hosts_30 hosts_100" {
		t.Errorf("order = %s", got)
	}
}
