package cost

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of an observation decays by half, so that
	// estimates follow a workload that changes.
	halfLife = 30 * time.Second
	// maxWeight bounds the weight of what was observed, in requests, so that estimates of
	// a frequent class follow sooner.
	maxWeight = 256
	// minWeight is the weight, in requests, from which a class may be distinct.
	minWeight = 24
	// minKeptWeight is the weight below which a class has lost its evidence.
	minKeptWeight = 1
	// enterDifference and leaveDifference are the factors between the usual times of a
	// class and of its route at which the class becomes distinct, and below which it no
	// longer is. Smaller differences are within the usual variation of service times.
	enterDifference = 1.4
	leaveDifference = 1.2
	// minErrors is the number of standard errors by which the means must differ: with
	// fewer, the many classes of a route differ by chance.
	minErrors = 4
	// maxLevelWeight is the weight, in requests, of what the level of a route consists of: a
	// short time, so that it follows pauses and overloads.
	maxLevelWeight = 32
	// maxClasses bounds the classes of a route.
	maxClasses = 64
)

// stat holds the weight, mean and variance of the logarithms of observed times. Older ones
// count less.
type stat struct {
	weight   float64 // at the time at
	mean     float64
	variance float64
	at       time.Time
	// offset and offsetVariance are the mean and variance of the differences between the
	// logarithms and the level of the route at their time. A pause or an overload that slows
	// down all classes thus makes none distinct, however few calls each of them has.
	offset         float64
	offsetVariance float64
	distinct       bool // as of the last observation; see isDistinct
}

// weightAt returns the weight at a time. A time before the last observation counts as that
// of the observation.
func (s *stat) weightAt(now time.Time) float64 {
	age := max(0, now.Sub(s.at))
	return s.weight * math.Exp2(-float64(age)/float64(halfLife))
}

// add adds an observation, given the level of the route.
func (s *stat) add(now time.Time, x, level, weight float64) {
	s.weight = min(s.weightAt(now), maxWeight-weight) + weight
	s.at = now
	share := weight / s.weight
	addMoments(&s.mean, &s.variance, x, share)
	addMoments(&s.offset, &s.offsetVariance, x-level, share)
}

// addMoments adds x to a weighted mean and variance, of which it gets a share.
func addMoments(mean, variance *float64, x, share float64) {
	d := x - *mean
	*mean += share * d
	*variance += share * (d*(x-*mean) - *variance)
}

// isDistinct reports whether the times are distinct from those of all calls of the route.
func (s *stat) isDistinct(now time.Time, all *stat) bool {
	return s.distinct && s.weightAt(now) >= minKeptWeight && s.difference(all) >= math.Log(leaveDifference)
}

// updateDistinct is called after an observation.
func (s *stat) updateDistinct(now time.Time, all *stat) {
	errors := math.Sqrt(s.offsetVariance / s.weight)
	evidence := s.weight >= minWeight && s.difference(all) > max(math.Log(enterDifference), minErrors*errors)
	s.distinct = evidence || s.isDistinct(now, all)
}

// difference returns by how much the logarithms differ from those of all calls of the route:
// the smaller of the difference between the means and of the offset, or 0 if these contradict
// each other. The means alone differ when one of two classes saw more of a pause, the offset
// alone when the workload has just changed.
func (s *stat) difference(all *stat) float64 {
	means := s.mean - all.mean
	if means*s.offset <= 0 {
		return 0
	}
	return min(math.Abs(means), math.Abs(s.offset))
}

func (s *stat) usual() time.Duration { return time.Duration(math.Exp(s.mean)) }

// tail returns the 0.95 quantile of a log-normal distribution with the mean and variance.
func (s *stat) tail() time.Duration {
	return time.Duration(math.Exp(s.mean + tailDeviations*math.Sqrt(s.variance)))
}
