package queue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/queue"
)

const (
	step         = 200 * time.Microsecond // of the simulated time
	replicaCount = 2
	slotCount    = 2   // per replica
	rate         = 360 // calls/s of the whole group, 90% of what its slots can run
)

// call is one call to the fake servers.
type call struct {
	owner   *host
	attempt uint64
	replica int
	ends    time.Time
	refused bool
}

// host is a host that considers itself the owner of the group.
type host struct {
	sched  *queue.Scheduler
	health *eject.Group
	lastID uint64 // of the latest task
}

func newHost(o eject.Options) *host {
	o.Replicas, o.Slots = replicaCount, slotCount
	h := &host{health: eject.New(o)}
	h.sched = queue.New(queue.Options{
		Replicas: replicaCount, Slots: slotCount, Length: 1000, Health: h.health,
		Budget: &fakeBudget{retries: 1 << 30, hasTimes: true},
	})
	return h
}

// fakeGroup is a group of fake servers that several owners call concurrently.
type fakeGroup struct {
	now      time.Time
	random   *rand.Rand
	calls    []call
	running  [replicaCount]int
	sent     int
	refused  int
	answered int
}

func (f *fakeGroup) apply(h *host, actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Start:
			f.sent++
			c := call{owner: h, attempt: a.Attempt, replica: a.Replica, ends: f.now.Add(step)}
			if c.refused = f.running[a.Replica] >= slotCount; c.refused {
				f.refused++
			} else {
				f.running[a.Replica]++
				c.ends = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(meanTime)))
			}
			f.calls = append(f.calls, c)
		case queue.Finish:
			f.answered++
		}
	}
}

// run simulates load on the owners for the given time. Hosts that are not among them are
// paused: their calls end at the servers, and they get the results when they run
// again.
func (f *fakeGroup) run(length time.Duration, owners ...*host) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		var due []call
		f.calls = slices.DeleteFunc(f.calls, func(c call) bool {
			if c.ends.After(f.now) {
				return false
			}
			if !c.refused && c.replica >= 0 {
				f.running[c.replica]--
			}
			due = append(due, c)
			return true
		})
		for _, c := range due {
			if !slices.Contains(owners, c.owner) {
				c.replica, c.ends = -1, f.now.Add(step) // the owner gets the result after the pause
				f.calls = append(f.calls, c)
				continue
			}
			r := queue.Result{Status: queue.OK}
			if c.refused {
				r = queue.Result{Status: queue.Refused, Reason: core.ReasonBusy}
			}
			f.apply(c.owner, c.owner.sched.Done(f.now, c.attempt, r))
		}
		for _, h := range owners {
			if next := h.sched.NextTick(); !next.IsZero() && !next.After(f.now) {
				f.apply(h, h.sched.Tick(f.now))
			}
		}
		if f.random.Float64() < rate*step.Seconds() {
			h := owners[f.random.IntN(len(owners))]
			h.lastID++
			f.apply(h, h.sched.Add(f.now, task(h.lastID, "a", f.now.Sub(start)+500*time.Millisecond)))
		}
	}
}

// simulateTakeover pauses a host, lets a successor replace it, and for a time lets
// the old host run again as if it still owned the group. It returns the refused
// share of the calls sent, and the number of answers divided by the mean number of
// calls that the load generates.
func simulateTakeover(o eject.Options, seed uint64) (refused, answered float64) {
	f := &fakeGroup{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	old, successor := newHost(o), newHost(o)
	f.run(5*time.Second, old)
	f.sent, f.refused, f.answered = 0, 0, 0
	f.run(3*time.Second, successor)
	f.run(20*time.Second, old, successor)
	f.run(3*time.Second, successor)
	return float64(f.refused) / float64(f.sent), float64(f.answered) / (rate * 26)
}

// TestTwoOwners guards against two hosts that both consider themselves the owner of
// a group and send more calls than its servers have slots, and against slots that
// both leave unused.
func TestTwoOwners(t *testing.T) {
	for seed := range uint64(5) {
		refused, answered := simulateTakeover(eject.Options{}, seed)
		if refused > 0.005 || answered < 0.9 {
			t.Errorf("seed %d: %.2f%% of calls refused, %.1f%% answered", seed, 100*refused, 100*answered)
		}
		if withoutBackoff, _ := simulateTakeover(eject.Options{NoBackoff: true}, seed); withoutBackoff < 0.05 {
			t.Errorf("seed %d: only %.2f%% refused without backoff", seed, 100*withoutBackoff)
		}
	}
}

// TestTaskStartsWhenPauseEnds guards against a task that still waits after the pause
// of its busy replicas has ended, until an unrelated event occurs.
func TestTaskStartsWhenPauseEnds(t *testing.T) {
	h := newHost(eject.Options{})
	now := start
	actions := h.sched.Add(now, task(1, "a", time.Second))
	for len(starts(actions)) > 0 {
		actions = h.sched.Done(now, starts(actions)[0].Attempt, queue.Result{Status: queue.Refused, Reason: core.ReasonBusy})
	}
	next := h.sched.NextTick()
	if !next.Before(start.Add(hedgeDelay)) { // when the first call's hedge timer expires
		t.Fatalf("the next tick is at %v", next.Sub(start))
	}
	if len(starts(h.sched.Tick(next))) != 1 {
		t.Error("the task does not start when the pause of its replicas ends")
	}
}
