package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/await"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/cost"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/simul"
)

const (
	ms        = time.Millisecond
	slots     = 2
	simulated = 60 * time.Second
	// measuredFrom leaves out the time in which the estimates are learned.
	measuredFrom = 15 * time.Second
	attempts     = 2
	// linger is how long a call may still run after its request has been answered.
	linger = 300 * ms
	// startFactor is the relay's: a call needs this multiple of its usual time.
	startFactor = 1.5
	pauseTime   = 200 * ms
	pauseEvery  = 4500 * ms
	// callSigma is the deviation of the logarithm of the times of two calls of a request.
	callSigma = 0.25
)

// kind is a kind of request behind the one route.
type kind struct {
	path  string
	body  int
	work  time.Duration // median
	sigma float64       // of the logarithm of the work
	share float64       // of the requests
}

func (k *kind) mean() float64 { return k.work.Seconds() * math.Exp(k.sigma*k.sigma/2) }

// scenario is a load on the replicas of one service.
type scenario struct {
	name   string
	kinds  []kind
	speeds []float64 // factor of the service time, by replica
	hosts  int
	load   float64 // of all slots
	// minInTime is the smallest share of the requests in time by the estimates of classes,
	// relative to the share by those of the route, and maxWaste the same for the wasted work.
	minInTime, maxWaste float64
}

// request is a request of the simulation.
type request struct {
	kind     *kind
	host     *host
	class    cost.Class
	work     time.Duration
	estimate cost.Estimate
	begin    time.Duration
	tried    []*picker.Replica
	calls    []*call
	answered bool
}

type call struct {
	request *request
	replica *picker.Replica
	server  *server
	start   time.Duration
	work    time.Duration
	served  time.Duration // when the server started it; 0 if it waits
	ended   bool
}

// host is one host of the simulation.
type host struct {
	table   *picker.Table
	model   *cost.Model
	waiting *await.Queue[*request]
	extra   *budget.Extra
}

// server is a replica, which serves first in, first out.
type server struct {
	speed   float64
	running int
	waiting []*call
	pausing time.Duration // end of the last pause
}

// simulation is one run of a scenario.
type simulation struct {
	scenario scenario
	rng      *rand.Rand
	clock    *simul.Clock
	hosts    []*host
	servers  map[core.InstanceID]*server
	byClass  bool // whether requests have classes, or only their route

	total, inTime map[*kind]float64
	useful, waste time.Duration
	bases         map[cost.Basis]int // number of requests by what their estimate rests on
}

func newSimulation(sc scenario, seed uint64, byClass bool) *simulation {
	s := &simulation{
		scenario: sc, clock: simul.New(), rng: rand.New(rand.NewPCG(seed, 7)), byClass: byClass,
		servers: map[core.InstanceID]*server{}, total: map[*kind]float64{}, bases: map[cost.Basis]int{}, inTime: map[*kind]float64{},
	}
	for i := range sc.hosts {
		h := &host{
			table: picker.New(core.HostID(fmt.Sprint("h", i)), "a"), model: cost.New(), waiting: await.New[*request](),
			extra: budget.NewExtra(budget.ExtraLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 20}, sc.hosts),
		}
		for n, speed := range sc.speeds {
			id := core.InstanceID(fmt.Sprint("i-", n))
			h.table.Put(s.clock.Now(), core.Instance{ID: id, Service: "s", Address: string(id), DataCentre: "a", Slots: slots})
			s.servers[id] = &server{speed: speed}
		}
		s.hosts = append(s.hosts, h)
	}
	for n := range sc.speeds {
		s.pause(s.servers[core.InstanceID(fmt.Sprint("i-", n))])
	}
	return s
}

func (s *simulation) pause(v *server) {
	s.clock.After(time.Duration(s.rng.Float64()*2*float64(pauseEvery)), func() {
		v.pausing = s.clock.Elapsed() + pauseTime
		if s.clock.Elapsed() < simulated {
			s.pause(v)
		}
	})
}

func (s *simulation) run() {
	mean := 0.0
	for i := range s.scenario.kinds {
		mean += s.scenario.kinds[i].share * s.scenario.kinds[i].mean()
	}
	s.arrive(s.scenario.load * float64(len(s.scenario.speeds)*slots) / mean)
	s.clock.Run()
}

