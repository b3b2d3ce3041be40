package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
)

const (
	usual  = 10 * time.Millisecond
	second = time.Second
)

// replicas returns a table of a host in "home" with two replicas of each of n
// services, one of them in "home".
func replicas(t *testing.T, now time.Time, n int) *fleet.Table {
	t.Helper()
	f := fleet.New("host-1", "home")
	for i := range n {
		for _, dc := range []core.DataCentre{"home", "away"} {
			f.Put(now, core.Instance{
				ID:         core.InstanceID(fmt.Sprintf("%d-%s", i, dc)),
				Service:    service(i),
				Address:    fmt.Sprintf("10.0.%d.%d:80", i, len(dc)),
				DataCentre: dc,
				Slots:      2,
			})
		}
	}
	return f
}

func service(i int) core.ServiceName { return core.ServiceName(fmt.Sprintf("shard-%d", i)) }

// call runs one call on the replica that the table picks.
func call(f *fleet.Table, now time.Time, s core.ServiceName, tried []*fleet.Replica, end func(core.InstanceID) fleet.End) *fleet.Replica {
	r, _ := f.Pick(now, s, usual, tried)
	if r == nil {
		return nil
	}
	f.Started(now, r)
	e := end(r.Instance().ID)
	e.Expected = usual
	f.Ended(now.Add(e.Took), r, e)
	return r
}

// TestOneInSevenSlow is the load of a day on which one replica in seven takes
// eight times as long: work has to move to the other replica of its shard, and
// come back when the replica recovers.
func TestOneInSevenSlow(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 7)
	slow := core.InstanceID("3-home")
	took := func(id core.InstanceID, slowed bool) fleet.End {
		if slowed && id == slow {
			return fleet.End{Took: 8 * usual}
		}
		return fleet.End{Took: usual}
	}
	count := func(slowed bool, rounds int) (onSlow int) {
		for range rounds {
			for i := range 7 {
				r := call(f, now, service(i), nil, func(id core.InstanceID) fleet.End { return took(id, slowed) })
				if r.Instance().ID == slow {
					onSlow++
				}
			}
			now = now.Add(second / 13)
		}
		return onSlow
	}
	if n := count(true, 13*8); n > 10 {
		t.Errorf("%d of 104 calls of its shard went to the slow replica in 8 s, want 10 at most", n)
	}
	count(false, 13*10)
	if n := count(false, 13); n != 13 {
		t.Errorf("%d of 13 calls went to the near replica long after it recovered, want all", n)
	}
}

// TestPausedReplica is the load of replicas that pause for a moment: while one
// call is stuck, the next ones go to the other replica.
func TestPausedReplica(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	stuck, _ := f.Pick(now, service(0), usual, nil)
	f.Started(now, stuck)
	next, _ := f.Pick(now.Add(4*usual), service(0), usual, nil)
	if next == stuck {
		t.Error("a call went to a replica whose last call has been running for four times the usual time")
	}
}

// TestGreyReplica is the load of a replica that sheds half of its requests while
// its health is good.
func TestGreyReplica(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	grey, n, on := core.InstanceID("0-home"), 0, 0
	for range 100 {
		r := call(f, now, service(0), nil, func(id core.InstanceID) fleet.End {
			if id != grey {
				return fleet.End{Took: usual}
			}
			n++
			return fleet.End{Took: usual / 5, Refused: n%2 == 0}
		})
		if r.Instance().ID == grey {
			on++
		}
		now = now.Add(second / 13)
	}
	if on > 35 {
		t.Errorf("%d of 100 calls went to the replica that sheds, want 35 at most", on)
	}
}

// TestAllReplicasDark is the load of a shard whose replicas all fall silent:
// after a few calls nothing is sent there, until a probe succeeds.
func TestAllReplicasDark(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	calls := 0
	for range 40 {
		if call(f, now, service(0), nil, func(core.InstanceID) fleet.End {
			return fleet.End{Took: 300 * time.Millisecond, Silent: true}
		}) != nil {
			calls++
		}
		now = now.Add(second / 13)
	}
	if calls > 8 {
		t.Errorf("%d calls to silent replicas, want 8 at most", calls)
	}
	if f.Available(service(0)) {
		t.Error("the shard counts as available")
	}
	now = now.Add(second)
	due := f.Probes(now)
	if len(due) != 2 || len(f.Probes(now)) != 0 {
		t.Fatalf("%d probes are due, want 2, once", len(due))
	}
	f.Probed(now, due[0], true)
	f.Probed(now, due[1], false)
	if r, _ := f.Pick(now, service(0), usual, nil); r != due[0] {
		t.Error("the replica that answered its probe gets no calls")
	}
}

