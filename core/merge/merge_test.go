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

// TestCoverage guards against coverage that counts duplicates, late results, rows of
// another snapshot or shards that the snapshot doesn't have. It compares with the set
// of shards that had a valid result before the merge was closed.
func TestCoverage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "shards")
		m := merge.New(core.NewPin(41, make([]core.GroupID, size)))
		valid := map[core.ShardID]bool{}
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
				valid[r.Shard] = true
			}
		}
		for range rapid.IntRange(0, 40).Draw(t, "results") {
			add(false)
		}
		minCoverage := rapid.Float64Range(0, 1).Draw(t, "minimum")
		a := m.Close(minCoverage)
		add(true)
		if m.Answered() != len(valid) || a.Answered != len(valid) || a.Total != size || len(a.Rows) != len(valid) {
			t.Fatalf("%d shards answered and %d rows, want %d of %d", a.Answered, len(a.Rows), len(valid), size)
		}
		if (a.Outcome == core.Complete) != (len(valid) == size) || a.BelowMinimum != (float64(len(valid)) < minCoverage*float64(size)) {
			t.Fatalf("outcome %s, below minimum %v with %d of %d shards answered", a.Outcome, a.BelowMinimum, len(valid), size)
		}
		for _, missing := range a.Missing {
			if valid[missing.Shard] {
				t.Fatalf("shard %d is both answered and missing", missing.Shard)
			}
		}
		if len(a.Missing) != size-len(valid) {
			t.Fatalf("%d shards missing, want %d", len(a.Missing), size-len(valid))
		}
	})
}
