package entry_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

// Guards against shards that are lost with their owner, and against work that is
// done again although its result came. Group 0 falls to h1, group 2 to h2;
// these are asked at the same time, as one after the other would be too late.
func TestLostOwner(t *testing.T) {
	for name, c := range map[string]struct {
		first []core.ShardID // results before the owner is lost
		want  map[core.HostID]int
	}{
		"before the ack":    {nil, map[core.HostID]int{"h0": 1, "h1": 2, "h2": 1}},
		"after one result":  {[]core.ShardID{2}, map[core.HostID]int{"h0": 1, "h1": 2, "h2": 0}},
		"after all results": {[]core.ShardID{0, 2}, map[core.HostID]int{"h0": 1, "h1": 1, "h2": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTier(41)
				tier.read = func(ctx context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					if h == "h0" {
						for _, s := range c.first {
							sink(rows(b, s))
						}
						time.Sleep(ackTime)
						return failed(false)
					}
					time.Sleep(queryTime / 2)
					if ctx.Err() == nil {
						answerAll(b, sink)
					}
					return nil
				}
				expect(t, tier.ask(t), core.Complete, 41, shards, "")
				synctest.Wait()
				for h, n := range c.want {
					if got := len(tier.sent[h]); got != n {
						t.Errorf("%d batches to %s, want %d: %v", got, h, n, tier.sent)
					}
				}
				for h, batches := range tier.sent {
					for _, s := range slices.Concat(batches...) {
						if h != "h0" && slices.Contains(c.first, s) {
							t.Errorf("shard %d is asked again at %s", s, h)
						}
					}
				}
			})
		})
	}
}

// Guards against a busy owner that is given up at its late acknowledgement, against
// a standby that is asked only when the owner is lost for good, and against an
// answer that waits for an owner that stays silent.
func TestLateAcknowledgement(t *testing.T) {
	for name, c := range map[string]struct {
		owner, standby time.Duration // until their results; 0 never
		took           time.Duration
	}{
		"owner and standby busy": {40 * time.Millisecond, 60 * time.Millisecond, 40 * time.Millisecond},
		"owner silent":           {0, 5 * time.Millisecond, ackTime + 5*time.Millisecond},
		"standby silent":         {70 * time.Millisecond, 0, 70 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTier(41)
				tier.read = func(ctx context.Context, _ core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					takes := c.standby
					if len(b.Shards) == 2 { // an owner; standbys get one
						takes = c.owner
					}
					began := time.Now()
					wait := func(until time.Duration) bool {
						select {
						case <-time.After(until - time.Since(began)):
							return true
						case <-ctx.Done():
							return false
						}
					}
					if takes == 0 {
						takes = 2 * queryTime
					}
					if takes > ackTime && wait(ackTime) {
						if b.Unacknowledged == nil {
							return failed(false)
						}
						b.Unacknowledged()
					}
					if !wait(takes) {
						return ctx.Err()
					}
					answerAll(b, sink)
					return nil
				}
				began := time.Now()
				expect(t, tier.ask(t), core.Complete, 41, shards, "")
				if took := time.Since(began); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
				synctest.Wait()
			})
		})
	}
}

// Guards against one late acknowledgement that moves all groups of an owner,
// and against an owner that stays in the view although it is lost.
func TestSilentOwner(t *testing.T) {
	for name, c := range map[string]struct {
		notRun bool
		acks   bool // between the failures
		tries  int
		want   int64
	}{
		"one late ack":        {false, false, 1, 0},
		"acks between":        {false, true, 6, 0},
		"silent":              {false, false, 4, 1},
		"refused or no route": {true, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newTier(41)
				try := 0
				tier.read = func(_ context.Context, h core.HostID, b core.ReadBatch, sink func(core.ShardResult)) error {
					if h == "h0" && len(b.Shards) == 2 && (!c.acks || try%2 == 0) {
						time.Sleep(ackTime)
						return failed(c.notRun)
					}
					answerAll(b, sink)
					return nil
				}
				for ; try < c.tries; try++ {
					expect(t, tier.ask(t), core.Complete, 41, shards, "")
				}
				if got := tier.downs.Load(); got != c.want {
					t.Errorf("taken out of the view %d times, want %d", got, c.want)
				}
			})
		})
	}
}
