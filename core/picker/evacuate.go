package picker

import "oriolebarrow/core"

// SetEvacuated replaces the set of evacuated data centres. Their replicas get no requests,
// no health probes and no connections in advance. Calls that run are not affected.
func (t *Table) SetEvacuated(dataCentres []core.DataCentre) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = make(map[core.DataCentre]bool, len(dataCentres))
	for _, dc := range dataCentres {
		t.evacuated[dc] = true
	}
	for _, r := range t.byID {
		t.updateEvacuated(r)
	}
}

// Evacuated reports whether a data centre is evacuated.
func (t *Table) Evacuated(dc core.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated[dc]
}

// updateEvacuated sets whether a replica is evacuated, and reports whether this changed. The
// caller holds mu.
func (t *Table) updateEvacuated(r *Replica) bool {
	evacuated := t.evacuated[r.inst.DataCentre]
	if r.evacuated == evacuated {
		return false
	}
	r.evacuated = evacuated
	t.selectSubset(r.inst.Service)
	return true
}

// countNotEvacuated returns the number of replicas outside the evacuated data centres.
func countNotEvacuated(replicas []*Replica) (n int) {
	for _, r := range replicas {
		if !r.evacuated {
			n++
		}
	}
	return n
}
