// Package known keeps the newest known entry of each instance, removed ones included. A
// directory that returns from an older copy then cannot bring older entries into force, or
// those of replicas that have gone since.
//
// # Usage
//
//	e := known.New()
//	e.Replace(list.Items)
//	e.Apply(changes.Items)
//	items := e.Return(newList.Items) // the directory returned from an older copy
package known

import "oriolebarrow/core"

// maxRemoved limits the number of removed instances: the newest maxRemoved of them are
// always kept, and at most twice as many. A copy is some seconds old, in which far fewer
// instances are removed.
const maxRemoved = 4096

// Entries holds the entries of one directory. It is not safe for concurrent use.
type Entries struct {
	present map[core.InstanceID]core.Instance
	// The last entries of removed instances. When removed is full, it becomes older.
	removed, older map[core.InstanceID]core.Instance
}

// New returns empty Entries.
func New() *Entries {
	return &Entries{present: make(map[core.InstanceID]core.Instance), removed: make(map[core.InstanceID]core.Instance)}
}

// Apply applies changes, in their order. It ignores items that are no entries.
func (e *Entries) Apply(items []core.DirectoryItem) {
	for _, item := range items {
		switch {
		case item.Instance != nil:
			e.put(*item.Instance)
		case item.Routing == nil && item.Evacuation == nil:
			e.remove(item.ID)
		}
	}
}

// Replace applies a complete list: instances that are not listed have been removed.
func (e *Entries) Replace(items []core.DirectoryItem) {
	listed := make(map[core.InstanceID]bool, len(items))
	for _, item := range items {
		if item.Instance != nil {
			listed[item.ID] = true
		}
	}
	for id := range e.present {
		if !listed[id] {
			e.remove(id)
		}
	}
	e.Apply(items)
}

// Return applies the complete list of a directory that returned from an older copy, and
// returns the items that may take effect. A present instance keeps its known entry if the
// listed one is older, and a removed instance is left out unless its entry was written again.
func (e *Entries) Return(items []core.DirectoryItem) []core.DirectoryItem {
	out := make([]core.DirectoryItem, 0, len(items))
	for _, item := range items {
		if item.Instance != nil {
			last, present, ok := e.last(item.ID)
			if ok && !supersedes(*item.Instance, last) {
				if !present {
					continue
				}
				item.Instance = &last
			}
		}
		out = append(out, item)
	}
	e.Replace(out)
	return out
}

// supersedes reports whether an entry was written after another one of the same instance: by
// a later run, or later by the same run.
func supersedes(in, other core.Instance) bool {
	return in.Born > other.Born || in.Born == other.Born && in.Sequence > other.Sequence
}

// last returns the newest known entry of an instance and whether the instance is present.
func (e *Entries) last(id core.InstanceID) (in core.Instance, present, ok bool) {
	if in, ok = e.present[id]; ok {
		return in, true, true
	}
	if in, ok = e.removed[id]; !ok {
		in, ok = e.older[id]
	}
	return in, false, ok
}

func (e *Entries) put(in core.Instance) {
	e.present[in.ID] = in
	delete(e.removed, in.ID)
	delete(e.older, in.ID)
}

func (e *Entries) remove(id core.InstanceID) {
	in, ok := e.present[id]
	if !ok {
		return
	}
	delete(e.present, id)
	if len(e.removed) >= maxRemoved {
		e.older, e.removed = e.removed, make(map[core.InstanceID]core.Instance)
	}
	e.removed[id] = in
}
