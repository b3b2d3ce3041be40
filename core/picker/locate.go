package picker

import "oriolebarrow/core"

// Locate returns the data centre of the replica with an address.
func (t *Table) Locate(address string) (dc core.DataCentre, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		if r.inst.Address == address {
			return r.inst.DataCentre, true
		}
	}
	return "", false
}
