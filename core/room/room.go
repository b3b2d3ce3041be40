// Package room decides how many queries over many shards are let in when the shards
// have less room than work. Each query needs nearly all shards: if each of them turns
// some calls away, nearly every query lacks too many parts, and the work that was done
// for it is lost. Rejecting a share of the queries before any call lets the others end
// whole.
//
// The share follows what is seen of the queries that were let in: it falls with each one
// that lacked too many parts because replicas had no room, and rises with each other one.
// Failures of another kind do not lower it, since fewer queries would not fail less.
//
// # Usage
//
//	r := room.New()
//	if !r.Admit(now, hash) {
//		reject(r.After(left, target, hash))
//	}
//	r.Ended(whole, crowded)
package room

import (
	"math"
	"sync"
	"time"
)

const (
	// fall is the step of the share with a query that lacked too many parts for want of
	// room, and climb that with one which was whole although there was a want of room: the
	// share settles where one of seven that are let in lacks too many parts.
	fall  = 0.12
	climb = 0.02
	// rise is the step with a query that met no want of room: the overload is over.
	rise = 0.15
	// least is the share that is always let in, so that the end of an overload is seen.
	least = 0.3
	// toldAge is how long what another host told of its share holds.
	toldAge = 2 * time.Second
	// soonest and latest are the parts of the time left after which a rejected caller may
	// come back: spread, so that they do not return at once, and early enough to be served.
	soonest = 0.1
	latest  = 0.3
)

// Room is the share of the queries over one set of shards that this host lets in. It is
// safe for concurrent use; its lock guards the share.
type Room struct {
	mu     sync.Mutex
	share  float64
	told   float64 // least share that hosts which carried out parts told
	toldAt time.Time
}

// New returns a room for all queries.
func New() *Room { return &Room{share: 1} }

// Share returns the share that is let in, 0 to 1.
func (r *Room) Share() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share
}

// Tell notes the least share of the hosts that carried out parts of a query. They see the
// queries of many hosts, of which each may have too few to learn from.
func (r *Room) Tell(now time.Time, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told, r.toldAt = share, now
}

// Admit reports whether a query is let in, by a hash of its name.
func (r *Room) Admit(now time.Time, hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.share
	if now.Sub(r.toldAt) < toldAge {
		share = min(share, max(least, r.told))
	}
	return share >= 1 || float64(hash) < share*math.MaxUint64
}

// Ended notes the end of a query that was let in: whether it had enough parts in time, and
// whether any replica that it needed had no room.
func (r *Room) Ended(whole, crowded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case whole && crowded:
		r.share = min(1, r.share+climb)
	case whole:
		r.share = min(1, r.share+rise)
	case crowded:
		r.share = max(least, r.share-fall)
	}
}

// After returns when a rejected caller may come back, given the time that it waits and the
// time in which it wants its answer; 0 if it would be too late.
func (r *Room) After(left, target time.Duration, hash uint64) time.Duration {
	part := soonest + (latest-soonest)*float64(hash>>11)/(1<<53)
	after := time.Duration(part * float64(left))
	if after+target > left {
		return 0
	}
	return after
}
