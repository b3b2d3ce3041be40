package relay_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReplicasThatSendWithoutEnd is the load of replicas in half of the shards that send
// bytes until the caller closes: their parts come from the other replicas in time, the
// replicas are left soon, and nothing of what they send is served.
func TestReplicasThatSendWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r, _ := newRelay(t, w, 20, nil)
		warmUp(r)
		for i := range 10 {
			w.set("endless", address(i, 0))
		}
		reply, took := ask(r, "/q/", 1)
		if reply.Status != 200 || reply.Missing != 0 || took > 50*time.Millisecond {
			t.Errorf("got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		// The usual part has 16 bytes: 64 KB are the least bound.
		if most := int64(10 * 80 << 10); w.babbled.Load() > most {
			t.Errorf("%d bytes were read of ten replicas, want at most %d", w.babbled.Load(), most)
		}
		if len(reply.Body) != 5*16 {
			t.Errorf("the answer has %d bytes, want five records", len(reply.Body))
		}
		for i := range 5 {
			ask(r, "/q/", 10+i)
		}
		before := w.calls()
		if reply, _ = ask(r, "/q/", 2); reply.Missing != 0 || w.calls()-before != 20 {
			t.Errorf("later: %d missing, %d calls for 20 parts", reply.Missing, w.calls()-before)
		}
		drain()
	})
}

// TestAllReplicasOfAShardSendWithoutEnd guards against a query that waits for an end
// which does not come: it is answered without the shard.
func TestAllReplicasOfAShardSendWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		r, _ := newRelay(t, w, 20, nil)
		warmUp(r)
		w.set("endless", address(3, 0), address(3, 1))
		if reply, took := ask(r, "/q/", 1); reply.Status != 200 || reply.Missing != 1 || took > 50*time.Millisecond {
			t.Errorf("got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		drain()
	})
}
