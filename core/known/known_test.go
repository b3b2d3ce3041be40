package known_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/known"
)

func entry(id core.InstanceID, born, sequence int64) core.DirectoryItem {
	return core.DirectoryItem{ID: id, Instance: &core.Instance{ID: id, Born: born, Sequence: sequence}}
}

func draining(i core.DirectoryItem) core.DirectoryItem {
	in := *i.Instance
	in.Draining = true
	i.Instance = &in
	return i
}

// TestReturn guards against older entries that a copy brings into force: of replicas that were
// removed, that drain, or that started again; and against newer ones that are left out.
func TestReturn(t *testing.T) {
	type items = []core.DirectoryItem
	removed := func(id core.InstanceID) core.DirectoryItem { return core.DirectoryItem{ID: id} }
	routing := core.DirectoryItem{Routing: &core.Routing{Version: 3}}
	evacuation := core.EvacuationItem(4, core.Evacuation{DataCentre: "a"})
	for _, c := range []struct {
		name    string
		before  items // the first is the complete list, each other one a change
		changes items
		list    items
		want    items
	}{
		{name: "unknown entry", list: items{entry("a", 1, 1)}, want: items{entry("a", 1, 1)}},
		{name: "same entry", before: items{entry("a", 1, 5)}, list: items{entry("a", 1, 5)}, want: items{entry("a", 1, 5)}},
		{name: "older entry", before: items{draining(entry("a", 1, 5))}, list: items{entry("a", 1, 4)}, want: items{draining(entry("a", 1, 5))}},
		{name: "newer entry", before: items{draining(entry("a", 1, 5))}, list: items{entry("a", 1, 6)}, want: items{entry("a", 1, 6)}},
		{name: "earlier run", before: items{entry("a", 2, 1)}, list: items{entry("a", 1, 9)}, want: items{entry("a", 2, 1)}},
		{name: "later run", before: items{entry("a", 2, 9)}, list: items{entry("a", 3, 1)}, want: items{entry("a", 3, 1)}},
		{name: "removed", before: items{entry("a", 1, 5)}, changes: items{removed("a")}, list: items{entry("a", 1, 5)}},
		{name: "removed, older entry", before: items{entry("a", 1, 5)}, changes: items{removed("a")}, list: items{entry("a", 1, 3)}},
		{name: "removed, written again", before: items{entry("a", 1, 5)}, changes: items{removed("a")}, list: items{entry("a", 1, 6)}, want: items{entry("a", 1, 6)}},
		{name: "removed, started again", before: items{entry("a", 1, 5)}, changes: items{removed("a")}, list: items{entry("a", 2, 1)}, want: items{entry("a", 2, 1)}},
		{name: "removed and back before", before: items{entry("a", 1, 5)}, changes: items{removed("a"), entry("a", 1, 5)}, list: items{entry("a", 1, 4)}, want: items{entry("a", 1, 5)}},
		{name: "cannot be used since", before: items{entry("a", 1, 5)}, changes: items{{ID: "a", Revision: 7}}, list: items{entry("a", 1, 5)}},
		{name: "cannot be used in the copy", before: items{entry("a", 1, 5)}, list: items{removed("a")}, want: items{removed("a")}},
		{name: "other items", before: items{routing, evacuation}, list: items{evacuation, routing}, want: items{evacuation, routing}},
		{name: "ID of an evacuation", before: items{entry("evacuate/a", 1, 5)}, changes: items{evacuation}, list: items{entry("evacuate/a", 1, 4)}, want: items{entry("evacuate/a", 1, 5)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := known.New()
			e.Replace(c.before)
			e.Apply(c.changes)
			if diff := cmp.Diff(c.want, e.Return(c.list), cmp.Transformer("nil", func(i items) items { return append(items{}, i...) })); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestTwoReturns guards against a removed replica that a second return brings back, and against
// an entry that the first copy did not have.
func TestTwoReturns(t *testing.T) {
	e := known.New()
	e.Replace([]core.DirectoryItem{entry("gone", 1, 5), entry("lost", 1, 5), entry("lost-and-written", 1, 5)})
	e.Apply([]core.DirectoryItem{{ID: "gone"}})
	if got := e.Return([]core.DirectoryItem{entry("gone", 1, 5)}); len(got) != 0 {
		t.Errorf("first return: got %v", got)
	}
	e.Apply([]core.DirectoryItem{entry("lost-and-written", 1, 6)})
	got := e.Return([]core.DirectoryItem{entry("gone", 1, 4), entry("lost", 1, 5), entry("lost-and-written", 1, 5)})
	if diff := cmp.Diff([]core.DirectoryItem{entry("lost-and-written", 1, 6)}, got); diff != "" {
		t.Errorf("second return: %s", diff)
	}
}

// TestManyRemoved guards against memory that grows with each removed instance, and against one
// of the newest 4096 that is forgotten.
func TestManyRemoved(t *testing.T) {
	e := known.New()
	const n = 20000
	for i := range n {
		id := core.InstanceID(fmt.Sprint(i))
		e.Apply([]core.DirectoryItem{entry(id, 1, 1), {ID: id}})
	}
	var list []core.DirectoryItem
	for i := range n {
		list = append(list, entry(core.InstanceID(fmt.Sprint(i)), 1, 1))
	}
	for _, item := range e.Return(list) {
		var i int
		if _, err := fmt.Sscan(string(item.ID), &i); err != nil || i >= n-4096 {
			t.Fatalf("instance %s of %d was forgotten", item.ID, n)
		}
	}
	if left := len(e.Return(list)); left < n-3*4096 {
		t.Errorf("only %d of %d are forgotten", left, n)
	}
}

// TestEntriesNeverGoBack guards against an older entry in force after any sequence of writes,
// removals and returns from any older copy. What a reader knows is compared with the writes
// that it has seen: a replica that was removed must not be present by an entry which was
// written before that, and a present one must not have an older entry.
func TestEntriesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []core.InstanceID{"a", "b", "c"}
		type copyOf map[core.InstanceID]core.DirectoryItem
		clone := func(c copyOf) copyOf {
			out := copyOf{}
			for k, v := range c {
				out[k] = v
			}
			return out
		}
		list := func(c copyOf) (all []core.DirectoryItem) {
			for _, id := range ids {
				if item, ok := c[id]; ok {
					all = append(all, item)
				}
			}
			return all
		}
		directory, copies := copyOf{}, []copyOf{{}}
		writes := map[core.InstanceID]int64{} // all writes of each replica, the lost ones too
		inForce := copyOf{}
		removedAt := map[core.InstanceID]int64{} // writes before the last removal that the reader saw
		newest := map[core.InstanceID]int64{}    // newest entry that the reader saw
		e := known.New()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1: // written, seen by a watch
				writes[id]++
				directory[id] = entry(id, 1+writes[id]/4, writes[id])
				e.Apply([]core.DirectoryItem{directory[id]})
				inForce[id], newest[id] = directory[id], writes[id]
			case 2: // removed, seen by a watch
				if _, ok := directory[id]; ok {
					delete(directory, id)
					e.Apply([]core.DirectoryItem{{ID: id}})
					delete(inForce, id)
					removedAt[id] = newest[id]
				}
			case 3:
				copies = append(copies, clone(directory))
			case 4: // returns from a copy; some replicas write again before the list is read
				directory = clone(rapid.SampledFrom(copies).Draw(t, "copy"))
				if rapid.Bool().Draw(t, "written_before_list") {
					writes[id]++
					directory[id] = entry(id, 1+writes[id]/4, writes[id])
				}
				before := clone(inForce)
				inForce = copyOf{}
				for _, item := range e.Return(list(directory)) {
					inForce[item.ID] = item
				}
				for _, id := range ids {
					item, ok := inForce[id]
					if _, was := before[id]; was && !ok {
						if _, listed := directory[id]; listed {
							t.Fatalf("%s was present and is listed, but is not in force", id)
						}
						removedAt[id] = newest[id] // missing in the list
						continue
					}
					if !ok {
						continue
					}
					if _, was := before[id]; !was && item.Instance.Sequence <= removedAt[id] {
						t.Fatalf("%s is back by write %d, but was removed after write %d", id, item.Instance.Sequence, removedAt[id])
					}
					if item.Instance.Sequence < newest[id] {
						t.Fatalf("%s has write %d in force after write %d", id, item.Instance.Sequence, newest[id])
					}
					newest[id] = item.Instance.Sequence
				}
			}
		}
	})
}
