package snaps_test

import (
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/snaps"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestSelect guards against the selection of an older snapshot or of one with fewer
// held shards, and of a group that does not hold its shard.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := snaps.New()
		type snapshotShard struct {
			snapshot core.SnapshotID
			shard    core.ShardID
		}
		held := map[snapshotShard]map[core.GroupID]bool{}
		size := map[core.SnapshotID]int{40: 2, 41: 3, 42: 4}
		for g := range core.GroupID(rapid.IntRange(0, 5).Draw(t, "groups")) {
			var all []core.GroupSnapshot
			for _, s := range []core.SnapshotID{40, 41, 42} {
				shards := rapid.SliceOfN(rapid.IntRange(0, size[s]-1), 0, 4).Draw(t, "shards")
				h := core.GroupSnapshot{Group: g, Snapshot: s, ShardCount: size[s]}
				for _, n := range shards {
					h.Shards = append(h.Shards, core.ShardID(n))
					key := snapshotShard{s, core.ShardID(n)}
					if held[key] == nil {
						held[key] = map[core.GroupID]bool{}
					}
					held[key][g] = true
				}
				if len(shards) > 0 {
					all = append(all, h)
				}
			}
			table.Update("s", g, all)
		}
		var want core.SnapshotID
		best := 0.0
		for _, s := range []core.SnapshotID{40, 41, 42} {
			covered := 0
			for n := range size[s] {
				if len(held[snapshotShard{s, core.ShardID(n)}]) > 0 {
					covered++
				}
			}
			if coverage := float64(covered) / float64(size[s]); coverage > 0 && coverage >= best {
				want, best = s, coverage
			}
		}
		pin, ok := table.Select("s")
		if ok != (want != 0) {
			t.Fatalf("a snapshot was selected: %v, want snapshot %d (0 for none)", ok, want)
		}
		if !ok {
			return
		}
		if pin.Snapshot() != want || pin.ShardCount() != size[want] {
			t.Fatalf("selected %d with %d shards, want %d", pin.Snapshot(), pin.ShardCount(), want)
		}
		for n := range pin.ShardCount() {
			g, groups := pin.Group(core.ShardID(n)), held[snapshotShard{want, core.ShardID(n)}]
			if len(groups) == 0 != (g == core.NoGroup) || (g != core.NoGroup && !groups[g]) {
				t.Fatalf("shard %d was assigned to group %d, but is held by %v", n, g, groups)
			}
		}
	})
}

// TestSelectRotatesGroups guards against sending every query to one of several groups
// that hold a shard, and against queries that still go to a group after it no longer
// holds the shard.
func TestSelectRotatesGroups(t *testing.T) {
	table := snaps.New()
	for g := range core.GroupID(3) {
		table.Update("s", g, []core.GroupSnapshot{{Group: g, Snapshot: 41, ShardCount: 1, Shards: []core.ShardID{0}}})
	}
	count := func() map[core.GroupID]int {
		got := map[core.GroupID]int{}
		for range 12 {
			pin, _ := table.Select("s")
			got[pin.Group(0)]++
		}
		return got
	}
	if got := count(); got[0] != 4 || got[1] != 4 || got[2] != 4 {
		t.Errorf("12 queries are distributed as %v, want 4 to each group", got)
	}
	table.Update("s", 2, nil)
	if got := count(); got[0] != 6 || got[1] != 6 {
		t.Errorf("12 queries after group 2 lost its snapshot are distributed as %v, want 6 to each other group", got)
	}
}
