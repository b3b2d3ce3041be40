package warm_test

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	step     = 20 * time.Millisecond
	tick     = 100 * time.Millisecond
	runTime  = 14 * time.Second
	grid     = 500 * time.Millisecond  // of the times of faults, so that some coincide
	spread   = 1900 * time.Millisecond // until all hosts know of a change
	maxDelay = 220 * time.Millisecond  // from the counting of a request to its arrival
)

var (
	epoch = time.Unix(5000, 0)
	cold  = core.Instance{ID: "r-1", Service: "tickets", DataCentre: "dc-0"}
)

// outage is a time in which a host does not run. The replica gets what the host was about to write
// when it was paused if late is set. A killed host starts anew.
type outage struct {
	from, to time.Duration
	killed   bool
	late     bool
}

// modelHost is a host of the model.
type modelHost struct {
	id       core.HostID
	dc       int
	part     int // of its data centre while that is split
	lag      time.Duration
	start    time.Duration // of the first process
	joinTime time.Duration // from the start of a process until it knows the hosts
	outages  []outage

	limiter   *warm.Limiter
	began     time.Duration // start of the current process
	running   bool
	markedAt  time.Duration // when it reads the entry of the replica
	marked    bool
	inWriting int // requests that were counted in the last step before a pause
}

// down returns the outage at a time.
func (h *modelHost) down(at time.Duration) (outage, bool) {
	i := slices.IndexFunc(h.outages, func(o outage) bool { return at >= o.from && at < o.to })
	if i < 0 {
		return outage{}, false
	}
	return h.outages[i], true
}

// listed reports whether the other hosts know the host at a time: it has started, and is not down
// for long.
func (h *modelHost) listed(at time.Duration) bool {
	o, down := h.down(at)
	return at >= h.start && (!down || !o.killed)
}

// schedule is one drawn run.
type schedule struct {
	bounds      warm.Bounds
	rate        float64
	divided     bool
	dataCentres int
	hosts       []*modelHost
	splits      [][2]time.Duration // times in which each data centre is split in two
	rng         *rand.Rand
	arrivals    []time.Duration
}

func drawSchedule(t *rapid.T) *schedule {
	s := &schedule{
		bounds:      warm.Bounds{Overshoot: rapid.SampledFrom([]float64{1, 1.2, 1.5, 2}).Draw(t, "overshoot"), Slack: float64(rapid.IntRange(2, 10).Draw(t, "slack"))},
		rate:        float64(rapid.IntRange(1, 60).Draw(t, "rate")),
		divided:     rapid.Bool().Draw(t, "divided"),
		dataCentres: rapid.IntRange(1, 3).Draw(t, "data centres"),
		rng:         rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(s.rng.Int64N(int64(to-from))) }
	perDC := rapid.OneOf(rapid.IntRange(1, 6), rapid.IntRange(1, 60)).Draw(t, "hosts per data centre")
	lateStarts := rapid.IntRange(0, 100).Draw(t, "late starts in 100")
	outages := rapid.IntRange(0, 4).Draw(t, "outages of a host")
	for i := range perDC * s.dataCentres {
		h := &modelHost{
			id: core.HostID(fmt.Sprint("h-", i)), dc: i % s.dataCentres, part: s.rng.IntN(2),
			lag: between(0, spread), joinTime: between(300*time.Millisecond, 3*time.Second), markedAt: between(0, 4*time.Second),
		}
		if s.rng.IntN(100) < lateStarts {
			h.start = between(0, runTime)
		}
		for range s.rng.IntN(outages + 1) {
			from := (h.start + between(tick, runTime)).Truncate(grid)
			o := outage{from: from, to: from + between(step, 3*time.Second), killed: s.rng.IntN(2) == 0, late: s.rng.IntN(2) == 0}
			h.outages = append(h.outages, o)
		}
		s.hosts = append(s.hosts, h)
	}
	for at := time.Duration(0); rapid.Bool().Draw(t, "split"); {
		from := (at + between(grid, 4*time.Second)).Truncate(grid)
		at = from + between(step, 6*time.Second)
		s.splits = append(s.splits, [2]time.Duration{from, at})
	}
	return s
}

func (s *schedule) split(at time.Duration) bool {
	return slices.ContainsFunc(s.splits, func(p [2]time.Duration) bool { return at >= p[0] && at < p[1] })
}

