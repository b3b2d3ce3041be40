package picker_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

// TestEvacuatedReplicas guards against any use of a replica in an evacuated data centre, and
// against replicas that stay unused after the evacuation.
func TestEvacuatedReplicas(t *testing.T) {
	const away = core.DataCentre("away")
	home := core.Instance{ID: "home", Service: "tickets", Address: "10.0.0.1:80", DataCentre: "home", Slots: 2, Born: 1}
	for _, c := range []struct {
		name      string
		evacuated []core.DataCentre
		change    func(*picker.Table, time.Time) // after the evacuation began
		usable    bool                           // the replica at home
		available bool
	}{
		{name: "none", usable: true, available: true},
		{name: "home", evacuated: []core.DataCentre{"home"}, available: true},
		{name: "away", evacuated: []core.DataCentre{away}, usable: true, available: true},
		{name: "both", evacuated: []core.DataCentre{"home", away}},
		{name: "unknown", evacuated: []core.DataCentre{"x"}, usable: true, available: true},
		{name: "ended", evacuated: []core.DataCentre{"home", away}, usable: true, available: true,
			change: func(table *picker.Table, _ time.Time) { table.SetEvacuated(nil) }},
		{name: "entry published again", evacuated: []core.DataCentre{"home"}, available: true,
			change: func(table *picker.Table, now time.Time) { table.Put(now, home) }},
		{name: "started again", evacuated: []core.DataCentre{"home"}, available: true,
			change: func(table *picker.Table, now time.Time) { in := home; in.Born = 2; table.Put(now, in) }},
		{name: "moved out of the data centre", evacuated: []core.DataCentre{"home"}, usable: true, available: true,
			change: func(table *picker.Table, now time.Time) { in := home; in.DataCentre = "x"; table.Put(now, in) }},
		{name: "moved into the data centre", evacuated: []core.DataCentre{"x"}, available: true,
			change: func(table *picker.Table, now time.Time) { in := home; in.DataCentre = "x"; table.Put(now, in) }},
		{name: "other entries published", evacuated: []core.DataCentre{away}, usable: true, available: true,
			change: func(table *picker.Table, now time.Time) {
				table.Put(now, core.Instance{ID: "other", Service: "other", DataCentre: away})
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			table := picker.New("host-1", "home")
			table.Put(now, home)
			picked, _ := table.Pick(now, "tickets", usualTime, nil)
			table.Put(now, core.Instance{ID: "away", Service: "tickets", Address: "10.0.0.2:80", DataCentre: away, Slots: 2})
			table.Start(now, picked)
			table.SetEvacuated(c.evacuated)
			if c.change != nil {
				c.change(table, now)
			}
			if table.Ended(now, picked, picker.CallEnd{Took: usualTime, Expected: usualTime}); table.Running() != 0 {
				t.Errorf("%d calls run, want none", table.Running())
			}
			if r, busy := table.Pick(now, "tickets", usualTime, nil); (r != nil) != c.available || busy {
				t.Errorf("picked %v, busy %v, want available %v", r, busy, c.available)
			} else if r != nil && (r.Instance().ID == home.ID) != c.usable {
				t.Errorf("picked %v", r.Instance())
			}
			if got := table.Available(now, "tickets"); got != c.available {
				t.Errorf("available: %v, want %v", got, c.available)
			}
			if got := table.AvailableIn(now, "tickets", "home") || table.AvailableIn(now, "tickets", "x"); got != c.usable {
				t.Errorf("available at home: %v, want %v", got, c.usable)
			}
			if _, got := table.InSubset(now, home.ID); got != c.usable {
				t.Errorf("warmed: %v, want %v", got, c.usable)
			}
			listed := false
			for _, in := range table.Instances() {
				listed = listed || in.ID == home.ID
			}
			if listed != c.usable {
				t.Errorf("listed for connections: %v, want %v", listed, c.usable)
			}
			if c.change == nil { // the same lifetime
				if got := table.PickTried(now, usualTime, []*picker.Replica{picked}) != nil; got != c.usable {
					t.Errorf("picked again: %v, want %v", got, c.usable)
				}
				if got := table.Start(now, picked); got != c.usable {
					t.Errorf("started: %v, want %v", got, c.usable)
				}
			}
		})
	}
}

