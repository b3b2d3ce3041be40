package swim_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/io/gossip"
)

const (
	// packetDelay is the network delay of a packet and the step of the simulated time.
	packetDelay = 10 * time.Millisecond
	// startSpread is the period within which the hosts of a fleet start.
	startSpread = 300 * time.Millisecond
	// joinWithin bounds the time until all hosts know each other: a starting host
	// waits no longer for the other hosts before it serves.
	joinWithin = 3 * time.Second
	// spreadWithin bounds the time until all hosts of a running fleet know a starting
	// host: in a fleet of this size, the platform takes about as long to count a host.
	spreadWithin = 5 * time.Second
	// entryBytes bounds the size of a host entry, packetBytes that of the rest of a packet.
	entryBytes, packetBytes = 34, 250
	dataCentres             = 5
)

// network simulates the network between detectors that find each other through seeds.
type network struct {
	t            *testing.T
	now          time.Time
	rng          *rand.Rand
	hosts        []core.Host
	detectors    []*member.Detector // by host; nil while a host is down
	startAt      []time.Time        // by host; zero if the host does not start
	seeds        []string
	index        map[string]int // index of a host by its address
	inFlight     []datagram
	cut          func(from, to int) bool // whether packets between two hosts are lost
	packets      int
	bytes        int
	crossDCBytes int // bytes between data centres
}

type datagram struct {
	from, to int
	packet   member.Packet
}

func newNetwork(t *testing.T, n int) *network {
	sim := &network{
		t: t, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(1, uint64(n))), index: make(map[string]int),
		detectors: make([]*member.Detector, n), startAt: make([]time.Time, n), cut: func(_, _ int) bool { return false },
	}
	for i := range n {
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		h := core.NewHost(core.HostID(fmt.Sprintf("edge-%s-%d", dc, i)), core.DataCentre(dc), fmt.Sprintf("10.%d.%d.%d:7000", i%dataCentres, i>>8, i&255))
		sim.hosts = append(sim.hosts, h)
		sim.index[h.Address()] = i
		if i < 3 {
			sim.seeds = append(sim.seeds, h.Address())
		}
	}
	return sim
}

// start stops the matching hosts and schedules their start within startSpread.
func (sim *network) start(match func(int) bool) {
	for i := range sim.hosts {
		if match(i) {
			sim.detectors[i] = nil
			sim.startAt[i] = sim.now.Add(time.Duration(sim.rng.Int64N(int64(startSpread))))
		}
	}
}

func anyHost(int) bool { return true }

// run advances the simulated time until done returns true, at most by limit, and returns
// the time that passed.
func (sim *network) run(limit time.Duration, done func() bool) time.Duration {
	begin := sim.now
	for sim.now.Sub(begin) < limit {
		sim.now = sim.now.Add(packetDelay)
		arrived := sim.inFlight
		sim.inFlight = nil
		for _, s := range arrived {
			if sim.detectors[s.to] != nil && !sim.cut(s.from, s.to) {
				sim.send(s.to, sim.detectors[s.to].Receive(sim.now, s.packet))
			}
		}
		for i := range sim.hosts {
			if sim.detectors[i] == nil && !sim.startAt[i].IsZero() && !sim.now.Before(sim.startAt[i]) {
				inc := core.Incarnation(sim.now.UnixNano())
				sim.detectors[i] = member.New(sim.hosts[i], inc, rand.New(rand.NewPCG(uint64(inc), uint64(i))))
				sim.detectors[i].Join(sim.seeds)
			}
			if sim.detectors[i] == nil || (sim.now.UnixMilli()/packetDelay.Milliseconds()+int64(i))%10 != 0 {
				continue
			}
			if sim.detectors[i].Synced() && sim.now.Sub(sim.startAt[i]) > time.Second {
				sim.detectors[i].SetStatus(member.Status{Ready: true})
			}
			sim.send(i, sim.detectors[i].Tick(sim.now))
		}
		if sim.now.UnixMilli()%100 == 0 && done() {
			break
		}
	}
	return sim.now.Sub(begin)
}

func (sim *network) send(from int, sends []member.Send) {
	for _, s := range sends {
		raw, err := gossip.Encode(s.Packet)
		if err != nil {
			sim.t.Fatal(err)
		}
		to := sim.index[s.To.Address()]
		sim.packets++
		sim.bytes += len(raw)
		if from%dataCentres != to%dataCentres {
			sim.crossDCBytes += len(raw)
		}
		sim.inFlight = append(sim.inFlight, datagram{from: from, to: to, packet: s.Packet})
	}
}

