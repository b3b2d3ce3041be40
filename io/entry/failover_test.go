package entry_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

// TestLostOwner guards against shards that stay missing after their owner is lost, and
// against a second read of a shard whose result has arrived. The standby of group 0 is
// h1, that of group 2 is h2. Both must be asked at the same time, since one after the
// other would exceed the deadline.
func TestLostOwner(t *testing.T) {
	for name, c := range map[string]struct {
		before []core.ShardID // shards with a result before the owner is lost
		want   map[core.HostID]int
	}{
		"before the ack":    {nil, map[core.HostID]int{"h0": 1, "h1": 2, "h2": 1}},
		"after one result":  {[]core.ShardID{2}, map[core.HostID]int{"h0": 1, "h1": 2, "h2": 0}},
		"after all results": {[]core.ShardID{0, 2}, map[core.HostID]int{"h0": 1, "h1": 1, "h2": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(41)
				f.read = func(ctx context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					if h == "h0" {
						for _, s := range c.before {
							sink(emptyRows(b, s))
						}
						time.Sleep(ackTimeout)
						return callError(false)
					}
					time.Sleep(queryTimeout / 2)
					if ctx.Err() == nil {
						answerAll(b, sink)
					}
					return nil
				}
				checkAnswer(t, f.query(t), core.Complete, 41, shards, "")
				synctest.Wait()
				for h, n := range c.want {
					if got := len(f.sentShards[h]); got != n {
						t.Errorf("%d batches sent to %s, want %d: %v", got, h, n, f.sentShards)
					}
				}
				for h, batches := range f.sentShards {
					for _, s := range slices.Concat(batches...) {
						if h != "h0" && slices.Contains(c.before, s) {
							t.Errorf("shard %d has a result and is requested again from %s", s, h)
						}
					}
				}
			})
		})
	}
}

// TestLateAcknowledgement guards against discarded results of an owner that
// acknowledges late, against standbys that are asked only after the call to the owner
// has failed, and against an answer that waits for a silent owner although the standbys
// have answered.
func TestLateAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		owner, standby time.Duration // time until the results; 0 for later than the deadline
		elapsed        time.Duration
	}{
		"owner and standby busy": {40 * time.Millisecond, 60 * time.Millisecond, 40 * time.Millisecond},
		"owner silent":           {0, 5 * time.Millisecond, ackTimeout + 5*time.Millisecond},
		"standby silent":         {70 * time.Millisecond, 0, 70 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(41)
				f.read = func(ctx context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					delay := c.standby
					if len(b.Shards) == 2 { // h0 and h1 own two shards each; a standby gets one
						delay = c.owner
					}
					start := time.Now()
					wait := func(until time.Duration) bool {
						select {
						case <-time.After(until - time.Since(start)):
							return true
						case <-ctx.Done():
							return false
						}
					}
					if delay == 0 {
						delay = 2 * queryTimeout
					}
					if delay > ackTimeout && wait(ackTimeout) {
						if b.Unacknowledged == nil {
							return callError(false)
						}
						b.Unacknowledged()
					}
					if !wait(delay) {
						return ctx.Err()
					}
					answerAll(b, sink)
					return nil
				}
				start := time.Now()
				checkAnswer(t, f.query(t), core.Complete, 41, shards, "")
				if elapsed := time.Since(start); elapsed != c.elapsed {
					t.Errorf("query took %v, want %v", elapsed, c.elapsed)
				}
				synctest.Wait()
			})
		})
	}
}

// TestSilentOwner guards against an owner that is removed from the view after one late
// acknowledgement, and against one that stays in the view although it is lost.
func TestSilentOwner(t *testing.T) {
	for name, c := range map[string]struct {
		notRun   bool
		acks     bool // whether every other batch succeeds
		attempts int
		want     int64
	}{
		"one late ack":        {false, false, 1, 0},
		"acks in between":     {false, true, 6, 0},
		"silent":              {false, false, 4, 1},
		"refused or no route": {true, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(41)
				attempt := 0
				f.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					if h == "h0" && len(b.Shards) == 2 && (!c.acks || attempt%2 == 0) {
						time.Sleep(ackTimeout)
						return callError(c.notRun)
					}
					answerAll(b, sink)
					return nil
				}
				for ; attempt < c.attempts; attempt++ {
					checkAnswer(t, f.query(t), core.Complete, 41, shards, "")
				}
				if got := f.markedDown.Load(); got != c.want {
					t.Errorf("owner marked down %d times, want %d", got, c.want)
				}
			})
		})
	}
}
