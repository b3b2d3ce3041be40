package mirror_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/mirror"
)

// fakeDirectory is a directory in memory that can be down.
type fakeDirectory struct {
	mu        sync.Mutex
	era       core.Era
	revision  core.Revision
	items     []core.DirectoryItem // all changes in order
	down      bool
	compacted core.Revision // changes up to this revision are no longer available
	calls     int
	changed   chan struct{}
}

func newFakeDirectory() *fakeDirectory {
	return &fakeDirectory{revision: 1, changed: make(chan struct{})}
}

func (d *fakeDirectory) put(item core.DirectoryItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	item.Revision = d.revision
	d.items = append(d.items, item)
	close(d.changed)
	d.changed = make(chan struct{})
}

// returnFrom makes the directory return from its copy of an earlier revision.
func (d *fakeDirectory) returnFrom(r core.Revision) {
	d.withLock(func() {
		d.era++
		d.revision = r
		d.items = slices.DeleteFunc(slices.Clone(d.items), func(i core.DirectoryItem) bool { return i.Revision > r })
		close(d.changed)
		d.changed = make(chan struct{})
	})
}

// withLock runs change while it holds the lock.
func (d *fakeDirectory) withLock(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// since returns the changes after a revision, and a channel that is closed at the next
// change.
func (d *fakeDirectory) since(after core.Revision) (core.DirectoryUpdate, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return core.DirectoryUpdate{}, nil, errors.New("down")
	}
	if after < d.compacted || after > d.revision {
		return core.DirectoryUpdate{}, nil, core.ErrHistoryGone
	}
	i, _ := slices.BinarySearchFunc(d.items, after+1, func(it core.DirectoryItem, r core.Revision) int { return int(it.Revision) - int(r) })
	return core.DirectoryUpdate{Era: d.era, Revision: d.revision, Items: slices.Clone(d.items[i:])}, d.changed, nil
}

func (d *fakeDirectory) List(context.Context) (core.DirectoryUpdate, error) {
	d.mu.Lock()
	d.calls++
	compacted := d.compacted
	d.compacted = 0
	d.mu.Unlock()
	update, _, err := d.since(0)
	d.withLock(func() { d.compacted = compacted })
	last := map[core.InstanceID]int{}
	for i, it := range update.Items {
		last[it.ID] = i
	}
	var current []core.DirectoryItem
	for i, it := range update.Items {
		if last[it.ID] == i && !it.Removed() {
			current = append(current, it)
		}
	}
	update.Items = current
	return update, err
}

func (d *fakeDirectory) Watch(ctx context.Context, after core.Revision, wait time.Duration) (core.DirectoryUpdate, error) {
	d.withLock(func() { d.calls++ })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		update, changed, err := d.since(after)
		if err != nil || len(update.Items) > 0 {
			return update, err
		}
		select {
		case <-ctx.Done():
			return core.DirectoryUpdate{}, ctx.Err()
		case <-timer.C:
			return update, nil
		case <-changed:
		}
	}
}

func instanceItem(id string, draining bool) core.DirectoryItem {
	return core.DirectoryItem{ID: core.InstanceID(id), Instance: &core.Instance{
		ID: core.InstanceID(id), Service: "tickets", Address: "10.0.0.1:80", Slots: 2, Draining: draining,
	}}
}

func routingItem(version uint64) core.DirectoryItem {
	return core.DirectoryItem{Routing: &core.Routing{Version: version}}
}

// testMirror is a running mirror. It records the versions of the routing documents that
// the mirror activated.
type testMirror struct {
	*mirror.Mirror
	replicas    *picker.Table
	installTime time.Duration // how long it takes to activate a document

	mu        sync.Mutex
	installed []uint64
}

// startMirror returns a mirror that runs until the test ends.
func startMirror(t *testing.T, d core.Directory, feeds core.Feeds) *testMirror {
	m := &testMirror{replicas: picker.New("host-0", "a")}
	m.Mirror = mirror.New(mirror.Deps{
		Directory: d,
		Feeds:     feeds,
		Replicas:  m.replicas,
		OnRouting: func(r core.Routing) {
			<-time.After(m.installTime)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.installed = append(m.installed, r.Version)
		},
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func (m *testMirror) versions() []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.installed)
}

// advance lets time pass in the synctest bubble and waits until all goroutines are blocked.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestChangesAreAppliedSoon guards against changes that are missed or applied late, also
// after the directory discarded its history.
func TestChangesAreAppliedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		d.put(instanceItem("i-1", false))
		m := startMirror(t, d, nil)
		advance(time.Second)
		if !m.Loaded() || !m.replicas.Available(time.Now(), "tickets") {
			t.Fatal("the initial state was not loaded")
		}
		d.put(routingItem(5))
		advance(400 * time.Millisecond)
		d.put(instanceItem("i-1", true))
		advance(400 * time.Millisecond)
		if m.replicas.Available(time.Now(), "tickets") {
			t.Error("a draining replica is available")
		}
		d.put(instanceItem("i-2", false))
		d.withLock(func() { d.compacted = d.revision })
		advance(400 * time.Millisecond)
		if !m.replicas.Available(time.Now(), "tickets") {
			t.Error("an entry was missed after the history was discarded")
		}
		if got := m.versions(); !slices.Equal(got, []uint64{2, 5}) {
			t.Errorf("activated documents: got %v, want [2 5]", got)
		}
	})
}

