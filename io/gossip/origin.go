package gossip

import (
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
)

// origin records when a section became active on this host and who supplied it.
type origin struct {
	edition core.Edition
	hash    uint64
	since   time.Time
	source  string
}

// origins contains the origin of each active section.
type origins struct {
	mu    sync.Mutex
	byKey map[config.Key]origin
}

// record sets the origin of the sections that changed since the last call. If two sources
// supply changes at the same time, a section may be attributed to the wrong one.
func (o *origins) record(now time.Time, source string, versions []config.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey == nil {
		o.byKey = make(map[config.Key]origin)
	}
	for _, v := range versions {
		s := v.Section()
		if prev, ok := o.byKey[s.Key()]; !ok || prev.edition != s.Edition() || prev.hash != s.Hash() {
			o.byKey[s.Key()] = origin{edition: s.Edition(), hash: s.Hash(), since: now, source: source}
		}
	}
}

// Origin returns when a section became active on this host and its source: "platform" or
// the ID of another host.
func (a *Agent) Origin(k config.Key) (since time.Time, source string) {
	a.origins.mu.Lock()
	defer a.origins.mu.Unlock()
	o := a.origins.byKey[k]
	return o.since, o.source
}
