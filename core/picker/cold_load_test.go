package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/simul"
	"oriolebarrow/core/warm"
)

// The simulation has hosts in three data centres, and a replica of each shard in each of them. From
// returnAt on, the replicas of the first data centre return cold, while callers ask for all shards.
const (
	coldShards  = 12
	coldRate    = 20.0 // requests per second that a cold replica tolerates
	coldSlots   = 2
	partTime    = 5 * time.Millisecond
	queryRate   = 240.0 // per second, from all data centres
	returnAt    = 3 * time.Second
	coldTime    = 5 * time.Second
	simulEnd    = 14 * time.Second
	crashTime   = time.Second // from a crash to the next start
	entryDelay  = 600 * time.Millisecond
	maxLost     = 1 // shards that an answer may lack
	queryTarget = 200 * time.Millisecond
)

var (
	coldBounds = warm.Bounds{Overshoot: 1.5, Slack: 5}
	coldBound  = int(coldRate*coldBounds.Overshoot + coldBounds.Slack)
	dcs        = []core.DataCentre{"a", "b", "c"}
)

// coldServer is a backend server of the simulation.
type coldServer struct {
	inst      core.Instance
	down      bool
	coldUntil time.Duration
	running   int
	queue     []*part
	arrivals  []time.Duration // within the current lifetime, while it was cold
	crashes   int
	most      int // most arrivals within a second while it was cold
}

type part struct {
	query  *coldQuery
	shard  int
	target *picker.Replica
	born   int64 // of the server's lifetime
	begin  time.Duration
}

type coldQuery struct {
	host  *coldHost
	begin time.Duration
	open  int
	got   int
}

type coldHost struct {
	id    core.HostID
	dc    core.DataCentre
	table *picker.Table // nil while it does not run
	began time.Duration
}

type coldSim struct {
	clock   *simul.Clock
	rng     *rand.Rand
	limited bool
	hosts   []*coldHost
	servers map[core.InstanceID]*coldServer

	queries int     // that began while replicas could be cold
	payoff  float64 // of these queries
}

func serverID(shard int, dc core.DataCentre) core.InstanceID {
	return core.InstanceID(fmt.Sprint("s", shard, "-", dc))
}

func newColdSim(limited bool, hostsPerDC int, seed uint64) *coldSim {
	sim := &coldSim{clock: simul.New(), rng: rand.New(rand.NewPCG(seed, 9)), limited: limited, servers: make(map[core.InstanceID]*coldServer)}
	for s := range coldShards {
		for i, dc := range dcs {
			id := serverID(s, dc)
			sim.servers[id] = &coldServer{down: i == 0, inst: core.Instance{
				ID: id, Service: service(s), Address: "10.0.0.1:80", DataCentre: dc, Slots: coldSlots, Born: 1,
			}}
		}
	}
	for i := range hostsPerDC * len(dcs) {
		h := &coldHost{id: core.HostID(fmt.Sprint("h", i)), dc: dcs[i%len(dcs)]}
		sim.hosts = append(sim.hosts, h)
		sim.startHost(h)
	}
	for s := range coldShards {
		sim.clock.At(returnAt, func() { sim.startServer(sim.servers[serverID(s, dcs[0])]) })
	}
	sim.clock.At(0, sim.tick)
	sim.clock.At(0, sim.arrive)
	return sim
}

// startHost starts a host, which reads the entries of all running servers.
func (sim *coldSim) startHost(h *coldHost) {
	h.table, h.began = picker.New(h.id, h.dc), sim.clock.Elapsed()
	now := sim.clock.Now()
	if sim.limited {
		h.table.SetWarmBounds(now, coldBounds)
	}
	var upstreams []core.Upstream
	for s := range coldShards {
		upstreams = append(upstreams, core.Upstream{Name: service(s), WarmupRate: coldRate})
	}
	h.table.SetWarmRates(now, upstreams)
	for s := range coldShards {
		for _, dc := range dcs {
			if server := sim.servers[serverID(s, dc)]; !server.down {
				sim.publish(h, server)
			}
		}
	}
}

