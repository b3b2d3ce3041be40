// Package snaps keeps which replica group holds which snapshot and chooses the
// snapshot of a query.
//
// # Usage
//
//	t := snaps.New()
//	t.Update("tickets", 3, []core.GroupSnapshot{{Group: 3, Snapshot: 41, ShardCount: 20, Shards: []core.ShardID{3}}})
//	pin, ok := t.Select("tickets")
package snaps

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"oriolebarrow/core"
)

// maxShards bounds the memory that a wrong report can claim.
const maxShards = 1 << 16

// Table holds the snapshots of each group of each service. It is safe for
// concurrent use; it has one lock and calls nothing while it holds it.
type Table struct {
	mu       sync.RWMutex
	services map[core.ServiceName]map[core.GroupID][]core.GroupSnapshot
	turn     atomic.Uint64 // selections so far
}

var _ core.Selector = (*Table)(nil)

// New returns an empty table.
func New() *Table {
	return &Table{services: make(map[core.ServiceName]map[core.GroupID][]core.GroupSnapshot)}
}

// Update replaces what is known of one group.
func (t *Table) Update(s core.ServiceName, g core.GroupID, held []core.GroupSnapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	groups := t.services[s]
	if groups == nil {
		groups = make(map[core.GroupID][]core.GroupSnapshot)
		t.services[s] = groups
	}
	groups[g] = held
}

// Drop removes one snapshot of one group, after a refusal said it is gone.
func (t *Table) Drop(s core.ServiceName, g core.GroupID, snapshot core.SnapshotID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []core.GroupSnapshot
	for _, h := range t.services[s][g] {
		if h.Snapshot != snapshot {
			kept = append(kept, h)
		}
	}
	if groups := t.services[s]; groups != nil {
		groups[g] = kept
	}
}

// Held returns what is known of one group.
func (t *Table) Held(s core.ServiceName, g core.GroupID) []core.GroupSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[s][g]
}

// Knows reports whether anything was said of a group, even that it holds nothing.
func (t *Table) Knows(s core.ServiceName, g core.GroupID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.services[s][g]
	return ok
}

// Select returns the newest snapshot in which every shard is held by a group,
// else the one with the best coverage (the newest of these). Selections in turn
// spread a shard over all groups that hold it.
func (t *Table) Select(s core.ServiceName) (core.Pin, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	maps := make(map[core.SnapshotID]*shardMap)
	for g, held := range t.services[s] {
		for _, h := range held {
			addTo(maps, g, h)
		}
	}
	var best *shardMap
	for _, m := range maps {
		if best == nil || m.betterThan(best) {
			best = m
		}
	}
	if best == nil {
		return core.Pin{}, false
	}
	return core.NewPin(best.snapshot, best.choose(t.turn.Add(1))), true
}

type shardMap struct {
	snapshot core.SnapshotID
	holders  [][]core.GroupID // by shard
	known    int
}

func addTo(maps map[core.SnapshotID]*shardMap, g core.GroupID, h core.GroupSnapshot) {
	if h.ShardCount <= 0 || h.ShardCount > maxShards {
		return
	}
	m := maps[h.Snapshot]
	if m == nil {
		m = &shardMap{snapshot: h.Snapshot, holders: make([][]core.GroupID, h.ShardCount)}
		maps[h.Snapshot] = m
	}
	for _, shard := range h.Shards {
		if shard < 0 || int(shard) >= len(m.holders) {
			continue
		}
		if len(m.holders[shard]) == 0 {
			m.known++
		}
		m.holders[shard] = append(m.holders[shard], g)
	}
}

// choose returns one holder of each shard.
func (m *shardMap) choose(turn uint64) []core.GroupID {
	groups := make([]core.GroupID, len(m.holders))
	for i, holders := range m.holders {
		groups[i] = core.NoGroup
		if n := uint64(len(holders)); n > 0 {
			slices.SortFunc(holders, cmp.Compare)
			groups[i] = holders[turn%n]
		}
	}
	return groups
}

func (m *shardMap) betterThan(other *shardMap) bool {
	// Compares known/total without division: a/b > c/d when a*d > c*b.
	a, b := m.known*len(other.holders), other.known*len(m.holders)
	if a != b {
		return a > b
	}
	return m.snapshot > other.snapshot
}
