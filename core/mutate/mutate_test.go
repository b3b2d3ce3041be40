package mutate_test

import (
	"slices"
	"testing"

	"oriolebarrow/core/mutate"
)

// TestInputsAreDeterministic guards against inputs that differ between runs, against
// mutations that change the seeds themselves, and against mutations that mostly yield
// the same input.
func TestInputsAreDeterministic(t *testing.T) {
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
		t.Errorf("%d inputs, %d of them different; want 503 and at least 250", len(first), len(different))
	}
	for i, s := range seeds {
		if string(s) != before[i] || string(first[i]) != before[i] {
			t.Errorf("seed %d was changed to %q, its input is %q", i, s, first[i])
		}
	}
}
