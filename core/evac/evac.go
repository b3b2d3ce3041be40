// Package evac keeps which data centres are evacuated according to the directory. A data
// centre is evacuated while its key exists. If the directory returns from an older copy,
// what was in force stays so for a while, since the operator writes the keys again.
//
// # Usage
//
//	s := evac.New()
//	s.Replace(list.Items)
//	s.Apply(update.Items)
//	s.Return(newList.Items, graceEnd) // the directory returned from an older copy
//	s.Expire(now)
//	replicas.SetEvacuated(s.Active())
package evac

import (
	"slices"
	"time"

	"oriolebarrow/core"
)

// maxEnded limits the number of ended evacuations that are kept. They only matter if an
// older change of the same key arrives later.
const maxEnded = 256

// key is the last known change of an evacuation key.
type key struct {
	revision  core.Revision
	present   bool
	inForce   bool      // differs from present only until heldUntil
	heldUntil time.Time // zero if inForce follows present
}

// State holds the keys of one directory. It is not safe for concurrent use.
type State struct {
	keys map[core.DataCentre]key
}

// New returns a State without evacuations.
func New() *State { return &State{keys: make(map[core.DataCentre]key)} }

// Apply applies the evacuations among changes; it ignores other items. A change that is
// older than the known one of the same key is ignored.
func (s *State) Apply(items []core.DirectoryItem) {
	for _, item := range items {
		e := item.Evacuation
		if e == nil || s.keys[e.DataCentre].revision > item.Revision {
			continue
		}
		s.keys[e.DataCentre] = key{revision: item.Revision, present: !e.Ended, inForce: !e.Ended}
	}
	s.limitEnded()
}

// Replace applies a complete list: evacuations that are not listed have ended.
func (s *State) Replace(items []core.DirectoryItem) {
	listed := make(map[core.DataCentre]bool)
	for _, item := range items {
		if item.Evacuation != nil {
			listed[item.Evacuation.DataCentre] = true
		}
	}
	for dc, k := range s.keys {
		if !listed[dc] {
			s.keys[dc] = key{revision: k.revision}
		}
	}
	for dc := range listed {
		delete(s.keys, dc) // the list is newer than any change known before
	}
	s.Apply(items)
}

// Return applies the complete list of a directory that returned from an older copy. Known
// evacuations stay in force until a time if they are not listed, and ended ones stay ended if
// they are, unless later changes decide otherwise.
func (s *State) Return(items []core.DirectoryItem, until time.Time) {
	before := s.keys
	s.keys = make(map[core.DataCentre]key, len(before))
	s.Apply(items)
	for dc, old := range before {
		k := s.keys[dc]
		if k.present != old.inForce {
			k.inForce, k.heldUntil = old.inForce, until
		}
		s.keys[dc] = k
	}
	s.limitEnded()
}

// Expire lets the keys decide that Return has held until now.
func (s *State) Expire(now time.Time) {
	for dc, k := range s.keys {
		if !k.heldUntil.IsZero() && !now.Before(k.heldUntil) {
			k.inForce, k.heldUntil = k.present, time.Time{}
			s.keys[dc] = k
		}
	}
}

// Active returns the evacuated data centres in ascending order.
func (s *State) Active() []core.DataCentre {
	var active []core.DataCentre
	for dc, k := range s.keys {
		if k.inForce {
			active = append(active, dc)
		}
	}
	slices.Sort(active)
	return active
}

// limitEnded forgets the ended evacuations if there are too many.
func (s *State) limitEnded() {
	if len(s.keys) <= maxEnded {
		return
	}
	for dc, k := range s.keys {
		if !k.present && !k.inForce {
			delete(s.keys, dc)
		}
	}
}