// publish passes the entry of a server to a host.
func (sim *coldSim) publish(h *coldHost, server *coldServer) {
	if h.table == nil || server.down {
		return
	}
	in := server.inst
	in.Warmup = max(0, server.coldUntil-sim.clock.Elapsed())
	h.table.Put(sim.clock.Now(), in)
}

func (sim *coldSim) startServer(server *coldServer) {
	server.down = false
	server.inst.Born++
	server.coldUntil = sim.clock.Elapsed() + coldTime
	server.arrivals = nil
	for _, h := range sim.hosts {
		sim.clock.After(time.Duration(sim.rng.Int64N(int64(entryDelay))), func() { sim.publish(h, server) })
	}
}

// tick tells each host which hosts there are. A host knows them from one second after its start on.
func (sim *coldSim) tick() {
	if sim.clock.Elapsed() > simulEnd {
		return
	}
	for _, h := range sim.hosts {
		if h.table == nil {
			continue
		}
		m := warm.Members{Known: sim.clock.Elapsed() >= h.began+time.Second || h.began == 0, DataCentres: len(dcs)}
		for _, o := range sim.hosts {
			if o.dc == h.dc && (o.table != nil || o == h) && (m.Known || o == h) {
				m.Local = append(m.Local, o.id)
			}
		}
		h.table.SetWarmMembers(sim.clock.Now(), m)
	}
	sim.clock.After(100*time.Millisecond, sim.tick)
}

func (sim *coldSim) arrive() {
	if sim.clock.Elapsed() > simulEnd {
		return
	}
	q := &coldQuery{host: sim.hosts[sim.rng.IntN(len(sim.hosts))], begin: sim.clock.Elapsed(), open: coldShards}
	if q.host.table != nil {
		if q.begin >= returnAt {
			sim.queries++
		}
		for s := range coldShards {
			sim.call(q, s, nil)
		}
	}
	sim.clock.After(time.Duration(sim.rng.ExpFloat64()/queryRate*float64(time.Second)), sim.arrive)
}

func (sim *coldSim) call(q *coldQuery, shard int, tried []*picker.Replica) {
	if q.host.table == nil {
		return
	}
	r, _ := q.host.table.Pick(sim.clock.Now(), service(shard), partTime, tried)
	if r == nil || !q.host.table.Start(sim.clock.Now(), r) {
		sim.settle(q, false)
		return
	}
	p := &part{query: q, shard: shard, target: r, born: r.Instance().Born, begin: sim.clock.Elapsed()}
	sim.clock.After(time.Duration(sim.rng.Int64N(int64(20*time.Millisecond))), func() { sim.reach(p, len(tried) == 0) })
}

// reach is the arrival of a part at its server.
func (sim *coldSim) reach(p *part, first bool) {
	server := sim.servers[p.target.Instance().ID]
	at := sim.clock.Elapsed()
	if server.down || server.inst.Born != p.born {
		sim.fail(p, first)
		return
	}
	if at < server.coldUntil {
		server.arrivals = append(server.arrivals, at)
		server.arrivals = slices.DeleteFunc(server.arrivals, func(a time.Duration) bool { return at-a > time.Second })
		server.most = max(server.most, len(server.arrivals))
		if len(server.arrivals) > coldBound {
			sim.crash(server, append(server.queue, p))
			return
		}
	}
	if server.running >= coldSlots {
		server.queue = append(server.queue, p)
		return
	}
	sim.serve(server, p)
}

func (sim *coldSim) serve(server *coldServer, p *part) {
	server.running++
	sim.clock.After(time.Duration(float64(partTime)*(0.6+0.8*sim.rng.Float64())), func() {
		if server.inst.Born != p.born || server.down {
			sim.fail(p, true)
			return
		}
		server.running--
		if len(server.queue) > 0 {
			next := server.queue[0]
			server.queue = server.queue[1:]
			sim.serve(server, next)
		}
		sim.ended(p, picker.CallEnd{})
		sim.settle(p.query, true)
	})
}

// crash ends a lifetime of a server. Its requests get no answer.
func (sim *coldSim) crash(server *coldServer, lost []*part) {
	server.crashes++
	server.down, server.running, server.queue = true, 0, nil
	for _, p := range lost {
		sim.fail(p, false)
	}
	sim.clock.After(crashTime, func() { sim.startServer(server) })
}

