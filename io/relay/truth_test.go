package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestTrueAnswers guards against 502 or 504 for a request that no replica has run and none
// will, and against 503 for one that may have run.
func TestTrueAnswers(t *testing.T) {
	all := func(mode string) func(*backends) {
		return func(b *backends) {
			for s := range 20 {
				b.setMode(mode, address(s, 0), address(s, 1))
			}
		}
	}
	for _, c := range []struct {
		name   string
		path   string
		setUp  func(*backends)
		ends   time.Duration // when the caller leaves, or Finish is called; 0 for neither
		finish bool
		status int
	}{
		{"connections never open, query at its deadline", "/q/", all("no connection"), 0, false, 503},
		{"connections never open, order at its deadline", "/o/", all("no connection"), 0, false, 503},
		{"connections never open, order of a caller that leaves", "/o/", all("no connection"), 20 * time.Millisecond, false, 503},
		{"connections never open, query of a caller that leaves", "/q/", all("no connection"), 20 * time.Millisecond, false, 503},
		{"connections never open, order at the stop of the host", "/o/", all("no connection"), 20 * time.Millisecond, true, 503},
		{"connections never open, query at the stop of the host", "/q/", all("no connection"), 20 * time.Millisecond, true, 503},
		{"replicas run, order at the stop of the host", "/o/", all("silent"), 20 * time.Millisecond, true, 502},
		{"replicas run, query at the stop of the host", "/q/", all("silent"), 20 * time.Millisecond, true, 502},
		{"replicas run, query of a caller that leaves", "/q/", all("silent"), 20 * time.Millisecond, false, 504},
		{"all refuse", "/q/", all("shed"), 0, false, 503},
		{"some shards answer, the others refuse later", "/q/", func(b *backends) {
			for s := range 3 {
				b.setMode("sheds late", address(s, 0), address(s, 1))
			}
		}, 0, false, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, _ := newRelay(t, b, 20, nil)
				c.setUp(b)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.finish {
					time.AfterFunc(c.ends, r.Finish)
				} else if c.ends > 0 {
					time.AfterFunc(c.ends, cancel)
				}
				reply, _ := doContext(ctx, r, c.path, 1)
				awaitCalls()
				if reply.Status != c.status {
					t.Errorf("got %d (%s), want %d", reply.Status, reply.Reason, c.status)
				}
				if ran := b.calls(); c.status == 503 && len(b.ran) != 0 {
					t.Errorf("%d calls, ran at %v, answered with %d", ran, b.ran, reply.Status)
				}
				if reply.Status == 503 && reply.RetryAfter <= 0 {
					t.Error("rejected without a retry time")
				}
			})
		})
	}
}

// TestTrueAnswersWhileWaiting guards against 504 for requests that only waited for a slot:
// until their deadline, until the caller left, or until the host stopped.
func TestTrueAnswersWhileWaiting(t *testing.T) {
	for name, end := range map[string]func(cancel, finish func()){
		"caller leaves": func(cancel, _ func()) { cancel() },
		"host stops":    func(_, finish func()) { finish() },
		"deadline":      func(_, _ func()) {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, _ := newRelay(t, b, 1, nil)
				b.setMode("silent", address(0, 0), address(0, 1))
				for i := range 4 { // the slots of the two replicas
					go do(r, "/o/", i)
				}
				synctest.Wait()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(50*time.Millisecond, func() { end(cancel, r.Finish) })
				reply, _ := doContext(ctx, r, "/o/", 9)
				if reply.Status != 503 {
					t.Errorf("got %d (%s) for a request that was never sent, want 503", reply.Status, reply.Reason)
				}
				awaitCalls()
			})
		})
	}
}

// TestTrueAnswersOfTasks guards against 502 or 504 for a query whose tasks were never sent, or
// whose delegate states that no replica has run it; and against 503 for one whose delegate
// was lost.
func TestTrueAnswersOfTasks(t *testing.T) {
	for _, c := range []struct {
		name, task, replicas string
		status               int
	}{
		{"the task waits for a link", "no link", "no connection", 503},
		{"the replicas of the delegate refuse", "", "shed", 503},
		{"the replicas of the delegate can't be reached", "", "no connection", 503},
		{"the delegate is lost", "lost", "shed", 502},
		{"the delegate is silent", "silent", "no connection", 504},
		{"a replica of the delegate fails", "", "failing", 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				other, _ := newRelay(t, b, 20, nil)
				r, _ := newRelay(t, b, 20, &fakeTasks{relay: other, mode: c.task, all: true})
				for s := range 20 {
					b.setMode(c.replicas, address(s, 0), address(s, 1))
				}
				reply, took := do(r, "/q/", 1)
				awaitCalls()
				if reply.Status != c.status || took > 600*time.Millisecond {
					t.Errorf("got %d (%s) after %v, want %d", reply.Status, reply.Reason, took, c.status)
				}
				if reply.Status == 503 && len(b.ran) != 0 {
					t.Errorf("ran at %v, answered with 503", b.ran)
				}
			})
		})
	}
}
