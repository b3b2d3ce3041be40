package shed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/await"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/shed"
	"oriolebarrow/core/simul"
)

const (
	shards        = 20
	maxMissing    = 2 // shards that an answer may lack
	slots         = 2
	queueLimit    = 12
	serviceTime   = 28 * time.Millisecond
	target        = 200 * time.Millisecond
	closeAfter    = 189 * time.Millisecond // after its start, a query ends with the parts that it has
	callerTimeout = 3 * time.Second
	refusalTime   = time.Millisecond
	runLength     = 12 * time.Second
	faultFrom     = 2 * time.Second
	faultTo       = 10 * time.Second
)

// replica is a backend server of the simulation.
type replica struct {
	running int
	waiting []*call
	shed    float64 // fraction of the calls that it refuses
	slow    float64 // factor of the service time
	silent  bool    // answers no call
}

type call struct {
	query   *query
	shard   int
	host    *host
	replica *picker.Replica
	begin   time.Duration
	first   bool
}

type query struct {
	id               uint64
	content          uint64 // the same in all attempts of a caller
	host             *host
	begin            time.Duration
	firstTry         bool // false for a retry of a caller
	rejected         bool // an earlier query of its caller was rejected
	received, failed int  // shards with a result, and without
	included         [shards]bool
	refused          [shards]bool
	tried            [shards][]*picker.Replica
	closed           bool
}

type host struct {
	table   *picker.Table
	waiting *await.Queue[part]
	extra   *budget.Extra
	shedder *shed.Shedder
}

// part is a call that waits at a host for a free slot.
type part struct {
	query *query
	shard int
}

// scenario is a rate of callers and a fault that lasts from faultFrom to faultTo.
type scenario struct {
	name  string
	rate  float64                        // callers per second
	burst float64                        // factor of the rate during the fault, or 0
	fault func(shard, n int, r *replica) // applies the fault to one replica
	// minPayoff is the lower limit of the callers' payoff during the fault, relative to a
	// baseline that admits all queries. It is 1 if replicas are at capacity, and 0.95 if
	// not, since users accept a difference of 5% between kinds of request. It is 0 if no
	// query can have enough parts.
	minPayoff float64
	compete   bool // see shed.Options
}

// simulation is one run of a scenario.
type simulation struct {
	scenario scenario
	rng      *rand.Rand
	clock    *simul.Clock
	hosts    []*host
	replicas map[core.InstanceID]*replica
	reject   bool // whether hosts may reject queries; false for the baseline
	nextID   uint64

	// callers counts the callers that arrive during the fault. payoff sums the payoff of
	// the queries that begin during it: the square of the fraction of shards in the answer,
	// times a factor if the query is a retry. afterCallers and afterPayoff are the same for
	// the time from one second after the end of the fault on.
	callers, payoff           float64
	afterCallers, afterPayoff float64
	rejected                  int
}

func service(shard int) core.ServiceName { return core.ServiceName(fmt.Sprint("s", shard)) }

func newSimulation(sc scenario, hosts int, seed uint64, reject bool) *simulation {
	sim := &simulation{clock: simul.New(), scenario: sc, rng: rand.New(rand.NewPCG(seed, 2)), replicas: map[core.InstanceID]*replica{}, reject: reject}
	for i := range hosts {
		h := &host{
			table:   picker.New(core.HostID(fmt.Sprint("h", i)), "a"),
			extra:   budget.NewExtra(budget.ExtraLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 58}, hosts),
			shedder: shed.New(shed.Options{Compete: sc.compete}),
			waiting: await.New[part](),
		}
		sim.hosts = append(sim.hosts, h)
		for s := range shards {
			for n := range 2 {
				id := core.InstanceID(fmt.Sprint("s", s, "-", n))
				h.table.Put(sim.clock.Now(), core.Instance{ID: id, Service: service(s), Address: string(id), DataCentre: "a", Slots: slots})
				sim.replicas[id] = &replica{slow: 1}
			}
		}
	}
	sim.clock.At(faultFrom, func() { sim.setFault(sc.fault) })
	sim.clock.At(faultTo, func() { sim.setFault(func(_, _ int, r *replica) { r.shed, r.slow, r.silent = 0, 1, false }) })
	return sim
}

// setFault calls apply for each replica, unless apply is nil.
func (sim *simulation) setFault(apply func(int, int, *replica)) {
	if apply == nil {
		return
	}
	for s := range shards {
		for n := range 2 {
			apply(s, n, sim.replicas[core.InstanceID(fmt.Sprint("s", s, "-", n))])
		}
	}
}

func (sim *simulation) faultActive() bool {
	return sim.clock.Elapsed() >= faultFrom && sim.clock.Elapsed() < faultTo
}

func (sim *simulation) run() {
	sim.arrive()
	sim.clock.Run()
}