// fail ends a part without an answer, which is asked for again once.
func (sim *coldSim) fail(p *part, again bool) {
	sim.ended(p, picker.CallEnd{Silent: true})
	if again {
		sim.call(p.query, p.shard, []*picker.Replica{p.target})
		return
	}
	sim.settle(p.query, false)
}

func (sim *coldSim) ended(p *part, e picker.CallEnd) {
	if p.query.host.table == nil {
		return
	}
	e.Took, e.Expected = sim.clock.Elapsed()-p.begin, partTime
	p.query.host.table.Ended(sim.clock.Now(), p.target, e)
}

// settle ends a part of a query. An answer without more than maxLost parts is worth the square of
// its fraction of parts, if it is in time.
func (sim *coldSim) settle(q *coldQuery, got bool) {
	q.open--
	if got {
		q.got++
	}
	if q.open > 0 || q.begin < returnAt || q.got < coldShards-maxLost || sim.clock.Elapsed()-q.begin > queryTarget {
		return
	}
	share := float64(q.got) / coldShards
	sim.payoff += share * share
}

// result returns the callers' mean payoff, the crashes and the most requests that a cold server got
// in one second.
func (sim *coldSim) result() (payoff float64, crashes, most int) {
	for _, server := range sim.servers {
		crashes += server.crashes
		most = max(most, server.most)
	}
	return sim.payoff / float64(sim.queries), crashes, most
}

// TestColdDataCentre guards against hosts that send a data centre's replicas, which have just
// returned cold, the whole load of their callers: the replicas crash and return again and again. There
// are 27 or 81 hosts.
func TestColdDataCentre(t *testing.T) {
	for i := range 6 {
		seed, hostsPerDC := uint64(i), []int{9, 27}[i%2]
		without := newColdSim(false, hostsPerDC, seed)
		without.clock.Run()
		basePayoff, baseCrashes, baseMost := without.result()
		with := newColdSim(true, hostsPerDC, seed)
		with.clock.Run()
		payoff, crashes, most := with.result()
		t.Logf("%d hosts, seed %d: payoff %.3f, without the limit %.3f; %d crashes, %d; most requests to a cold replica in a second %d, %d",
			3*hostsPerDC, seed, payoff, basePayoff, crashes, baseCrashes, most, baseMost)
		if crashes > 0 || most > coldBound {
			t.Errorf("seed %d: %d crashes and %d requests in one second, want none and at most %d", seed, crashes, most, coldBound)
		}
		if payoff < basePayoff || payoff < 0.95 {
			t.Errorf("seed %d: payoff %.3f, want at least 0.95 and that without the limit, %.3f", seed, payoff, basePayoff)
		}
		if baseCrashes == 0 {
			t.Errorf("seed %d: no replica crashes without the limit, so the test shows nothing", seed)
		}
		if most < coldRate/2 {
			t.Errorf("seed %d: cold replicas get at most %d requests in a second, want at least half of the tolerated ones", seed, most)
		}
	}
}

// TestRestartWhileCold guards against hosts that start anew while replicas are cold, know neither
// the other hosts nor their own earlier requests, and exceed the bound together with the others.
// All hosts restart at the same time, and two seconds later every second host once more.
func TestRestartWhileCold(t *testing.T) {
	for n := range 4 {
		seed := uint64(n)
		sim := newColdSim(true, []int{9, 27}[n%2], seed)
		for i, h := range sim.hosts {
			for wave := range 2 - i%2 {
				at := returnAt + time.Second + time.Duration(wave)*2*time.Second
				sim.clock.At(at, func() { h.table = nil })
				sim.clock.At(at+100*time.Millisecond, func() { sim.startHost(h) })
			}
		}
		sim.clock.Run()
		payoff, crashes, most := sim.result()
		t.Logf("seed %d: payoff %.3f, most requests to a cold replica in a second %d", seed, payoff, most)
		if crashes > 0 || most > coldBound || most == 0 {
			t.Errorf("seed %d: %d crashes and %d requests in one second, want none and 1 to %d", seed, crashes, most, coldBound)
		}
	}
}
