package merge_test

import (
	"errors"
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/merge"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestCoverage guards against coverage that counts duplicates, late results,
// rows of another snapshot or shards outside the map. The reference is the set
// of shards with a right result before the merge closed.
func TestCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "shards")
		m := merge.New(core.NewPin(41, make([]core.GroupID, size)))
		right := map[core.ShardID]bool{}
		add := func(closed bool) {
			r := core.ShardResult{
				Shard:    core.ShardID(rapid.IntRange(-1, size).Draw(t, "shard")),
				Snapshot: core.SnapshotID(rapid.SampledFrom([]int{41, 41, 41, 40, 42}).Draw(t, "snapshot")),
				Rows:     []byte(rapid.SampledFrom([]string{"[]", "[1]"}).Draw(t, "rows")),
			}
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				r.Rows, r.Missing = nil, core.ReasonBackendError
			}
			m.Add(r)
			if !closed && r.Rows != nil && r.Snapshot == 41 && r.Shard >= 0 && int(r.Shard) < size {
				right[r.Shard] = true
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "results") {
			add(false)
		}
		want := rapid.Float64Range(0, 1).Draw(t, "minimum")
		a := m.Close(want)
		add(true)
		if m.Answered() != len(right) || a.Answered != len(right) || a.Total != size || len(a.Rows) != len(right) {
			t.Fatalf("answered %d and %d rows, want %d of %d", a.Answered, len(a.Rows), len(right), size)
		}
		if (a.Outcome == core.Complete) != (len(right) == size) || a.BelowMinimum != (float64(len(right)) < want*float64(size)) {
			t.Fatalf("outcome %s, below minimum %v with %d of %d", a.Outcome, a.BelowMinimum, len(right), size)
		}
		for _, missing := range a.Missing {
			if right[missing.Shard] {
				t.Fatalf("shard %d is answered and missing", missing.Shard)
			}
		}
		if len(a.Missing) != size-len(right) {
			t.Fatalf("%d missing, want %d", len(a.Missing), size-len(right))
		}
	})
}
