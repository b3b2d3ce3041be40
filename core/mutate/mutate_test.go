package mutate_test

import (
	"slices"
	"testing"

	"oriolebarrow/core/mutate"
)

// Guards against inputs that differ between runs, and against mutations that
// change the seeds themselves or all yield the same input.
func TestInputsAreFixed(t *testing.T) {
	seeds := [][]byte{[]byte("kind: end\n"), {}, []byte("[{}]")}
	before := []string{"kind: end\n", "", "[{}]"}
	first := slices.Collect(mutate.Inputs(seeds, 500))
	second := slices.Collect(mutate.Inputs(seeds, 500))
	different := make(map[string]bool)
	for i := range first {
		if !slices.Equal(first[i], second[i]) {
			t.Fatalf("input %d: %q, then %q", i, first[i], second[i])
		}
		different[string(first[i])] = true
	}
	if len(first) != 503 || len(different) < 250 {
		t.Errorf("%d inputs, %d different", len(first), len(different))
	}
	for i, s := range seeds {
		if string(s) != before[i] || string(first[i]) != before[i] {
			t.Errorf("seed %d became %q, first %q", i, s, first[i])
		}
	}
}
