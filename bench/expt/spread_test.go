package expt_test

import (
	"testing"
	"testing/synctest"

	"oriolebarrow/bench/expt"
	"oriolebarrow/core/place"
)

// Guards against changes that are counted before they are in force on every
// ready host, against replaced hosts that are waited for, and against a
// baseline that does not read more than the design.
func TestSpreadPoint(t *testing.T) {
	designed := place.New(place.DefaultSetSize)
	synctest.Test(t, func(t *testing.T) {
		f, err := expt.SpreadPoint(t.Context(), designed, 12)
		if err != nil {
			t.Fatal(err)
		}
		if f["changes"] != 20 || f["not_in_force"] != 0 || f["joins"] != 2 {
			t.Errorf("%v changes, %v not in force, %v joins; want 20, 0, 2", f["changes"], f["not_in_force"], f["joins"])
		}
		if f["last_host_p50_ms"] <= 0 || f["last_host_max_ms"] < f["last_host_p50_ms"] {
			t.Errorf("p50 %v, max %v", f["last_host_p50_ms"], f["last_host_max_ms"])
		}
		every, err := expt.SpreadPoint(t.Context(), expt.EveryHostReads(designed), 12)
		if err != nil {
			t.Fatal(err)
		}
		if every["reads_per_s"] < 1.5*f["reads_per_s"] {
			t.Errorf("%v reads a second with every host, %v with the design", every["reads_per_s"], f["reads_per_s"])
		}
	})
}
