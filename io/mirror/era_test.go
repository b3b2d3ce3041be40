package mirror_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// written returns the entry of a replica that its writer has written for the n-th time. The
// replica is the only one of the service with its name.
func written(id string, n int64) core.DirectoryItem {
	return core.DirectoryItem{ID: core.InstanceID(id), Instance: &core.Instance{
		ID: core.InstanceID(id), Service: core.ServiceName(id), Address: "10.0.0.1:80", DataCentre: "a", Slots: 2, Born: 7, Sequence: n,
	}}
}

func drainingEntry(id string, n int64) core.DirectoryItem {
	item := written(id, n)
	item.Instance.Draining = true
	return item
}

// uses reports whether a host sends requests to a replica.
func (m *testMirror) uses(id string) bool {
	return m.replicas.Available(time.Now(), core.ServiceName(id))
}

func (m *testMirror) expectUses(t *testing.T, when string, want map[string]bool) {
	t.Helper()
	for id, w := range want {
		if got := m.uses(id); got != w {
			t.Errorf("%s: %s is used: %v, want %v", when, id, got, w)
		}
	}
}

// content returns what a host hands to another one that knows nothing.
func (m *testMirror) content(t *testing.T) core.DirectoryUpdate {
	t.Helper()
	update, err := m.Follow(t.Context(), 0, 0, 0)
	if err != nil {
		t.Errorf("complete list: %v", err)
	}
	return update.Update
}

// TestEntriesAfterReturn guards against replicas that get work although they are gone, or that
// lose it, when the directory returns from an older copy: at a reader, its follower, and a
// host that follows this one.
func TestEntriesAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		for _, id := range []string{"stays", "gone", "gone-and-written", "drains", "drains-still", "moved"} {
			d.put(written(id, 1))
		}
		reader := startMirror(t, d, nil)
		follower := startMirror(t, d, newFakeFeeds(reader))
		last := startMirror(t, d, newFakeFeeds(follower))
		all := []*testMirror{reader, follower, last}
		advance(3 * time.Second)
		copied := d.revision
		d.put(written("late", 1))
		d.put(written("late-and-written", 1))
		d.put(core.DirectoryItem{ID: "gone"})
		d.put(core.DirectoryItem{ID: "gone-and-written"})
		d.put(drainingEntry("drains", 2))
		d.put(drainingEntry("drains-still", 2))
		d.put(written("moved", 2))
		advance(time.Second)
		before := map[string]bool{"stays": true, "gone": false, "gone-and-written": false, "drains": false, "drains-still": false, "moved": true, "late": true, "late-and-written": true}
		for i, m := range all {
			m.expectUses(t, fmt.Sprint("before the return, host ", i), before)
		}
		d.returnFrom(copied)
		for step := range 15 { // until 1.5 s after the return
			for i, m := range all {
				m.expectUses(t, fmt.Sprint("step ", step, ", host ", i), before)
			}
			advance(100 * time.Millisecond)
		}
		d.put(written("late-and-written", 2))
		d.put(written("gone-and-written", 2))
		d.put(drainingEntry("drains", 3))
		advance(3 * time.Second)
		after := map[string]bool{"stays": true, "gone": false, "gone-and-written": true, "drains": false, "drains-still": false, "moved": true, "late": false, "late-and-written": true}
		for i, m := range all {
			m.expectUses(t, fmt.Sprint("after the grace period, host ", i), after)
			if m.Era() != 1 {
				t.Errorf("host %d: era %d, want 1", i, m.Era())
			}
		}
		d.put(core.DirectoryItem{ID: "gone"}) // the entry of the copy lapses
		d.put(written("stays", 2))
		advance(time.Second)
		fresh := startMirror(t, d, newFakeFeeds(last))
		advance(time.Second)
		fresh.expectUses(t, "a host that starts later", after)
	})
}

