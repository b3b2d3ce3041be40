package route_test

import (
	"testing"

	"oriolebarrow/core"
	"oriolebarrow/core/route"
)

// TestCopy guards against a copy that advances the rotation of its original.
func TestCopy(t *testing.T) {
	r := &core.Route{Name: "r", Split: []core.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 2}, {Service: "c", Weight: 4}}}
	asked, plain := route.NewSplitter(3), route.NewSplitter(3)
	for i := range 50 {
		preview, _ := asked.Copy().Pick(r)
		got, _ := asked.Pick(r)
		want, _ := plain.Pick(r)
		if got != want || preview != want {
			t.Fatalf("request %d: %s, a copy %s, want %s", i, got, preview, want)
		}
	}
}
