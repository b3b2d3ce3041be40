// Package mirror keeps a local copy of a directory: it updates the table of replicas and
// the active routing document, and keeps the last known data while the directory cannot
// be read.
//
// # Usage
//
//	m := mirror.New(mirror.Deps{Directory: d, Replicas: replicas, OnRouting: install, Log: log})
//	err := m.Run(ctx)
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/delta"
	"oriolebarrow/core/evac"
	"oriolebarrow/core/known"
	"oriolebarrow/core/picker"
)

const (
	// watchWait limits one watch. It thereby limits the age of the data of a host that
	// reads the directory, and the time until an unresponsive connection is noticed.
	watchWait = 1200 * time.Millisecond
	// followWait limits how long one call to another host waits for changes.
	followWait = 800 * time.Millisecond
	// avoidTime is how long a host that could not be followed is skipped, unless the
	// directory itself cannot be read either.
	avoidTime = 2 * time.Second
	// maxAge is the maximum age of directory data that another host supplies; if it is
	// older, the directory is read instead. It is the time for one watch and its answer.
	// With one more call, a change still reaches all hosts within the shortest time that
	// is required.
	maxAge = 1700 * time.Millisecond
	// batchInterval is the pause after a change, so that one call returns all changes of
	// a short time. While missing entries may expire, it also replaces the longer waits.
	batchInterval = 250 * time.Millisecond
	// answerTimeout is added to the time for which a call waits for changes. Answers
	// take milliseconds, up to a quarter of a second if the directory is slow.
	answerTimeout = 500 * time.Millisecond
	// backoffMin and backoffMax limit the delay after a failed call, so that all hosts
	// together stay far below the rate that the directory can serve.
	backoffMin = 100 * time.Millisecond
	backoffMax = 800 * time.Millisecond
	// graceTime is how long after an outage of the directory missing entries are kept:
	// they may have expired during the outage, and their replicas may publish them again.
	graceTime = 2500 * time.Millisecond
)

// Deps contains the dependencies of a Mirror.
type Deps struct {
	Directory     core.Directory
	Feeds         core.Feeds // may be nil
	Replicas      *picker.Table
	OnRouting     func(core.Routing)    // activates a newer routing document
	OnAvailable   func(core.Instance)   // called for a new or changed replica that may get calls; may be nil
	OnUnavailable func(core.InstanceID) // called for a replica that gets no more calls; may be nil
	OnEvacuation  func()                // called when the set of evacuated data centres has changed; may be nil
	Log           *slog.Logger
	Meter         core.Meter // may be nil
}

var (
	// ErrStale is returned when the directory data of another host is too old.
	ErrStale = errors.New("mirror: directory data is too old")
	// ErrNotLoaded is returned while this host has not loaded the complete directory with a
	// routing document.
	ErrNotLoaded = errors.New("mirror: directory is not known yet")
)

// Mirror keeps a copy of one directory. Its lock protects the fields below it. The table of
// replicas and the installed document are changed without the lock, by Run only.
type Mirror struct {
	Deps

	// Used by Run only. avoidUntil is the time until which a host that could not be
	// followed is skipped. After a failed read, the directory is called before
	// skipReadUntil only if no host can be followed.
	avoidUntil    map[core.HostID]time.Time
	skipReadUntil time.Time
	evacuations   *evac.State
	// evacuatedSince has when each evacuation took effect here; used by Run only.
	evacuatedSince map[core.DataCentre]time.Time
	entries        *known.Entries

	mu             sync.Mutex
	history        *delta.Log
	changed        chan struct{} // closed and replaced at each change
	readAt         time.Time     // when this host or the followed one read the directory
	routing        *core.Routing // the active routing document, nil for none
	routingEra     core.Era      // of the active routing document
	loaded         bool          // a complete list was applied
	unreachable    bool          // neither the directory nor another host supplies data
	reachableSince time.Time     // when the last outage of the directory ended
	graceEnd       time.Time     // until then, missing entries are kept
	evacuated      []core.DataCentre
}

