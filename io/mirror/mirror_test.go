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
	"oriolebarrow/core/fleet"
	"oriolebarrow/io/mirror"
)

// directory is a directory in memory that can be down or refuse this host.
type directory struct {
	mu       sync.Mutex
	revision core.Revision
	items    []core.DirectoryItem // all changes in order
	down     bool
	compact  core.Revision // changes up to here are forgotten
	calls    int
	changed  chan struct{}
}

func newDirectory() *directory { return &directory{revision: 1, changed: make(chan struct{})} }

func (d *directory) put(item core.DirectoryItem) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	item.Revision = d.revision
	d.items = append(d.items, item)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *directory) since(after core.Revision) (core.DirectoryNews, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return core.DirectoryNews{}, nil, errors.New("down")
	}
	if after < d.compact {
		return core.DirectoryNews{}, nil, core.ErrHistoryGone
	}
	i, _ := slices.BinarySearchFunc(d.items, after+1, func(it core.DirectoryItem, r core.Revision) int { return int(it.Revision) - int(r) })
	return core.DirectoryNews{Revision: d.revision, Items: slices.Clone(d.items[i:])}, d.changed, nil
}

func (d *directory) List(context.Context) (core.DirectoryNews, error) {
	d.mu.Lock()
	d.calls++
	compact := d.compact
	d.compact = 0
	d.mu.Unlock()
	news, _, err := d.since(0)
	d.set(func() { d.compact = compact })
	last := map[core.InstanceID]int{}
	for i, it := range news.Items {
		last[it.ID] = i
	}
	var now []core.DirectoryItem
	for i, it := range news.Items {
		if last[it.ID] == i && (it.Instance != nil || it.Routing != nil) {
			now = append(now, it)
		}
	}
	news.Items = now
	return news, err
}

func (d *directory) Watch(ctx context.Context, after core.Revision, wait time.Duration) (core.DirectoryNews, error) {
	d.set(func() { d.calls++ })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news, changed, err := d.since(after)
		if err != nil || len(news.Items) > 0 {
			return news, err
		}
		select {
		case <-ctx.Done():
			return core.DirectoryNews{}, ctx.Err()
		case <-timer.C:
			return news, nil
		case <-changed:
		}
	}
}

func instance(id string, draining bool) core.DirectoryItem {
	return core.DirectoryItem{ID: core.InstanceID(id), Instance: &core.Instance{
		ID: core.InstanceID(id), Service: "tickets", Address: "10.0.0.1:80", Slots: 2, Draining: draining,
	}}
}

func document(version uint64) core.DirectoryItem {
	return core.DirectoryItem{Routing: &core.Routing{Version: version}}
}

// follower is a mirror and what it has put in force.
type follower struct {
	*mirror.Mirror
	fleet *fleet.Table

	mu        sync.Mutex
	installed []uint64
}

func run(t *testing.T, d core.Directory, feeds core.Feeds) *follower {
	f := &follower{fleet: fleet.New("host-0", "a")}
	f.Mirror = mirror.New(mirror.Parts{
		Directory: d,
		Feeds:     feeds,
		Fleet:     f.fleet,
		Install: func(r core.Routing) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.installed = append(f.installed, r.Version)
		},
		Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *follower) versions() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.installed)
}

func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestChangesAreInForceSoon guards against changes that are overlooked or late,
// also after the directory forgot its history.
func TestChangesAreInForceSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.put(document(2))
		d.put(instance("i-1", false))
		f := run(t, d, nil)
		pass(time.Second)
		if !f.Known() || !f.fleet.Available("tickets") {
			t.Fatal("the first state is not known")
		}
		d.put(document(5))
		pass(400 * time.Millisecond)
		d.put(instance("i-1", true))
		pass(400 * time.Millisecond)
		if f.fleet.Available("tickets") {
			t.Error("a draining replica gets calls")
		}
		d.put(instance("i-2", false))
		d.set(func() { d.compact = d.revision })
		pass(400 * time.Millisecond)
		if !f.fleet.Available("tickets") {
			t.Error("an entry is overlooked after the history was forgotten")
		}
		if got := f.versions(); !slices.Equal(got, []uint64{2, 5}) {
			t.Errorf("documents in force: got %v, want [2 5]", got)
		}
	})
}

// TestNoOlderDocument guards against a document that an older one replaces.
func TestNoOlderDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		for _, v := range []uint64{4, 7, 5, 9} {
			d.put(document(v))
		}
		f := run(t, d, nil)
		pass(time.Second)
		d.put(document(8))
		pass(time.Second)
		if got := f.versions(); !slices.IsSorted(got) || got[len(got)-1] != 9 {
			t.Errorf("got %v", got)
		}
	})
}

// TestOutage is the load of a directory that is away while entries lapse: what is
// known stays, lapsed entries are back in time or gone after two seconds.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.put(document(2))
		d.put(instance("i-1", false))
		d.put(instance("i-2", false))
		f := run(t, d, nil)
		pass(time.Second)
		d.set(func() { d.down = true })
		pass(10 * time.Second)
		d.put(core.DirectoryItem{ID: "i-1"})
		d.put(core.DirectoryItem{ID: "i-2"})
		if f.fleet.Size() != 2 {
			t.Fatalf("%d replicas are known while the directory is away, want 2", f.fleet.Size())
		}
		d.set(func() { d.down = false })
		pass(1200 * time.Millisecond)
		if f.fleet.Size() != 2 {
			t.Errorf("%d replicas are known just after the directory's return, want 2", f.fleet.Size())
		}
		d.put(instance("i-1", false))
		pass(2 * time.Second)
		if f.fleet.Size() != 1 || !f.fleet.Available("tickets") {
			t.Errorf("%d replicas are known, want the one that came back", f.fleet.Size())
		}
	})
}

