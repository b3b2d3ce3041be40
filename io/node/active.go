package node

import (
	"context"
	"sync"
	"time"

	"oriolebarrow/core"
)

// maxLoggedIDs limits the request ids in the log line of a shutdown that cut requests
// short.
const maxLoggedIDs = 32

// activeRequests counts the running requests of callers and of other hosts by their
// ids.
type activeRequests struct {
	mu     sync.Mutex
	counts map[core.RequestID]int
}

// add adds a request; the returned function removes it. A request without an id is
// ignored.
func (r *activeRequests) add(id core.RequestID) (remove func()) {
	if id == "" {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[core.RequestID]int)
	}
	r.counts[id]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.counts[id]--; r.counts[id] == 0 {
			delete(r.counts, id)
		}
	}
}

// ids returns the ids of up to maxLoggedIDs running requests.
func (r *activeRequests) ids() []core.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]core.RequestID, 0, min(len(r.counts), maxLoggedIDs))
	for id := range r.counts {
		if len(ids) == maxLoggedIDs {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// trackedRequests passes requests of callers on and counts them in active while they
// run.
type trackedRequests struct {
	core.RequestHandler
	active *activeRequests
}

// Order implements core.RequestHandler.
func (t trackedRequests) Order(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	defer t.active.add(req)()
	return t.RequestHandler.Order(ctx, token, req, o, deadline)
}

// Query implements core.RequestHandler.
func (t trackedRequests) Query(ctx context.Context, q core.Query) core.Answer {
	defer t.active.add(q.ID)()
	return t.RequestHandler.Query(ctx, q)
}