var _ core.FeedSource = (*Mirror)(nil)

// New returns a Mirror without any directory data.
func New(d Deps) *Mirror {
	d.Meter = core.MeterOr(d.Meter)
	if d.OnAvailable == nil {
		d.OnAvailable = func(core.Instance) {}
	}
	if d.OnUnavailable == nil {
		d.OnUnavailable = func(core.InstanceID) {}
	}
	if d.OnEvacuation == nil {
		d.OnEvacuation = func() {}
	}
	return &Mirror{
		Deps:        d,
		avoidUntil:  make(map[core.HostID]time.Time),
		evacuations: evac.New(),

		evacuatedSince: make(map[core.DataCentre]time.Time),
		entries:        known.New(),
		history:        delta.New(),
		changed:        make(chan struct{}),
	}
}

// Loaded reports whether the directory was loaded completely and contains a routing
// document.
func (m *Mirror) Loaded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded && m.routing != nil
}

// Age returns the time since this host or the followed one last read the directory, and 0
// before the first time.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt.IsZero() {
		return 0
	}
	return time.Since(m.readAt)
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	backoff := backoffMin
	for ctx.Err() == nil {
		changed, err := m.step(ctx)
		if err != nil && ctx.Err() == nil {
			m.markUnreachable(err)
			sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(backoffMax, 2*backoff)
			continue
		}
		backoff = backoffMin
		m.expireMissing()
		if changed {
			sleep(ctx, batchInterval)
		}
	}
	return nil
}

// step obtains changes from the directory or from another host and applies them.
func (m *Mirror) step(ctx context.Context) (changed bool, err error) {
	var sources []core.Host
	reads := true
	if m.Feeds != nil {
		sources, reads = m.Feeds.Sources(time.Now())
	}
	if !reads || time.Now().Before(m.skipReadUntil) {
		if changed, ok := m.followAny(ctx, sources); ok {
			return changed, nil
		}
	}
	changed, err = m.read(ctx)
	if err == nil || !reads {
		return changed, err
	}
	// A reader that cannot read the directory follows other hosts for a while.
	m.skipReadUntil = time.Now().Add(avoidTime)
	if changed, ok := m.followAny(ctx, sources); ok {
		m.Log.Info("mirror: directory cannot be read; following another host", "cause", err)
		return changed, nil
	}
	return false, err
}

// read makes one call to the directory and applies its result.
func (m *Mirror) read(ctx context.Context) (changed bool, err error) {
	m.mu.Lock()
	loaded, at, inGrace := m.loaded, m.history.Position(), time.Now().Before(m.graceEnd)
	m.mu.Unlock()
	m.Meter.Count("directory_calls", 1)
	if !loaded {
		return m.list(ctx)
	}
	wait := watchWait
	if inGrace {
		wait = batchInterval // expireMissing must run soon
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	update, err := m.Directory.Watch(watchCtx, at.Revision, wait)
	switch {
	case errors.Is(err, core.ErrHistoryGone):
		m.Log.Info("mirror: directory no longer has the changes; listing all items", "revision", at.Revision)
		return m.list(ctx)
	case err != nil:
		return false, err
	case update.Era < at.Era:
		return false, errors.Wrapf(core.ErrLowerEra, "watch: got %d, want %d", update.Era, at.Era)
	case update.Era > at.Era: // its changes are those after another revision
		return m.list(ctx)
	}
	m.markReachable()
	m.apply(withRoutingEra(update), 0, false)
	return len(update.Items) > 0, nil
}

// list reads all items of the directory and replaces the copy.
func (m *Mirror) list(ctx context.Context) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*answerTimeout)
	defer cancel()
	update, err := m.Directory.List(ctx)
	if err != nil {
		return false, err
	}
	if at := m.position(); update.Era < at.Era {
		return false, errors.Wrapf(core.ErrLowerEra, "list: got %d, want %d", update.Era, at.Era)
	}
	m.markReachable()
	m.replace(withRoutingEra(update), 0)
	return true, nil
}

