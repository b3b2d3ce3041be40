package node

import (
	"context"
	"sync"
	"time"

	"oriolebarrow/core"
)

// maxCutIDs bounds the request ids in the log line of a shutdown that cut
// requests short.
const maxCutIDs = 32

// running holds the ids of the requests in progress, of callers and of hosts.
type running struct {
	mu    sync.Mutex
	count map[core.RequestID]int
}

// enter adds a request; the returned function removes it. An empty id is not
// kept.
func (r *running) enter(id core.RequestID) (leave func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = make(map[core.RequestID]int)
	}
	r.count[id]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.count[id]--; r.count[id] == 0 {
			delete(r.count, id)
		}
	}
}

// ids returns at most maxCutIDs of the ids.
func (r *running) ids() []core.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]core.RequestID, 0, min(len(r.count), maxCutIDs))
	for id := range r.count {
		if len(ids) == maxCutIDs {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// trackedRequests notes the requests of callers while they run.
type trackedRequests struct {
	core.Requests
	running *running
}

// Order implements core.Requests.
func (t trackedRequests) Order(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	defer t.running.enter(req)()
	return t.Requests.Order(ctx, token, req, o, deadline)
}

// Query implements core.Requests.
func (t trackedRequests) Query(ctx context.Context, q core.Query) core.Answer {
	defer t.running.enter(q.ID)()
	return t.Requests.Query(ctx, q)
}