// arrive starts the query of a caller and schedules the next caller.
func (sim *simulation) arrive() {
	if sim.clock.Elapsed() >= runLength {
		return
	}
	rate := sim.scenario.rate
	if sim.faultActive() && sim.scenario.burst > 0 {
		rate *= sim.scenario.burst
	}
	sim.submit(&query{begin: sim.clock.Elapsed(), content: sim.rng.Uint64(), firstTry: true})
	sim.clock.After(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), sim.arrive)
}

func (sim *simulation) submit(q *query) {
	sim.nextID++
	q.id = sim.rng.Uint64()
	q.host = sim.hosts[sim.rng.IntN(len(sim.hosts))]
	switch {
	case sim.faultActive() && q.firstTry:
		sim.callers++
	case sim.clock.Elapsed() >= faultTo+time.Second && q.firstTry:
		sim.afterCallers++
	}
	if sim.reject {
		d := q.host.shedder.Admit(sim.clock.Now(), shed.Demand{
			Route: "q", Cost: serviceTime, Target: target, Remaining: callerTimeout, Content: q.content, Hash: q.id,
		})
		if !d.Admitted {
			sim.rejected++
			if q.firstTry {
				sim.clock.After(d.RetryAfter, func() {
					sim.submit(&query{begin: sim.clock.Elapsed(), content: q.content, rejected: true})
				})
			}
			return
		}
	}
	for s := range shards {
		sim.send(q, s, true)
	}
	sim.clock.After(closeAfter, func() { sim.close(q) })
}

func (sim *simulation) send(q *query, shard int, first bool) bool {
	latestStart := sim.clock.Now().Add(q.begin + closeAfter - sim.clock.Elapsed() - serviceTime)
	r, busy := q.host.table.Pick(sim.clock.Now(), service(shard), serviceTime, q.tried[shard])
	if r == nil && busy {
		q.host.waiting.Add(service(shard), part{q, shard}, latestStart)
		return true
	}
	if r == nil && !first {
		r = q.host.table.PickTried(sim.clock.Now(), serviceTime, q.tried[shard])
	}
	if r == nil {
		return false
	}
	if first {
		q.host.extra.RecordRequests(sim.clock.Now(), service(shard), 1)
	} else if !q.host.extra.Take(sim.clock.Now(), service(shard)) {
		q.refused[shard] = true
		return false
	}
	q.tried[shard] = append(q.tried[shard], r)
	q.host.table.Start(sim.clock.Now(), r)
	c := &call{query: q, shard: shard, host: q.host, replica: r, begin: sim.clock.Elapsed(), first: first}
	server := sim.replicas[r.Instance().ID]
	switch {
	case server.silent:
		sim.clock.After(closeAfter, func() { sim.ended(c, false, true) })
	case sim.rng.Float64() < server.shed || len(server.waiting) >= queueLimit:
		sim.clock.After(refusalTime, func() { sim.ended(c, true, false) })
	case server.running < slots:
		sim.serve(server, c)
	default:
		server.waiting = append(server.waiting, c)
	}
	return true
}

func (sim *simulation) serve(server *replica, c *call) {
	server.running++
	took := time.Duration(server.slow * float64(serviceTime) * math.Exp(0.35*sim.rng.NormFloat64()-0.06))
	sim.clock.After(took, func() {
		server.running--
		if len(server.waiting) > 0 {
			next := server.waiting[0]
			server.waiting = server.waiting[1:]
			sim.serve(server, next)
		}
		sim.ended(c, false, false)
	})
}

func (sim *simulation) ended(c *call, refused, silent bool) {
	server := sim.replicas[c.replica.Instance().ID]
	c.host.table.Ended(sim.clock.Now(), c.replica, picker.CallEnd{
		Took: sim.clock.Elapsed() - c.begin, Expected: serviceTime, Refused: refused, Silent: silent,
		Load: &picker.Load{Running: server.running, Waiting: len(server.waiting), Slots: slots},
	})
	defer sim.offerSlot(c.host, c.shard)
	q := c.query
	switch {
	case q.closed:
	case refused:
		q.refused[c.shard] = true
		if len(q.tried[c.shard]) < 4 && sim.send(q, c.shard, false) {
			return
		}
		q.failed++
	case silent:
		q.failed++
	default:
		q.received++
		q.included[c.shard] = true
	}
	sim.closeIfSettled(q)
}

func (sim *simulation) closeIfSettled(q *query) {
	if !q.closed && (q.received+q.failed == shards || q.failed > maxMissing) {
		sim.close(q)
	}
}

