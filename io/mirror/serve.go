package mirror

import (
	"context"
	"time"

	"oriolebarrow/core"
)

// Follow implements core.FeedSource. It waits no longer than wait and followWait.
func (m *Mirror) Follow(ctx context.Context, era core.Era, after core.Revision, wait time.Duration) (core.FeedUpdate, error) {
	timer := time.NewTimer(min(wait, followWait))
	defer timer.Stop()
	for timedOut := false; ; {
		update, complete, changed, err := m.changesSince(era, after)
		if update.Age > maxAge {
			return update, nil // the other host rejects it as too old
		}
		if err != nil || timedOut || complete || len(update.Update.Items) > 0 {
			return update, err
		}
		select {
		case <-ctx.Done():
			return core.FeedUpdate{}, ctx.Err()
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// changesSince returns the changes after a revision of an era, whether they are all items, and
// a channel that is closed at the next change.
func (m *Mirror) changesSince(era core.Era, after core.Revision) (update core.FeedUpdate, complete bool, changed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.loaded || m.routing == nil {
		return core.FeedUpdate{}, false, nil, ErrNotLoaded
	}
	own := m.history.Position().Era
	if era > own {
		return core.FeedUpdate{}, false, nil, core.ErrLowerEra
	}
	now := time.Now()
	update = core.FeedUpdate{Age: now.Sub(m.readAt), OutageGrace: max(0, m.graceEnd.Sub(now))}
	if after == 0 || era < own {
		update.Update = m.history.All()
		return update, true, m.changed, nil
	}
	var ok bool
	if update.Update, ok = m.history.Since(after); !ok {
		return core.FeedUpdate{}, false, nil, core.ErrHistoryGone
	}
	return update, false, m.changed, nil
}
