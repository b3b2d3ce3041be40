// Package delta keeps the newest change of each item of a directory, so that a host can
// send the changes after a given revision to other hosts.
//
// # Usage
//
//	l := delta.New()
//	l.Replace(list)
//	l.Apply(update)
//	changes, ok := l.Since(412)
package delta

import (
	"cmp"
	"slices"

	"oriolebarrow/core"
)

// maxTombstones limits the number of removed items that are kept. A host that missed
// a removal that is no longer kept gets the complete list.
const maxTombstones = 4096

// Log holds the newest change of each item; a removed item stays as a tombstone. It is
// not safe for concurrent use.
type Log struct {
	items      map[itemKey]core.DirectoryItem
	tombstones int
	newest     core.Position
	compacted  core.Revision // removals up to this revision may be missing
}

// itemKey identifies an item. An instance may have the ID of an evacuation.
type itemKey struct {
	id         core.InstanceID // empty for the routing document
	evacuation bool
}

func keyOf(i core.DirectoryItem) itemKey { return itemKey{i.ID, i.Evacuation != nil} }

// New returns an empty Log.
func New() *Log { return &Log{items: make(map[itemKey]core.DirectoryItem)} }

// Position returns the newest position that was applied.
func (l *Log) Position() core.Position { return l.newest }

// Replace replaces all items by a complete list, which may be of another era. Removals up to
// the list's revision are no longer known.
func (l *Log) Replace(update core.DirectoryUpdate) {
	clear(l.items)
	l.tombstones = 0
	l.newest = update.Position()
	l.compacted = update.Revision
	l.Apply(update)
}

// Apply applies changes of the same era. It ignores a change that is older than the one it
// has for the same item.
func (l *Log) Apply(update core.DirectoryUpdate) {
	for _, item := range update.Items {
		old, known := l.items[keyOf(item)]
		if known && old.Revision > item.Revision {
			continue
		}
		if known && old.Removed() {
			l.tombstones--
		}
		if item.Removed() {
			l.tombstones++
		}
		l.items[keyOf(item)] = item
	}
	l.newest.Revision = max(l.newest.Revision, update.Revision)
	if l.tombstones > maxTombstones {
		l.compact()
	}
}

// compact deletes all tombstones.
func (l *Log) compact() {
	for key, item := range l.items {
		if item.Removed() {
			delete(l.items, key)
		}
	}
	l.tombstones = 0
	l.compacted = l.newest.Revision
}

// All returns all items except the removed ones.
func (l *Log) All() core.DirectoryUpdate {
	return l.collect(func(i core.DirectoryItem) bool { return !i.Removed() })
}

// Since returns the changes after a revision of the same era. It returns false if removals after that
// revision may be missing.
func (l *Log) Since(after core.Revision) (core.DirectoryUpdate, bool) {
	if after < l.compacted {
		return core.DirectoryUpdate{}, false
	}
	return l.collect(func(i core.DirectoryItem) bool { return i.Revision > after }), true
}

// collect returns the items that keep selects, ordered by revision.
func (l *Log) collect(keep func(core.DirectoryItem) bool) core.DirectoryUpdate {
	update := core.DirectoryUpdate{Era: l.newest.Era, Revision: l.newest.Revision}
	for _, item := range l.items {
		if keep(item) {
			update.Items = append(update.Items, item)
		}
	}
	slices.SortFunc(update.Items, func(a, b core.DirectoryItem) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
	return update
}
