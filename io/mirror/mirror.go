// Package mirror follows a directory: it keeps the table of replicas and the
// routing document in force up to date, and holds what it knows while the
// directory cannot be read.
//
// # Usage
//
//	m := mirror.New(mirror.Parts{Directory: d, Fleet: f, Install: install, Log: log})
//	err := m.Run(ctx)
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
	"oriolebarrow/core/trail"
)

const (
	// watchWait bounds one watch, and so how old the knowledge of a host gets
	// that reads the directory, and how long a silent connection goes unnoticed.
	watchWait = 1200 * time.Millisecond
	// followWait bounds one call to another host.
	followWait = 800 * time.Millisecond
	// avoidFor is how long a host that could not be followed is left out, unless
	// the directory itself is out of reach too.
	avoidFor = 2 * time.Second
	// maxAge is how old the knowledge of another host may be before the directory
	// is read instead: one watch, its answer and one call later, within the
	// shortest time in which a change is due everywhere.
	maxAge = 1700 * time.Millisecond
	// watchGap collects the changes of a short time into one call.
	watchGap = 250 * time.Millisecond
	// answerTimeout is added to a call's own wait: answers take milliseconds, up
	// to a quarter of a second when the directory is slow.
	answerTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax bound the delay after a failed call. All hosts
	// together stay far below the directory's rate.
	backoffMin = 100 * time.Millisecond
	backoffMax = 800 * time.Millisecond
	// lapseFor is how long after the directory's return a vanished entry may be
	// one that lapsed meanwhile and comes back.
	lapseFor = 2500 * time.Millisecond
)

// Parts are what a mirror works with.
type Parts struct {
	Directory core.Directory
	Feeds     core.Feeds // may be nil
	Fleet     *fleet.Table
	Install   func(core.Routing)    // puts a newer routing document in force
	Appeared  func(core.Instance)   // a replica may get calls; may be nil
	Gone      func(core.InstanceID) // a replica gets no more calls; may be nil
	Log       *slog.Logger
	Meter     core.Meter
}

// Errors of what another host knows.
var (
	ErrStale   = errors.New("mirror: knowledge is too old")
	ErrUnknown = errors.New("mirror: directory is not known yet")
)

// Mirror follows one directory. Its lock covers the fields below it; the table of
// replicas and the installed document are changed outside of it, by Run only.
type Mirror struct {
	Parts

	// Used by Run only: until when hosts that could not be followed, and the
	// directory if it could not be read, are left out.
	avoid     map[core.HostID]time.Time
	readAgain time.Time

	mu       sync.Mutex
	trail    *trail.Trail
	changed  chan struct{} // closed at the next change
	verified time.Time     // when the directory was read, here or by the host that is followed
	version  uint64
	listed   bool
	lost     bool
	since    time.Time // when the directory could be read again
	lapsing  time.Time // until then, vanished entries may come back
}

var _ core.FeedSource = (*Mirror)(nil)

// New returns a mirror that knows nothing.
func New(p Parts) *Mirror {
	p.Meter = core.MeterOr(p.Meter)
	if p.Appeared == nil {
		p.Appeared = func(core.Instance) {}
	}
	if p.Gone == nil {
		p.Gone = func(core.InstanceID) {}
	}
	return &Mirror{Parts: p, avoid: make(map[core.HostID]time.Time), trail: trail.New(), changed: make(chan struct{})}
}

// Known reports whether the directory was read and holds a routing document.
func (m *Mirror) Known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed && m.version > 0
}

// Age returns the time since the directory was read, here or by the host that is
// followed.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.verified.IsZero() {
		return 0
	}
	return time.Since(m.verified)
}

// Run follows the directory until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	backoff := backoffMin
	for ctx.Err() == nil {
		changed, err := m.step(ctx)
		if err != nil && ctx.Err() == nil {
			m.failed(err)
			sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(backoffMax, 2*backoff)
			continue
		}
		backoff = backoffMin
		m.expire()
		if changed {
			sleep(ctx, watchGap)
		}
	}
	return nil
}

