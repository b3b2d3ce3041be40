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
	step     = 200 * time.Microsecond
	perGroup = 2 // replicas
	perSlots = 2
	rate     = 360 // calls/s of the whole group, 90% of its slots
)

// call is one call at the fake servers.
type call struct {
	owner   *claimant
	attempt uint64
	replica int
	ends    time.Time
	refused bool
}

// claimant is one host that believes it owns the group.
type claimant struct {
	sched  *queue.Scheduler
	health *eject.Group
	next   uint64
}

func newClaimant(o eject.Options) *claimant {
	o.Replicas, o.Slots = perGroup, perSlots
	c := &claimant{health: eject.New(o)}
	c.sched = queue.New(queue.Options{
		Replicas: perGroup, Slots: perSlots, Length: 1000, Health: c.health,
		Budget: &purse{retries: 1 << 30, learnt: true},
	})
	return c
}

// fleet is a group of fake servers that several owners call at once.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	calls   []call
	running [perGroup]int
	sent    int
	shed    int
	ended   int
}

func (f *fleet) apply(c *claimant, actions []queue.Action) {
	for _, a := range actions {
		switch a.Kind {
		case queue.Start:
			f.sent++
			d := call{owner: c, attempt: a.Attempt, replica: a.Replica, ends: f.now.Add(step)}
			if d.refused = f.running[a.Replica] >= perSlots; d.refused {
				f.shed++
			} else {
				f.running[a.Replica]++
				d.ends = f.now.Add(time.Duration(f.random.ExpFloat64() * float64(mean)))
			}
			f.calls = append(f.calls, d)
		case queue.Finish:
			f.ended++
		}
	}
}

// run offers a load to owners for a time. The calls of paused hosts end at the
// servers; the hosts hear of it when they run again.
func (f *fleet) run(length time.Duration, owners ...*claimant) {
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
				c.replica, c.ends = -1, f.now.Add(step) // heard of after the pause
				f.calls = append(f.calls, c)
				continue
			}
			r := queue.Result{Status: queue.OK}
			if c.refused {
				r = queue.Result{Status: queue.Refused, Reason: core.ReasonBusy}
			}
			f.apply(c.owner, c.owner.sched.Done(f.now, c.attempt, r))
		}
		for _, c := range owners {
			if next := c.sched.NextTick(); !next.IsZero() && !next.After(f.now) {
				f.apply(c, c.sched.Tick(f.now))
			}
		}
		if f.random.Float64() < rate*step.Seconds() {
			c := owners[f.random.IntN(len(owners))]
			c.next++
			f.apply(c, c.sched.Add(f.now, task(c.next, "a", f.now.Sub(start)+500*time.Millisecond)))
		}
	}
}

// shedBy returns the share of refused calls while a host is paused, replaced
// and runs again with its old view for a time.
func shedBy(o eject.Options, seed uint64) (shed, ended float64) {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	old, successor := newClaimant(o), newClaimant(o)
	f.run(5*time.Second, old)
	f.sent, f.shed, f.ended = 0, 0, 0
	f.run(3*time.Second, successor)
	f.run(20*time.Second, old, successor)
	f.run(3*time.Second, successor)
	return float64(f.shed) / float64(f.sent), float64(f.ended) / (rate * 26)
}

// TestTwoOwners guards against two hosts that both believe they own a group and
// overrun the slots of its servers, and against slots that both leave unused.
func TestTwoOwners(t *testing.T) {
	for seed := range uint64(5) {
		shed, ended := shedBy(eject.Options{}, seed)
		if shed > 0.005 || ended < 0.9 {
			t.Errorf("seed %d: %.2f%% of calls shed, %.1f%% answered", seed, 100*shed, 100*ended)
		}
		if without, _ := shedBy(eject.Options{NoBackoff: true}, seed); without < 0.05 {
			t.Errorf("seed %d: only %.2f%% shed without backing off", seed, 100*without)
		}
	}
}

// TestWakes guards against a task that waits for an unrelated event after its
// replica was held back.
func TestWakes(t *testing.T) {
	c := newClaimant(eject.Options{})
	now := start
	actions := c.sched.Add(now, task(1, "a", time.Second))
	for len(starts(actions)) > 0 {
		actions = c.sched.Done(now, starts(actions)[0].Attempt, queue.Result{Status: queue.Refused, Reason: core.ReasonBusy})
	}
	next := c.sched.NextTick()
	if !next.Before(start.Add(delay)) { // when the alarm of a hedge comes up
		t.Fatalf("the next tick is at %v", next.Sub(start))
	}
	if len(starts(c.sched.Tick(next))) != 1 {
		t.Error("the task does not start when the pause ends")
	}
}
