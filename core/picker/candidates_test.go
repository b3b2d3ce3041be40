package picker_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

// TestCandidates guards against an order that is not that of Pick, a replica that can't get a
// request but is listed as if it could, and a copy that changes the table.
func TestCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	table := picker.New("host-1", "home")
	put := func(id core.InstanceID, dc core.DataCentre, draining bool) {
		table.Put(now, core.Instance{ID: id, Service: "s", Address: string(id), DataCentre: dc, Slots: 2, Draining: draining})
	}
	put("near", "home", false)
	put("far", "away", false)
	put("drains", "home", true)
	put("evacuated", "out", false)
	table.SetEvacuated([]core.DataCentre{"out"})
	put("full", "home", false)
	fill(t, table, now, "full")
	put("waits", "home", false)
	table.Note(now, replica(t, table, now, "waits"), picker.Notice{Wait: second})
	put("silent", "home", false)
	silent := replica(t, table, now, "silent")
	for range 3 {
		table.Start(now, silent)
		table.Ended(now, silent, picker.CallEnd{Took: second, Silent: true})
	}

	copied := table.Copy()
	got := copied.Candidates(now, "s", usualTime)
	reasons, order := map[core.InstanceID]string{}, []core.InstanceID{}
	for _, c := range got {
		reasons[c.ID] = c.Reason
		if c.Order > 0 {
			order = append(order, c.ID)
		}
	}
	want := map[core.InstanceID]string{
		"near": "", "far": "", "drains": "draining", "evacuated": "evacuated", "full": "no free slot",
		"waits": "asked for no requests", "silent": "ejected: calls without an answer",
	}
	if diff := cmp.Diff(want, reasons); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]core.InstanceID{"near", "far"}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
	first, _ := copied.Pick(now, "s", usualTime, nil)
	copied.Start(now, first)
	if n := table.Running(); n != 2 {
		t.Errorf("%d calls run after one started in a copy, want 2", n)
	}
	if r, _ := table.Pick(now, "s", usualTime, nil); r == nil || r.Instance().ID != "near" {
		t.Errorf("picked %v, want the first candidate", r)
	}
}

// replica returns the replica with an id.
func replica(t *testing.T, table *picker.Table, now time.Time, id core.InstanceID) *picker.Replica {
	t.Helper()
	var others []*picker.Replica
	for r, _ := table.Pick(now, "s", usualTime, nil); r != nil; r, _ = table.Pick(now, "s", usualTime, others) {
		if r.Instance().ID == id {
			return r
		}
		others = append(others, r)
	}
	t.Fatalf("replica %s can't be picked", id)
	return nil
}

// fill uses all slots of a replica.
func fill(t *testing.T, table *picker.Table, now time.Time, id core.InstanceID) {
	t.Helper()
	r := replica(t, table, now, id)
	for range 2 {
		if !table.Start(now, r) {
			t.Fatalf("%s has no free slot", id)
		}
	}
}
