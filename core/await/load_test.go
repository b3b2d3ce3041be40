package await_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core/await"
	"oriolebarrow/core/simul"
)

const (
	simulated = 60 * time.Second
	// startFactor is the relay's: a call needs this multiple of its usual time.
	startFactor = 1.5
)

// kind is a kind of query of the simulation, of which each sends one call to the shard.
type kind struct {
	work   time.Duration
	target time.Duration // a part that arrives later is not in its query's answer
	weight float64       // share of the calls
	payoff float64
}

// kinds are a long kind and a short, urgent one, three to one.
var kinds = []kind{
	{work: 28 * ms, target: 180 * ms, weight: 0.75, payoff: 2},
	{work: 9 * ms, target: 60 * ms, weight: 0.25, payoff: 1},
}

type call struct {
	kind  *kind
	begin time.Duration
}

// shard simulates one shard. All calls go to one replica, since the other one is gone.
type shard struct {
	rng     *rand.Rand
	clock   *simul.Clock
	slots   int
	running int
	// fifo is the replica's own queue, waiting that of the owner. Only one of them is used.
	fifo    []*call
	waiting *await.Queue[*call] // nil if entry hosts call the replica directly
	earned  map[*kind]float64   // payoff of the calls in time
	total   map[*kind]float64
	// ownerLost is when the owner is lost, if it is. Its waiting calls are lost as well; the
	// hosts then call the replica directly.
	ownerLost time.Duration
}

// arrive starts a call and schedules the next one.
func (s *shard) arrive(load float64) {
	k, mean := &kinds[0], 0.0
	if s.rng.Float64() < kinds[1].weight {
		k = &kinds[1]
	}
	for i := range kinds {
		mean += kinds[i].weight * kinds[i].work.Seconds()
	}
	rate := load * float64(s.slots) / mean
	c := &call{k, s.clock.Elapsed()}
	s.total[k] += k.payoff
	switch {
	case s.running < s.slots:
		s.start(c)
	case s.waiting != nil && !(s.ownerLost > 0 && s.clock.Elapsed() >= s.ownerLost):
		latest := k.target - time.Duration(startFactor*float64(k.work))
		s.waiting.Add("s", c, s.clock.Now().Add(latest))
	default:
		s.fifo = append(s.fifo, c)
	}
	s.clock.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.clock.Elapsed() < simulated {
			s.arrive(load)
		}
	})
}

func (s *shard) start(c *call) {
	s.running++
	took := time.Duration(float64(c.kind.work) * math.Exp(0.35*s.rng.NormFloat64()-0.06))
	s.clock.After(took, func() {
		s.running--
		if s.clock.Elapsed()-c.begin <= c.kind.target {
			s.earned[c.kind] += c.kind.payoff
		}
		s.next()
	})
}

// next starts the next waiting call. A query closes at its target, so that its owner no
// longer waits for the part, whereas a replica runs what is in its queue.
func (s *shard) next() {
	if len(s.fifo) > 0 {
		c := s.fifo[0]
		s.fifo = s.fifo[1:]
		s.start(c)
		return
	}
	for s.waiting != nil && !(s.ownerLost > 0 && s.clock.Elapsed() >= s.ownerLost) {
		c, ok := s.waiting.Next(s.clock.Now(), "s")
		if !ok {
			return
		}
		if s.clock.Elapsed()-c.begin < c.kind.target {
			s.start(c)
			return
		}
	}
}

// payoffs returns the share of the payoff that each kind earns.
func payoffs(load float64, owned bool, ownerLost time.Duration) (all, long, urgent float64) {
	var earned, total [2]float64
	for seed := range uint64(4) {
		s := &shard{clock: simul.New(), rng: rand.New(rand.NewPCG(seed, 3)), slots: 2, earned: map[*kind]float64{}, total: map[*kind]float64{}, ownerLost: ownerLost}
		if owned {
			s.waiting = await.New[*call]()
		}
		s.arrive(load)
		s.clock.Run()
		for i := range kinds {
			earned[i] += s.earned[&kinds[i]]
			total[i] += s.total[&kinds[i]]
		}
	}
	return (earned[0] + earned[1]) / (total[0] + total[1]), earned[0] / total[0], earned[1] / total[1]
}

// TestHalfOfTheSlotsGone guards against work that waits in the order of its arrival at a
// shard that has lost one of its two replicas, until all of it is late and the urgent kind
// waits behind the long one.
func TestHalfOfTheSlotsGone(t *testing.T) {
	for _, c := range []struct {
		load    float64 // of the remaining slots
		minGain float64 // payoff relative to direct calls
		minAll  float64 // share of the payoff; above full load, that of the slots with a tenth lost
	}{
		{0.4, 0.99, 0.98}, {0.6, 0.99, 0.95}, {0.8, 1, 0.9}, {1.0, 1.2, 0.8}, {1.3, 2, 0.9 / 1.3},
	} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			direct, _, _ := payoffs(c.load, false, 0)
			all, long, urgent := payoffs(c.load, true, 0)
			t.Logf("payoff %.3f (long kind %.3f, urgent kind %.3f), direct calls %.3f", all, long, urgent, direct)
			if all < c.minGain*direct {
				t.Errorf("payoff %.3f, want at least %.2f times that of direct calls, %.3f", all, c.minGain, direct)
			}
			if all < c.minAll {
				t.Errorf("payoff %.3f, want at least %.3f", all, c.minAll)
			}
			if urgent < long-0.15 {
				t.Errorf("the urgent kind earns %.3f of its payoff, the long kind %.3f: more than 0.15 apart", urgent, long)
			}
		})
	}
}

// TestOwnerLost guards against a loss of the owner that costs more than the calls which wait
// there.
func TestOwnerLost(t *testing.T) {
	const load = 0.6
	all, _, _ := payoffs(load, true, simulated/2)
	direct, _, _ := payoffs(load, false, 0)
	if all < 0.99*direct {
		t.Errorf("payoff %.3f with the owner lost in the middle, direct calls %.3f", all, direct)
	}
}
