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
	// usedFor is how long after its last query a service counts as queried here.
	usedFor = 10 * time.Second
	// idleInterval is the refresh interval of other services. A first query on an
	// older table costs one restart at most.
	idleInterval = 10 * time.Second
)

// Run keeps the snapshot table fresh until ctx ends.
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

// refreshDue refreshes the services that are due, all at once, so that an owner
// that hangs delays only its own service.
func (e *Entry) refreshDue(ctx context.Context, now time.Time) {
	var wait sync.WaitGroup
	for _, s := range e.Settings.Services() {
		if e.due(now, s.Name()) {
			wait.Go(func() { e.refresh(ctx, s.Name()) })
		}
	}
	wait.Wait()
}

// due reports whether a service must be refreshed now: at each tick while it is
// queried here or some of its groups are not known, else every idleInterval. Without
// the distinction a host would ask the owners of all services four times a second,
// whatever its callers use.
func (e *Entry) due(now time.Time, s core.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known(s) && now.Sub(e.queried[s]) > usedFor && now.Sub(e.refreshed[s]) < idleInterval {
		return false
	}
	e.refreshed[s] = now
	return true
}

// known reports whether the owners of all groups of a service were heard.
func (e *Entry) known(s core.ServiceName) bool {
	service, ok := e.Settings.Service(s)
	if !ok {
		return true
	}
	for i := range service.Groups() {
		if !e.Table.Knows(s, core.GroupID(i)) {
			return false
		}
	}
	return true
}

// Known reports whether the owners of all groups of all services were heard, so
// that queries miss no shard for want of knowledge.
func (e *Entry) Known() bool {
	for _, s := range e.Settings.Services() {
		if !e.known(s.Name()) {
			return false
		}
	}
	return true
}

func (e *Entry) noteQuery(now time.Time, s core.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queried[s] = now
}

// refresh asks the owners of a service which snapshots their groups hold.
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
	var wait sync.WaitGroup
	for id, groups := range owned {
		wait.Go(func() { e.refreshFrom(ctx, view, id, s, groups) })
	}
	wait.Wait()
}

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
		// A group is absent while its owner has not asked the replicas yet; the
		// table then keeps what it has, so that a new owner wipes nothing.
		if h := byGroup[g]; len(h) > 0 {
			e.Table.Update(s, g, slices.DeleteFunc(h, core.GroupSnapshot.IsNothing))
		}
	}
}

// Owned returns what the groups hold that this host owns in its own view.
func (e *Entry) Owned(ctx context.Context, s core.ServiceName) []core.GroupSnapshot {
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
