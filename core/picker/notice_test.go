package picker_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

// TestNotices guards against requests and probes to a replica that leaves or asked to wait,
// and against a statement that outlives the replica's lifetime or the time asked for.
func TestNotices(t *testing.T) {
	now := time.Now()
	born := core.Instance{ID: "i-1", Service: "tickets", Address: "10.0.0.1:80", Slots: 2, Born: 7}
	later := func(in core.Instance, change func(*core.Instance)) core.Instance { change(&in); return in }
	for _, c := range []struct {
		name   string
		notice picker.Notice
		put    *core.Instance // published after the notice
		after  time.Duration  // since the notice
		usable bool
	}{
		{name: "nothing", usable: true},
		{name: "leaving", notice: picker.Notice{Leaving: true}, after: time.Hour},
		{name: "leaving, entry published again", notice: picker.Notice{Leaving: true}, put: &born, after: time.Second},
		{name: "leaving, started again", notice: picker.Notice{Leaving: true}, put: ptr(later(born, func(in *core.Instance) { in.Born = 8 })), usable: true},
		{name: "leaving, at a new address", notice: picker.Notice{Leaving: true}, put: ptr(later(born, func(in *core.Instance) { in.Address = "10.0.0.2:80" })), usable: true},
		{name: "waiting", notice: picker.Notice{Wait: 2 * time.Second}, after: 1999 * time.Millisecond},
		{name: "waited", notice: picker.Notice{Wait: 2 * time.Second}, after: 2 * time.Second, usable: true},
		{name: "waiting, started again", notice: picker.Notice{Wait: time.Hour}, put: ptr(later(born, func(in *core.Instance) { in.Born = 8 })), usable: true},
		{name: "waiting, entry published again", notice: picker.Notice{Wait: time.Hour}, put: &born, after: time.Second},
		{name: "time that can't be understood", notice: picker.Notice{Invalid: true}, usable: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := picker.New("host-1", "a")
			table.Put(now, born)
			r, _ := table.Pick(now, "tickets", usualTime, nil)
			if news := table.Note(now, r, c.notice); news != (c.notice != picker.Notice{}) {
				t.Errorf("news: %v", news)
			}
			if table.Note(now, r, c.notice) {
				t.Error("the same notice is news twice")
			}
			if c.put != nil {
				table.Put(now, *c.put)
			}
			at := now.Add(c.after)
			picked, busy := table.Pick(at, "tickets", usualTime, nil)
			started := table.Start(at, r)
			if (picked != nil) != c.usable || busy || c.put == nil && started != c.usable || table.Available(at, "tickets") != c.usable {
				t.Errorf("picked %v, busy %v, started %v, want usable %v", picked, busy, started, c.usable)
			}
			if _, in := table.InSubset(at, "i-1"); in != c.usable {
				t.Errorf("warmed: %v, want %v", in, c.usable)
			}
			table.Remove(at, "i-1", false)
			table.Put(at, born)
			if !table.Available(at, "tickets") {
				t.Error("the notice outlives the entry")
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// TestWait guards against a Retry-After that is too short for any replica, or that follows a
// replica which takes no more requests at all.
func TestWait(t *testing.T) {
	now := time.Now()
	table := picker.New("host-1", "a")
	for i, n := range []picker.Notice{{Wait: 3 * time.Second}, {Wait: 2 * time.Second}, {Wait: time.Second, Leaving: true}, {Leaving: true}} {
		id := core.InstanceID(fmt.Sprint("i-", i))
		table.Put(now, core.Instance{ID: id, Service: "tickets", Address: string(id), Slots: 2})
		r, _ := table.Pick(now, "tickets", usualTime, nil) // the only one without a notice
		table.Note(now, r, n)
	}
	for after, want := range map[time.Duration]time.Duration{0: 2 * time.Second, 1500 * time.Millisecond: 500 * time.Millisecond} {
		if got := table.Wait(now.Add(after), "tickets"); got != want {
			t.Errorf("after %v: wait %v, want %v", after, got, want)
		}
	}
	if got := table.Wait(now, "other"); got != 0 {
		t.Errorf("unknown service: wait %v, want 0", got)
	}
}

// TestNoticesAreKept guards against the same in random schedules. The rules are computed from
// the requests that were sent: after a replica said that it leaves, none is sent to that
// lifetime; between half a second after it asked to wait and the end of that time, at most two.
func TestNoticesAreKept(t *testing.T) {
	type notice struct {
		at   time.Time
		wait time.Duration
		born int64
	}
	rapid.Check(t, func(t *rapid.T) {
		table := picker.New("host-1", "a")
		const replicas = 3
		now := time.Now()
		var born [replicas]int64
		var requests, leaves, waits [replicas][]notice
		index := make(map[core.InstanceID]int)
		put := func(i int) {
			id := core.InstanceID(fmt.Sprint("i-", i))
			index[id] = i
			table.Put(now, core.Instance{ID: id, Service: "tickets", Address: string(id), Slots: 4, Born: born[i]})
		}
		for i := range replicas {
			put(i)
		}
		sent := func(r *picker.Replica) {
			in := r.Instance()
			requests[index[in.ID]] = append(requests[index[in.ID]], notice{at: now, born: in.Born})
		}
		var running, tried []*picker.Replica
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 400, 1500}).Draw(t, "gap_ms")) * time.Millisecond)
			i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r, _ := table.Pick(now, "tickets", usualTime, nil)
				if r != nil && table.Start(now, r) {
					sent(r)
					running, tried = append(running, r), append(tried, r)
				}
			case 2: // a call to a replica that was tried before
				if r := table.PickTried(now, usualTime, tried); r != nil && table.Start(now, r) {
					sent(r)
					running = append(running, r)
				}
			case 3, 4: // the oldest call ends
				if len(running) == 0 {
					continue
				}
				r := running[0]
				running = running[1:]
				in := r.Instance()
				n := picker.Notice{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
				if rapid.Bool().Draw(t, "waits") {
					n.Wait = time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait_ms")) * time.Millisecond
					waits[index[in.ID]] = append(waits[index[in.ID]], notice{now, n.Wait, in.Born})
				}
				if n.Leaving {
					leaves[index[in.ID]] = append(leaves[index[in.ID]], notice{at: now, born: in.Born})
				}
				table.Note(now, r, n)
				table.Ended(now, r, picker.CallEnd{Took: time.Millisecond, Expected: usualTime, Silent: rapid.Bool().Draw(t, "silent")})
			case 5: // health probes
				for _, r := range table.Probes(now) {
					sent(r)
					table.Probed(now, r, rapid.Bool().Draw(t, "healthy"))
				}
			case 6: // the entry is published again, or that of a new lifetime
				if rapid.Bool().Draw(t, "restart") {
					born[i]++
				}
				put(i)
			}
		}
		for i := range replicas {
			for _, l := range leaves[i] {
				for _, q := range requests[i] {
					if q.born == l.born && q.at.After(l.at) {
						t.Fatalf("replica %d got a request %v after it said that it leaves", i, q.at.Sub(l.at))
					}
				}
			}
			for _, w := range waits[i] {
				n := 0
				for _, q := range requests[i] {
					if q.born == w.born && q.at.After(w.at.Add(500*time.Millisecond)) && q.at.Before(w.at.Add(w.wait)) {
						n++
					}
				}
				if n > 2 {
					t.Fatalf("replica %d got %d requests in the %v for which it wanted none", i, n, w.wait)
				}
			}
		}
	})
}

// TestNoProbesAgainstNotice guards against health probes to an ejected replica that wants no
// requests.
func TestNoProbesAgainstNotice(t *testing.T) {
	for _, c := range []struct {
		notice picker.Notice
		probed time.Duration // when it is first probed; 0 for never
	}{
		{picker.Notice{}, time.Second},
		{picker.Notice{Wait: 30 * time.Second}, 30 * time.Second},
		{picker.Notice{Leaving: true}, 0},
	} {
		now := time.Now()
		table := picker.New("host-1", "a")
		table.Put(now, core.Instance{ID: "i-1", Service: "tickets", Address: "10.0.0.1:80", Slots: 2})
		r, _ := table.Pick(now, "tickets", usualTime, nil)
		for range 3 {
			table.Start(now, r)
			table.Ended(now, r, picker.CallEnd{Took: time.Millisecond, Expected: usualTime, Silent: true})
		}
		table.Note(now, r, c.notice)
		var probed time.Duration
		for after := time.Second; after <= time.Minute && probed == 0; after += time.Second {
			if len(table.Probes(now.Add(after))) > 0 {
				probed = after
			}
		}
		if probed != c.probed {
			t.Errorf("%+v: first probed after %v, want %v", c.notice, probed, c.probed)
		}
	}
}
