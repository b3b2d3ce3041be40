package shed

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the sums by which demands are compared. It is longer
// than the gap between the requests of a kind, and shorter than a burst.
const demandHalfLife = time.Second

// Demand is what a request asks for.
type Demand struct {
	Route     string
	Priority  int           // 0 is the most urgent
	Cost      time.Duration // expected work
	Target    time.Duration // latency up to which the answer has its full value
	Remaining time.Duration // until the deadline
	Queue     time.Duration // until the calls that wait now have started
	Caller    string        // key of the caller; empty if unknown
	Content   uint64        // hash of what the caller asks, the same when it repeats the request
	Hash      uint64        // differs between requests; decides among equal ones
}

// sum is a sum of amounts that decay.
type sum struct {
	value float64
	at    time.Time
}

func (s *sum) get(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.value * math.Exp2(-float64(max(0, now.Sub(s.at)))/float64(demandHalfLife))
}

func (s *sum) add(now time.Time, amount float64) {
	s.value, s.at = s.get(now)+amount, now
}

// rate returns the amount in a second that leads to the sum.
func (s *sum) rate(now time.Time) float64 {
	return s.get(now) * math.Ln2 / demandHalfLife.Seconds()
}

// admitAlike decides about a request if all are admitted alike.
func (d Demand) admitAlike(share float64) Decision {
	out := Decision{Admitted: share >= 1 || float64(d.Hash) < share*math.MaxUint64, Share: share, Chance: share}
	if out.Admitted {
		return out
	}
	out.Reason = ReasonShare
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*d.spread()
	if wait := time.Duration(fraction * float64(d.Remaining)); wait+d.Target <= d.Remaining {
		out.RetryAfter = wait
	}
	return out
}
