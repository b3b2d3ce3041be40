package delta_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/delta"
)

// TestFollowerConverges guards against a host that misses a change, or restores a removed
// item, when it follows another host from any revision.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := delta.New(), delta.New()
		leader.Replace(core.DirectoryUpdate{Revision: 1})
		revision := core.Revision(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "relist") == 0 {
				leader.Replace(leader.All())
			}
			revision++
			item := core.DirectoryItem{ID: core.InstanceID(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))), Revision: revision}
			if rapid.Bool().Draw(t, "put") {
				item.Instance = &core.Instance{ID: item.ID, Born: int64(revision)}
			}
			leader.Apply(core.DirectoryUpdate{Revision: revision, Items: []core.DirectoryItem{item}})
			if rapid.Bool().Draw(t, "follow") {
				follow(leader, follower)
			}
		}
		follow(leader, follower)
		if diff := cmp.Diff(leader.All(), follower.All()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// follow applies the leader's changes to the follower, or its complete list if some
// may be missing.
func follow(leader, follower *delta.Log) {
	update, ok := leader.Since(follower.Position().Revision)
	if !ok || follower.Position().Era != leader.Position().Era || follower.Position().Revision == 0 {
		follower.Replace(leader.All())
		return
	}
	follower.Apply(update)
}

// TestOlderChangeIsIgnored guards against an older change that arrives after a newer one
// and overwrites it.
func TestOlderChangeIsIgnored(t *testing.T) {
	l := delta.New()
	item := func(r core.Revision) core.DirectoryItem {
		return core.DirectoryItem{ID: "a", Revision: r, Instance: &core.Instance{ID: "a", Born: int64(r)}}
	}
	l.Apply(core.DirectoryUpdate{Revision: 9, Items: []core.DirectoryItem{item(9)}})
	l.Apply(core.DirectoryUpdate{Revision: 5, Items: []core.DirectoryItem{item(5)}})
	all := l.All()
	if all.Revision != 9 || len(all.Items) != 1 || all.Items[0].Instance.Born != 9 {
		t.Errorf("got %+v, want only the change of revision 9", all)
	}
}

// TestEvacuations guards against evacuations that followers miss, or that are stored as the
// routing document or as an instance with the same ID.
func TestEvacuations(t *testing.T) {
	l := delta.New()
	begun := core.EvacuationItem(4, core.Evacuation{DataCentre: "a"})
	instance := core.DirectoryItem{ID: begun.ID, Revision: 3, Instance: &core.Instance{ID: begun.ID}}
	routing := core.DirectoryItem{Revision: 2, Routing: &core.Routing{Version: 1}}
	ended := core.EvacuationItem(5, core.Evacuation{DataCentre: "a", Ended: true})
	for _, c := range []struct {
		change   core.DirectoryItem
		all      []core.DirectoryItem
		sinceTwo []core.DirectoryItem
	}{
		{routing, []core.DirectoryItem{routing}, nil},
		{instance, []core.DirectoryItem{routing, instance}, []core.DirectoryItem{instance}},
		{begun, []core.DirectoryItem{routing, instance, begun}, []core.DirectoryItem{instance, begun}},
		{ended, []core.DirectoryItem{routing, instance}, []core.DirectoryItem{instance, ended}},
	} {
		l.Apply(core.DirectoryUpdate{Revision: c.change.Revision, Items: []core.DirectoryItem{c.change}})
		if diff := cmp.Diff(c.all, l.All().Items); diff != "" {
			t.Errorf("all items: %s", diff)
		}
		if changes, ok := l.Since(2); !ok || cmp.Diff(c.sinceTwo, changes.Items) != "" {
			t.Errorf("changes: %s", cmp.Diff(c.sinceTwo, changes.Items))
		}
	}
}

// TestNewEra guards against changes of an earlier era that stay in the log because their
// revisions are higher.
func TestNewEra(t *testing.T) {
	l := delta.New()
	item := func(r core.Revision) core.DirectoryItem {
		return core.DirectoryItem{ID: "a", Revision: r, Instance: &core.Instance{ID: "a", Born: int64(r)}}
	}
	l.Replace(core.DirectoryUpdate{Era: 3, Revision: 9, Items: []core.DirectoryItem{item(9)}})
	l.Apply(core.DirectoryUpdate{Era: 3, Revision: 12, Items: []core.DirectoryItem{{ID: "b", Revision: 12}}})
	l.Replace(core.DirectoryUpdate{Era: 4, Revision: 5, Items: []core.DirectoryItem{item(4)}})
	l.Apply(core.DirectoryUpdate{Era: 4, Revision: 6, Items: []core.DirectoryItem{item(6)}})
	want := core.DirectoryUpdate{Era: 4, Revision: 6, Items: []core.DirectoryItem{item(6)}}
	if diff := cmp.Diff(want, l.All()); diff != "" {
		t.Errorf("all items: %s", diff)
	}
	if changes, ok := l.Since(5); !ok || cmp.Diff(want, changes) != "" {
		t.Errorf("changes: %v %s", ok, cmp.Diff(want, changes))
	}
	if _, ok := l.Since(4); ok {
		t.Error("changes from before the list are offered")
	}
}