// arrive makes a request at one of the hosts and schedules the next one.
func (s *simulation) arrive(rate float64) {
	k, x := &s.scenario.kinds[0], s.rng.Float64()
	for i := range s.scenario.kinds {
		if k = &s.scenario.kinds[i]; x < k.share {
			break
		}
		x -= k.share
	}
	r := &request{kind: k, host: s.hosts[s.rng.IntN(len(s.hosts))], begin: s.clock.Elapsed()}
	r.work = time.Duration(float64(k.work) * math.Exp(k.sigma*s.rng.NormFloat64()))
	uri := fmt.Sprint(k.path, s.rng.IntN(100000))
	r.class = cost.ClassOf("r", "GET", "/", 0)
	if s.byClass {
		r.class = cost.ClassOf("r", "POST", uri, k.body)
	}
	r.estimate = r.host.model.Estimate(s.clock.Now(), r.class, target)
	if s.counted(r) {
		s.bases[r.estimate.Basis]++
	}
	if s.counted(r) {
		s.total[k]++
	}
	r.host.extra.RecordRequests(s.clock.Now(), "s", 1)
	s.attempt(r, true)
	s.clock.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.clock.Elapsed() < simulated {
			s.arrive(rate)
		}
	})
}

func (s *simulation) counted(r *request) bool { return r.begin >= measuredFrom }

// attempt starts a call of a request, or lets the request wait for a slot if mayWait is set.
func (s *simulation) attempt(r *request, mayWait bool) {
	now := s.clock.Now()
	replica, busy := r.host.table.Pick(now, "s", r.estimate.Usual, r.tried)
	if replica == nil {
		if busy && mayWait {
			latest := r.begin + target - time.Duration(startFactor*float64(r.estimate.Usual))
			r.host.waiting.Add("s", r, now.Add(latest-s.clock.Elapsed()))
		}
		return
	}
	if len(r.calls) > 0 {
		if !r.host.extra.Take(now, "s") {
			return
		}
	}
	r.host.table.StartCall(now, replica, r.estimate.Usual)
	r.tried = append(r.tried, replica)
	c := &call{request: r, replica: replica, server: s.servers[replica.Instance().ID], start: s.clock.Elapsed()}
	c.work = time.Duration(float64(r.work) * math.Exp(callSigma*s.rng.NormFloat64()))
	r.calls = append(r.calls, c)
	if c.server.running < slots {
		s.serve(c)
	} else {
		c.server.waiting = append(c.server.waiting, c)
	}
	if len(r.calls) < attempts {
		s.clock.After(r.estimate.Late, func() {
			if !r.answered {
				s.attempt(r, false)
			}
		})
	}
}

func (s *simulation) serve(c *call) {
	c.server.running++
	c.served = max(1, s.clock.Elapsed())
	took := time.Duration(float64(c.work)*c.server.speed) + max(0, c.server.pausing-s.clock.Elapsed())
	s.clock.After(took, func() { s.end(c, false) })
}

// end ends a call that was answered, or one of an answered request after its linger.
func (s *simulation) end(c *call, abandoned bool) {
	if c.ended {
		return
	}
	c.ended = true
	if c.served > 0 {
		c.server.running--
	}
	// The report includes the call itself.
	load := picker.Load{Running: c.server.running + 1, Waiting: len(c.server.waiting), Slots: slots}
	s.startNext(c.server)
	r, now, took := c.request, s.clock.Now(), s.clock.Elapsed()-c.start
	e := picker.CallEnd{Took: took, Expected: r.estimate.Usual, Abandoned: abandoned}
	if !abandoned {
		e.Load = &load
		r.host.model.Observe(now, r.class, cost.Sample{Took: took, Slowness: r.host.table.Slowness(now, c.replica)})
	}
	r.host.table.Ended(now, c.replica, e)
	s.count(c)
	s.answer(r)
	for next, ok := r.host.waiting.Next(now, "s"); ok; next, ok = r.host.waiting.Next(now, "s") {
		if s.clock.Elapsed()-next.begin < 5*target { // its caller has not left
			s.attempt(next, true)
			break
		}
	}
}

func (s *simulation) startNext(v *server) {
	for v.running < slots && len(v.waiting) > 0 {
		next := v.waiting[0]
		v.waiting = v.waiting[1:]
		if !next.ended {
			s.serve(next)
		}
	}
}

// count counts the work of a call, which is wasted if its request had been answered.
func (s *simulation) count(c *call) {
	if !s.counted(c.request) || c.served == 0 {
		return
	}
	if work := s.clock.Elapsed() - c.served; c.request.answered {
		s.waste += work
	} else {
		s.useful += work
	}
}

// answer answers a request with the call that has just ended.
func (s *simulation) answer(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if s.counted(r) && s.clock.Elapsed()-r.begin <= target {
		s.inTime[r.kind]++
	}
	for _, c := range r.calls {
		if !c.ended {
			s.clock.After(linger, func() { s.end(c, true) })
		}
	}
}

