package eject_test

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/eject"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func status(inc core.Incarnation, s core.ReplicaState) core.ReplicaStatus {
	return core.ReplicaStatus{Incarnation: inc, State: s}
}

func call(g *eject.Group, now time.Time, r int, took time.Duration) {
	g.Started(now, r)
	g.Ended(now, r, core.CallEnd{Took: took, Median: 10 * time.Millisecond})
}

// TestLastReplica guards against a replica group without any slot although one of
// its replicas does not drain, and against slots of a replica that drains.
func TestLastReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "replicas")
		g := eject.New(eject.Options{Replicas: n, Slots: 2})
		draining := make([]bool, n)
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			r := rapid.IntRange(0, n-1).Draw(t, "replica")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				call(g, now, r, time.Second)
			case 3:
				g.PollFailed(now, r)
			case 4:
				call(g, now, r, time.Millisecond)
			default:
				g.SetStatus(now, r, status(1, core.ReplicaDraining))
				draining[r] = true
			}
			total, serving := 0, 0
			for i := range n {
				slots := g.Slots(now, i)
				if draining[i] && slots > 0 {
					t.Fatalf("replica %d drains and has %d slots", i, slots)
				}
				if !draining[i] {
					serving++
				}
				total += slots
			}
			if serving > 0 && total == 0 {
				t.Fatalf("no slot in the group although %d replicas do not drain", serving)
			}
		}
	})
}

// TestDraining guards against calls to a draining replica after an older or lagging
// status, and against a replica that never gets calls again.
func TestDraining(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 2, Slots: 2})
	g.SetStatus(start, 0, status(3, core.ReplicaReady))
	g.Started(start, 0)
	g.Ended(start.Add(time.Second), 0, core.CallEnd{Refused: true, Reason: core.ReasonDraining})
	for _, polled := range []time.Duration{0, time.Second, 5 * time.Second} {
		g.SetStatus(start.Add(polled), 0, status(3, core.ReplicaReady))
		if g.Slots(start.Add(polled), 0) != 0 {
			t.Fatalf("a status polled at %s gives a draining replica slots", polled)
		}
	}
	g.SetStatus(start.Add(6*time.Second), 0, status(4, core.ReplicaReady))
	if got := g.Slots(start.Add(6*time.Second), 0); got != 1 {
		t.Errorf("a new incarnation starts with %d slots, want 1", got)
	}
}

// TestStraggler guards against a slow replica that is not ejected, against more than
// one trial call at a time, and against a return to service after one good trial.
func TestStraggler(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 2, Slots: 2})
	for range 10 {
		if g.Slots(start, 0) > 0 {
			call(g, start, 0, 200*time.Millisecond)
		}
		call(g, start, 1, 10*time.Millisecond)
	}
	if g.State(0) != eject.Ejected || g.Slots(start, 0) != 0 || g.State(1) != eject.Ready {
		t.Fatalf("states %s and %s", g.State(0), g.State(1))
	}
	now := start.Add(2 * time.Second)
	if !g.Trial(now, 0) {
		t.Fatal("no trial call after 2 s")
	}
	g.Started(now, 0)
	if g.Slots(now, 0) != 0 || g.Slots(now.Add(time.Minute), 0) != 0 {
		t.Error("a second trial call may start")
	}
	g.Ended(now, 0, core.CallEnd{Took: time.Millisecond, Median: 10 * time.Millisecond})
	if g.State(0) != eject.Ejected {
		t.Error("in service again after one good call")
	}
	for range 20 {
		now = now.Add(time.Second)
		call(g, now, 0, time.Millisecond)
	}
	if g.State(0) != eject.Ready {
		t.Error("not in service again after 20 good calls")
	}
}

