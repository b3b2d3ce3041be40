// Package shed rejects a share of the queries over many shards when the shards are
// overloaded (load shedding). Each query needs nearly all of its shards: if every
// overloaded shard refuses some calls, nearly every query lacks too many parts, and
// the work done for it is wasted. Rejecting some queries before their first call lets
// the others complete.
//
// The share of admitted queries follows the results of these queries. It falls with each
// query that lacked too many parts because replicas were at capacity, and rises with each
// query that had enough parts. Other failures do not lower the share, since admitting
// fewer queries would not prevent them.
//
// While the share is below 1, all queries are admitted alike by default. With Options.Compete,
// the share is divided among what competes: kinds of queries by priority, with a floor for each;
// callers that return when told before new queries; and callers among each other, so that none
// gains by repeating its query at once or often.
//
// # Usage
//
//	s := shed.New(shed.Options{Compete: true})
//	if d := s.Admit(now, shed.Demand{Route: "search", Priority: 1, Cost: cost, Hash: hash}); !d.Admitted {
//		return reject(d.Reason, d.RetryAfter)
//	}
//	s.Ended(enough, overloaded)
package shed

import (
	"math"
	"sync"
	"time"
)

const (
	// shedStep is subtracted from the share after a query that lacked too many parts
	// because of overload. overloadedStep is added after a query that had enough parts
	// despite overload. The share settles where one of seven admitted queries lacks too
	// many parts.
	shedStep       = 0.12
	overloadedStep = 0.02
	// recoveryStep is added after a query that met no overload, which shows that the
	// overload has ended.
	recoveryStep = 0.15
	// minShare is the lower limit of the share. The queries that are still admitted let
	// the host detect the end of an overload.
	minShare = 0.3
	// peerShareTTL is how long a share reported by other hosts is used.
	peerShareTTL = 2 * time.Second
	// minRetryFraction and maxRetryFraction limit the fraction of the remaining time after
	// which a rejected caller may retry if all queries are admitted alike. They differ so that
	// callers do not return all at once, and are small enough for a caller to be served before
	// its deadline.
	minRetryFraction = 0.1
	maxRetryFraction = 0.3
)

// Options hold the rules of a Shedder.
type Options struct {
	// Compete divides the admitted share by priority, returns and callers. Otherwise all
	// queries are admitted alike.
	Compete bool
}

// Shedder sheds queries over one set of shards: it admits a share of them, which it adapts
// to the overload. It is safe for concurrent use; its lock guards the shares.
type Shedder struct {
	options     Options
	mu          sync.Mutex
	share       float64
	peerShare   float64 // smallest share of other hosts, as last set by SetPeerShare
	peerShareAt time.Time
	kinds       map[string]*kind // by route
	order       []*kind          // in the order of their first query
}

// New returns a Shedder that admits all queries.
func New(o Options) *Shedder {
	return &Shedder{options: o, share: 1, kinds: make(map[string]*kind)}
}

// Reasons of a rejection.
const (
	ReasonShare = "share" // the admitted share is used up
	ReasonEarly = "early" // the caller repeats a rejected query before it was told to
	ReasonLate  = "late"  // the query can't be served before its deadline
	ReasonQueue = "queue" // the requests that wait before it take too long
)

// Decision says whether a query is admitted.
type Decision struct {
	Admitted   bool
	Reason     string        // of a rejection
	RetryAfter time.Duration // after which a rejected caller may retry; 0 if that would be in vain
	Share      float64       // admitted share of the work
	Chance     float64       // admitted share of such queries
}

// Share returns the share of queries that this host admits by its own observations, 0 to 1.
func (s *Shedder) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share
}

// SetPeerShare records the smallest share among the hosts that executed delegated tasks
// of a query. Such a host sees the queries of many hosts, whereas each of these may have
// too few queries to detect the overload by itself.
func (s *Shedder) SetPeerShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerShare, s.peerShareAt = share, now
}

// Admit decides whether a query is admitted.
func (s *Shedder) Admit(now time.Time, d Demand) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.current(now)
	if !s.options.Compete {
		return d.admitAlike(share)
	}
	k := s.kind(d)
	who := d.identity()
	if wait := k.early(now, who); wait > 0 {
		return Decision{Reason: ReasonEarly, RetryAfter: wait, Share: share}
	}
	if share < 1 && d.Remaining > 0 && d.Remaining < d.Cost {
		return Decision{Reason: ReasonLate, Share: share}
	}
	k.work.add(now, max(1, float64(d.Cost)))
	k.count.add(now, 1)
	k.addCaller(now, d.Caller)
	returning := k.takeInvitation(now, who)
	if returning {
		k.returned.add(now, 1)
	}
	chance := 1.0
	if share < 1 {
		chance = s.chance(now, k, d.Caller, share, returning)
	}
	if chance >= 1 || float64(d.Hash) < chance*math.MaxUint64 {
		k.repeats.add(now, who)
		return Decision{Admitted: true, Share: share, Chance: chance}
	}
	return Decision{Reason: ReasonShare, RetryAfter: k.invite(now, d, chance), Share: share, Chance: chance}
}

// chance returns the admitted share of the queries of a caller of a kind.
func (s *Shedder) chance(now time.Time, k *kind, caller string, share float64, returning bool) float64 {
	for _, a := range allocate(now, s.order, share) {
		if a.kind != k {
			continue
		}
		returned, fresh := k.split(now, a.admit)
		if returning {
			return returned
		}
		return k.callerShare(now, caller, fresh)
	}
	return share
}

// current returns the admitted share of the work, by the observations of this host and of
// other hosts.
func (s *Shedder) current(now time.Time) float64 {
	if now.Sub(s.peerShareAt) < peerShareTTL {
		return min(s.share, max(minShare, s.peerShare))
	}
	return s.share
}

// kind returns the record of a query's kind.
func (s *Shedder) kind(d Demand) *kind {
	route := d.Route
	if _, ok := s.kinds[route]; !ok && len(s.kinds) >= maxKinds {
		route = ""
	}
	k, ok := s.kinds[route]
	if !ok {
		k = &kind{callers: make(map[string]*sum)}
		s.kinds[route] = k
		s.order = append(s.order, k)
	}
	k.priority = d.Priority
	return k
}

// Ended adapts the share to the result of an admitted query: enough says whether the
// query had enough parts in time, overloaded whether any replica that it needed was at
// capacity. Without enough parts, overloaded must be false unless the overload is the
// cause.
func (s *Shedder) Ended(enough, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case enough && overloaded:
		s.share = min(1, s.share+overloadedStep)
	case enough:
		s.share = min(1, s.share+recoveryStep)
	case overloaded:
		s.share = max(minShare, s.share-shedStep)
	}
}