// view returns the hosts of its data centre that a host knows at a time: those that it could reach
// some time ago.
func (s *schedule) view(h *modelHost, at time.Duration) (ids []core.HostID) {
	at = max(h.began, at-h.lag)
	for _, o := range s.hosts {
		if o == h || o.dc == h.dc && o.listed(at) && (!s.split(at) || o.part == h.part) {
			ids = append(ids, o.id)
		}
	}
	return ids
}

// owner returns the host of a list that makes the calls if they are divided.
func owner(ids []core.HostID) core.HostID {
	return slices.MaxFunc(ids, func(a, b core.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
}

func (s *schedule) members(h *modelHost, at time.Duration) warm.Members {
	m := warm.Members{Known: at-h.began >= h.joinTime, Local: s.view(h, at), DataCentres: s.dataCentres}
	if !m.Known {
		m.Local = []core.HostID{h.id} // it sees nobody
	}
	if s.divided {
		m.Owned = map[core.ServiceName]bool{cold.Service: m.Known && owner(m.Local) == h.id}
	}
	return m
}

// run plays the schedule: each host sends as many requests as its limiter allows.
func (s *schedule) run() {
	for at := time.Duration(0); at < runTime; at += step {
		for _, h := range s.hosts {
			s.advance(h, at)
		}
	}
}

func (s *schedule) advance(h *modelHost, at time.Duration) {
	now := epoch.Add(at)
	o, down := h.down(at)
	switch {
	case at < h.start:
		return
	case down:
		if o.killed {
			h.limiter = nil
		}
		h.running = false
		return
	case h.limiter == nil:
		h.limiter, h.began, h.marked = warm.New(h.id, core.DataCentre(fmt.Sprint("dc-", h.dc))), at, false
		h.limiter.SetBounds(now, s.bounds)
		h.limiter.SetRates(now, map[core.ServiceName]float64{cold.Service: s.rate})
	case !h.running:
		for range h.inWriting { // written before anything else runs
			s.arrivals = append(s.arrivals, at)
		}
	}
	h.running, h.inWriting = true, 0
	if at%tick == 0 || at == h.began || !h.marked {
		h.limiter.SetMembers(now, s.members(h, at))
	}
	if !h.marked && at >= h.markedAt {
		h.limiter.MarkCold(now, cold, time.Minute, true)
		h.marked = true
	}
	if !h.marked || s.rng.IntN(4) == 0 {
		return
	}
	next, pauses := h.down(at + step)
	for h.limiter.Allow(now, cold.ID) {
		h.limiter.Sent(now, cold.ID)
		if pauses && !next.killed {
			if next.late {
				h.inWriting++
			}
			continue // not written in time, or after the pause
		}
		s.arrivals = append(s.arrivals, at+time.Duration(s.rng.Int64N(int64(maxDelay))))
	}
}

// most returns the largest number of requests that arrived in one second.
func (s *schedule) most() (n int) {
	slices.Sort(s.arrivals)
	first := 0
	for i, at := range s.arrivals {
		for at-s.arrivals[first] > time.Second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestSumOfAllHosts guards against hosts that together send a cold replica more requests in some
// second than the bound, which is counted from the arrivals alone. The schedules have 1 to 180
// hosts in 1 to 3 data centres and rates of 1 to 60. All hosts send as much as they may. They learn
// of changes up to 1.9 s late. Each data centre is split in two, along one line, and healed again,
// any number of times. Hosts start late, are killed and start anew, and know nobody for up to 3 s
// after a start. They are paused for up to 3 s, also between the counting and the writing of
// requests. Requests take up to 220 ms. Half of the schedules divide the calls among owners.
func TestSumOfAllHosts(t *testing.T) {
	largest := 0.0
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t)
		s.run()
		bound := s.rate*s.bounds.Overshoot + s.bounds.Slack
		if n := s.most(); float64(n) > bound {
			t.Fatalf("%d requests in one second, want at most %v", n, bound)
		} else {
			largest = max(largest, float64(n)/bound)
		}
	})
	t.Logf("at most %.2f of the bound was used", largest)
	if largest < 0.8 {
		t.Errorf("only %.2f of the bound was used, so the schedules test little", largest)
	}
}
