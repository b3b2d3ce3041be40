package relay_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/relay"
)

// lease is a core.Lease with a limit. Its first reference is that of the test.
type lease struct {
	limit, charged, refs atomic.Int64
}

func newLease(limit int64) *lease {
	l := new(lease)
	l.limit.Store(limit)
	l.refs.Store(1)
	return l
}

func (l *lease) Charge(n int) bool {
	if l.charged.Add(int64(n)) <= l.limit.Load() {
		return true
	}
	l.charged.Add(-int64(n))
	return false
}

func (l *lease) Refund(n int) { l.charged.Add(-int64(n)) }
func (l *lease) Hold()        { l.refs.Add(1) }
func (l *lease) Release()     { l.refs.Add(-1) }

// TestLeaseOfCalls guards against a request whose bytes are no longer charged while a call that
// was abandoned still uses them, and against a call that holds them for good.
func TestLeaseOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		b.setMode("silent", address(7, 0))
		l := newLease(1 << 20)
		ctx := core.WithLease(context.Background(), l)
		if reply, _ := doContext(ctx, r, "/q/", 1); reply.Status != 200 || reply.Missing != 0 {
			t.Fatalf("got %d with %d missing", reply.Status, reply.Missing)
		}
		if n := l.refs.Load(); n != 2 {
			t.Errorf("%d references after the answer, want one besides that of the test: of the call to the silent replica", n)
		}
		awaitCalls()
		if n := l.refs.Load(); n != 1 {
			t.Errorf("%d references after the last call, want that of the test", n)
		}
	})
}

// TestLargeHead guards against a copy of a large head for each call, which is not charged, and
// against a request that is tried although there is no room for its head.
func TestLargeHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const headBytes = 16 << 10
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		send := func(l core.Lease) relay.Reply {
			return r.Do(core.WithLease(context.Background(), l), relay.Request{
				ID: "large", Method: "GET", URI: "/q/", Path: "/q/", Host: "h", Arrived: time.Now(), Remaining: 600 * time.Millisecond,
				Header: core.Header(nil).Append("X", strings.Repeat("x", headBytes)),
			})
		}
		l := newLease(1 << 20)
		if reply := send(l); reply.Status != 200 || reply.Missing != 0 {
			t.Errorf("got %d with %d missing", reply.Status, reply.Missing)
		}
		if n := l.charged.Load(); n < headBytes || n >= 2*headBytes {
			t.Errorf("%d bytes were charged, want one copy of the head", n)
		}
		awaitCalls()
		before := b.calls()
		if reply := send(newLease(headBytes / 2)); reply.Status != 503 || reply.RetryAfter <= 0 || reply.Reason != core.ReasonOverload || b.calls() != before {
			t.Errorf("without room: got %d, reason %q, and %d calls", reply.Status, reply.Reason, b.calls()-before)
		}
		awaitCalls()
	})
}

// TestTasksWithoutRoom guards against a query that fails because there is no room for its tasks
// on this host, or for its task on the other one: this host then calls the replicas itself.
func TestTasksWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		other, _ := newRelay(t, b, 20, nil)
		tasks := &fakeTasks{relay: other}
		r, _ := newRelay(t, b, 20, tasks)
		warmUp(r)
		sent := tasks.queries.Load()
		// There is room for the calls and not for another copy of the header.
		reply := r.Do(core.WithLease(context.Background(), newLease(12<<10)), relay.Request{
			ID: "r1", Method: "GET", URI: "/q/", Path: "/q/", Host: "h", Arrived: time.Now(), Remaining: 600 * time.Millisecond,
			Header: core.Header(nil).Append("X", strings.Repeat("x", 3<<10)),
		})
		if reply.Status != 200 || reply.Missing != 0 || tasks.queries.Load() != sent {
			t.Errorf("no room here: got %d with %d missing, %d tasks", reply.Status, reply.Missing, tasks.queries.Load()-sent)
		}
		tasks.mode = "no memory"
		l := newLease(1 << 20)
		if reply, _ := doContext(core.WithLease(context.Background(), l), r, "/q/", 2); reply.Status != 200 || reply.Missing != 0 {
			t.Errorf("no room there: got %d with %d missing", reply.Status, reply.Missing)
		}
		awaitCalls()
		if n := l.refs.Load(); n != 1 {
			t.Errorf("%d references after the last task, want that of the test", n)
		}
	})
}
