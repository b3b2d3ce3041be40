package demand

// Copy returns a meter in the same state that changes independently of m.
func (m *Meter) Copy() *Meter {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Meter{inUse: m.inUse, peer: m.peer, peerAt: m.peerAt, short: m.short}
}
