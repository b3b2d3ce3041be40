// Package trail keeps the newest change of each item of a directory, so that a
// host can tell others what changed after a revision.
//
// # Usage
//
//	t := trail.New()
//	t.Replace(list)
//	t.Apply(news)
//	items, ok := t.Since(412)
package trail

import (
	"cmp"
	"slices"

	"oriolebarrow/core"
)

// maxRemoved bounds the removed items that are remembered. A host that missed
// more takes the whole list.
const maxRemoved = 4096

// Trail holds the items. It is not safe for concurrent use.
type Trail struct {
	items   map[core.InstanceID]core.DirectoryItem // the routing document has no ID
	removed int
	newest  core.Revision
	floor   core.Revision // changes up to here may be missing
}

// New returns a trail that knows nothing.
func New() *Trail { return &Trail{items: make(map[core.InstanceID]core.DirectoryItem)} }

// Revision returns the newest revision.
func (t *Trail) Revision() core.Revision { return t.newest }

// Replace takes a whole list. What was removed before it is not known any more.
func (t *Trail) Replace(news core.DirectoryNews) {
	clear(t.items)
	t.removed = 0
	t.floor = news.Revision
	t.Apply(news)
}

// Apply takes changes.
func (t *Trail) Apply(news core.DirectoryNews) {
	for _, item := range news.Items {
		old, known := t.items[item.ID]
		if known && old.Revision > item.Revision {
			continue
		}
		if known && isRemoved(old) {
			t.removed--
		}
		if isRemoved(item) {
			t.removed++
		}
		t.items[item.ID] = item
	}
	t.newest = max(t.newest, news.Revision)
	if t.removed > maxRemoved {
		t.forget()
	}
}

func isRemoved(i core.DirectoryItem) bool { return i.Instance == nil && i.Routing == nil }

// forget drops all removed items.
func (t *Trail) forget() {
	for id, item := range t.items {
		if isRemoved(item) {
			delete(t.items, id)
		}
	}
	t.removed = 0
	t.floor = t.newest
}

// All returns the items that are there now.
func (t *Trail) All() core.DirectoryNews {
	return t.sorted(func(i core.DirectoryItem) bool { return !isRemoved(i) })
}

// Since returns the changes after a revision; false when some may be missing.
func (t *Trail) Since(after core.Revision) (core.DirectoryNews, bool) {
	if after < t.floor {
		return core.DirectoryNews{}, false
	}
	return t.sorted(func(i core.DirectoryItem) bool { return i.Revision > after }), true
}

func (t *Trail) sorted(keep func(core.DirectoryItem) bool) core.DirectoryNews {
	news := core.DirectoryNews{Revision: t.newest}
	for _, item := range t.items {
		if keep(item) {
			news.Items = append(news.Items, item)
		}
	}
	slices.SortFunc(news.Items, func(a, b core.DirectoryItem) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
	return news
}
