package relay_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestEndlessReplicas guards against replicas that send a body until the connection is
// closed. Half of the shards have one such replica: their parts must come from the other
// replicas in time, the endless bodies must be cut off early and never served, and later
// queries must avoid these replicas.
func TestEndlessReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		for i := range 10 {
			b.setMode("endless", address(i, 0))
		}
		reply, took := do(r, "/q/", 1)
		if reply.Status != 200 || reply.Missing != 0 || took > 50*time.Millisecond {
			t.Errorf("got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		// The usual part has 16 bytes, so the smallest size limit applies: 64 KB.
		if limit := int64(10 * 80 << 10); b.endlessBytes.Load() > limit {
			t.Errorf("%d bytes were read from ten replicas, want at most %d", b.endlessBytes.Load(), limit)
		}
		if len(reply.Body) != 5*16 {
			t.Errorf("the answer has %d bytes, want 80 (five records)", len(reply.Body))
		}
		for i := range 5 {
			do(r, "/q/", 10+i)
		}
		before := b.calls()
		if reply, _ = do(r, "/q/", 2); reply.Missing != 0 || b.calls()-before != 20 {
			t.Errorf("later query: %d missing and %d calls, want 0 and 20", reply.Missing, b.calls()-before)
		}
		awaitCalls()
	})
}

// TestEndlessShard guards against a query that waits for the end of an endless body when
// all replicas of a shard send one: it is answered without the shard.
func TestEndlessShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		b.setMode("endless", address(3, 0), address(3, 1))
		if reply, took := do(r, "/q/", 1); reply.Status != 200 || reply.Missing != 1 || took > 50*time.Millisecond {
			t.Errorf("got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		awaitCalls()
	})
}