// followAny obtains changes from the first host that can supply recent directory data. It
// skips hosts that failed recently, and waits for changes only at the first host it calls.
func (m *Mirror) followAny(ctx context.Context, sources []core.Host) (changed, ok bool) {
	now := time.Now()
	wait := followWait
	if m.keepsMissing(now) {
		wait = batchInterval // expireMissing must run soon
	}
	for _, h := range sources {
		if now.Before(m.avoidUntil[h.ID()]) {
			continue
		}
		changed, err := m.follow(ctx, h, wait)
		if err == nil {
			return changed, true
		}
		m.avoidUntil[h.ID()] = time.Now().Add(avoidTime)
		wait = 0
		m.Log.Info("mirror: host cannot be followed", "peer", h.ID(), "cause", err)
	}
	return false, false
}

// follow obtains changes from another host and applies them.
func (m *Mirror) follow(ctx context.Context, h core.Host, wait time.Duration) (changed bool, err error) {
	at := m.position()
	after := at.Revision
	m.Meter.Count("directory_follows", 1)
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	update, err := m.Feeds.Follow(ctx, h, at.Era, after, wait)
	if errors.Is(err, core.ErrHistoryGone) {
		after = 0
		update, err = m.Feeds.Follow(ctx, h, at.Era, after, wait)
	}
	switch got := update.Update.Position(); {
	case err != nil:
		if ctx.Err() != nil {
			m.Feeds.MarkDown(time.Now(), h)
		}
		return false, err
	case update.Age > maxAge:
		return false, errors.Wrapf(ErrStale, "%s: read %v ago", h.ID(), update.Age)
	case got.Before(at):
		return false, errors.Wrapf(ErrStale, "%s: era %d, revision %d, want at least %d, %d", h.ID(), got.Era, got.Revision, at.Era, at.Revision)
	}
	m.markReachable()
	// Adopts the grace period of the other host if it ends later.
	m.mu.Lock()
	if until := time.Now().Add(update.OutageGrace); update.OutageGrace > 0 && until.After(m.graceEnd) {
		m.reachableSince, m.graceEnd = until.Add(-graceTime), until
	}
	m.mu.Unlock()
	if after == 0 || update.Update.Era > at.Era {
		m.replace(update.Update, update.Age)
		return true, nil
	}
	m.apply(update.Update, update.Age, false)
	// false: no pause is needed, since the other host already batches changes.
	return false, nil
}

// markUnreachable records that neither the directory nor another host supplied data. All
// hosts may then be tried again at once.
func (m *Mirror) markUnreachable(err error) {
	m.Meter.Count("directory_failures", 1)
	clear(m.avoidUntil)
	m.mu.Lock()
	first := !m.unreachable
	m.unreachable = true
	m.mu.Unlock()
	if first {
		m.Log.Warn("mirror: directory lost; what is known stays in force", "cause", err)
	}
}

// markReachable records that the directory was read, here or by another host. After an
// outage it starts the grace period for missing entries.
func (m *Mirror) markReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.unreachable {
		return
	}
	m.unreachable = false
	m.reachableSince = time.Now()
	m.graceEnd = m.reachableSince.Add(graceTime)
	m.Log.Info("mirror: directory regained", "revision", m.history.Position().Revision)
}

// replace applies a complete list: it removes replicas that are not listed.
func (m *Mirror) replace(update core.DirectoryUpdate, age time.Duration) {
	// Evacuations come first, so that no entry of the list is usable before.
	if at := m.position(); m.returned(at, update) {
		update = m.applyReturn(at, update)
	} else {
		m.entries.Replace(update.Items)
		m.updateEvacuations(func(s *evac.State) { s.Replace(update.Items) })
	}
	present := make(map[core.InstanceID]bool, len(update.Items))
	for _, item := range update.Items {
		if item.Instance != nil {
			present[item.ID] = true
		}
	}
	now := time.Now()
	for _, id := range m.Replicas.Retain(now, m.keepsMissing(now), func(id core.InstanceID) bool { return present[id] }) {
		m.Log.Info("mirror: entry is missing in the list", "replica", id, "held", m.keepsMissing(now))
		m.notifyUnavailable(id)
	}
	m.apply(update, age, true)
}