// result is the outcome of several runs of a scenario.
type result struct {
	inTime float64   // share of the requests answered within the target
	kinds  []float64 // the same by kind
	waste  float64   // wasted work per useful work
	bases  map[cost.Basis]int
}

func measure(sc scenario, byClass bool) result {
	res := result{bases: map[cost.Basis]int{}, kinds: make([]float64, len(sc.kinds))}
	totals, all, inTime := make([]float64, len(sc.kinds)), 0.0, 0.0
	var useful, waste time.Duration
	for seed := range uint64(5) {
		s := newSimulation(sc, seed, byClass)
		s.run()
		for i := range sc.kinds {
			k := &s.scenario.kinds[i]
			totals[i] += s.total[k]
			res.kinds[i] += s.inTime[k]
			all += s.total[k]
			inTime += s.inTime[k]
		}
		useful += s.useful
		waste += s.waste
		for b, n := range s.bases {
			res.bases[b] += n
		}
	}
	for i := range totals {
		res.kinds[i] /= totals[i]
	}
	res.inTime, res.waste = inTime/all, float64(waste)/float64(useful)
	return res
}

func (r result) String() string {
	kinds := ""
	for _, k := range r.kinds {
		kinds += fmt.Sprintf(" %.4f", k)
	}
	return fmt.Sprintf("in time %.4f (by kind%s), wasted work %.4f, estimates %v", r.inTime, kinds, r.waste, r.bases)
}

var alike = []float64{1, 1, 1, 1}

// unequal returns cheap requests and a fifth that take twenty times as long.
func unequal(cheap, expensive string, cheapBody, expensiveBody int) []kind {
	return []kind{
		{cheap, cheapBody, 4 * ms, 0.25, 0.8},
		{expensive, expensiveBody, 80 * ms, 0.25, 0.2},
	}
}

// TestUnequalRequests guards against requests of one route that are all treated like the usual
// one: expensive ones that are hedged at once and make their replicas look slow, and cheap
// ones whose hedges come too late; also against a loss where requests are alike or can't be
// told apart.
func TestUnequalRequests(t *testing.T) {
	byPath := unequal("/item/", "/report/", 0, 0)
	for _, sc := range []scenario{
		{"path, 0.3 of the slots", byPath, alike, 6, 0.3, 0.99, 0.4},
		{"path, 0.6 of the slots", byPath, alike, 6, 0.6, 1.03, 0.4},
		{"path, 0.9 of the slots", byPath, alike, 6, 0.9, 1.05, 0.9},
		{"body size", unequal("/find/", "/find/", 300, 60000), alike, 6, 0.6, 1.03, 0.4},
		{"few expensive requests", []kind{{"/item/", 0, 10 * ms, 0.25, 0.95}, {"/report/", 0, 160 * ms, 0.25, 0.05}}, alike, 6, 0.6, 1, 0.5},
		{"heavy tail", []kind{{"/item/", 0, 4 * ms, 0.25, 0.8}, {"/report/", 0, 40 * ms, 1, 0.2}}, alike, 6, 0.6, 1.02, 0.75},
		{"three speeds", byPath, []float64{0.8, 1, 1, 1.3}, 6, 0.6, 1.03, 0.4},
		{"two hosts", byPath, alike, 2, 0.6, 1, 0.4},
		{"many hosts with stale reports", byPath, alike, 24, 0.6, 1.05, 0.5},
		{"alike", []kind{{"/item/", 0, 20 * ms, 0.25, 0.8}, {"/report/", 0, 20 * ms, 0.25, 0.2}}, alike, 6, 0.6, 1, 1},
		{"not told apart", unequal("/item/", "/item/", 0, 0), alike, 6, 0.6, 1, 1},
	} {
		t.Run(sc.name, func(t *testing.T) {
			byRoute, byClass := measure(sc, false), measure(sc, true)
			t.Logf("estimates of the route: %v", byRoute)
			t.Logf("estimates of classes: %v", byClass)
			if byClass.inTime < sc.minInTime*byRoute.inTime {
				t.Errorf("%.4f in time, want at least %.2f times %.4f", byClass.inTime, sc.minInTime, byRoute.inTime)
			}
			if byClass.waste > sc.maxWaste*byRoute.waste {
				t.Errorf("wasted work %.4f, want at most %.2f times %.4f", byClass.waste, sc.maxWaste, byRoute.waste)
			}
		})
	}
}
