package assign

import "maps"

// Copy returns an assigner in the same state that changes independently of a, so that a plan
// can be asked for without effect on later ones.
func (a *Assigner) Copy() *Assigner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Assigner{self: a.self, plans: a.plans, owners: maps.Clone(a.owners), viewVersion: a.viewVersion}
}