// TestSnapshots guards against calls for a snapshot that a replica has dropped.
func TestSnapshots(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 1, Slots: 2})
	s := status(1, core.ReplicaReady)
	s.Snapshots = []core.GroupSnapshot{{Snapshot: 41, ShardCount: 2, Shards: []core.ShardID{0, 1}}}
	g.SetStatus(start, 0, s)
	if !g.Holds(0, 41, 1) || g.Holds(0, 42, 1) {
		t.Error("Holds does not agree with the status")
	}
	g.Started(start, 0)
	g.Ended(start, 0, core.CallEnd{Refused: true, Reason: core.ReasonSnapshotGone, Snapshot: 41, Shard: 1})
	g.SetStatus(start.Add(time.Second), 0, s)
	if g.Holds(0, 41, 1) || !g.Holds(0, 41, 0) {
		t.Error("a lagging status undoes the refusal, or the refusal affects another shard")
	}
}

// TestStale guards against calls after a pause of this process that rely on a status
// polled before the pause, also if it arrived after the pause. It also guards against
// the use of all slots at once after the pause, when another host may own the group.
func TestStale(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 1, Slots: 2, StaleAfter: 2 * time.Second})
	slots := func(after time.Duration, want int, why string) {
		t.Helper()
		if got := g.Slots(start.Add(after), 0); got != want {
			t.Errorf("%d slots %s, want %d", got, why, want)
		}
	}
	slots(0, 0, "before the first status")
	g.SetStatus(start, 0, status(1, core.ReplicaReady))
	for range 4 {
		call(g, start, 0, time.Millisecond)
	}
	slots(2*time.Second, 2, "with a fresh status")
	slots(3*time.Second, 0, "after a pause")
	g.SetStatus(start.Add(100*time.Millisecond), 0, status(1, core.ReplicaReady))
	slots(3*time.Second, 0, "after a status polled before the pause")
	g.PollFailed(start.Add(200*time.Millisecond), 0)
	slots(3*time.Second, 0, "after a poll that began before the pause and failed")
	g.SetStatus(start.Add(3*time.Second), 0, status(1, core.ReplicaReady))
	slots(3*time.Second, 1, "after a status polled after the pause")
}

// TestBusy guards against a replica that is ejected or counts as gone because calls
// of another host use its slots, and against a burst of refusals that reduces the
// slots more than once.
func TestBusy(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 2, Slots: 4})
	for range 12 {
		call(g, start, 0, time.Millisecond)
	}
	busy := core.CallEnd{Refused: true, Reason: core.ReasonBusy, Took: time.Millisecond}
	for range 4 {
		g.Started(start, 0)
	}
	g.Ended(start.Add(time.Millisecond), 0, busy)
	g.Ended(start.Add(time.Millisecond), 0, busy)
	if got := g.Slots(start.Add(time.Millisecond), 0); got != 3 {
		t.Errorf("%d slots after one burst, want 3", got)
	}
	now := start
	for range 20 {
		now = now.Add(2 * time.Second)
		g.Started(now, 1)
		g.Ended(now, 1, busy)
		if g.State(1) != eject.Ready || g.Slots(now, 1) != 0 || g.Slots(now.Add(time.Second), 1) != 1 {
			t.Fatalf("state %s, %d slots at once and %d after a second", g.State(1), g.Slots(now, 1), g.Slots(now.Add(time.Second), 1))
		}
	}
}

// TestConnectionLost guards against a host that loses its connection to a replica and uses
// all its slots after the connection is back, when another host may own the group.
// Calls that are never sent must not reset the number of connection failures.
func TestConnectionLost(t *testing.T) {
	g := eject.New(eject.Options{Replicas: 1, Slots: 2})
	for range 4 {
		call(g, start, 0, time.Millisecond)
	}
	for range 3 {
		g.PollFailed(start, 0)
		g.Started(start, 0)
		g.Ended(start, 0, core.CallEnd{Refused: true, Reason: core.ReasonDeadline, Took: time.Second})
	}
	if g.State(0) != eject.Gone || g.Slots(start, 0) != 1 {
		t.Errorf("state %s with %d slots, want gone with 1", g.State(0), g.Slots(start, 0))
	}
}
