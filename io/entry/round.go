package entry

import (
	"slices"
	"sync"

	"oriolebarrow/core"
)

// round tracks which shards of one part of a query are decided, while its owner and
// the standbys are asked.
type round struct {
	done func() // called once all shards are decided while several hosts are asked

	mu       sync.Mutex // done is not called under it
	shards   map[core.ShardID]bool
	left     int
	failover bool
}

func newRound(p *part, done func()) *round {
	r := &round{done: done, shards: make(map[core.ShardID]bool, len(p.shards)), left: len(p.shards)}
	for _, ref := range p.shards {
		r.shards[ref.Shard] = false
	}
	return r
}

// asked reports whether a shard belongs to the part.
func (r *round) asked(s core.ShardID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.shards[s]
	return ok
}

// decide notes a result of an asked shard. While several hosts are asked, one that
// has no rows decides nothing: another may still have them.
func (r *round) decide(res core.ShardResult) {
	r.mu.Lock()
	if r.shards[res.Shard] || res.Missing != "" && r.failover {
		r.mu.Unlock()
		return
	}
	r.shards[res.Shard] = true
	r.left--
	last := r.left == 0 && r.failover
	r.mu.Unlock()
	if last {
		r.done()
	}
}

// failOver returns the undecided ones of some shards, which other hosts are asked
// for from now on.
func (r *round) failOver(refs []core.ShardRef) []core.ShardRef {
	r.mu.Lock()
	r.failover = true
	r.mu.Unlock()
	return r.open(refs)
}

// open returns the undecided ones of some shards.
func (r *round) open(refs []core.ShardRef) []core.ShardRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(refs), func(ref core.ShardRef) bool { return r.shards[ref.Shard] })
}
