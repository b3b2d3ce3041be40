package picker_test

import (
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/warm"
)

// coldTable returns the table of a host that is alone in its data centre "a" and may send a cold
// replica of the service "tickets" 17 requests within warm.Window.
func coldTable(now time.Time) (table *picker.Table, tick func(time.Time)) {
	table = picker.New("host-1", "a")
	table.SetWarmBounds(now, coldBounds)
	table.SetWarmRates(now, []core.Upstream{{Name: "tickets", WarmupRate: coldRate}})
	tick = func(now time.Time) {
		table.SetWarmMembers(now, warm.Members{Known: true, Local: []core.HostID{"host-1"}, DataCentres: 1})
	}
	return table, tick
}

// TestColdAgain guards against a replica that gets all requests although it has become cold again,
// and against one that is held cold by an entry that is only read again.
func TestColdAgain(t *testing.T) {
	in := core.Instance{ID: "i-1", Service: "tickets", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2, Born: 7, Sequence: 3}
	with := func(change func(*core.Instance)) core.Instance { in := in; change(&in); return in }
	minute := with(func(in *core.Instance) { in.Warmup = time.Minute })
	const first = 10 * time.Second // until the test begins; the quota counts by then
	for _, c := range []struct {
		name   string
		before core.Instance
		event  func(table *picker.Table, now time.Time, r *picker.Replica)
		cold   bool
		sends  int // allowed at once
	}{
		{name: "warm", before: in, event: func(*picker.Table, time.Time, *picker.Replica) {}, sends: 100},
		{name: "new entry", before: in, cold: true, event: func(table *picker.Table, now time.Time, _ *picker.Replica) {
			table.Put(now, with(func(in *core.Instance) { in.Warmup, in.Sequence = 9*time.Second, 4 }))
		}},
		{name: "new lifetime", before: in, cold: true, sends: 17, event: func(table *picker.Table, now time.Time, _ *picker.Replica) {
			table.Put(now, with(func(in *core.Instance) { in.Warmup, in.Born = 9*time.Second, 8 }))
		}},
		{name: "answer", before: in, cold: true, event: func(table *picker.Table, now time.Time, r *picker.Replica) {
			table.Note(now, r, picker.Notice{Warmup: 9 * time.Second})
		}},
		{name: "the first entry is read again", before: with(func(in *core.Instance) { in.Warmup = time.Second }), sends: 100,
			event: func(table *picker.Table, now time.Time, _ *picker.Replica) {
				table.Put(now, with(func(in *core.Instance) { in.Warmup = time.Second }))
			}},
		{name: "older entry", before: in, sends: 100, event: func(table *picker.Table, now time.Time, _ *picker.Replica) {
			table.Put(now, with(func(in *core.Instance) { in.Warmup, in.Sequence = 9*time.Second, 2 }))
		}},
		{name: "entry without a warm-up during one", before: minute, cold: true, sends: 17, event: func(table *picker.Table, now time.Time, _ *picker.Replica) {
			table.Put(now, with(func(in *core.Instance) { in.Sequence = 4 }))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			table, tick := coldTable(begin)
			table.Put(begin, c.before)
			now := begin
			for ; now.Before(begin.Add(first)); now = now.Add(100 * time.Millisecond) {
				tick(now)
			}
			r, _ := table.Pick(now, "tickets", usualTime, nil)
			table.NewlyCold()
			c.event(table, now, r)
			sends := 0
			for ; sends < 100; sends++ {
				r, _ := table.Pick(now, "tickets", usualTime, nil)
				if r == nil || !table.Start(now, r) {
					break
				}
				if table.IsCold(now, r) != c.cold {
					t.Fatalf("cold is %v, want %v", !c.cold, c.cold)
				}
				table.Ended(now, r, picker.CallEnd{Took: usualTime, Expected: usualTime})
			}
			if sends != c.sends {
				t.Errorf("%d requests were allowed, want %d", sends, c.sends)
			}
			news, withheld := table.NewlyCold()
			if becameCold := c.cold && c.before.Warmup == 0; (len(news) == 1) != becameCold || (withheld > 0) != c.cold {
				t.Errorf("%d replicas became cold, %d requests were withheld", len(news), withheld)
			}
			if _, withheld, _ := table.Turn(now, "tickets", nil, 0); withheld != c.cold {
				t.Errorf("withheld is %v, want %v", withheld, c.cold)
			}
		})
	}
}