// apply applies changes from a directory that was read age ago. complete is set if these are
// all items, and replace has applied their evacuations and has removed the other replicas.
func (m *Mirror) apply(update core.DirectoryUpdate, age time.Duration, complete bool) {
	if !complete {
		m.entries.Apply(update.Items)
		m.updateEvacuations(func(s *evac.State) { s.Apply(update.Items) })
	}
	now := time.Now()
	update.Items = slices.Clone(update.Items)
	for i := range update.Items {
		item := &update.Items[i]
		switch {
		case item.Evacuation != nil:
		case item.Routing != nil:
			item.Routing, item.RoutingEra = m.install(item.RoutingEra, item.Routing)
		case item.Instance != nil:
			m.put(now, *item.Instance)
		case item.ID != "":
			m.remove(now, item.ID)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if complete {
		m.history.Replace(update)
		m.loaded = true
	} else {
		m.history.Apply(update)
	}
	m.readAt = now.Add(-age)
	if complete || len(update.Items) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// install activates a routing document if its version is higher than the active one's, or if it
// was written again in a higher era. It returns the document that is active then, and its era;
// other hosts get no other one. The document counts as loaded only when OnRouting has returned.
func (m *Mirror) install(era core.Era, doc *core.Routing) (*core.Routing, core.Era) {
	m.mu.Lock()
	active, activeEra := m.routing, m.routingEra
	m.mu.Unlock()
	switch {
	case doc.Version == 0:
		return doc, era // as if there were none
	case active == nil, doc.Version > active.Version:
	case doc.Version == active.Version && era > activeEra:
	default:
		return active, activeEra
	}
	if active == nil || !reflect.DeepEqual(active, doc) {
		m.OnRouting(*doc)
		m.Log.Info("mirror: routing document in force", "version", doc.Version, "routes", len(doc.Routes))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routing, m.routingEra = doc, era
	return doc, era
}

// put adds or updates a replica. If it changed, OnAvailable or OnUnavailable is called.
func (m *Mirror) put(now time.Time, in core.Instance) {
	if !m.Replicas.Put(now, in) {
		return
	}
	m.Log.Info("mirror: entry", "replica", in.ID, "service", in.Service, "address", in.Address, "draining", in.Draining)
	if in.Draining {
		m.OnUnavailable(in.ID)
		return
	}
	m.OnAvailable(in)
}

// remove removes a replica, or keeps it for now if its entry may be published again.
func (m *Mirror) remove(now time.Time, id core.InstanceID) {
	keep := m.keepsMissing(now)
	if m.Replicas.Remove(now, id, keep) {
		m.Log.Info("mirror: entry removed", "replica", id, "held", keep)
		if !keep {
			m.OnUnavailable(id)
		}
	}
}

// notifyUnavailable calls OnUnavailable unless missing entries are kept for now.
func (m *Mirror) notifyUnavailable(id core.InstanceID) {
	if !m.keepsMissing(time.Now()) {
		m.OnUnavailable(id)
	}
}

// keepsMissing reports whether missing entries are kept for now, because the directory is
// unreachable or its grace period has not ended.
func (m *Mirror) keepsMissing(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable || now.Before(m.graceEnd)
}

// expireMissing removes the kept entries that were not published again in time, and ends what
// a return of the directory has held.
func (m *Mirror) expireMissing() {
	now := time.Now()
	m.mu.Lock()
	since := m.reachableSince
	m.mu.Unlock()
	for _, id := range m.Replicas.Expire(now, since) {
		m.Log.Info("mirror: missing entry expired", "replica", id)
		m.OnUnavailable(id)
	}
	m.updateEvacuations(func(s *evac.State) { s.Expire(now) })
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
