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

// TestBodyHoldsGreatestRecords guards against an answer that lacks a record or
// repeats one that stands once.
func TestBodyHoldsGreatestRecords(t *testing.T) {
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

// TestCountsAreTrue guards against coverage that differs from the parts named.
func TestCountsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 10).Draw(t, "shards")
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		q := gather.New(shards, 3, ratio)
		in, lost := map[int]bool{}, map[int]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			s := rapid.IntRange(0, shards-1).Draw(t, "shard")
			if rapid.Bool().Draw(t, "add") {
				q.Add(s, fmt.Sprint("stamp-", s), nil)
				in[s] = true
				delete(lost, s)
			} else {
				q.Lose(s)
				if !in[s] {
					lost[s] = true
				}
			}
		}
		if len(q.Stamps()) != len(in) || q.Missing() != shards-len(in) {
			t.Fatalf("got %d stamps and %d missing, want %d and %d", len(q.Stamps()), q.Missing(), len(in), shards-len(in))
		}
		if q.Settled() != (len(in)+len(lost) == shards) {
			t.Fatalf("settled: got %v with %d in and %d lost of %d", q.Settled(), len(in), len(lost), shards)
		}
		enough := len(in) >= 1 && float64(len(in)) >= ratio*float64(shards)-1e-6
		if q.Enough() != enough {
			t.Fatalf("enough: got %v with %d of %d at ratio %v", q.Enough(), len(in), shards, ratio)
		}
	})
}

// TestMinimumIsNotRoundedUp guards against a decimal ratio that asks for one
// shard more than it says.
func TestMinimumIsNotRoundedUp(t *testing.T) {
	for _, c := range []struct {
		shards int
		ratio  float64
		need   int
	}{{20, 0.75, 15}, {20, 0.89, 18}, {100, 0.89, 89}, {90, 0.95, 86}, {30, 0.1, 3}, {5, 0, 1}} {
		q := gather.New(c.shards, 1, c.ratio)
		got := 0
		for !q.Enough() {
			q.Add(got, fmt.Sprint(got), nil)
			got++
		}
		if got != c.need {
			t.Errorf("%v of %d: got %d, want %d", c.ratio, c.shards, got, c.need)
		}
	}
}

// TestStampCountsOnce guards against an answer that names one part twice.
func TestStampCountsOnce(t *testing.T) {
	q := gather.New(3, 1, 0)
	got := []bool{q.Add(0, "a", nil), q.Add(1, "a", nil), q.Add(0, "b", nil), q.Add(2, "c", nil)}
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