// offerSlot starts waiting calls to a shard until one has to wait again.
func (sim *simulation) offerSlot(h *host, shard int) {
	for {
		p, ok := h.waiting.Next(sim.clock.Now(), service(shard))
		if !ok {
			return
		}
		if p.query.closed {
			continue
		}
		calls := len(p.query.tried[shard])
		if !sim.send(p.query, shard, calls == 0) {
			p.query.failed++
			sim.closeIfSettled(p.query)
		} else if len(p.query.tried[shard]) == calls {
			return
		}
	}
}

// close ends a query with the parts that it has.
func (sim *simulation) close(q *query) {
	if q.closed {
		return
	}
	q.closed = true
	enough := q.received >= shards-maxMissing
	overloaded, missing := 0, 0
	for s := range shards {
		triedOverloaded := false
		for _, r := range q.tried[s] {
			triedOverloaded = triedOverloaded || !q.included[s] && q.host.table.Overloaded(sim.clock.Now(), r)
		}
		if q.refused[s] || triedOverloaded {
			overloaded++
			if !q.included[s] {
				missing++
			}
		}
	}
	q.host.shedder.Ended(enough, overloaded > 0 && (enough || q.received+missing >= shards-maxMissing))
	if enough {
		payoff := math.Pow(float64(q.received)/shards, 2)
		if q.rejected {
			payoff *= 0.55 // served in time after a rejection
		} else if !q.firstTry {
			payoff *= 0.1 // late
		}
		if q.begin >= faultTo+time.Second {
			sim.afterPayoff += payoff
		} else if q.begin >= faultFrom && q.begin < faultTo {
			sim.payoff += payoff
		}
		return
	}
	if q.firstTry {
		sim.submit(&query{begin: sim.clock.Elapsed(), content: q.content, rejected: q.rejected})
	}
}

// scenarios are the faults and bursts of the test. Those without overload check that
// shedding does not reduce the payoff.
var scenarios = []scenario{
	{name: "one replica of each shard sheds", rate: 98, minPayoff: 1, fault: func(_, n int, r *replica) {
		if n == 0 {
			r.shed = 0.6
		}
	}},
	{name: "one replica of each third shard is slow", rate: 98, minPayoff: 1, fault: func(s, n int, r *replica) {
		if n == 0 && s%3 == 0 {
			r.slow = 11
		}
	}},
	{name: "burst", rate: 98, burst: 1.7, minPayoff: 1},
	{name: "slower calls", rate: 98, minPayoff: 1, fault: func(_, _ int, r *replica) { r.slow = 1.7 }},
	{name: "some shards are silent", rate: 98, minPayoff: 0.95, fault: func(s, _ int, r *replica) { r.silent = s < maxMissing }},
	{name: "too many shards are silent", rate: 98, minPayoff: 0, fault: func(s, _ int, r *replica) { r.silent = s <= maxMissing }},
	{name: "no fault", rate: 98, minPayoff: 0.95},
	{name: "high load", rate: 125, minPayoff: 0.95},
}

// payoffs returns the mean payoff per caller, during the fault and from one second
// after its end on, and the mean number of rejections per run, over several seeds.
func payoffs(sc scenario, hosts int, reject bool) (during, after float64, rejected int) {
	const seeds = 4
	var sum simulation
	for seed := range uint64(seeds) {
		sim := newSimulation(sc, hosts, seed, reject)
		sim.run()
		sum.callers += sim.callers
		sum.payoff += sim.payoff
		sum.afterCallers += sim.afterCallers
		sum.afterPayoff += sim.afterPayoff
		sum.rejected += sim.rejected
	}
	return sum.payoff / sum.callers, sum.afterPayoff / sum.afterCallers, sum.rejected / seeds
}

// TestOverloads guards against queries that all lack a few parts when shards are
// overloaded, and against rejections without overload. For each scenario and number of
// hosts, it compares the callers' payoff with that of a baseline that admits all queries.
func TestOverloads(t *testing.T) {
	for i := range 2 * len(scenarios) {
		sc := scenarios[i/2]
		sc.compete = i%2 > 0
		for _, hosts := range []int{3, 9} {
			t.Run(fmt.Sprintf("%s/%d hosts/compete %v", sc.name, hosts, sc.compete), func(t *testing.T) {
				t.Parallel()
				base, baseAfter, _ := payoffs(sc, hosts, false)
				got, after, rejected := payoffs(sc, hosts, true)
				t.Logf("payoff %.3f, baseline %.3f; after the fault %.3f, baseline %.3f; %d rejected",
					got, base, after, baseAfter, rejected)
				if got < sc.minPayoff*base {
					t.Errorf("the payoff is %.3f, want at least %.2f times the baseline %.3f", got, sc.minPayoff, base)
				}
				if after < 0.95*baseAfter {
					t.Errorf("after the fault the payoff is %.3f, want at least 0.95 times the baseline %.3f", after, baseAfter)
				}
			})
		}
	}
}
