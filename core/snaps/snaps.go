// Package snaps records which replica groups hold which shards of which snapshots,
// and selects the snapshot that a query reads.
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

// maxShards limits the memory that is allocated for a report with a wrong shard
// count.
const maxShards = 1 << 16

// Table holds the snapshots of each group of each service. It is safe for
// concurrent use. It has one lock and calls no code that locks anything else while
// it holds it.
type Table struct {
	mu         sync.RWMutex
	services   map[core.ServiceName]map[core.GroupID][]core.GroupSnapshot
	selections atomic.Uint64 // rotates the choice between groups that hold the same shard
}

var _ core.Selector = (*Table)(nil)

// New returns an empty table.
func New() *Table {
	return &Table{services: make(map[core.ServiceName]map[core.GroupID][]core.GroupSnapshot)}
}

// Update replaces the snapshots of one group.
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

// Drop removes one snapshot of one group. It is called when a refusal shows that
// the group no longer holds the snapshot.
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

// Snapshots returns the snapshots of one group.
func (t *Table) Snapshots(s core.ServiceName, g core.GroupID) []core.GroupSnapshot {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[s][g]
}

// HasEntry reports whether the table has an entry for a group. The entry may be empty,
// which means that the group holds no snapshot.
func (t *Table) HasEntry(s core.ServiceName, g core.GroupID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.services[s][g]
	return ok
}

// Select returns the newest snapshot of which every shard is held by a group. If
// there is none, it returns the snapshot with the highest share of held shards, the
// newest one if several are equal. Successive calls rotate over the groups that
// hold a shard.
func (t *Table) Select(s core.ServiceName) (core.Pin, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	maps := make(map[core.SnapshotID]*shardMap)
	for g, held := range t.services[s] {
		for _, h := range held {
			addSnapshot(maps, g, h)
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
	return core.NewPin(best.snapshot, best.choose(t.selections.Add(1))), true
}

// shardMap records which groups hold the shards of one snapshot.
type shardMap struct {
	snapshot core.SnapshotID
	holders  [][]core.GroupID // by shard
	covered  int              // shards with at least one holder
}

func addSnapshot(maps map[core.SnapshotID]*shardMap, g core.GroupID, h core.GroupSnapshot) {
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
			m.covered++
		}
		m.holders[shard] = append(m.holders[shard], g)
	}
}

// choose returns one holder of each shard, or core.NoGroup for a shard without one.
func (m *shardMap) choose(rotation uint64) []core.GroupID {
	groups := make([]core.GroupID, len(m.holders))
	for i, holders := range m.holders {
		groups[i] = core.NoGroup
		if n := uint64(len(holders)); n > 0 {
			slices.SortFunc(holders, cmp.Compare)
			groups[i] = holders[rotation%n]
		}
	}
	return groups
}

// betterThan reports whether Select prefers m to other.
func (m *shardMap) betterThan(other *shardMap) bool {
	// Compares the covered shares without division: a/b > c/d if a*d > c*b.
	a, b := m.covered*len(other.holders), other.covered*len(m.holders)
	if a != b {
		return a > b
	}
	return m.snapshot > other.snapshot
}
