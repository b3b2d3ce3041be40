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
// # Usage
//
//	s := shed.New()
//	if !s.Admit(now, hash) {
//		return reject(s.RetryAfter(remaining, target, hash))
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
	// which a rejected caller may retry. They differ so that callers do not return all at
	// once, and are small enough for a caller to be served before its deadline.
	minRetryFraction = 0.1
	maxRetryFraction = 0.3
)

// Shedder sheds queries over one set of shards: it admits a share of them, which it adapts
// to the overload. It is safe for concurrent use; its lock guards the shares.
type Shedder struct {
	mu          sync.Mutex
	share       float64
	peerShare   float64 // smallest share of other hosts, as last set by SetPeerShare
	peerShareAt time.Time
}

// New returns a Shedder that admits all queries.
func New() *Shedder { return &Shedder{share: 1} }

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

// Admit reports whether a query is admitted. The hash of its request ID decides.
func (s *Shedder) Admit(now time.Time, hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.share
	if now.Sub(s.peerShareAt) < peerShareTTL {
		share = min(share, max(minShare, s.peerShare))
	}
	return share >= 1 || float64(hash) < share*math.MaxUint64
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

// RetryAfter returns how long a rejected caller must wait before it may retry, given its
// remaining time and the target latency of its query. It returns 0 if a retry could not be
// served before the deadline. The hash spreads the retries of different callers.
func (s *Shedder) RetryAfter(remaining, target time.Duration, hash uint64) time.Duration {
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*float64(hash>>11)/(1<<53)
	wait := time.Duration(fraction * float64(remaining))
	if wait+target > remaining {
		return 0
	}
	return wait
}
