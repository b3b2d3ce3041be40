package mirror_test

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/warm"
	"oriolebarrow/io/mirror"
)

// evacuateBound is the longest time until a host that reaches the directory must have applied
// an evacuation.
const evacuateBound = 5 * time.Second

func evacuation(dc core.DataCentre, ended bool) core.DirectoryItem {
	return core.EvacuationItem(0, core.Evacuation{DataCentre: dc, Ended: ended})
}

// newEvacuationDirectory returns a directory with one replica in each of two data centres.
func newEvacuationDirectory() *fakeDirectory {
	d := newFakeDirectory()
	d.put(routingItem(2))
	for _, dc := range []core.DataCentre{"a", "b"} {
		item := instanceItem("i-"+string(dc), false)
		item.Instance.DataCentre = dc
		d.put(item)
	}
	return d
}

// inUse returns the data centres of the replicas that a host uses.
func (m *testMirror) inUse() (dcs []core.DataCentre) {
	for _, dc := range []core.DataCentre{"a", "b"} {
		if m.replicas.AvailableIn(time.Now(), "tickets", dc) {
			dcs = append(dcs, dc)
		}
	}
	return dcs
}

func (m *testMirror) expectInUse(t *testing.T, when string, want ...core.DataCentre) {
	t.Helper()
	if got := m.inUse(); !slices.Equal(got, want) {
		t.Errorf("%s: replicas of %v are used, want %v", when, got, want)
	}
	evacuated := slices.DeleteFunc([]core.DataCentre{"a", "b"}, func(dc core.DataCentre) bool { return slices.Contains(want, dc) })
	if got := m.Evacuated(); !slices.Equal(got, evacuated) {
		t.Errorf("%s: evacuated %v, want %v", when, got, evacuated)
	}
}

// TestColdAfterEvacuation guards against more requests than cold replicas tolerate at the end
// of an evacuation: the warm-up of replicas that got no requests has not gone on.
func TestColdAfterEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEvacuationDirectory()
		cold := instanceItem("i-cold", false)
		cold.Instance.DataCentre, cold.Instance.Warmup = "a", 3*time.Second
		d.put(cold)
		m := startMirror(t, d, nil)
		m.replicas.SetWarmBounds(time.Now(), warm.Bounds{Overshoot: 1.5, Slack: 5})
		m.replicas.SetWarmRates(time.Now(), []core.Upstream{{Name: cold.Instance.Service, WarmupRate: 10}})
		advance(time.Second)
		d.put(evacuation("a", false))
		advance(10 * time.Second)
		m.replicas.NewlyCold()
		d.put(evacuation("a", true))
		advance(time.Second)
		if news, _ := m.replicas.NewlyCold(); len(news) != 1 || news[0].Instance.ID != "i-cold" {
			t.Errorf("replicas that became cold: %v, want i-cold", news)
		}
	})
}

// TestEvacuation guards against an evacuation that a reader or a follower applies late or
// misses, or that outlives its key.
func TestEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEvacuationDirectory()
		reader := startMirror(t, d, nil)
		follower := startMirror(t, d, newFakeFeeds(reader))
		advance(3 * time.Second)
		for _, c := range []struct {
			when   string
			change []core.DirectoryItem
			inUse  []core.DataCentre
		}{
			{"at first", nil, []core.DataCentre{"a", "b"}},
			{"a is evacuated", []core.DirectoryItem{evacuation("a", false)}, []core.DataCentre{"b"}},
			{"a is evacuated again", []core.DirectoryItem{evacuation("a", false)}, []core.DataCentre{"b"}},
			{"b too", []core.DirectoryItem{evacuation("b", false)}, nil},
			{"an unknown one too", []core.DirectoryItem{evacuation("x", false), evacuation("x", true)}, nil},
			{"a is back", []core.DirectoryItem{evacuation("a", true)}, []core.DataCentre{"a"}},
			{"b is back and goes at once", []core.DirectoryItem{evacuation("b", true), evacuation("b", false)}, []core.DataCentre{"a"}},
			{"b is back", []core.DirectoryItem{evacuation("b", true)}, []core.DataCentre{"a", "b"}},
			{"a goes and is back at once", []core.DirectoryItem{evacuation("a", false), evacuation("a", true)}, []core.DataCentre{"a", "b"}},
		} {
			for _, item := range c.change {
				d.put(item)
			}
			advance(400 * time.Millisecond)
			reader.expectInUse(t, c.when+" (reader)", c.inUse...)
			follower.expectInUse(t, c.when+" (follower)", c.inUse...)
		}
	})
}