// TestReusedRevisions guards against changes that are skipped or applied to the wrong base,
// since the directory has given out the revisions of lost changes again when the host asks.
func TestReusedRevisions(t *testing.T) {
	for _, rewritten := range []int{0, 1, 2, 3, 4, 9} {
		synctest.Test(t, func(t *testing.T) {
			d := newFakeDirectory()
			d.put(routingItem(2))
			d.put(written("stays", 1))
			link := &directoryLink{fakeDirectory: d}
			reader := startMirror(t, link, nil)
			follower := startMirror(t, d, newFakeFeeds(reader))
			advance(3 * time.Second)
			copied := d.revision
			for i := range 3 {
				d.put(written(fmt.Sprint("lost-", i), 1))
			}
			advance(time.Second)
			d.withLock(func() { d.down = true })
			d.returnFrom(copied)
			for i := range rewritten {
				d.put(written(fmt.Sprint("new-", i), 1))
			}
			d.withLock(func() { d.down = false })
			advance(4 * time.Second)
			want := map[string]bool{"stays": true, "lost-0": false, "lost-1": false, "lost-2": false}
			for i := range 9 {
				want[fmt.Sprint("new-", i)] = i < rewritten
			}
			reader.expectUses(t, fmt.Sprint(rewritten, " revisions given out again (reader)"), want)
			follower.expectUses(t, fmt.Sprint(rewritten, " revisions given out again (follower)"), want)
		})
	}
}

// TestRoutingAfterReturn guards against an older routing document in force, on any host or on
// one that starts after the return, and against a document that is written again and ignored.
func TestRoutingAfterReturn(t *testing.T) {
	for _, copyHasDocument := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newFakeDirectory()
			d.put(written("stays", 1))
			copied := d.revision
			d.put(routingItem(2))
			if copyHasDocument {
				copied = d.revision
			}
			reader := startMirror(t, d, nil)
			follower := startMirror(t, d, newFakeFeeds(reader))
			advance(time.Second)
			d.put(routingItem(4))
			d.put(routingItem(6))
			advance(time.Second)
			d.returnFrom(copied)
			advance(time.Second)
			fresh := startMirror(t, d, newFakeFeeds(follower))
			advance(time.Second)
			if got := fresh.versions(); !slices.Equal(got, []uint64{6}) {
				t.Errorf("a host that starts after the return: got %v, want [6]", got)
			}
			d.put(routingItem(4))
			advance(time.Second)
			again := core.DirectoryItem{Routing: &core.Routing{Version: 6, Limits: core.CallerLimits{BodyBytes: 9}}}
			d.put(again)
			advance(time.Second)
			all := []*testMirror{reader, follower, fresh}
			for i, m := range all {
				for _, item := range m.content(t).Items {
					if item.Routing != nil && item.Routing.Limits.BodyBytes != 9 {
						t.Errorf("host %d: the document that was written again with the same version is not in force", i)
					}
				}
			}
			d.put(core.DirectoryItem{Routing: &core.Routing{Version: 6, Limits: core.CallerLimits{BodyBytes: 8}}})
			d.put(routingItem(7))
			advance(time.Second)
			for i, m := range all {
				if got := m.versions(); !slices.IsSorted(got) || !slices.Equal(got[len(got)-3:], []uint64{6, 6, 7}) {
					t.Errorf("host %d: got %v, want ascending versions that end with 6 6 7", i, got)
				}
			}
		})
	}
}

// TestEvacuationsAfterReturn guards against requests to an evacuated data centre because the
// copy lacks its key, and against one that is evacuated again because its end is lost.
func TestEvacuationsAfterReturn(t *testing.T) {
	for _, writtenAgain := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newEvacuationDirectory()
			d.put(evacuation("b", false))
			reader := startMirror(t, d, nil)
			follower := startMirror(t, d, newFakeFeeds(reader))
			advance(time.Second)
			copied := d.revision
			d.put(evacuation("a", false))
			d.put(evacuation("b", true))
			advance(time.Second)
			d.returnFrom(copied)
			for range 9 {
				reader.expectInUse(t, "in the grace period (reader)", "b")
				follower.expectInUse(t, "in the grace period (follower)", "b")
				advance(200 * time.Millisecond)
			}
			want := []core.DataCentre{"a"} // as in the copy
			if writtenAgain {
				d.put(evacuation("a", false))
				d.put(evacuation("b", true))
				want = []core.DataCentre{"b"}
			}
			advance(3 * time.Second)
			reader.expectInUse(t, "afterwards (reader)", want...)
			follower.expectInUse(t, "afterwards (follower)", want...)
		})
	}
}

