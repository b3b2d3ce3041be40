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
