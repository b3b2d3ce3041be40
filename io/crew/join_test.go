package crew_test

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
	// delay of a packet, and the step of the simulated time.
	delay = 10 * time.Millisecond
	// startSpread is the time within which the hosts of a fleet start.
	startSpread = 300 * time.Millisecond
	// joinWithin is the time until all hosts know all: a host that starts waits no longer
	// for it before it serves.
	joinWithin = 3 * time.Second
	// spreadWithin is the time until all of a running fleet know a host that starts: the
	// platform counts a host of a fleet of this size after such a time.
	spreadWithin = 5 * time.Second
	// entryBytes and packetBytes bound the parts of what is sent.
	entryBytes, packetBytes = 34, 250
	dataCentres             = 5
)

// network runs detectors that find each other by seeds.
type network struct {
	t       *testing.T
	now     time.Time
	rng     *rand.Rand
	hosts   []core.Host
	nodes   []*member.Detector // nil while a host is down
	startAt []time.Time
	seeds   []string
	at      map[string]int // host by address
	wire    []sent
	cut     func(from, to int) bool
	packets int
	bytes   int
	far     int // bytes between data centres
}

type sent struct {
	from, to int
	packet   member.Packet
}

func newNetwork(t *testing.T, n int) *network {
	w := &network{
		t: t, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(1, uint64(n))), at: make(map[string]int),
		nodes: make([]*member.Detector, n), startAt: make([]time.Time, n), cut: func(_, _ int) bool { return false },
	}
	for i := range n {
		dc := fmt.Sprintf("dc-%d", i%dataCentres)
		h := core.NewHost(core.HostID(fmt.Sprintf("edge-%s-%d", dc, i)), core.DataCentre(dc), fmt.Sprintf("10.%d.%d.%d:7000", i%dataCentres, i>>8, i&255))
		w.hosts = append(w.hosts, h)
		w.at[h.Address()] = i
		if i < 3 {
			w.seeds = append(w.seeds, h.Address())
		}
	}
	return w
}

// start schedules the start of hosts within startSpread.
func (w *network) start(match func(int) bool) {
	for i := range w.hosts {
		if match(i) {
			w.nodes[i] = nil
			w.startAt[i] = w.now.Add(time.Duration(w.rng.Int64N(int64(startSpread))))
		}
	}
}

func every(int) bool { return true }

// run lets time pass until done or the end, and returns how long it took.
func (w *network) run(d time.Duration, done func() bool) time.Duration {
	begin := w.now
	for w.now.Sub(begin) < d {
		w.now = w.now.Add(delay)
		arrived := w.wire
		w.wire = nil
		for _, s := range arrived {
			if w.nodes[s.to] != nil && !w.cut(s.from, s.to) {
				w.send(s.to, w.nodes[s.to].Receive(w.now, s.packet))
			}
		}
		for i := range w.hosts {
			if w.nodes[i] == nil && !w.startAt[i].IsZero() && !w.now.Before(w.startAt[i]) {
				inc := core.Incarnation(w.now.UnixNano())
				w.nodes[i] = member.New(w.hosts[i], inc, rand.New(rand.NewPCG(uint64(inc), uint64(i))))
				w.nodes[i].Join(w.seeds)
			}
			if w.nodes[i] == nil || (w.now.UnixMilli()/delay.Milliseconds()+int64(i))%10 != 0 {
				continue
			}
			if w.nodes[i].Matched() && w.now.Sub(w.startAt[i]) > time.Second {
				w.nodes[i].SetStatus(member.Status{Ready: true})
			}
			w.send(i, w.nodes[i].Tick(w.now))
		}
		if w.now.UnixMilli()%100 == 0 && done() {
			break
		}
	}
	return w.now.Sub(begin)
}

func (w *network) send(from int, sends []member.Send) {
	for _, s := range sends {
		raw, err := gossip.Encode(s.Packet)
		if err != nil {
			w.t.Fatal(err)
		}
		to := w.at[s.To.Address()]
		w.packets++
		w.bytes += len(raw)
		if from%dataCentres != to%dataCentres {
			w.far += len(raw)
		}
		w.wire = append(w.wire, sent{from: from, to: to, packet: s.Packet})
	}
}

