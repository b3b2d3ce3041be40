package relay_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/io/relay"
)

// arrivedAfter returns the number of requests that reached an address later than at a time.
func (b *backends) arrivedAfter(address string, at time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.arrivals[address] {
		if t.After(at) {
			n++
		}
	}
	return n
}

// evacuate evacuates data centres as a host does when it reads the directory.
func evacuate(r *relay.Relay, replicas *picker.Table, dcs ...core.DataCentre) (at time.Time) {
	replicas.SetEvacuated(dcs)
	r.ReassignWaiting(time.Now())
	return time.Now()
}

// TestEvacuationDuringRequest guards against calls to a replica whose data centre is evacuated
// while a request waits for a slot, for its hedge or for a retry, and against a request that
// waits although no replica is left for it.
func TestEvacuationDuringRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		mode      [2]string // of the replicas in the data centres a and b
		load      int       // requests before, which use slots
		after     time.Duration
		evacuated []core.DataCentre
		status    int
		most      time.Duration // from the evacuation to the answer
	}{
		{"waits for a slot, one is left", "/o/", [2]string{"slow", "slow"}, 4, serviceTime, []core.DataCentre{"a"}, 200, 20 * serviceTime},
		{"waits for a slot, none is left", "/o/", [2]string{"slow", "slow"}, 4, serviceTime, []core.DataCentre{"a", "b"}, 503, 0},
		{"hedge is scheduled", "/v/", [2]string{"paused", ""}, 0, time.Millisecond, []core.DataCentre{"b"}, 200, 130 * time.Millisecond},
		{"hedge runs, the first call's replica is evacuated", "/v/", [2]string{"paused", "slow"}, 0, 30 * time.Millisecond, []core.DataCentre{"a"}, 200, 130 * time.Millisecond},
		{"retry at the same replicas is scheduled", "/o/", [2]string{"shed", "shed"}, 0, 2500 * time.Microsecond, []core.DataCentre{"a", "b"}, 503, 3 * time.Millisecond},
		{"call runs, its retry must go elsewhere", "/v/", [2]string{"lost", ""}, 0, time.Millisecond, []core.DataCentre{"a"}, 200, 3 * serviceTime},
		{"call runs, no retry is left", "/v/", [2]string{"lost", ""}, 0, time.Millisecond, []core.DataCentre{"a", "b"}, 502, 3 * serviceTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, replicas := newRelay(t, b, 1, nil)
				warmUp(r)
				b.setMode(c.mode[0], address(0, 0))
				b.setMode(c.mode[1], address(0, 1))
				for i := range c.load {
					go do(r, c.path, 100+i)
				}
				synctest.Wait()
				evacuated := make(chan time.Time, 1)
				go func() {
					<-time.After(c.after)
					evacuated <- evacuate(r, replicas, c.evacuated...)
				}()
				reply, _ := do(r, c.path, 1)
				end := time.Now()
				at := <-evacuated
				if took := end.Sub(at); reply.Status != c.status || took > c.most {
					t.Errorf("got %d %v after the evacuation, want %d within %v", reply.Status, took, c.status, c.most)
				}
				if c.status == 503 && (reply.RetryAfter <= 0 || reply.Reason != core.ReasonNoReplica && reply.Reason != core.ReasonBusy) {
					t.Errorf("rejected with reason %q, retry after %v", reply.Reason, reply.RetryAfter)
				}
				awaitCalls()
				for i, dc := range []core.DataCentre{"a", "b"} {
					for _, e := range c.evacuated {
						if n := b.arrivedAfter(address(0, i), at); e == dc && n > 0 {
							t.Errorf("%d requests reached the replica in %s after the evacuation", n, dc)
						}
					}
				}
			})
		})
	}
}

// TestEvacuationDuringTask guards against calls of a delegated task to a replica whose data
// centre is evacuated while the task runs on another host.
func TestEvacuationDuringTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		other, otherReplicas := newRelay(t, b, 20, nil)
		r, _ := newRelay(t, b, 20, &fakeTasks{relay: other})
		warmUp(other)
		warmUp(r)
		b.setMode("paused", address(3, 0), address(7, 0))
		evacuated := make(chan time.Time, 1)
		go func() {
			<-time.After(2 * time.Millisecond) // before the hedges of the task's calls
			evacuated <- evacuate(other, otherReplicas, "b")
		}()
		reply, took := do(r, "/q/", 1)
		at := <-evacuated
		if reply.Status != 200 || reply.Missing != 2 || took > queryTarget {
			t.Errorf("got %d with %d missing after %v, want two missing", reply.Status, reply.Missing, took)
		}
		awaitCalls()
		for _, shard := range []int{2, 3, 5, 7, 11, 13} {
			if n := b.arrivedAfter(address(shard, 1), at); n > 0 {
				t.Errorf("%d requests reached shard %d in the evacuated data centre", n, shard)
			}
		}
	})
}

