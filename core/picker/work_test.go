package picker_test

import (
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

// newPair returns a table with two replicas of two slots in the local data centre.
func newPair(now time.Time) *picker.Table {
	table := picker.New("host-1", "home")
	for _, id := range []core.InstanceID{"a", "b"} {
		table.Put(now, core.Instance{ID: id, Service: "s", Address: string(id), DataCentre: "home", Slots: 2})
	}
	return table
}

// TestWorkOfRunningCalls guards against a choice by the number of calls: one of 160 ms delays a
// new one by more than one of 2 ms.
func TestWorkOfRunningCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, expensive := range []core.InstanceID{"a", "b"} {
		table := newPair(now)
		for _, id := range []core.InstanceID{"a", "b"} {
			work := 2 * time.Millisecond
			if id == expensive {
				work = 160 * time.Millisecond
			}
			table.StartCall(now, replica(t, table, now, id), work)
		}
		if r, _ := table.Pick(now, "s", usualTime, nil); r.Instance().ID == expensive {
			t.Errorf("the call went to %s, which runs an expensive one", expensive)
		}
	}
}

// TestStuckByOwnDuration guards against an expensive call that counts as stuck, since it has
// run for several times as long as a cheap one.
func TestStuckByOwnDuration(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPair(now)
	table.StartCall(now, replica(t, table, now, "a"), 100*time.Millisecond)
	now = now.Add(50 * time.Millisecond)
	table.StartCall(now, replica(t, table, now, "b"), 160*time.Millisecond)
	if r, _ := table.Pick(now, "s", 2*time.Millisecond, nil); r.Instance().ID != "a" {
		t.Error("a call went to the replica with more work, since the call of the other one is longer than itself")
	}
}

// TestReportsFade guards against a reported queue that diverts calls although its work has been
// done since.
func TestReportsFade(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPair(now)
	a := replica(t, table, now, "a")
	table.StartCall(now, a, usualTime)
	end := now.Add(usualTime)
	table.Ended(end, a, picker.CallEnd{Took: usualTime, Expected: usualTime, Load: &picker.Load{Running: 2, Waiting: 2, Slots: 2}})
	b := replica(t, table, end, "b")
	table.StartCall(end, b, usualTime*9/10)
	if r, _ := table.Pick(end.Add(time.Millisecond), "s", usualTime, nil); r != b {
		t.Error("a call went to a replica that has just reported a queue")
	}
	if r, _ := table.Pick(end.Add(usualTime*12/5), "s", usualTime, nil); r != a {
		t.Error("no call to a replica whose reported queue has been served since")
	}
}

// TestEmptyReport guards against a report that calls a replica empty and hides a call of this
// host.
func TestEmptyReport(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newPair(now)
	a := replica(t, table, now, "a")
	table.StartCall(now, a, usualTime)
	table.StartCall(now, a, usualTime)
	now = now.Add(time.Millisecond)
	table.Ended(now, a, picker.CallEnd{Took: time.Millisecond, Expected: usualTime, Abandoned: true, Load: &picker.Load{Slots: 2}})
	if r, _ := table.Pick(now, "s", usualTime, nil); r == a {
		t.Error("a call went to a replica that reports no calls although it runs one")
	}
}
