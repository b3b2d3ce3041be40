package entry

import (
	"slices"
	"sync"

	"oriolebarrow/core"
)

// tracker records which shards of a batch are decided. A shard is decided by rows,
// or by a reason for missing rows if only the owner has been asked.
type tracker struct {
	// onDecided is called when the last shard is decided after startFailover.
	onDecided func()

	mu         sync.Mutex // not held while onDecided is called
	decided    map[core.ShardID]bool
	pending    int  // number of undecided shards
	failedOver bool // whether the standbys are asked too
}

func newTracker(b *batch, onDecided func()) *tracker {
	t := &tracker{onDecided: onDecided, decided: make(map[core.ShardID]bool, len(b.shards)), pending: len(b.shards)}
	for _, ref := range b.shards {
		t.decided[ref.Shard] = false
	}
	return t
}

// contains reports whether a shard belongs to the batch.
func (t *tracker) contains(s core.ShardID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.decided[s]
	return ok
}

// record records a result for a shard of the batch. After startFailover, a result
// without rows does not decide the shard, since another host may still have them.
func (t *tracker) record(res core.ShardResult) {
	t.mu.Lock()
	if t.decided[res.Shard] || res.Missing != "" && t.failedOver {
		t.mu.Unlock()
		return
	}
	t.decided[res.Shard] = true
	t.pending--
	last := t.pending == 0 && t.failedOver
	t.mu.Unlock()
	if last {
		t.onDecided()
	}
}

// startFailover records that the standbys are asked from now on, and returns the refs
// whose shards are undecided.
func (t *tracker) startFailover(refs []core.ShardRef) []core.ShardRef {
	t.mu.Lock()
	t.failedOver = true
	t.mu.Unlock()
	return t.undecided(refs)
}

// undecided returns the refs whose shards are undecided.
func (t *tracker) undecided(refs []core.ShardRef) []core.ShardRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(refs), func(ref core.ShardRef) bool { return t.decided[ref.Shard] })
}