// TestEvacuatedShards guards against a query that waits for shards without replicas outside
// evacuated data centres: it is answered at once without them, or rejected before any call.
func TestEvacuatedShards(t *testing.T) {
	for lost, want := range map[int]int{0: 200, 1: 200, 2: 200, 3: 503, 20: 503} {
		t.Run(fmt.Sprint(lost, " shards"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, replicas := newRelay(t, b, 20, nil)
				for i := range lost {
					replicas.Remove(time.Now(), core.InstanceID(address(i, 1)), false)
				}
				evacuate(r, replicas, "a")
				reply, took := do(r, "/q/", 1)
				if reply.Status != want || want == 200 && (reply.Missing != lost || took > 3*serviceTime) {
					t.Errorf("got %d with %d missing after %v, want %d", reply.Status, reply.Missing, took, want)
				}
				if want == 503 && (reply.RetryAfter <= 0 || took > 0 || b.calls() > 0) {
					t.Errorf("rejected after %v and %d calls, retry after %v", took, b.calls(), reply.RetryAfter)
				}
				evacuate(r, replicas)
				if reply, _ := do(r, "/q/", 2); reply.Status != 200 || reply.Missing != 0 {
					t.Errorf("after the evacuation: got %d with %d missing", reply.Status, reply.Missing)
				}
				awaitCalls()
			})
		})
	}
}

// TestEvacuatedService guards against requests that move to another service of a split when
// the replicas of one are evacuated, which would change the weights.
func TestEvacuatedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, replicas := newRelay(t, b, 2, nil)
		replicas.Remove(time.Now(), core.InstanceID(address(1, 1)), false)
		r.SetTable(route.New(core.Routing{Version: 2, Routes: []core.Route{
			{Name: "order", Host: "h", Prefix: "/o/", Timeout: 2 * time.Second, Attempts: 2, Split: []core.Share{{Service: service(0), Weight: 3}, {Service: service(1), Weight: 1}}},
		}}))
		evacuate(r, replicas, "a")
		rejected := 0
		for i := range 40 {
			reply, took := do(r, "/o/", i)
			if reply.Status == 503 {
				rejected++
				if reply.RetryAfter <= 0 || took > 0 {
					t.Errorf("rejected after %v, retry after %v", took, reply.RetryAfter)
				}
			}
		}
		if rejected != 10 || b.runs(address(0, 1)) != 30 || b.calls() != 30 {
			t.Errorf("%d rejected and %d calls, want 10 and 30", rejected, b.calls())
		}
		awaitCalls()
	})
}

// TestEvacuationsUnderLoad guards against the same for any schedule of evacuations, faults and
// requests: no request reaches a replica between the begin and the end of its evacuation.
func TestEvacuationsUnderLoad(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			b := newBackends()
			other, otherReplicas := newRelay(t, b, 20, nil)
			r, replicas := newRelay(t, b, 20, &fakeTasks{relay: other})
			warmUp(r)
			type interval struct{ begin, end time.Time }
			evacuations := map[int][]interval{}
			var running sync.WaitGroup
			for i := range 300 {
				running.Go(func() { do(r, []string{"/q/", "/o/", "/v/"}[i%3], i) })
				switch rng.IntN(4) {
				case 0:
					modes := []string{"", "", "slow", "shed", "lost", "paused"}
					b.setMode(modes[rng.IntN(len(modes))], address(rng.IntN(20), rng.IntN(2)))
				case 1:
					if i%10 != 0 {
						break
					}
					n := rng.IntN(2)
					begin := evacuate(r, replicas, []core.DataCentre{"a", "b"}[n])
					evacuate(other, otherReplicas, []core.DataCentre{"a", "b"}[n])
					<-time.After(time.Duration(rng.IntN(200)) * time.Millisecond)
					evacuations[n] = append(evacuations[n], interval{begin, time.Now()})
					evacuate(r, replicas)
					evacuate(other, otherReplicas)
				}
				<-time.After(time.Duration(rng.IntN(8)) * time.Millisecond)
			}
			running.Wait()
			awaitCalls()
			for n, all := range evacuations {
				for shard := range 20 {
					for _, e := range all {
						if late := b.arrivedAfter(address(shard, n), e.begin) - b.arrivedAfter(address(shard, n), e.end.Add(-1)); late > 0 {
							t.Errorf("seed %d: %d requests reached shard %d during an evacuation of %v", seed, late, shard, e.end.Sub(e.begin))
						}
					}
				}
			}
		})
	}
}
