package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// TestTurnAtColdReplica guards against calls to cold replicas beyond the warm-up limit, against
// requests that wait for a turn that comes too late for them, and against some that give up a turn
// that would come in time.
func TestTurnAtColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, replicas := newRelay(t, b, 20, nil)
		stop := make(chan struct{})
		defer close(stop)
		replicas.SetWarmBounds(time.Now(), warm.Bounds{Overshoot: 1.5, Slack: 5})
		replicas.SetWarmRates(time.Now(), []core.Upstream{{Name: service(0), WarmupRate: 4}})
		go func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for {
				replicas.SetWarmMembers(time.Now(), warm.Members{Known: true, Local: []core.HostID{"host-0"}, DataCentres: 2})
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
			}
		}()
		<-time.After(4 * time.Second) // the quota counts from then on
		warmUp(r)
		for n := range 2 {
			replicas.Put(time.Now(), core.Instance{
				ID: core.InstanceID(address(0, n)), Service: service(0), Address: address(0, n),
				DataCentre: []core.DataCentre{"a", "b"}[n], Slots: 2, Warmup: time.Minute, Sequence: 1,
			})
		}
		cold := func() int { return b.runs(address(0, 0), address(0, 1)) }
		before := cold()
		<-time.After(warm.Window)
		first := time.Now()
		for i := range 4 { // three to the replica in this data centre and one to the other
			if reply, _ := do(r, "/o/", i); reply.Status != 200 {
				t.Errorf("order %d within the quota: got %d", i, reply.Status)
			}
		}
		reply, took := do(r, "/o/", 4)
		if back := time.Until(first.Add(warm.Window)); reply.Status != 503 || reply.Reason != core.ReasonCold || took > time.Millisecond ||
			reply.RetryAfter < back-time.Millisecond || reply.RetryAfter > back+time.Millisecond {
			t.Errorf("order beyond the quota: got %d %s after %v, retry after %v, want 503 at once and %v", reply.Status, reply.Reason, took, reply.RetryAfter, back)
		}
		if reply, took := do(r, "/q/", 5); reply.Status != 200 || reply.Missing != 1 || took > 30*time.Millisecond {
			t.Errorf("query: got %d with %d missing after %v, want one missing at once", reply.Status, reply.Missing, took)
		}
		if n := cold() - before; n != 4 {
			t.Errorf("%d calls to cold replicas, want 4", n)
		}
		<-time.After(time.Until(first.Add(warm.Window - 200*time.Millisecond)))
		if reply, took := do(r, "/o/", 6); reply.Status != 200 || took < 200*time.Millisecond || took > 220*time.Millisecond {
			t.Errorf("order before a turn: got %d after %v, want 200 after its turn and the call", reply.Status, took)
		}
		<-time.After(2 * warm.Window)
		do(r, "/q/", 7) // reports the duration of calls
		<-time.After(warm.Window)
		first = time.Now()
		for i := range 4 {
			do(r, "/v/", 20+i)
		}
		before = cold()
		<-time.After(time.Until(first.Add(warm.Window - 100*time.Millisecond)))
		type result struct {
			status int
			took   time.Duration
		}
		results := make(chan result, 10)
		for i := range 10 {
			go func() {
				reply, took := do(r, "/v/", 30+i)
				results <- result{reply.Status, took}
			}()
		}
		served, rejected := 0, 0
		for range 10 {
			switch res := <-results; {
			case res.status == 200:
				served++
			case res.status == 503 && res.took < time.Millisecond:
				rejected++
			}
		}
		if n := cold() - before; n != 4 || served != 4 || rejected != 6 {
			t.Errorf("of ten before four turns, %d were served with %d calls and %d rejected at once, want 4, 4 and 6", served, n, rejected)
		}
		awaitCalls()
	})
}