// step makes one call and applies what it brought.
func (m *Mirror) step(ctx context.Context) (changed bool, err error) {
	var leaders []core.Host
	reads := true
	if m.Feeds != nil {
		leaders, reads = m.Feeds.Leaders(time.Now())
	}
	if !reads || time.Now().Before(m.readAgain) {
		if changed, ok := m.followOne(ctx, leaders); ok {
			return changed, nil
		}
	}
	changed, err = m.read(ctx)
	if err == nil || !reads {
		return changed, err
	}
	// A reader that the directory refuses learns from the others meanwhile.
	m.readAgain = time.Now().Add(avoidFor)
	if changed, ok := m.followOne(ctx, leaders); ok {
		m.Log.Info("mirror: directory cannot be read; following another host", "cause", err)
		return changed, nil
	}
	return false, err
}

// read makes one call to the directory.
func (m *Mirror) read(ctx context.Context) (changed bool, err error) {
	m.mu.Lock()
	listed, after, held := m.listed, m.trail.Revision(), time.Now().Before(m.lapsing)
	m.mu.Unlock()
	m.Meter.Count("directory_calls", 1)
	if !listed {
		return m.list(ctx)
	}
	wait := watchWait
	if held {
		wait = watchGap // vanished entries expire soon
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	news, err := m.Directory.Watch(ctx, after, wait)
	if errors.Is(err, core.ErrHistoryGone) {
		m.Log.Info("mirror: history is gone, listing again", "revision", after)
		return m.list(ctx)
	}
	if err != nil {
		return false, err
	}
	m.regained()
	m.apply(news, 0)
	return len(news.Items) > 0, nil
}

func (m *Mirror) list(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*answerTimeout)
	defer cancel()
	news, err := m.Directory.List(ctx)
	if err != nil {
		return false, err
	}
	m.regained()
	m.replace(news, 0)
	return true, nil
}

// followOne learns from the first host that knows the directory well. It waits
// for news at one host only, and leaves out those that failed lately.
func (m *Mirror) followOne(ctx context.Context, leaders []core.Host) (changed, ok bool) {
	now := time.Now()
	wait := followWait
	if m.holding(now) {
		wait = watchGap // vanished entries expire soon
	}
	for _, h := range leaders {
		if now.Before(m.avoid[h.ID()]) {
			continue
		}
		changed, err := m.follow(ctx, h, wait)
		if err == nil {
			return changed, true
		}
		m.avoid[h.ID()] = time.Now().Add(avoidFor)
		wait = 0
		m.Log.Info("mirror: host cannot be followed", "peer", h.ID(), "cause", err)
	}
	return false, false
}

// follow learns from another host.
func (m *Mirror) follow(ctx context.Context, h core.Host, wait time.Duration) (changed bool, err error) {
	m.mu.Lock()
	after := m.trail.Revision()
	if !m.listed {
		after = 0
	}
	m.mu.Unlock()
	m.Meter.Count("directory_follows", 1)
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	feed, err := m.Feeds.Follow(ctx, h, after, wait)
	if errors.Is(err, core.ErrHistoryGone) {
		after = 0
		feed, err = m.Feeds.Follow(ctx, h, after, wait)
	}
	switch {
	case err != nil:
		if ctx.Err() != nil {
			m.Feeds.Lost(time.Now(), h)
		}
		return false, err
	case feed.Age > maxAge:
		return false, errors.Wrapf(ErrStale, "%s: read %v ago", h.ID(), feed.Age)
	case feed.News.Revision < after:
		return false, errors.Wrapf(ErrStale, "%s: revision %d, have %d", h.ID(), feed.News.Revision, after)
	}
	m.regained()
	m.mu.Lock()
	if until := time.Now().Add(feed.Lapsing); feed.Lapsing > 0 && until.After(m.lapsing) {
		m.since, m.lapsing = until.Add(-lapseFor), until
	}
	m.mu.Unlock()
	if after == 0 {
		m.replace(feed.News, feed.Age)
		return true, nil
	}
	m.apply(feed.News, feed.Age)
	// Changes come from the other host in batches already.
	return false, nil
}

