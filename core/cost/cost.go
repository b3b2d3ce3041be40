// Package cost estimates how much work a request causes at a replica before it is sent: the
// usual time of its calls, and the time from which a call is late. It learns from the calls of
// this host, by route. Within a route, requests whose body size, method or path tell their
// work get an estimate of their own; see Class.
//
// # Usage
//
//	m := cost.New()
//	class := cost.ClassOf("tickets", "GET", "/tickets/audit/17", 0)
//	e := m.Estimate(now, class, target)
//	m.Observe(now, class, cost.Sample{Took: took, Slowness: 1, Weight: 1})
package cost

import (
	"math"
	"sync"
	"time"

	"oriolebarrow/core/budget"
)

const (
	// defaultTimeDivisor and defaultLateDivisor divide a route's target to get the usual
	// time of a call and the time from which it is late until enough calls have been
	// observed.
	defaultTimeDivisor = 5
	defaultLateDivisor = 3
	// minLate keeps a hedge from following the first call at once.
	minLate = 3 * time.Millisecond
	// lateFactor times the usual time is the upper bound of the time from which a call is
	// late: service times vary by a third, so few ordinary calls take so long. A bound
	// taken from the tail of the call times alone would adapt to slow replicas.
	lateFactor = 2
	// tailDeviations is the number of standard deviations of the 0.95 quantile.
	tailDeviations = 1.645
	// minTook is the shortest time that counts, since the logarithm of zero is not finite.
	minTook = 50 * time.Microsecond
	// maxCorrection limits the factor by which the slowness of a replica corrects a time.
	maxCorrection = 4
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 512
)

// Estimate is the expected work of a request.
type Estimate struct {
	Usual time.Duration // usual time of a call
	Late  time.Duration // time after which a call takes longer than expected
	Basis Basis
}

// Basis tells what an Estimate rests on.
type Basis string

// What an Estimate rests on, from the most general to the most specific.
const (
	BasisTarget  Basis = "target" // no calls observed: a fraction of the route's target
	BasisRoute   Basis = "route"
	BasisSize    Basis = "size"    // method and size of the body
	BasisPrefix  Basis = "prefix"  // method and first segments of the path
	BasisPattern Basis = "pattern" // method and pattern of the path
	BasisAll     Basis = "pattern_and_size"
)

// Sample is an observed call that was answered.
type Sample struct {
	Took time.Duration
	// Slowness is the time that the replica needs for calls in general. Only its ratio to
	// the replicas of other calls of the route matters. 0 counts as 1.
	Slowness float64
	// Weight is the share of the request that the call represents: 1/n for a query over n
	// shards, since its parts are not independent observations. 0 counts as 1.
	Weight float64
	// RouteOnly is set if the answer says nothing about the work of the class, for example
	// that of a rejected request.
	RouteOnly bool
}

// Model estimates the work of requests. It is safe for concurrent use. Its lock is held for
// no call outside this package but those of budget.Times, which has no lock.
type Model struct {
	mu     sync.Mutex
	routes map[string]*routeModel
}

// New returns a Model that has observed nothing.
func New() *Model { return &Model{routes: make(map[string]*routeModel)} }

// Estimate returns the expected work of a request of a class whose route has a target.
func (m *Model) Estimate(now time.Time, c Class, target time.Duration) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes[c.route]
	if !ok || !r.times.Known() {
		return Estimate{target / defaultTimeDivisor, target / defaultLateDivisor, BasisTarget}
	}
	if i, s := r.distinct(now, c); s != nil {
		usual := s.usual()
		return Estimate{usual, lateAfter(usual, s.tail()), bases[i]}
	}
	return Estimate{r.times.Median(), lateAfter(r.times.Median(), r.times.Tail()), BasisRoute}
}

func lateAfter(usual, tail time.Duration) time.Duration {
	return max(minLate, min(tail, lateFactor*usual))
}

// Observe records a call.
func (m *Model) Observe(now time.Time, c Class, s Sample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes[c.route]
	if !ok {
		m.makeRoom()
		r = newRouteModel()
		m.routes[c.route] = r
	}
	r.usedAt = now
	r.times.Observe(s.Took)
	if !s.RouteOnly {
		r.observe(now, c, s)
	}
}

// logSlowness returns the logarithm of the replica's slowness.
func (s Sample) logSlowness() float64 {
	if s.Slowness <= 0 {
		return 0
	}
	return math.Log(s.Slowness)
}

func (s Sample) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// makeRoom removes the route that was used least recently if there are maxRoutes.
func (m *Model) makeRoom() {
	if len(m.routes) < maxRoutes {
		return
	}
	oldest := ""
	for name, r := range m.routes {
		if oldest == "" || r.usedAt.Before(m.routes[oldest].usedAt) {
			oldest = name
		}
	}
	delete(m.routes, oldest)
}

// Size returns the numbers of routes and classes that the model holds.
func (m *Model) Size() (routes, classes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.routes {
		classes += len(r.classes)
	}
	return len(m.routes), classes
}

// routeModel is what is known of one route.
type routeModel struct {
	times *budget.Times
	all   stat // of all calls
	// level and slowness are the moving averages of the logarithms of the newest times and of
	// the slowness of their replicas, and levelWeight their weight, at most maxLevelWeight.
	level, slowness, levelWeight float64
	classes                      map[uint64]*stat
	usedAt                       time.Time
}

func newRouteModel() *routeModel {
	return &routeModel{times: new(budget.Times), classes: make(map[uint64]*stat)}
}

// distinct returns the statistics of the class by which to estimate a request, and its
// index; nil if no class of the request is distinct from the route.
func (r *routeModel) distinct(now time.Time, c Class) (index int, best *stat) {
	for i := len(c.keys) - 1; i >= 0; i-- {
		s, ok := r.classes[c.keys[i]]
		if !ok || !s.isDistinct(now, &r.all) {
			continue
		}
		if i == allFeatures {
			return i, s
		}
		if best == nil || s.variance < best.variance {
			index, best = i, s
		}
	}
	return index, best
}

func (r *routeModel) observe(now time.Time, c Class, sample Sample) {
	weight := sample.weight()
	r.levelWeight = min(r.levelWeight, maxLevelWeight-weight) + weight
	share := weight / r.levelWeight
	r.slowness += share * (sample.logSlowness() - r.slowness)
	limit := math.Log(maxCorrection)
	correction := min(limit, max(-limit, sample.logSlowness()-r.slowness))
	logWork := math.Log(float64(max(minTook, sample.Took))) - correction
	if r.all.weight == 0 {
		r.level = logWork
	}
	r.all.add(now, logWork, r.level, weight)
	for _, key := range c.keys {
		s, ok := r.classes[key]
		if !ok {
			r.makeRoom(now)
			s = new(stat)
			r.classes[key] = s
		}
		s.add(now, logWork, r.level, weight)
		s.updateDistinct(now, &r.all)
	}
	r.level += share * (logWork - r.level)
}

// makeRoom removes the class with the smallest weight, of equal ones the oldest, if there
// are maxClasses.
func (r *routeModel) makeRoom(now time.Time) {
	if len(r.classes) < maxClasses {
		return
	}
	var victim uint64
	least, at := math.Inf(1), time.Time{}
	for key, s := range r.classes {
		if w := s.weightAt(now); w < least || w == least && s.at.Before(at) {
			victim, least, at = key, w, s.at
		}
	}
	delete(r.classes, victim)
}