// feeds follows another mirror.
type feeds struct {
	leaders map[core.HostID]*follower
	reads   bool

	mu   sync.Mutex
	mode string
	lost int
}

func newFeeds(leaders ...*follower) *feeds {
	f := &feeds{leaders: map[core.HostID]*follower{}}
	for i, l := range leaders {
		f.leaders[core.HostID(fmt.Sprint("host-", i+1))] = l
	}
	return f
}

func (f *feeds) Leaders(time.Time) (hosts []core.Host, reads bool) {
	for id := range f.leaders {
		hosts = append(hosts, core.NewHost(id, "a", "10.0.0.9:1"))
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return strings.Compare(string(a.ID()), string(b.ID())) })
	return hosts, f.reads
}

func (f *feeds) Lost(time.Time, core.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost++
}

func (f *feeds) set(mode string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

func (f *feeds) Follow(ctx context.Context, h core.Host, after core.Revision, wait time.Duration) (core.FeedNews, error) {
	f.mu.Lock()
	mode := f.mode
	f.mu.Unlock()
	switch mode {
	case "silent":
		<-ctx.Done()
		return core.FeedNews{}, ctx.Err()
	case "refused":
		return core.FeedNews{}, errors.New("refused")
	}
	return f.leaders[h.ID()].Follow(ctx, after, wait)
}

// TestFollower guards against a host that reads the directory although another
// one does, and against one that stays behind when that one is cut off from the
// directory or lost.
func TestFollower(t *testing.T) {
	for _, mode := range []string{"cut off", "silent", "refused"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDirectory()
				d.put(document(2))
				d.put(instance("i-1", false))
				reach := &gatedDirectory{directory: d}
				leader := run(t, reach, nil)
				pass(time.Second)
				own := &gatedDirectory{directory: d}
				fd := newFeeds(leader)
				f := run(t, own, fd)
				pass(5 * time.Second)
				if own.count() != 0 {
					t.Errorf("the follower read the directory %d times", own.count())
				}
				d.put(document(5))
				pass(400 * time.Millisecond)
				if got := f.versions(); !slices.Equal(got, []uint64{2, 5}) {
					t.Errorf("follower: got %v, want [2 5]", got)
				}
				if mode == "cut off" {
					reach.cut()
				} else {
					fd.set(mode)
				}
				d.put(document(8))
				pass(3 * time.Second)
				if got := f.versions(); !slices.Equal(got, []uint64{2, 5, 8}) {
					t.Errorf("3 s after a change that the other host did not tell: got %v, want [2 5 8]", got)
				}
			})
		})
	}
}

// TestStaleLeaders is the load of several readers that are cut off from the
// directory at once: a change is in force within 3 s at a host that follows them,
// and the next one too, since it does not wait for each of them in turn.
func TestStaleLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.put(document(2))
		var ways []*gatedDirectory
		var leaders []*follower
		for range 6 {
			way := &gatedDirectory{directory: d}
			ways = append(ways, way)
			leaders = append(leaders, run(t, way, nil))
		}
		pass(time.Second)
		f := run(t, &gatedDirectory{directory: d}, newFeeds(leaders...))
		pass(5 * time.Second)
		for _, way := range ways[:5] {
			way.cut()
		}
		for _, v := range []uint64{5, 8, 11} {
			d.put(document(v))
			pass(3 * time.Second)
			if got := f.versions(); got[len(got)-1] != v {
				t.Errorf("3 s after version %d: got %v", v, got)
			}
		}
	})
}

// TestRefusedReader guards against a reader that the directory refuses and that
// learns nothing although other hosts know.
func TestRefusedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.put(document(2))
		other := run(t, &gatedDirectory{directory: d}, nil)
		pass(time.Second)
		way, fd := &gatedDirectory{directory: d}, newFeeds(other)
		fd.reads = true
		f := run(t, way, fd)
		pass(3 * time.Second)
		way.cut()
		for _, v := range []uint64{5, 8} {
			d.put(document(v))
			pass(3 * time.Second)
			if got := f.versions(); got[len(got)-1] != v {
				t.Errorf("3 s after version %d: got %v", v, got)
			}
		}
	})
}

// gatedDirectory is one host's way to a directory.
type gatedDirectory struct {
	*directory

	gate   sync.Mutex
	calls  int
	closed bool
}

func (g *gatedDirectory) cut() {
	g.gate.Lock()
	defer g.gate.Unlock()
	g.closed = true
}

func (g *gatedDirectory) count() int {
	g.gate.Lock()
	defer g.gate.Unlock()
	return g.calls
}

// enter blocks a call on a way that is cut.
func (g *gatedDirectory) enter(ctx context.Context) error {
	g.gate.Lock()
	g.calls++
	closed := g.closed
	g.gate.Unlock()
	if closed {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (g *gatedDirectory) List(ctx context.Context) (core.DirectoryNews, error) {
	if err := g.enter(ctx); err != nil {
		return core.DirectoryNews{}, err
	}
	return g.directory.List(ctx)
}

func (g *gatedDirectory) Watch(ctx context.Context, after core.Revision, wait time.Duration) (core.DirectoryNews, error) {
	if err := g.enter(ctx); err != nil {
		return core.DirectoryNews{}, err
	}
	news, err := g.directory.Watch(ctx, after, wait)
	if g.isCut() {
		<-ctx.Done() // the answer is lost
		return core.DirectoryNews{}, ctx.Err()
	}
	return news, err
}

func (g *gatedDirectory) isCut() bool {
	g.gate.Lock()
	defer g.gate.Unlock()
	return g.closed
}