// TestMovedAddress guards against calls to an address that another service's
// replica has by now: each is one more arrival there.
func TestMovedAddress(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	moved := call(f, now, service(0), nil, func(core.InstanceID) fleet.End {
		return fleet.End{Took: time.Millisecond, Refused: true, Moved: true}
	})
	other, _ := f.Pick(now, service(0), usual, nil)
	if other == nil || other == moved {
		t.Fatal("the other replica gets no calls")
	}
	// Not even the repetition of a call that failed at the other replica goes there.
	for range 20 {
		if r, _ := f.Pick(now, service(0), usual, []*fleet.Replica{other}); r != nil {
			t.Fatal("a call went to the address again")
		}
		now = now.Add(second / 13)
	}
}

// TestLapsedEntries is the load of a directory that returns after an outage:
// entries that lapsed meanwhile name replicas for two seconds more, and not
// longer.
func TestLapsedEntries(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	f.Remove(now, "0-home", true)
	f.Remove(now, "0-away", true)
	if !f.Available(service(0)) {
		t.Fatal("held entries name no replica")
	}
	f.Put(now.Add(second), core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home"})
	gone := f.Expire(now.Add(1900*time.Millisecond), now)
	if len(gone) != 0 {
		t.Errorf("%v expired early", gone)
	}
	gone = f.Expire(now.Add(2*second), now)
	if len(gone) != 1 || gone[0] != "0-away" {
		t.Errorf("got %v, want the entry that did not come back", gone)
	}
}

// TestDrainingReplica guards against work for a replica that is leaving.
func TestDrainingReplica(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	f.Put(now, core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home", Draining: true})
	for range 5 {
		r, _ := f.Pick(now, service(0), usual, nil)
		if r == nil || r.Instance().ID != "0-away" {
			t.Fatalf("got %v", r)
		}
		f.Started(now, r)
	}
}

// TestReusedIdentity guards against a new life that inherits what was learnt of
// the old one.
func TestReusedIdentity(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	for range 10 {
		call(f, now, service(0), nil, func(core.InstanceID) fleet.End { return fleet.End{Took: second, Silent: true} })
	}
	f.Put(now, core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home", Born: 7})
	if r, _ := f.Pick(now, service(0), usual, nil); r == nil || r.Instance().Born != 7 {
		t.Error("the new life gets no calls")
	}
}

// TestSubsets is the load of more hosts than a replica takes connections: every
// host keeps two replicas of each shard or more, no replica has more hosts than
// connections, and the loss of a host moves nothing.
func TestSubsets(t *testing.T) {
	const hosts, shards, limit = 63, 90, 54
	now := time.Now()
	zones := []core.DataCentre{"a", "b", "c"}
	users := map[core.InstanceID]int{}
	for h := range hosts {
		f := fleet.New(core.HostID(fmt.Sprint("host-", h)), zones[h%3])
		for s := range shards {
			f.SetCap(service(s), fleet.Cap{Calls: 1, Share: float64(limit) / (hosts + 1)})
			for _, z := range zones {
				f.Put(now, core.Instance{ID: core.InstanceID(fmt.Sprintf("%d-%s", s, z)), Service: service(s), DataCentre: z})
			}
		}
		own := map[core.ServiceName]int{}
		for _, in := range f.Instances() {
			users[in.ID]++
			own[in.Service]++
		}
		for s, n := range own {
			if n < 2 {
				t.Fatalf("host %d has %d replicas of %s", h, n, s)
			}
		}
	}
	for id, n := range users {
		if n > limit {
			t.Errorf("%s has %d hosts, limit %d", id, n, limit)
		}
	}
}

// TestStatedPace is the load of machines that slow down for moments: a replica that
// says so in a quick answer is left at once, and tried again when that is old.
func TestStatedPace(t *testing.T) {
	now := time.Now()
	f := replicas(t, now, 1)
	end := func(pace int) func(core.InstanceID) fleet.End {
		return func(core.InstanceID) fleet.End {
			return fleet.End{Took: usual, Load: &fleet.Load{Running: 1, Slots: 2, Pace: pace}}
		}
	}
	pick := func(at time.Time, pace int) core.InstanceID {
		return call(f, at, service(0), nil, end(pace)).Instance().ID
	}
	if id := pick(now, 100); id != "0-home" {
		t.Fatalf("first call on %s", id)
	}
	if id := pick(now.Add(20*time.Millisecond), 600); id != "0-home" {
		t.Errorf("a usual pace sends calls to %s", id)
	}
	if id := pick(now.Add(40*time.Millisecond), 100); id != "0-away" {
		t.Errorf("a call goes to %s although its machine is slow now", id)
	}
	if id := pick(now.Add(time.Second), 100); id != "0-home" {
		t.Errorf("1 s later a call goes to %s", id)
	}
}