// TestEvacuationWithinASecond guards against an evacuation that stays in force, or ends too
// early, when its key comes and goes faster than hosts read it.
func TestEvacuationWithinASecond(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 240 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			d := newEvacuationDirectory()
			reader := startMirror(t, d, nil)
			follower := startMirror(t, d, newFakeFeeds(reader))
			advance(3 * time.Second)
			for range 5 {
				d.put(evacuation("a", false))
				advance(pause)
				d.put(evacuation("a", true))
				advance(pause / 3)
			}
			advance(600 * time.Millisecond)
			reader.expectInUse(t, "after the last end (reader)", "a", "b")
			follower.expectInUse(t, "after the last end (follower)", "a", "b")
			d.put(evacuation("a", false))
			advance(600 * time.Millisecond)
			reader.expectInUse(t, "evacuated (reader)", "b")
			follower.expectInUse(t, "evacuated (follower)", "b")
		})
	}
}

// TestEvacuationDuringCut guards against a host that was cut off from the directory and all
// hosts while an evacuation began or ended, and does not notice it afterwards; with a history
// that is gone, too. While it is cut off, what it knows must stay in force.
func TestEvacuationDuringCut(t *testing.T) {
	for _, historyGone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newEvacuationDirectory()
			d.put(evacuation("b", false))
			link := &directoryLink{fakeDirectory: d}
			m := startMirror(t, link, nil)
			advance(3 * time.Second)
			m.expectInUse(t, "before the cut", "a")
			link.cut()
			d.put(evacuation("a", false))
			d.put(evacuation("b", true))
			advance(20 * time.Second)
			m.expectInUse(t, "during the cut", "a")
			if historyGone {
				d.withLock(func() { d.compacted = d.revision })
			}
			link.restore()
			advance(evacuateBound)
			m.expectInUse(t, "after the cut", "b")
		})
	}
}

func (l *directoryLink) restore() {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.cutOff = false
}

// TestEvacuationWhileDirectoryIsAway guards against evacuations that end because the directory
// cannot be read, or that are missed when it is back.
func TestEvacuationWhileDirectoryIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEvacuationDirectory()
		reader := startMirror(t, d, nil)
		follower := startMirror(t, d, newFakeFeeds(reader))
		advance(3 * time.Second)
		d.put(evacuation("a", false))
		advance(time.Second)
		d.withLock(func() { d.down = true })
		for range 20 {
			advance(time.Second)
			reader.expectInUse(t, "away (reader)", "b")
			follower.expectInUse(t, "away (follower)", "b")
		}
		d.put(evacuation("a", true))
		d.put(evacuation("b", false))
		d.withLock(func() { d.down = false })
		advance(evacuateBound)
		reader.expectInUse(t, "back (reader)", "a")
		follower.expectInUse(t, "back (follower)", "a")
	})
}

// TestSourceDiesBeforeTelling guards against a follower that misses an evacuation, since the
// host that it follows died after reading it and before passing it on.
func TestSourceDiesBeforeTelling(t *testing.T) {
	for _, mode := range []string{"silent", "refused"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newEvacuationDirectory()
				source := startMirror(t, d, nil)
				feeds := newFakeFeeds(source)
				follower := startMirror(t, &directoryLink{fakeDirectory: d}, feeds)
				next := startMirror(t, &directoryLink{fakeDirectory: d}, newFakeFeeds(follower))
				advance(5 * time.Second)
				feeds.set(mode)
				advance(10 * time.Millisecond) // a call to the source may still run
				d.put(evacuation("a", false))
				advance(evacuateBound)
				follower.expectInUse(t, "after the bound", "b")
				next.expectInUse(t, "after the bound (follower of the follower)", "b")
			})
		})
	}
}

// TestEvacuatedAtStart guards against a starting host that uses replicas of an evacuated data
// centre for a moment, since it puts entries in force before the evacuation; it follows
// another host or reads the directory.
func TestEvacuatedAtStart(t *testing.T) {
	for _, follows := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newEvacuationDirectory()
			d.put(evacuation("a", false))
			source := startMirror(t, d, nil)
			advance(time.Second)
			replicas := picker.New("host-7", "a")
			var usable, changes atomic.Int64
			deps := mirror.Deps{
				Directory: d, Replicas: replicas, OnRouting: func(core.Routing) {}, Log: slog.New(slog.DiscardHandler),
				OnEvacuation: func() { changes.Add(1) },
				OnAvailable: func(in core.Instance) {
					if replicas.AvailableIn(time.Now(), in.Service, "a") {
						usable.Add(1)
					}
				},
			}
			if follows {
				deps.Feeds = newFakeFeeds(source)
			}
			m := mirror.New(deps)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = m.Run(ctx)
			}()
			advance(time.Second)
			if usable.Load() != 0 || changes.Load() != 1 || !slices.Equal(m.Evacuated(), []core.DataCentre{"a"}) {
				t.Errorf("follows %v: usable %d times, %d changes, evacuated %v", follows, usable.Load(), changes.Load(), m.Evacuated())
			}
			cancel()
			<-done
		})
	}
}
