package gather_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oriolebarrow/core/gather"
)

// TestBodyContainsGreatestRecords guards against an answer that lacks a record or
// repeats one that occurs only once in the parts.
func TestBodyContainsGreatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topK := rapid.IntRange(0, 12).Draw(t, "top_k")
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		q := gather.New(shards, topK, 0)
		var all [][]byte
		for s := range shards {
			// Few different bytes make equal records likely.
			body := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70).Draw(t, "part")
			q.Add(s, fmt.Sprint("stamp-", s), body)
			for r := range slices.Chunk(body, gather.RecordBytes) {
				if len(r) == gather.RecordBytes {
					all = append(all, r)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(topK, len(all))], nil)
		if got := q.Body(); !bytes.Equal(got, want) {
			t.Fatalf("body: got %x, want %x", got, want)
		}
	})
}

// TestCounts guards against counts and coverage that differ from the included and
// lost parts.
func TestCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 10).Draw(t, "shards")
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		q := gather.New(shards, 3, ratio)
		included, lost := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			s := rapid.IntRange(0, shards-1).Draw(t, "shard")
			if rapid.Bool().Draw(t, "add") {
				q.Add(s, fmt.Sprint("stamp-", s), nil)
				included[s] = true
				delete(lost, s)
			} else {
				q.MarkLost(s)
				if !included[s] {
					lost[s] = true
				}
			}
		}
		if len(q.Stamps()) != len(included) || q.Missing() != shards-len(included) {
			t.Fatalf("got %d stamps and %d missing, want %d and %d", len(q.Stamps()), q.Missing(), len(included), shards-len(included))
		}
		if q.Settled() != (len(included)+len(lost) == shards) {
			t.Fatalf("settled: got %v with %d included and %d lost of %d", q.Settled(), len(included), len(lost), shards)
		}
		enough := len(included) >= 1 && float64(len(included)) >= ratio*float64(shards)-1e-6
		if q.Enough() != enough {
			t.Fatalf("enough: got %v with %d of %d included at ratio %v", q.Enough(), len(included), shards, ratio)
		}
	})
}

// TestMinimumWithoutRoundingErrors guards against a minimum that a rounding error of
// the decimal ratio raises by one shard.
func TestMinimumWithoutRoundingErrors(t *testing.T) {
	for _, c := range []struct {
		shards int
		ratio  float64
		want   int
	}{{20, 0.75, 15}, {20, 0.89, 18}, {100, 0.89, 89}, {90, 0.95, 86}, {30, 0.1, 3}, {5, 0, 1}} {
		q := gather.New(c.shards, 1, c.ratio)
		got := 0
		for !q.Enough() {
			q.Add(got, fmt.Sprint(got), nil)
			got++
		}
		if got != c.want {
			t.Errorf("minimum at ratio %v of %d shards: got %d, want %d", c.ratio, c.shards, got, c.want)
		}
	}
}

// TestAddIgnoresDuplicates guards against an answer that names a part twice.
func TestAddIgnoresDuplicates(t *testing.T) {
	q := gather.New(3, 1, 0)
	got := []bool{q.Add(0, "a", nil), q.Add(1, "a", nil), q.Add(0, "b", nil), q.Add(2, "c", nil)}
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
