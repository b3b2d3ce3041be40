package expt_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oriolebarrow/bench/expt"
)

func resultFile(t *testing.T, experiment string, p99 float64) string {
	t.Helper()
	spread := expt.Spread{Min: p99 / 2, Median: p99, Max: 2 * p99}
	raw, err := json.Marshal(expt.Result{Experiment: experiment, Design: "design", Figures: map[string]map[string]map[string]expt.Spread{
		"design": {"utilisation_30": {"p99_ms": spread}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "result.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against inverted ratios, which would show a regression as an improvement,
// and against a comparison of different experiments.
func TestCompare(t *testing.T) {
	a, b := resultFile(t, "tail", 40), resultFile(t, "tail", 100)
	var out, errOut bytes.Buffer
	if code := expt.Compare([]string{a, b}, &out, &errOut); code != 0 {
		t.Fatalf("code %d: %s", code, &errOut)
	}
	var got struct {
		Ratios map[string]map[string]map[string]float64 `json:"ratios_b_to_a"`
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if ratio := got.Ratios["design"]["utilisation_30"]["p99_ms"]; ratio != 2.5 {
		t.Errorf("ratio = %v, want 2.5", ratio)
	}
	for want, args := range map[string][]string{
		"experiments differ": {a, resultFile(t, "slots", 40)},
		"decode result":      {a, os.DevNull},
		"read result":        {a, filepath.Join(t.TempDir(), "none")},
	} {
		errOut.Reset()
		if code := expt.Compare(args, &out, &errOut); code == 0 || !strings.Contains(errOut.String(), want) {
			t.Errorf("want a failure with message %q: code %d, message %q", want, code, &errOut)
		}
	}
}
