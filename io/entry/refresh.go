package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"oriolebarrow/core"
)

const (
	refreshInterval = 250 * time.Millisecond
	refreshTimeout  = 500 * time.Millisecond
	// inUsePeriod is how long after its last query on this host a service counts as
	// in use.
	inUsePeriod = 10 * time.Second
	// idleRefreshInterval is the refresh interval of services that are not in use.
	// An outdated table costs their next query at most one restart.
	idleRefreshInterval = 10 * time.Second
)

// Run refreshes the snapshot table and drops expired tokens until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			e.Tokens.Expire(now)
			e.refreshDue(ctx, now)
		}
	}
}

// refreshDue refreshes all services that are due and waits for them. It refreshes them
// concurrently, so that an owner that hangs does not delay the other services.
func (e *Entry) refreshDue(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	for _, s := range e.Settings.Services() {
		if e.markIfDue(now, s.Name()) {
			wg.Go(func() { e.refresh(ctx, s.Name()) })
		}
	}
	wg.Wait()
}

// markIfDue reports whether a service must be refreshed now. If so, it records now as
// the time of the last refresh. A service is due at each tick while it is in use or the
// snapshots of one of its groups are unknown, and otherwise every idleRefreshInterval.
// Without this distinction a host would ask the owners of all services four times a
// second, even of services that its callers do not query.
func (e *Entry) markIfDue(now time.Time, s core.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.groupsKnown(s) && now.Sub(e.lastQuery[s]) > inUsePeriod && now.Sub(e.lastRefresh[s]) < idleRefreshInterval {
		return false
	}
	e.lastRefresh[s] = now
	return true
}

// groupsKnown reports whether the table has an entry for each replica group of a
// service. It is true for a service that does not exist.
func (e *Entry) groupsKnown(s core.ServiceName) bool {
	service, ok := e.Settings.Service(s)
	if !ok {
		return true
	}
	for i := range service.Groups() {
		if !e.Table.HasEntry(s, core.GroupID(i)) {
			return false
		}
	}
	return true
}

// SnapshotsKnown reports whether the table has an entry for each replica group of all
// services. Until then, a query may miss shards that a replica does hold.
func (e *Entry) SnapshotsKnown() bool {
	for _, s := range e.Settings.Services() {
		if !e.groupsKnown(s.Name()) {
			return false
		}
	}
	return true
}

// recordQuery records now as the time of the last query of a service.
func (e *Entry) recordQuery(now time.Time, s core.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastQuery[s] = now
}

// refresh updates the table with the snapshots that the owners of a service's
// replica groups report.
func (e *Entry) refresh(ctx context.Context, s core.ServiceName) {
	service, ok := e.Settings.Service(s)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	view := e.Views.View(time.Now())
	owned := make(map[core.HostID][]core.GroupID)
	for i := range service.Groups() {
		owner, _ := e.Placer.Owner(view, s, core.GroupID(i))
		owned[owner] = append(owned[owner], core.GroupID(i))
	}
	var wg sync.WaitGroup
	for id, groups := range owned {
		wg.Go(func() { e.refreshFrom(ctx, view, id, s, groups) })
	}
	wg.Wait()
}

// refreshFrom updates the table for the replica groups that one host owns.
func (e *Entry) refreshFrom(ctx context.Context, view core.View, id core.HostID, s core.ServiceName, groups []core.GroupID) {
	var held []core.GroupSnapshot
	if id == e.Self {
		held = e.Local.Snapshots(ctx, s, groups)
	} else {
		host, ok := view.Lookup(id)
		if !ok {
			return
		}
		var err error
		if held, err = e.Peers.Snapshots(ctx, host, s); err != nil {
			return
		}
	}
	byGroup := make(map[core.GroupID][]core.GroupSnapshot)
	for _, h := range held {
		byGroup[h.Group] = append(byGroup[h.Group], h)
	}
	for _, g := range groups {
		// The reply contains nothing about a group whose replicas the owner has
		// not asked yet. The table entry then stays, so that a new owner does not
		// remove known snapshots.
		if h := byGroup[g]; len(h) > 0 {
			e.Table.Update(s, g, slices.DeleteFunc(h, core.GroupSnapshot.IsEmpty))
		}
	}
}

// GroupSnapshots returns the snapshots that the replica groups of a service hold for which
// this host is owner or standby in its own view.
func (e *Entry) GroupSnapshots(ctx context.Context, s core.ServiceName) []core.GroupSnapshot {
	service, ok := e.Settings.Service(s)
	if !ok {
		return nil
	}
	view := e.Views.View(time.Now())
	var ids []core.GroupID
	for i := range service.Groups() {
		owner, standby := e.Placer.Owner(view, s, core.GroupID(i))
		if owner == e.Self || standby == e.Self {
			ids = append(ids, core.GroupID(i))
		}
	}
	return e.Local.Snapshots(ctx, s, ids)
}
