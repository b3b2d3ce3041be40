package mirror

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/evac"
)

// Era returns the era of the directory data, 0 before the first.
func (m *Mirror) Era() core.Era { return m.position().Era }

// position returns up to which position of the directory this host has it; zero before the
// first complete list.
func (m *Mirror) position() core.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded {
		return core.Position{}
	}
	return m.history.Position()
}

// returned reports whether a complete list shows that the directory has returned from an older
// copy: its era is higher, or the directory does not state eras and its revision is lower.
func (m *Mirror) returned(at core.Position, list core.DirectoryUpdate) bool {
	return at != core.Position{} && (list.Era > at.Era || list.Revision < at.Revision)
}

// applyReturn handles the first list after the directory has returned from an older copy: it
// starts a grace period and applies evacuations. It returns the list without entries that are
// older than the known ones, and with the active routing document if the copy has none.
func (m *Mirror) applyReturn(at core.Position, list core.DirectoryUpdate) core.DirectoryUpdate {
	now := time.Now()
	m.Meter.Count("directory_returns", 1)
	m.Log.Warn("mirror: directory returned from an older copy", "era", list.Era, "revision", list.Revision,
		"era_before", at.Era, "revision_before", at.Revision)
	m.mu.Lock()
	m.reachableSince = now
	m.graceEnd = now.Add(graceTime)
	until, active, activeEra := m.graceEnd, m.routing, m.routingEra
	m.mu.Unlock()
	m.updateEvacuations(func(s *evac.State) { s.Return(list.Items, until) })
	items := m.entries.Return(list.Items)
	if hidden := len(list.Items) - len(items); hidden > 0 {
		m.Log.Info("mirror: entries of removed replicas are left out", "entries", hidden)
	}
	hasRouting := slices.ContainsFunc(items, func(i core.DirectoryItem) bool { return i.Routing != nil })
	if active != nil && !hasRouting {
		items = append(items, core.DirectoryItem{Revision: list.Revision, Routing: active, RoutingEra: activeEra})
	}
	list.Items = items
	return list
}

// withRoutingEra returns an update that was read from the directory, with the era of its
// routing documents.
func withRoutingEra(update core.DirectoryUpdate) core.DirectoryUpdate {
	update.Items = slices.Clone(update.Items)
	for i := range update.Items {
		if update.Items[i].Routing != nil {
			update.Items[i].RoutingEra = update.Era
		}
	}
	return update
}