// TestNoProbesWhileEvacuated guards against health probes to an ejected replica in an evacuated
// data centre, and against one that is not probed after the end.
func TestNoProbesWhileEvacuated(t *testing.T) {
	now := time.Now()
	table := newTable(t, now, 1)
	r, _ := table.Pick(now, service(0), usualTime, nil)
	for range 3 {
		table.Start(now, r)
		table.Ended(now, r, picker.CallEnd{Took: time.Millisecond, Expected: usualTime, Silent: true})
	}
	table.SetEvacuated([]core.DataCentre{"home"})
	if n := len(table.Probes(now.Add(time.Hour))); n != 0 {
		t.Errorf("%d probes, want none", n)
	}
	table.SetEvacuated(nil)
	if n := len(table.Probes(now.Add(time.Hour))); n != 1 {
		t.Errorf("%d probes after the end, want one", n)
	}
}

// TestSubsetDuringEvacuation guards against a host without a usable replica in its subset: it
// would open no connection in advance, and calls outside it may exceed connection limits.
func TestSubsetDuringEvacuation(t *testing.T) {
	now := time.Now()
	for h := range 40 {
		table := picker.New(core.HostID(fmt.Sprint("host-", h)), "a")
		table.SetHostLimits("tickets", picker.HostLimits{Calls: 1, Share: 0.3})
		for i := range 9 {
			dc := []core.DataCentre{"a", "b", "c"}[i%3]
			table.Put(now, core.Instance{ID: core.InstanceID(fmt.Sprint("i-", i)), Service: "tickets", DataCentre: dc})
		}
		count := func() map[core.DataCentre]int {
			n := map[core.DataCentre]int{}
			for _, in := range table.Instances() {
				n[in.DataCentre]++
			}
			return n
		}
		before := count()
		table.SetEvacuated([]core.DataCentre{"a"})
		if n := count(); n["a"] != 0 || n["b"]+n["c"] != 2 {
			t.Errorf("host %d uses %v, want two replicas outside a", h, n)
		}
		table.SetEvacuated(nil)
		if n := count(); n["a"] != before["a"] || n["b"] != before["b"] || n["c"] != before["c"] {
			t.Errorf("host %d uses %v after the evacuation, want %v", h, n, before)
		}
	}
}

// TestEvacuationsAreKept guards against the same in random schedules: no request starts and no
// probe is sent at a replica while its data centre is evacuated, and a service with a replica
// elsewhere stays available.
func TestEvacuationsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		table := picker.New("host-1", "a")
		centres := []core.DataCentre{"a", "b", "c"}
		zone := map[core.InstanceID]core.DataCentre{}
		put := func(i int) {
			id := core.InstanceID(fmt.Sprint("i-", i))
			zone[id] = rapid.SampledFrom(centres).Draw(t, "zone")
			table.Put(now, core.Instance{ID: id, Service: "tickets", Address: string(id), Slots: 2, DataCentre: zone[id], Born: int64(rapid.IntRange(0, 1).Draw(t, "born"))})
		}
		evacuated := map[core.DataCentre]bool{}
		check := func(what string, r *picker.Replica) {
			if id := r.Instance().ID; evacuated[zone[id]] {
				t.Fatalf("%s at %s, whose data centre %s is evacuated", what, id, zone[id])
			}
		}
		var picked, running []*picker.Replica
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap_ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				put(rapid.IntRange(0, 4).Draw(t, "replica"))
			case 1:
				dc := rapid.SampledFrom(centres).Draw(t, "data_centre")
				evacuated[dc] = !evacuated[dc]
				var all []core.DataCentre
				for _, dc := range centres {
					if evacuated[dc] {
						all = append(all, dc)
					}
				}
				table.SetEvacuated(all)
			case 2, 3:
				if r, _ := table.Pick(now, "tickets", usualTime, nil); r != nil {
					picked = append(picked, r)
				}
			case 4: // a call that was picked earlier, or picked again
				if len(picked) == 0 {
					continue
				}
				r := picked[rapid.IntRange(0, len(picked)-1).Draw(t, "picked")]
				if rapid.Bool().Draw(t, "again") {
					r = table.PickTried(now, usualTime, picked)
				}
				if r != nil && table.Start(now, r) {
					check("request", r)
					running = append(running, r)
				}
			case 5:
				if len(running) > 0 {
					table.Ended(now, running[0], picker.CallEnd{Took: time.Millisecond, Expected: usualTime, Silent: rapid.Bool().Draw(t, "silent")})
					running = running[1:]
				}
			case 6:
				for _, r := range table.Probes(now) {
					check("probe", r)
					table.Probed(now, r, true)
				}
			}
			for _, in := range table.Instances() {
				if evacuated[in.DataCentre] {
					t.Fatalf("connection to %s in %s", in.ID, in.DataCentre)
				}
			}
		}
	})
}
