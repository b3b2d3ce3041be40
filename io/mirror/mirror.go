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
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
)

const (
	// watchWait bounds one watch. A connection that went silent is noticed one
	// wait later, within the time after which a host counts as undisturbed.
	watchWait = 2 * time.Second
	// watchGap collects the changes of a short time into one call.
	watchGap = 150 * time.Millisecond
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
	Fleet     *fleet.Table
	Install   func(core.Routing)    // puts a newer routing document in force
	Appeared  func(core.Instance)   // a replica may get calls; may be nil
	Gone      func(core.InstanceID) // a replica gets no more calls; may be nil
	Log       *slog.Logger
	Meter     core.Meter
}

// Mirror follows one directory.
type Mirror struct {
	Parts

	mu       sync.Mutex
	revision core.Revision
	version  uint64
	listed   bool
	lost     bool
	since    time.Time // when the directory could be read again
	lapsing  time.Time // until then, vanished entries may come back
}

// New returns a mirror that knows nothing.
func New(p Parts) *Mirror {
	p.Meter = core.MeterOr(p.Meter)
	if p.Appeared == nil {
		p.Appeared = func(core.Instance) {}
	}
	if p.Gone == nil {
		p.Gone = func(core.InstanceID) {}
	}
	return &Mirror{Parts: p}
}

// Known reports whether the directory was read and holds a routing document.
func (m *Mirror) Known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed && m.version > 0
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
	m.Meter.Count("directory_calls", 1)
	m.mu.Lock()
	listed, after, held := m.listed, m.revision, time.Now().Before(m.lapsing)
	m.mu.Unlock()
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, 2*answerTimeout)
		defer cancel()
		news, err := m.Directory.List(ctx)
		if err != nil {
			return false, err
		}
		m.regained()
		m.replace(news)
		return true, nil
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
		m.mu.Lock()
		m.listed = false
		m.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.regained()
	m.apply(news)
	return len(news.Items) > 0, nil
}

// failed notes that the directory could not be read.
func (m *Mirror) failed(err error) {
	m.Meter.Count("directory_failures", 1)
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
	m.Log.Info("mirror: directory regained", "revision", m.revision)
}

// replace applies a whole list.
func (m *Mirror) replace(news core.DirectoryNews) {
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
	m.apply(news)
	m.mu.Lock()
	m.listed = true
	m.mu.Unlock()
}

func (m *Mirror) apply(news core.DirectoryNews) {
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
	m.revision = max(m.revision, news.Revision)
	m.mu.Unlock()
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
