package picker_test

import (
	"fmt"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

const (
	usualTime = 10 * time.Millisecond
	second    = time.Second
)

// newTable returns the table of a host in the data centre "home". Each of n services
// has one replica in "home" and one in "away".
func newTable(t *testing.T, now time.Time, n int) *picker.Table {
	t.Helper()
	table := picker.New("host-1", "home")
	for i := range n {
		for _, dc := range []core.DataCentre{"home", "away"} {
			table.Put(now, core.Instance{
				ID:         core.InstanceID(fmt.Sprintf("%d-%s", i, dc)),
				Service:    service(i),
				Address:    fmt.Sprintf("10.0.%d.%d:80", i, len(dc)),
				DataCentre: dc,
				Slots:      2,
			})
		}
	}
	return table
}

func service(i int) core.ServiceName { return core.ServiceName(fmt.Sprintf("shard-%d", i)) }

// call picks a replica, records the start and the end of a call to it, and returns it;
// nil if none is available.
func call(table *picker.Table, now time.Time, s core.ServiceName, tried []*picker.Replica, end func(core.InstanceID) picker.CallEnd) *picker.Replica {
	r, _ := table.Pick(now, s, usualTime, tried)
	if r == nil {
		return nil
	}
	table.Start(now, r)
	e := end(r.Instance().ID)
	e.Expected = usualTime
	table.Ended(now.Add(e.Took), r, e)
	return r
}

// TestSlowReplica guards against calls that stay at a replica which takes eight times as
// long as usual, and against calls that do not return when it recovers. The replicas of
// six other shards have the usual speed.
func TestSlowReplica(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 7)
	slow := core.InstanceID("3-home")
	took := func(id core.InstanceID, slowed bool) picker.CallEnd {
		if slowed && id == slow {
			return picker.CallEnd{Took: 8 * usualTime}
		}
		return picker.CallEnd{Took: usualTime}
	}
	count := func(slowed bool, rounds int) (onSlow int) {
		for range rounds {
			for i := range 7 {
				r := call(table, now, service(i), nil, func(id core.InstanceID) picker.CallEnd { return took(id, slowed) })
				if r.Instance().ID == slow {
					onSlow++
				}
			}
			now = now.Add(second / 13)
		}
		return onSlow
	}
	if n := count(true, 13*8); n > 10 {
		t.Errorf("the slow replica got %d of the 104 calls of its shard in 8 s, want at most 10", n)
	}
	count(false, 13*10)
	if n := count(false, 13); n != 13 {
		t.Errorf("the local replica got %d of 13 calls 10 s after it recovered, want all", n)
	}
}

// TestPausedReplica guards against calls to a replica that is paused for a moment: while
// one call is stuck there, the next ones must go to the other replica.
func TestPausedReplica(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	stuck, _ := table.Pick(now, service(0), usualTime, nil)
	table.Start(now, stuck)
	next, _ := table.Pick(now.Add(4*usualTime), service(0), usualTime, nil)
	if next == stuck {
		t.Error("a call went to a replica whose last call has been running for four times the usual time")
	}
}

// TestFullReplicas guards against more calls to a replica than it has slots, which would wait
// in its queue.
func TestFullReplicas(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	running := map[core.InstanceID]int{}
	var last *picker.Replica
	for range 4 {
		r, busy := table.Pick(now, service(0), usualTime, nil)
		if r == nil || busy || !table.Start(now, r) {
			t.Fatalf("got replica %v, wait %v although slots are free", r, busy)
		}
		running[r.Instance().ID]++
		last = r
	}
	if running["0-home"] != 2 || running["0-away"] != 2 {
		t.Errorf("calls by replica are %v, want two each", running)
	}
	if r, busy := table.Pick(now, service(0), usualTime, nil); r != nil || !busy {
		t.Errorf("got replica %v, wait %v although all slots are in use", r, busy)
	}
	if table.Start(now, last) {
		t.Error("a third call to a replica with two slots started")
	}
	if r := table.PickTried(now, usualTime, []*picker.Replica{last}); r != nil {
		t.Errorf("got replica %v, whose slots are in use", r)
	}
	table.Ended(now, last, picker.CallEnd{Took: usualTime, Expected: usualTime})
	if r, _ := table.Pick(now, service(0), usualTime, nil); r != last {
		t.Errorf("got replica %v, want the one with a free slot", r)
	}
}

// TestSheddingReplica guards against too many calls to a replica that rejects half of its
// requests while its health checks succeed.
func TestSheddingReplica(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	shedding, n, onShedding := core.InstanceID("0-home"), 0, 0
	for range 100 {
		r := call(table, now, service(0), nil, func(id core.InstanceID) picker.CallEnd {
			if id != shedding {
				return picker.CallEnd{Took: usualTime}
			}
			n++
			return picker.CallEnd{Took: usualTime / 5, Refused: n%2 == 0}
		})
		if r.Instance().ID == shedding {
			onShedding++
		}
		now = now.Add(second / 13)
	}
	if onShedding > 35 {
		t.Errorf("the shedding replica got %d of 100 calls, want at most 35", onShedding)
	}
}

// TestAllReplicasSilent guards against calls to replicas that no longer answer, when these
// are all replicas of a shard. After a few calls they must get no more until a probe
// succeeds.
func TestAllReplicasSilent(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	calls := 0
	for range 40 {
		if call(table, now, service(0), nil, func(core.InstanceID) picker.CallEnd {
			return picker.CallEnd{Took: 300 * time.Millisecond, Silent: true}
		}) != nil {
			calls++
		}
		now = now.Add(second / 13)
	}
	if calls > 8 {
		t.Errorf("%d calls to silent replicas, want at most 8", calls)
	}
	if table.Available(now, service(0)) {
		t.Error("the shard is available although no replica answers")
	}
	now = now.Add(second)
	due := table.Probes(now)
	if len(due) != 2 || len(table.Probes(now)) != 0 {
		t.Fatalf("%d probes are due, want 2, and none in a second call", len(due))
	}
	table.Probed(now, due[0], true)
	table.Probed(now, due[1], false)
	if r, _ := table.Pick(now, service(0), usualTime, nil); r != due[0] {
		t.Error("the replica with a successful probe gets no calls")
	}
}

