package mirror

import (
	"slices"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/evac"
)

// Evacuated returns the evacuated data centres in ascending order.
func (m *Mirror) Evacuated() []core.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.evacuated)
}

// updateEvacuations changes the known evacuations and puts the result in force.
func (m *Mirror) updateEvacuations(change func(*evac.State)) {
	change(m.evacuations)
	active := m.evacuations.Active()
	m.mu.Lock()
	before := m.evacuated
	m.evacuated = active
	m.mu.Unlock()
	if slices.Equal(before, active) {
		return
	}
	now := time.Now()
	for _, dc := range before {
		if !slices.Contains(active, dc) {
			m.Replicas.ResumeWarmup(now, dc, m.evacuatedSince[dc])
			delete(m.evacuatedSince, dc)
		}
	}
	m.Replicas.SetEvacuated(active)
	for _, dc := range active {
		if !slices.Contains(before, dc) {
			m.evacuatedSince[dc] = now
			m.Meter.Count("directory_evacuations", 1)
			m.Log.Info("mirror: data centre evacuated", "data_centre", dc)
		}
	}
	for _, dc := range before {
		if !slices.Contains(active, dc) {
			m.Log.Info("mirror: evacuation ended", "data_centre", dc)
		}
	}
	m.OnEvacuation()
}