// know reports whether the hosts that match know each other, as running.
func (w *network) know(match func(int) bool) func() bool {
	return func() bool {
		want := 0
		for i := range w.hosts {
			if match(i) {
				want++
			}
		}
		for i, d := range w.nodes {
			if match(i) && (d == nil || len(d.Reachable(w.now).Hosts()) != want) {
				return false
			}
		}
		return true
	}
}

func (w *network) wantJoined(match func(int) bool, within time.Duration) {
	w.t.Helper()
	took := w.run(2*within, w.know(match))
	w.t.Logf("%d hosts: %v, %d packets, %d bytes, %d between data centres", len(w.hosts), took, w.packets, w.bytes, w.far)
	if took > within {
		w.t.Errorf("all know all after %v, want at most %v", took, within)
	}
}

// TestColdStartOfAFleet is the load of all hosts that start at once: each learns of all
// others, and takes the list a few times, not once from each of them.
func TestColdStartOfAFleet(t *testing.T) {
	for _, n := range []int{10, 100, 300, 1000} {
		w := newNetwork(t, n)
		w.start(every)
		w.wantJoined(every, joinWithin)
		lists := float64(n*n*entryBytes) * math.Log2(float64(n))
		if most := int(lists) + w.packets*packetBytes; w.bytes > most {
			t.Errorf("%d hosts: %d bytes, want at most %d", n, w.bytes, most)
		}
	}
}

// TestSteadyFleet guards against hosts that go on telling each other what they know: a
// host keeps to 2 KB/s, a tenth of the control traffic that it may have.
func TestSteadyFleet(t *testing.T) {
	const most = 2 << 10
	for _, n := range []int{10, 100, 300} {
		w := newNetwork(t, n)
		w.start(every)
		w.wantJoined(every, joinWithin)
		w.run(20*time.Second, func() bool { return false })
		w.bytes = 0
		w.run(10*time.Second, func() bool { return false })
		rate := w.bytes / 10 / n
		t.Logf("%d hosts: %d bytes/s a host", n, rate)
		if rate > most {
			t.Errorf("%d hosts: %d bytes/s a host, want at most %d", n, rate, most)
		}
		if !w.know(every)() {
			t.Errorf("%d hosts: not all know all", n)
		}
	}
}

// TestSeedsAreGone guards against a fleet that depends on its seeds: they are down at the
// start but for one, and then that one too while others restart.
func TestSeedsAreGone(t *testing.T) {
	w := newNetwork(t, 100)
	running := func(i int) bool { return i > 1 }
	w.start(running)
	w.wantJoined(running, joinWithin)
	w.nodes[2], w.startAt[2] = nil, time.Time{}
	rest := func(i int) bool { return i > 2 }
	w.run(20*time.Second, w.know(rest))
	if !w.know(rest)() {
		t.Error("a lost seed is taken to run")
	}
	w.start(func(i int) bool { return i == 1 || i == 50 })
	w.wantJoined(func(i int) bool { return i == 1 || i > 2 }, spreadWithin)
}

// TestPowerIsLostTwice guards against hosts that start again while the others still
// believe in their earlier lives.
func TestPowerIsLostTwice(t *testing.T) {
	w := newNetwork(t, 100)
	w.start(every)
	w.run(2*time.Second, func() bool { return false })
	w.start(every)
	w.run(time.Second, func() bool { return false })
	w.start(every)
	w.wantJoined(every, joinWithin)
}

// TestDataCentreJoinsAfterACut guards against parts of a fleet that stay apart: a data
// centre with none of the seeds starts while it is cut off.
func TestDataCentreJoinsAfterACut(t *testing.T) {
	w := newNetwork(t, 100)
	apart := func(i int) bool { return i%dataCentres == 4 }
	w.cut = func(from, to int) bool { return apart(from) != apart(to) }
	w.start(every)
	w.run(8*time.Second, func() bool { return false })
	w.cut = func(_, _ int) bool { return false }
	w.wantJoined(every, spreadWithin)
}
