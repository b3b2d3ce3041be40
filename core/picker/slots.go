package picker

import (
	"time"

	"oriolebarrow/core"
)

// Slots returns how many calls to the usable replicas of a service this host may have in
// flight. A replica that states no slots counts as one.
func (t *Table) Slots(now time.Time, s core.ServiceName) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byService[s] {
		if !r.usable(now) {
			continue
		}
		if limit := t.maxCalls(r); limit < 1<<16 {
			n += limit
		} else {
			n++
		}
	}
	return n
}

// Subset returns an instance, and whether it is in this host's subset; ok is false if it is not
// known.
func (t *Table) Subset(id core.InstanceID) (in core.Instance, inSubset, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return core.Instance{}, false, false
	}
	return r.inst, r.inSubset, true
}