// allKnown returns a function that reports whether all matching hosts run and each of them
// sees as many running hosts as there are matching ones.
func (sim *network) allKnown(match func(int) bool) func() bool {
	return func() bool {
		want := 0
		for i := range sim.hosts {
			if match(i) {
				want++
			}
		}
		for i, d := range sim.detectors {
			if match(i) && (d == nil || len(d.Reachable(sim.now).Hosts()) != want) {
				return false
			}
		}
		return true
	}
}

// checkJoin checks that the matching hosts know each other within the given time.
func (sim *network) checkJoin(match func(int) bool, within time.Duration) {
	sim.t.Helper()
	took := sim.run(2*within, sim.allKnown(match))
	sim.t.Logf("%d hosts: %v, %d packets, %d bytes, %d between data centres", len(sim.hosts), took, sim.packets, sim.bytes, sim.crossDCBytes)
	if took > within {
		sim.t.Errorf("all hosts know each other after %v, want at most %v", took, within)
	}
}

// TestColdStart guards against a slow join and too much traffic when all hosts start at
// once: each host should receive a few copies of the host list, about log2 of the number
// of hosts, and not one copy from every host.
func TestColdStart(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1000} {
		sim := newNetwork(t, n)
		sim.start(anyHost)
		sim.checkJoin(anyHost, joinWithin)
		lists := float64(n*n*entryBytes) * math.Log2(float64(n))
		if limit := int(lists) + sim.packets*packetBytes; sim.bytes > limit {
			t.Errorf("%d hosts: %d bytes, want at most %d", n, sim.bytes, limit)
		}
	}
}

// TestSteadyTraffic guards against hosts that keep sending each other their host lists in
// a fleet that does not change: a host may send 2 KB/s, a tenth of the control traffic
// that it is allowed.
func TestSteadyTraffic(t *testing.T) {
	const limit = 2 << 10
	for _, n := range []int{10, 100, 300} {
		sim := newNetwork(t, n)
		sim.start(anyHost)
		sim.checkJoin(anyHost, joinWithin)
		sim.run(20*time.Second, func() bool { return false })
		sim.bytes = 0
		sim.run(10*time.Second, func() bool { return false })
		rate := sim.bytes / 10 / n
		t.Logf("%d hosts: %d bytes/s a host", n, rate)
		if rate > limit {
			t.Errorf("%d hosts: %d bytes/s a host, want at most %d", n, rate, limit)
		}
		if !sim.allKnown(anyHost)() {
			t.Errorf("%d hosts: not all know each other at the end", n)
		}
	}
}

// TestSeedsDown guards against a fleet that depends on its seeds: only one seed runs at the
// start, and later it stops too while other hosts start again.
func TestSeedsDown(t *testing.T) {
	sim := newNetwork(t, 100)
	running := func(i int) bool { return i > 1 }
	sim.start(running)
	sim.checkJoin(running, joinWithin)
	sim.detectors[2], sim.startAt[2] = nil, time.Time{}
	rest := func(i int) bool { return i > 2 }
	sim.run(20*time.Second, sim.allKnown(rest))
	if !sim.allKnown(rest)() {
		t.Error("not all hosts have noticed that the seed stopped")
	}
	sim.start(func(i int) bool { return i == 1 || i == 50 })
	sim.checkJoin(func(i int) bool { return i == 1 || i > 2 }, spreadWithin)
}

// TestRepeatedRestart guards against hosts that do not find each other when all start
// again, twice, before they have forgotten each other's earlier incarnations.
func TestRepeatedRestart(t *testing.T) {
	sim := newNetwork(t, 100)
	sim.start(anyHost)
	sim.run(2*time.Second, func() bool { return false })
	sim.start(anyHost)
	sim.run(time.Second, func() bool { return false })
	sim.start(anyHost)
	sim.checkJoin(anyHost, joinWithin)
}

// TestJoinAfterPartition guards against parts of a fleet that stay separate: a data centre
// without a seed starts while it is cut off from the others.
func TestJoinAfterPartition(t *testing.T) {
	sim := newNetwork(t, 100)
	isolated := func(i int) bool { return i%dataCentres == 4 }
	sim.cut = func(from, to int) bool { return isolated(from) != isolated(to) }
	sim.start(anyHost)
	sim.run(8*time.Second, func() bool { return false })
	sim.cut = func(_, _ int) bool { return false }
	sim.checkJoin(anyHost, spreadWithin)
}