// Follow tells another host what changed after a revision.
func (m *Mirror) Follow(ctx context.Context, after core.Revision, wait time.Duration) (core.FeedNews, error) {
	timer := time.NewTimer(min(wait, followWait))
	defer timer.Stop()
	for last := false; ; {
		feed, changed, err := m.changesSince(after)
		if feed.Age > maxAge {
			return feed, nil // the other host looks elsewhere
		}
		if err != nil || last || after == 0 || len(feed.News.Items) > 0 {
			return feed, err
		}
		select {
		case <-ctx.Done():
			return core.FeedNews{}, ctx.Err()
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// changesSince returns the changes after a revision, and a channel that is closed at
// the next one.
func (m *Mirror) changesSince(after core.Revision) (core.FeedNews, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed || m.version == 0 {
		return core.FeedNews{}, nil, ErrUnknown
	}
	now := time.Now()
	feed := core.FeedNews{Age: now.Sub(m.verified), Lapsing: max(0, m.lapsing.Sub(now))}
	if after == 0 {
		feed.News = m.trail.All()
		return feed, m.changed, nil
	}
	var ok bool
	if feed.News, ok = m.trail.Since(after); !ok {
		return core.FeedNews{}, nil, core.ErrHistoryGone
	}
	return feed, m.changed, nil
}

// failed notes that the directory could not be read.
func (m *Mirror) failed(err error) {
	m.Meter.Count("directory_failures", 1)
	clear(m.avoid)
	m.mu.Lock()
	first := !m.lost
	m.lost = true
	m.mu.Unlock()
	if first {
		m.Log.Warn("mirror: directory lost; what is known stays in force", "cause", err)
	}
}

func (m *Mirror) regained() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lost {
		return
	}
	m.lost = false
	m.since = time.Now()
	m.lapsing = m.since.Add(lapseFor)
	m.Log.Info("mirror: directory regained", "revision", m.trail.Revision())
}

// replace applies a whole list.
func (m *Mirror) replace(news core.DirectoryNews, age time.Duration) {
	known := make(map[core.InstanceID]bool, len(news.Items))
	for _, item := range news.Items {
		if item.Instance != nil {
			known[item.ID] = true
		}
	}
	now := time.Now()
	for _, id := range m.Fleet.Retain(now, m.holding(now), func(id core.InstanceID) bool { return known[id] }) {
		m.Log.Info("mirror: entry is missing in the list", "replica", id, "held", m.holding(now))
		m.dropped(id)
	}
	m.mu.Lock()
	m.trail.Replace(news)
	m.mu.Unlock()
	m.apply(news, age)
	m.mu.Lock()
	m.listed = true
	m.mu.Unlock()
}

// apply takes changes that were read age ago.
func (m *Mirror) apply(news core.DirectoryNews, age time.Duration) {
	now := time.Now()
	for _, item := range news.Items {
		switch {
		case item.Routing != nil:
			m.install(*item.Routing)
		case item.Instance != nil:
			m.put(now, *item.Instance)
		case item.ID != "":
			m.remove(now, item.ID)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trail.Apply(news)
	m.verified = now.Add(-age)
	if len(news.Items) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// install puts a routing document in force unless it is older than the one that
// is.
func (m *Mirror) install(doc core.Routing) {
	m.mu.Lock()
	newer := doc.Version > m.version
	if newer {
		m.version = doc.Version
	}
	m.mu.Unlock()
	if newer {
		m.Install(doc)
		m.Log.Info("mirror: routing document in force", "version", doc.Version, "routes", len(doc.Routes))
	}
}

func (m *Mirror) put(now time.Time, in core.Instance) {
	if !m.Fleet.Put(now, in) {
		return
	}
	m.Log.Info("mirror: entry", "replica", in.ID, "service", in.Service, "address", in.Address, "draining", in.Draining)
	if in.Draining {
		m.Gone(in.ID)
		return
	}
	m.Appeared(in)
}

func (m *Mirror) remove(now time.Time, id core.InstanceID) {
	held := m.holding(now)
	if m.Fleet.Remove(now, id, held) {
		m.Log.Info("mirror: entry removed", "replica", id, "held", held)
		if !held {
			m.Gone(id)
		}
	}
}

func (m *Mirror) dropped(id core.InstanceID) {
	if !m.holding(time.Now()) {
		m.Gone(id)
	}
}

// holding reports whether a vanished entry may come back.
func (m *Mirror) holding(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost || now.Before(m.lapsing)
}

// expire drops the entries that did not come back.
func (m *Mirror) expire() {
	m.mu.Lock()
	since := m.since
	m.mu.Unlock()
	for _, id := range m.Fleet.Expire(time.Now(), since) {
		m.Log.Info("mirror: entry did not come back", "replica", id)
		m.Gone(id)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