// TestTwoReturns guards against removed replicas, older documents and lost evacuations that a
// second return brings about, shortly after the first one or later.
func TestTwoReturns(t *testing.T) {
	for _, pause := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := newFakeDirectory()
			d.put(routingItem(2))
			d.put(written("stays", 1))
			d.put(written("gone", 1))
			reader := startMirror(t, d, nil)
			follower := startMirror(t, d, newFakeFeeds(reader))
			advance(time.Second)
			copied := d.revision
			d.put(core.DirectoryItem{ID: "gone"})
			d.put(routingItem(5))
			d.put(written("late", 1))
			advance(time.Second)
			for era := range 2 {
				d.returnFrom(copied)
				advance(pause)
				for i, m := range []*testMirror{reader, follower} {
					m.expectUses(t, fmt.Sprintf("%v after return %d, host %d", pause, era, i), map[string]bool{"stays": true, "gone": false})
				}
			}
			d.put(written("late", 2))
			d.put(routingItem(6))
			advance(5 * time.Second)
			for i, m := range []*testMirror{reader, follower} {
				m.expectUses(t, fmt.Sprint("afterwards, host ", i), map[string]bool{"stays": true, "gone": false, "late": true})
				if got := m.versions(); !slices.Equal(got, []uint64{2, 5, 6}) || m.Era() != 2 {
					t.Errorf("host %d: versions %v, era %d", i, got, m.Era())
				}
			}
		})
	}
}

// TestFeedOfAnotherEra guards against a host that hands data to one of a higher era, or changes
// instead of the complete list to one of a lower era, also when it learns of its era while the
// other one waits.
func TestFeedOfAnotherEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		d.put(written("stays", 1))
		m := startMirror(t, d, nil)
		advance(time.Second)
		copied := d.revision
		d.put(written("lost", 1))
		advance(time.Second)
		if _, err := m.Follow(t.Context(), 1, 1, 0); !errors.Is(err, core.ErrLowerEra) {
			t.Errorf("a host of a higher era asks: got %v, want ErrLowerEra", err)
		}
		if _, err := m.Follow(t.Context(), 1, 0, 0); !errors.Is(err, core.ErrLowerEra) {
			t.Errorf("a host of a higher era asks for everything: got %v, want ErrLowerEra", err)
		}
		answer := make(chan core.FeedUpdate, 1)
		go func() {
			update, err := m.Follow(t.Context(), 0, copied+1, 800*time.Millisecond)
			if err != nil {
				t.Errorf("the era changes while another host waits: %v", err)
			}
			answer <- update
		}()
		advance(100 * time.Millisecond)
		d.returnFrom(copied)
		for name, update := range map[string]core.FeedUpdate{"waiting": <-answer, "later": {Update: m.content(t)}} {
			if update.Update.Position() != (core.Position{Era: 1, Revision: copied}) || len(update.Update.Items) != 2 {
				t.Errorf("%s: got %+v, want the complete list of era 1", name, update.Update)
			}
		}
		begin := time.Now()
		update, err := m.Follow(t.Context(), 0, copied+1, 800*time.Millisecond)
		if err != nil || time.Since(begin) > 0 || len(update.Update.Items) != 2 {
			t.Errorf("a host of a lower era asks: got %+v, %v after %v", update.Update, err, time.Since(begin))
		}
		if update, err := m.Follow(t.Context(), 1, copied, 0); err != nil || len(update.Update.Items) != 0 {
			t.Errorf("a host of the same era asks: got %+v, %v, want no changes", update.Update, err)
		}
	})
}

// switchedDirectory reads one of two directories: the one that returned, or one that still
// answers in the old era.
type switchedDirectory struct {
	mu  sync.Mutex
	now *fakeDirectory
}

func (s *switchedDirectory) use(d *fakeDirectory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = d
}

func (s *switchedDirectory) current() *fakeDirectory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

func (s *switchedDirectory) List(ctx context.Context) (core.DirectoryUpdate, error) {
	return s.current().List(ctx)
}

func (s *switchedDirectory) Watch(ctx context.Context, after core.Revision, wait time.Duration) (core.DirectoryUpdate, error) {
	return s.current().Watch(ctx, after, wait)
}

