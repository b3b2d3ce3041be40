package relay_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReplicasThatWait guards against calls to replicas that asked for none, against a
// request that waits for its deadline when no replica is left, and against a Retry-After that
// ends before they take requests again.
func TestReplicasThatWait(t *testing.T) {
	for _, path := range []string{"/o/", "/v/", "/q/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, _ := newRelay(t, b, 1, nil)
				warmUp(r)
				b.setMode("asks to wait", address(0, 0), address(0, 1))
				begin, before := time.Now(), b.calls()
				for i := range 10 {
					reply, took := do(r, path, i)
					end := time.Now().Add(reply.RetryAfter).Sub(begin)
					if reply.Status != 503 || took > 3*time.Millisecond || end < 2*time.Second || end > 2100*time.Millisecond {
						t.Errorf("request %d: got %d after %v, retry %v after the first one", i, reply.Status, took, end)
					}
				}
				if n := b.calls() - before; n != 2 {
					t.Errorf("%d calls, want one to each replica", n)
				}
				b.setMode("", address(0, 0), address(0, 1))
				<-time.After(2 * time.Second)
				if reply, _ := do(r, path, 20); reply.Status != 200 {
					t.Errorf("after the time asked for: got %d, want 200", reply.Status)
				}
				awaitCalls()
			})
		})
	}
}

// TestReplicasThatLeave guards against calls to a replica that has said that it leaves, and
// against an answer of it that isn't delivered.
func TestReplicasThatLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 1, nil)
		warmUp(r)
		b.setMode("leaving", address(0, 0))
		before := b.runs(address(0, 0))
		for i := range 20 {
			if reply, _ := do(r, "/o/", i); reply.Status != 200 {
				t.Errorf("order %d got %d, want 200", i, reply.Status)
			}
		}
		if n := b.runs(address(0, 0)) - before; n != 1 {
			t.Errorf("%d orders ran at the leaving replica, want the first one", n)
		}
		b.setMode("leaving", address(0, 1))
		do(r, "/o/", 100)
		calls := b.calls()
		if reply, took := do(r, "/o/", 101); reply.Status != 503 || reply.RetryAfter <= 0 || took > time.Millisecond || b.calls() != calls {
			t.Errorf("without replicas: got %d after %v, retry after %v, %d calls", reply.Status, took, reply.RetryAfter, b.calls()-calls)
		}
		awaitCalls()
	})
}

// TestShardsThatWait guards against a query that waits for shards whose replicas want no
// requests: it is answered without them, or rejected at once with the time until enough of
// them take requests again.
func TestShardsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		b.setMode("asks to wait", address(3, 0), address(3, 1))
		begin := time.Now()
		do(r, "/q/", 0)
		if reply, took := do(r, "/q/", 1); reply.Status != 200 || reply.Missing != 1 || took > 30*time.Millisecond {
			t.Errorf("one shard waits: got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		<-time.After(500 * time.Millisecond)
		for _, shard := range []int{5, 7} {
			b.setMode("asks to wait", address(shard, 0), address(shard, 1))
			do(r, "/q/", 10+shard)
			<-time.After(50 * time.Millisecond)
		}
		calls, now := b.calls(), time.Now()
		reply, took := do(r, "/q/", 3)
		// Two shards may be missing. The first of the three is back 2 s after the first query.
		back := now.Add(reply.RetryAfter).Sub(begin)
		if reply.Status != 503 || took > time.Millisecond || b.calls() != calls || back < 1990*time.Millisecond || back > 2050*time.Millisecond {
			t.Errorf("three shards wait: got %d after %v with %d calls, retry %v after the first query", reply.Status, took, b.calls()-calls, back)
		}
		awaitCalls()
	})
}