// TestOlderDocumentIsIgnored guards against an older document that replaces a newer one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		for _, v := range []uint64{4, 7, 5, 9} {
			d.put(routingItem(v))
		}
		m := startMirror(t, d, nil)
		advance(time.Second)
		d.put(routingItem(8))
		advance(time.Second)
		if got := m.versions(); !slices.IsSorted(got) || got[len(got)-1] != 9 {
			t.Errorf("got %v, want ascending versions up to 9", got)
		}
	})
}

// TestLoadedAfterRouting guards against a mirror that reports a routing document as loaded
// before the document is in force, which takes a while for a large one.
func TestLoadedAfterRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		m := startMirror(t, d, nil)
		m.installTime = time.Second
		advance(time.Second) // the directory has no document yet
		d.put(routingItem(4))
		for range 30 {
			advance(100 * time.Millisecond)
			if m.Loaded() && len(m.versions()) == 0 {
				t.Fatal("the document is reported as loaded, but is not in force")
			}
			if _, err := m.Follow(t.Context(), 0, 0, 0); err == nil && len(m.versions()) == 0 {
				t.Fatal("another host gets a document that is not in force here")
			}
		}
		if !m.Loaded() {
			t.Error("the document is in force, but not reported as loaded")
		}
	})
}

// TestOutage checks an outage of the directory during which entries expire. Known replicas
// must be kept during the outage. After it, expired entries must be published again in
// time, or their replicas are removed two seconds after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		d.put(instanceItem("i-1", false))
		d.put(instanceItem("i-2", false))
		m := startMirror(t, d, nil)
		advance(time.Second)
		d.withLock(func() { d.down = true })
		advance(10 * time.Second)
		d.put(core.DirectoryItem{ID: "i-1"})
		d.put(core.DirectoryItem{ID: "i-2"})
		if m.replicas.Size() != 2 {
			t.Fatalf("%d replicas are known while the directory is down, want 2", m.replicas.Size())
		}
		d.withLock(func() { d.down = false })
		advance(1200 * time.Millisecond)
		if m.replicas.Size() != 2 {
			t.Errorf("%d replicas are known just after the outage, want 2", m.replicas.Size())
		}
		d.put(instanceItem("i-1", false))
		advance(2 * time.Second)
		if m.replicas.Size() != 1 || !m.replicas.Available(time.Now(), "tickets") {
			t.Errorf("%d replicas are known, want only the one that was published again", m.replicas.Size())
		}
	})
}

// fakeFeeds follows mirrors of the same process.
type fakeFeeds struct {
	sources map[core.HostID]*testMirror
	reads   bool

	mu        sync.Mutex
	mode      string // how Follow fails: "silent", "refused", or not at all
	downCalls int    // calls of MarkDown
}

func newFakeFeeds(sources ...*testMirror) *fakeFeeds {
	f := &fakeFeeds{sources: map[core.HostID]*testMirror{}}
	for i, s := range sources {
		f.sources[core.HostID(fmt.Sprint("host-", i+1))] = s
	}
	return f
}

func (f *fakeFeeds) Sources(time.Time) (hosts []core.Host, reads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.sources {
		hosts = append(hosts, core.NewHost(id, "a", "10.0.0.9:1"))
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID()), string(b.ID())) })
	return hosts, f.reads
}

func (f *fakeFeeds) MarkDown(time.Time, core.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downCalls++
}

func (f *fakeFeeds) set(mode string) { f.withLock(func() { f.mode = mode }) }

// withLock runs change while it holds the lock.
func (f *fakeFeeds) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeFeeds) Follow(ctx context.Context, h core.Host, era core.Era, after core.Revision, wait time.Duration) (core.FeedUpdate, error) {
	f.mu.Lock()
	mode, source := f.mode, f.sources[h.ID()]
	f.mu.Unlock()
	switch mode {
	case "silent":
		<-ctx.Done()
		return core.FeedUpdate{}, ctx.Err()
	case "refused":
		return core.FeedUpdate{}, errors.New("refused")
	}
	if source == nil {
		return core.FeedUpdate{}, errors.New("no longer a source")
	}
	return source.Follow(ctx, era, after, wait)
}

