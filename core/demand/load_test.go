package demand_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/demand"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/simul"
)

const (
	ms          = time.Millisecond
	serviceTime = 28 * ms
	replicas    = 2
	slots       = 2
	lateAfter   = 3 * serviceTime
	pauseTime   = 250 * ms
	pauseEvery  = 6 * time.Second
	simulated   = 120 * time.Second
	// minGain is the smallest gain that is worth a message more.
	minGain = 1.05
)

// server is a replica of the simulated shard, which serves first in, first out and pauses
// for a moment now and then.
type server struct {
	running int
	waiting []func()
	pausing time.Duration // end of the last pause
}

// shard simulates one shard whose calls are made by a number of hosts.
type shard struct {
	rng     *rand.Rand
	clock   *simul.Clock
	tables  []*picker.Table
	servers map[core.InstanceID]*server
	meter   *demand.Meter // of the first host
	calls   int
	late    int
}

func newShard(hosts int, seed uint64) *shard {
	s := &shard{clock: simul.New(), rng: rand.New(rand.NewPCG(seed, 5)), servers: map[core.InstanceID]*server{}, meter: demand.New()}
	for h := range hosts {
		table := picker.New(core.HostID(fmt.Sprint("h", h)), "a")
		for i := range replicas {
			id := core.InstanceID(fmt.Sprint("i-", i))
			table.Put(s.clock.Now(), core.Instance{ID: id, Service: "s", Address: string(id), DataCentre: "a", Slots: slots})
			s.servers[id] = &server{}
		}
		s.tables = append(s.tables, table)
	}
	for i := range replicas {
		s.pause(core.InstanceID(fmt.Sprint("i-", i)))
	}
	return s
}

func (s *shard) pause(id core.InstanceID) {
	s.clock.After(time.Duration(s.rng.Float64()*2*float64(pauseEvery)), func() {
		s.servers[id].pausing = s.clock.Elapsed() + pauseTime
		if s.clock.Elapsed() < simulated {
			s.pause(id)
		}
	})
}

// arrive makes a call from one of the hosts and schedules the next one.
func (s *shard) arrive(load float64) {
	s.calls++
	s.call(s.tables[s.rng.IntN(len(s.tables))], s.clock.Elapsed())
	rate := load * replicas * slots / serviceTime.Seconds()
	s.clock.After(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.clock.Elapsed() < simulated {
			s.arrive(load)
		}
	})
}

// call makes a call, or tries again a millisecond later if it has to wait for a slot.
func (s *shard) call(table *picker.Table, begin time.Duration) {
	r, busy := table.Pick(s.clock.Now(), "s", serviceTime, nil)
	if busy {
		s.clock.After(ms, func() { s.call(table, begin) })
		return
	}
	table.Start(s.clock.Now(), r)
	start := s.clock.Elapsed()
	server := s.servers[r.Instance().ID]
	serve := func() {
		server.running++
		took := time.Duration(float64(serviceTime)*math.Exp(0.35*s.rng.NormFloat64()-0.06)) + max(0, server.pausing-s.clock.Elapsed())
		s.clock.After(took, func() {
			server.running--
			if len(server.waiting) > 0 {
				next := server.waiting[0]
				server.waiting = server.waiting[1:]
				next()
			}
			load := picker.Load{Running: server.running, Waiting: len(server.waiting), Slots: slots}
			table.Ended(s.clock.Now(), r, picker.CallEnd{Took: s.clock.Elapsed() - start, Expected: serviceTime, Load: &load})
			if table == s.tables[0] {
				s.meter.Observe(s.clock.Now(), load.Running+load.Waiting, load.Slots)
			}
			if s.clock.Elapsed()-begin > lateAfter {
				s.late++
			}
		})
	}
	if server.running < slots {
		serve()
	} else {
		server.waiting = append(server.waiting, serve)
	}
}

// lateShare returns the share of the calls that take more than three service times, and
// whether the meter of the first host finds the set short at the end.
func lateShare(hosts int, load float64) (late float64, short bool) {
	var calls, lateCalls int
	for seed := range uint64(16) {
		s := newShard(hosts, seed)
		s.clock.At(simulated, func() { short = short || s.meter.Short(s.clock.Now()) })
		s.arrive(load)
		s.clock.Run()
		calls += s.calls
		lateCalls += s.late
	}
	return float64(lateCalls) / float64(calls), short
}

// TestManyCallersFewSlots guards against hosts that don't see each other's calls and choose a
// busy or paused replica although the other one has free slots: where that happens often, the
// meter must find the set short, and one owner in each of two data centres must do better.
func TestManyCallersFewSlots(t *testing.T) {
	for _, c := range []struct {
		load    float64 // of all slots
		short   bool
		minGain float64 // direct calls that are late, relative to those of the owners
	}{
		{0.15, false, 0}, {0.5, true, minGain}, {0.6, true, minGain}, {0.75, true, minGain},
	} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			direct, short := lateShare(9, c.load)
			owned, _ := lateShare(2, c.load)
			t.Logf("late: %.4f of the direct calls of 9 hosts, %.4f of those of 2 owners; short %v", direct, owned, short)
			if short != c.short {
				t.Errorf("short is %v, want %v", short, c.short)
			}
			if direct < c.minGain*owned {
				t.Errorf("%.4f of the direct calls are late, want at least %.1f times %.4f", direct, c.minGain, owned)
			}
		})
	}
}
