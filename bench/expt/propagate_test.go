package expt_test

import (
	"testing"
	"testing/synctest"

	"oriolebarrow/bench/expt"
	"oriolebarrow/core/place"
)

// Guards against changes that count as propagated before they are active on every
// ready host, against waiting for hosts that were replaced, and against a baseline
// that reads no more from the platform than the design.
func TestPropagationPoint(t *testing.T) {
	designed := place.New(place.DefaultSetSize)
	synctest.Test(t, func(t *testing.T) {
		f, err := expt.PropagationPoint(t.Context(), designed, 12)
		if err != nil {
			t.Fatal(err)
		}
		if f["changes"] != 20 || f["not_in_force"] != 0 || f["joins"] != 2 {
			t.Errorf("%v changes, %v not in force, %v joins; want 20, 0, 2", f["changes"], f["not_in_force"], f["joins"])
		}
		if f["last_host_p50_ms"] <= 0 || f["last_host_max_ms"] < f["last_host_p50_ms"] {
			t.Errorf("p50 %v, max %v", f["last_host_p50_ms"], f["last_host_max_ms"])
		}
		every, err := expt.PropagationPoint(t.Context(), expt.EveryHostReads(designed), 12)
		if err != nil {
			t.Fatal(err)
		}
		if every["reads_per_s"] < 1.5*f["reads_per_s"] {
			t.Errorf("%v reads a second with every host, %v with the design", every["reads_per_s"], f["reads_per_s"])
		}
	})
}