// TestOtherReplicasServe guards against requests that wait for a cold replica although another one
// is warm, and against more requests than a quota through PickTried or Start alone.
func TestOtherReplicasServe(t *testing.T) {
	now := time.Now()
	table, tick := coldTable(now)
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		tick(now)
	}
	table.Put(now, core.Instance{ID: "cold", Service: "tickets", Address: "10.0.0.1:80", DataCentre: "a", Slots: 1000, Warmup: time.Minute})
	r, _ := table.Pick(now, "tickets", usualTime, nil)
	tried := []*picker.Replica{r}
	for range 17 {
		if table.PickTried(now, usualTime, tried) != r || !table.Start(now, r) {
			t.Fatal("a request within the quota was withheld")
		}
	}
	if table.Start(now, r) || table.PickTried(now, usualTime, tried) != nil {
		t.Error("a request beyond the quota was allowed")
	}
	if at, ok := table.AllWithheld(now, "tickets"); !ok || at.Sub(now) != warm.Window {
		t.Errorf("the next request may be sent after %v (%v), want %v", at.Sub(now), ok, warm.Window)
	}
	table.Put(now, core.Instance{ID: "far", Service: "tickets", Address: "10.0.0.2:80", DataCentre: "b", Slots: 1000})
	if other, _ := table.Pick(now, "tickets", usualTime, nil); other == nil || other.Instance().ID != "far" {
		t.Errorf("picked %v, want the warm replica", other)
	}
	if _, ok := table.AllWithheld(now, "tickets"); ok {
		t.Error("all replicas are said to be withheld although one is warm")
	}
}

// TestResumeWarmup guards against a data centre that gets its whole load at once after a time without
// requests, although its replicas were cold before or have become cold since.
func TestResumeWarmup(t *testing.T) {
	for _, c := range []struct {
		name     string
		warmup   time.Duration // stated at the start; the requests end 10 s later
		restated time.Duration // stated while there are no requests, at 30 s
		cold     time.Duration // from the end of that time, at 60 s
	}{
		{"warm", 0, 0, 0},
		{"warm before the requests ended", 9 * time.Second, 0, 0},
		{"cold when the requests ended", 15 * time.Second, 0, 5 * time.Second},
		{"became cold meanwhile", 0, 8 * time.Second, 8 * time.Second},
		{"stated less meanwhile", 40 * time.Second, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			table, tick := coldTable(begin)
			in := core.Instance{ID: "i-1", Service: "tickets", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2, Warmup: c.warmup}
			table.Put(begin, in)
			r, _ := table.Pick(begin, "tickets", usualTime, nil)
			resumed := begin.Add(60 * time.Second)
			for now := begin; now.Before(resumed); now = now.Add(100 * time.Millisecond) {
				tick(now)
				if now.Sub(begin) == 30*time.Second && c.restated > 0 {
					in.Warmup, in.Sequence = c.restated, 1
					table.Put(now, in)
				}
				if r == nil {
					r, _ = table.Pick(now, "tickets", usualTime, nil)
				}
			}
			table.ResumeWarmup(resumed, "other", begin.Add(10*time.Second))
			if table.IsCold(resumed, r) {
				t.Error("cold after the end of the warm-up")
			}
			table.ResumeWarmup(resumed, "a", begin.Add(10*time.Second))
			if got := table.IsCold(resumed, r); got != (c.cold > 0) {
				t.Fatalf("cold is %v", got)
			}
			if c.cold > 0 && (!table.IsCold(resumed.Add(c.cold-1), r) || table.IsCold(resumed.Add(c.cold), r)) {
				t.Errorf("not cold for %v", c.cold)
			}
		})
	}
}
