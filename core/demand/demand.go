// Package demand observes how busy the replicas of a set of shards are, from the loads that
// they report, and decides whether the set is short of slots.
//
// While slots are plentiful, each host calls the replicas by itself: that takes one message
// less. While they are short, the hosts can't see each other's calls and choose busy replicas,
// so that calls wait although other replicas have free slots. One host a data centre, the
// owner of a shard, then makes all calls to it.
//
// # Usage
//
//	m := demand.New()
//	m.Observe(now, 1, 2) // besides the call that ended, one runs at a replica of two slots
//	if m.Short(now) {
//		delegate(owners)
//	}
package demand

import (
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of the newest report in the moving average.
	sampleWeight = 0.004
	// shortAbove and shortBelow are the shares of the slots in use at which a set becomes
	// short, and at which it no longer is.
	shortAbove = 0.5
	shortBelow = 0.4
	// maxInUse limits the effect of one replica with a long queue.
	maxInUse = 2
	// peerWeight is the weight of the newest share that another host has reported.
	peerWeight = 0.1
	// peerTTL is how long the share that another host has reported is used.
	peerTTL = 2 * time.Second
)

// Meter observes one set of shards. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	inUse  float64 // average share of the slots in use
	peer   float64 // share that another host has reported last
	peerAt time.Time
	short  bool
}

// New returns a Meter of a set whose slots are free.
func New() *Meter { return new(Meter) }

// Observe records the report of a replica with the end of a call: how many other calls run or
// wait there, and its slots.
// It reports whether the result of Short changed.
func (m *Meter) Observe(now time.Time, busy, slots int) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := min(maxInUse, float64(busy)/float64(max(1, slots)))
	m.inUse += sampleWeight * (share - m.inUse)
	return m.update(now)
}

// ObservePeer records the share of the slots in use that a host reports which calls replicas
// of the set for this one. It reports whether the result of Short changed.
func (m *Meter) ObservePeer(now time.Time, share float64) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peer += peerWeight * (share - m.peer)
	m.peerAt = now
	return m.update(now)
}

// update applies the thresholds and reports whether the set became short or no longer is.
func (m *Meter) update(now time.Time) (changed bool) {
	before := m.short
	share := m.inUse
	if now.Sub(m.peerAt) < peerTTL {
		share = max(share, m.peer)
	}
	switch {
	case share >= shortAbove:
		m.short = true
	case share <= shortBelow:
		m.short = false
	}
	return m.short != before
}

// InUse returns the share of the slots in use that this host has observed, from 0 to 2;
// calls that wait count as well.
func (m *Meter) InUse() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// Short reports whether the set is short of slots.
func (m *Meter) Short(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(now)
	return m.short
}