// TestFollower guards against a host that reads the directory although another host does.
// It also guards against a host that misses changes when the followed host is cut off from
// the directory, does not answer or refuses calls.
func TestFollower(t *testing.T) {
	for _, mode := range []string{"cut off", "silent", "refused"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newFakeDirectory()
				d.put(routingItem(2))
				d.put(instanceItem("i-1", false))
				sourceLink := &directoryLink{fakeDirectory: d}
				source := startMirror(t, sourceLink, nil)
				advance(time.Second)
				ownLink := &directoryLink{fakeDirectory: d}
				feeds := newFakeFeeds(source)
				m := startMirror(t, ownLink, feeds)
				advance(5 * time.Second)
				if ownLink.count() != 0 {
					t.Errorf("the follower read the directory %d times", ownLink.count())
				}
				d.put(routingItem(5))
				advance(400 * time.Millisecond)
				if got := m.versions(); !slices.Equal(got, []uint64{2, 5}) {
					t.Errorf("follower: got %v, want [2 5]", got)
				}
				if mode == "cut off" {
					sourceLink.cut()
				} else {
					feeds.set(mode)
				}
				d.put(routingItem(8))
				advance(3 * time.Second)
				if got := m.versions(); !slices.Equal(got, []uint64{2, 5, 8}) {
					t.Errorf("3 s after a change that the followed host did not report: got %v, want [2 5 8]", got)
				}
			})
		})
	}
}

// TestStaleSources checks several readers that are cut off from the directory at once. A
// host that follows them must apply each change within 3 s, so it must not wait for changes
// at each of them one after the other.
func TestStaleSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		var links []*directoryLink
		var sources []*testMirror
		for range 6 {
			link := &directoryLink{fakeDirectory: d}
			links = append(links, link)
			sources = append(sources, startMirror(t, link, nil))
		}
		advance(time.Second)
		m := startMirror(t, &directoryLink{fakeDirectory: d}, newFakeFeeds(sources...))
		advance(5 * time.Second)
		for _, link := range links[:5] {
			link.cut()
		}
		for _, v := range []uint64{5, 8, 11} {
			d.put(routingItem(v))
			advance(3 * time.Second)
			if got := m.versions(); got[len(got)-1] != v {
				t.Errorf("3 s after version %d: got %v", v, got)
			}
		}
	})
}

// TestReaderCutOffFromDirectory guards against a reader that gets no answer from the
// directory and misses changes although other hosts have them.
func TestReaderCutOffFromDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDirectory()
		d.put(routingItem(2))
		other := startMirror(t, &directoryLink{fakeDirectory: d}, nil)
		advance(time.Second)
		link, feeds := &directoryLink{fakeDirectory: d}, newFakeFeeds(other)
		feeds.reads = true
		m := startMirror(t, link, feeds)
		advance(3 * time.Second)
		link.cut()
		for _, v := range []uint64{5, 8} {
			d.put(routingItem(v))
			advance(3 * time.Second)
			if got := m.versions(); got[len(got)-1] != v {
				t.Errorf("3 s after version %d: got %v", v, got)
			}
		}
	})
}

// directoryLink is the connection of one host to a directory. It counts the calls and can
// be cut.
type directoryLink struct {
	*fakeDirectory

	linkMu sync.Mutex
	calls  int
	cutOff bool
}

func (l *directoryLink) cut() {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	l.cutOff = true
}

func (l *directoryLink) count() int {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	return l.calls
}

// startCall counts a call and blocks it until its deadline if the link is cut.
func (l *directoryLink) startCall(ctx context.Context) error {
	l.linkMu.Lock()
	l.calls++
	cutOff := l.cutOff
	l.linkMu.Unlock()
	if cutOff {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (l *directoryLink) List(ctx context.Context) (core.DirectoryUpdate, error) {
	if err := l.startCall(ctx); err != nil {
		return core.DirectoryUpdate{}, err
	}
	return l.fakeDirectory.List(ctx)
}

func (l *directoryLink) Watch(ctx context.Context, after core.Revision, wait time.Duration) (core.DirectoryUpdate, error) {
	if err := l.startCall(ctx); err != nil {
		return core.DirectoryUpdate{}, err
	}
	update, err := l.fakeDirectory.Watch(ctx, after, wait)
	if l.isCut() {
		<-ctx.Done() // the link was cut during the call: the answer is lost
		return core.DirectoryUpdate{}, ctx.Err()
	}
	return update, err
}

func (l *directoryLink) isCut() bool {
	l.linkMu.Lock()
	defer l.linkMu.Unlock()
	return l.cutOff
}
