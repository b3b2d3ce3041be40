package gossip

import (
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
)

// origin tells when and from where a section came into force on this host.
type origin struct {
	edition core.Edition
	hash    uint64
	since   time.Time
	source  string
}

// origins holds the origin of each section in force.
type origins struct {
	mu  sync.Mutex
	all map[config.Key]origin
}

// note records the sections that changed since the last call. Two sources that
// bring changes at the same time may be mistaken for each other.
func (o *origins) note(now time.Time, source string, versions []config.Version) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[config.Key]origin)
	}
	for _, v := range versions {
		s := v.Section()
		if old, ok := o.all[s.Key()]; !ok || old.edition != s.Edition() || old.hash != s.Hash() {
			o.all[s.Key()] = origin{edition: s.Edition(), hash: s.Hash(), since: now, source: source}
		}
	}
}

// Origin returns when and from where a section came into force on this host: the
// platform or another host.
func (a *Agent) Origin(k config.Key) (since time.Time, source string) {
	a.origins.mu.Lock()
	defer a.origins.mu.Unlock()
	o := a.origins.all[k]
	return o.since, o.source
}