// TestLowerEraIsIgnored guards against a host that goes back to a lower era: because its
// directory, or the only host that it can follow, still answers in it, with more changes and a
// higher revision. The other host must learn the higher era from this one in turn.
func TestLowerEraIsIgnored(t *testing.T) {
	for _, c := range []struct {
		follows  bool
		oldItems int // that the old directory has more
	}{{false, 9}, {true, 9}, {false, 0}, {true, 0}} {
		synctest.Test(t, func(t *testing.T) {
			old, returned := newFakeDirectory(), newFakeDirectory()
			returned.era = 1
			for _, d := range []*fakeDirectory{old, returned} {
				d.put(routingItem(2))
				d.put(written("stays", 1))
			}
			returned.put(written("new", 1))
			for range c.oldItems {
				old.put(written("old", 1))
			}
			behind := startMirror(t, old, nil)
			directory := &switchedDirectory{now: returned}
			var feeds core.Feeds
			if c.follows {
				f := newFakeFeeds(behind)
				f.reads = true
				feeds = f
			}
			m := startMirror(t, directory, feeds)
			advance(2 * time.Second)
			directory.use(old)
			for range 20 {
				advance(500 * time.Millisecond)
				if c.oldItems > 0 {
					old.put(written("old", 2))
				} // otherwise a watch gets 410, and the list has the old era
				m.expectUses(t, "the directory answers in the old era", map[string]bool{"stays": true, "new": true, "old": false})
				if m.Era() != 1 {
					t.Fatalf("era %d, want 1", m.Era())
				}
			}
			directory.use(returned)
			returned.put(written("newer", 1))
			advance(4 * time.Second)
			m.expectUses(t, "back in the new era", map[string]bool{"stays": true, "new": true, "newer": true, "old": false})
			learns := startMirror(t, old, newFakeFeeds(m))
			advance(2 * time.Second)
			if learns.Era() != 1 || learns.uses("old") || !learns.uses("newer") {
				t.Errorf("a host that follows: era %d, uses old %v, newer %v", learns.Era(), learns.uses("old"), learns.uses("newer"))
			}
		})
	}
}

// TestMutualFollowers guards against two hosts that feed each other backwards when one of them
// learns of the return earlier.
func TestMutualFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		d.put(written("stays", 1))
		links := []*directoryLink{{fakeDirectory: d}, {fakeDirectory: d}}
		feeds := []*fakeFeeds{newFakeFeeds(), newFakeFeeds()}
		hosts := []*testMirror{startMirror(t, links[0], feeds[0]), startMirror(t, links[1], feeds[1])}
		advance(time.Second)
		for i := range feeds {
			feeds[i].withLock(func() { feeds[i].sources["host-1"] = hosts[1-i] })
		}
		feeds[0].withLock(func() { feeds[0].reads = true })
		advance(3 * time.Second)
		copied := d.revision
		d.put(written("lost", 1))
		advance(time.Second)
		links[1].cut()
		d.returnFrom(copied)
		d.put(written("new", 1))
		advance(time.Second)
		for step := range 30 {
			for i, m := range hosts {
				if m.Era() != 1 || !m.uses("new") {
					t.Fatalf("step %d, host %d: era %d, uses the new replica: %v", step, i, m.Era(), m.uses("new"))
				}
			}
			advance(200 * time.Millisecond)
		}
		for i, m := range hosts {
			m.expectUses(t, fmt.Sprint("host ", i), map[string]bool{"stays": true, "new": true, "lost": false})
		}
	})
}

// uncheckedFeeds supplies the same update of a host that does not compare eras.
type uncheckedFeeds struct{ update core.DirectoryUpdate }

func (u uncheckedFeeds) Sources(time.Time) ([]core.Host, bool) {
	return []core.Host{core.NewHost("host-1", "a", "10.0.0.9:1")}, true
}

func (uncheckedFeeds) MarkDown(time.Time, core.Host) {}

func (u uncheckedFeeds) Follow(_ context.Context, _ core.Host, _ core.Era, _ core.Revision, wait time.Duration) (core.FeedUpdate, error) {
	<-time.After(wait)
	return core.FeedUpdate{Update: u.update}, nil
}

// TestLowerEraFromUncheckedHost guards against data of a lower era, or of a lower revision after
// the history is gone, that another host supplies without a check of its own.
func TestLowerEraFromUncheckedHost(t *testing.T) {
	for _, at := range []core.Position{{Era: 0, Revision: 99}, {Era: 1, Revision: 2}} {
		synctest.Test(t, func(t *testing.T) {
			d := newFakeDirectory()
			d.era = 1
			d.put(routingItem(2))
			d.put(written("stays", 1))
			m := startMirror(t, d, uncheckedFeeds{core.DirectoryUpdate{Era: at.Era, Revision: at.Revision, Items: []core.DirectoryItem{written("old", 1)}}})
			advance(time.Second)
			d.withLock(func() { d.down = true })
			advance(10 * time.Second)
			m.expectUses(t, fmt.Sprint("data of ", at), map[string]bool{"stays": true, "old": false})
			if m.Era() != 1 {
				t.Errorf("era %d, want 1", m.Era())
			}
		})
	}
}