// TestReusedAddress guards against calls to an address that a replica of another service
// now has. They would add to the load of that replica.
func TestReusedAddress(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	moved := call(table, now, service(0), nil, func(core.InstanceID) picker.CallEnd {
		return picker.CallEnd{Took: time.Millisecond, Refused: true, AddressReused: true}
	})
	other, _ := table.Pick(now, service(0), usualTime, nil)
	if other == nil || other == moved {
		t.Fatal("the other replica gets no calls")
	}
	// Not even the retry of a call that failed at the other replica may go there.
	for range 20 {
		if r, _ := table.Pick(now, service(0), usualTime, []*picker.Replica{other}); r != nil {
			t.Fatal("another call went to the reused address")
		}
		now = now.Add(second / 13)
	}
}

// TestLapsedEntries guards against replicas that are lost because their entries lapsed
// while the directory had failed. They must stay usable for two seconds after the
// directory returns, and not longer.
func TestLapsedEntries(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	table.Remove(now, "0-home", true)
	table.Remove(now, "0-away", true)
	if !table.Available(now, service(0)) {
		t.Fatal("replicas whose entries are held are not usable")
	}
	table.Put(now.Add(second), core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home"})
	expired := table.Expire(now.Add(1900*time.Millisecond), now)
	if len(expired) != 0 {
		t.Errorf("%v expired too early", expired)
	}
	expired = table.Expire(now.Add(2*second), now)
	if len(expired) != 1 || expired[0] != "0-away" {
		t.Errorf("%v expired, want only the instance whose entry did not come back", expired)
	}
}

// TestDrainingReplica guards against calls to a replica that is draining.
func TestDrainingReplica(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	table.Put(now, core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home", Draining: true})
	for range 5 {
		r, _ := table.Pick(now, service(0), usualTime, nil)
		if r == nil || r.Instance().ID != "0-away" {
			t.Fatalf("got replica %v, want 0-away", r)
		}
		table.Start(now, r)
		table.Ended(now, r, picker.CallEnd{Took: usualTime, Expected: usualTime})
	}
}

// TestReusedInstanceID guards against a new instance that inherits the statistics of an
// earlier instance with the same ID.
func TestReusedInstanceID(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	for range 10 {
		call(table, now, service(0), nil, func(core.InstanceID) picker.CallEnd { return picker.CallEnd{Took: second, Silent: true} })
	}
	table.Put(now, core.Instance{ID: "0-home", Service: service(0), Address: "10.0.0.4:80", DataCentre: "home", Born: 7})
	if r, _ := table.Pick(now, service(0), usualTime, nil); r == nil || r.Instance().Born != 7 {
		t.Error("the new instance gets no calls")
	}
}

// TestSubsets guards against replicas that more hosts use than they accept connections,
// and against hosts that use fewer than two replicas of a shard.
func TestSubsets(t *testing.T) {
	const hosts, shards, limit = 63, 90, 54
	now := time.Now()
	zones := []core.DataCentre{"a", "b", "c"}
	hostCount := map[core.InstanceID]int{}
	for h := range hosts {
		table := picker.New(core.HostID(fmt.Sprint("host-", h)), zones[h%3])
		for s := range shards {
			table.SetHostLimits(service(s), picker.HostLimits{Calls: 1, Share: float64(limit) / (hosts + 1)})
			for _, z := range zones {
				table.Put(now, core.Instance{ID: core.InstanceID(fmt.Sprintf("%d-%s", s, z)), Service: service(s), DataCentre: z})
			}
		}
		perService := map[core.ServiceName]int{}
		for _, in := range table.Instances() {
			hostCount[in.ID]++
			perService[in.Service]++
		}
		for s, n := range perService {
			if n < 2 {
				t.Fatalf("host %d uses %d replicas of %s, want at least 2", h, n, s)
			}
		}
	}
	for id, n := range hostCount {
		if n > limit {
			t.Errorf("%s is used by %d hosts, limit %d", id, n, limit)
		}
	}
}

// TestReportedServiceTime guards against calls to a replica whose machine slows down for a
// moment. A replica that reports this, even in a quick answer, must lose its calls at once
// and get them back when the report is old.
func TestReportedServiceTime(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	end := func(serviceTimePct int) func(core.InstanceID) picker.CallEnd {
		return func(core.InstanceID) picker.CallEnd {
			return picker.CallEnd{Took: usualTime, Load: &picker.Load{Running: 1, Slots: 2, ServiceTimePct: serviceTimePct}}
		}
	}
	pick := func(at time.Time, serviceTimePct int) core.InstanceID {
		return call(table, at, service(0), nil, end(serviceTimePct)).Instance().ID
	}
	if id := pick(now, 100); id != "0-home" {
		t.Fatalf("the first call went to %s", id)
	}
	if id := pick(now.Add(20*time.Millisecond), 600); id != "0-home" {
		t.Errorf("after a report of the usual service time, a call went to %s", id)
	}
	if id := pick(now.Add(40*time.Millisecond), 100); id != "0-away" {
		t.Errorf("after a report of a slow machine, a call went to %s", id)
	}
	if id := pick(now.Add(time.Second), 100); id != "0-home" {
		t.Errorf("1 s after the report, a call went to %s", id)
	}
}
