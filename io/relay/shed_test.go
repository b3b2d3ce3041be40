package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

// TestOverloadedShards guards against queries that call all shards in vain while all
// replicas of some shards refuse: many queries are rejected before any call, with a
// retry time, and all are admitted soon after the replicas accept calls again.
func TestOverloadedShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		for i := range 5 {
			b.setMode("shed", address(i, 0), address(i, 1))
		}
		rejected := 0
		for i := range 60 {
			before := b.calls()
			reply, took := do(r, "/q/", i)
			<-time.After(20 * time.Millisecond)
			if b.calls() > before {
				continue
			}
			rejected++
			if reply.Status != 503 || reply.RetryAfter <= 0 || reply.RetryAfter > 200*time.Millisecond || took > time.Millisecond {
				t.Fatalf("without any call: got %d after %v, retry after %v", reply.Status, took, reply.RetryAfter)
			}
		}
		if rejected < 20 {
			t.Errorf("%d of 60 queries were rejected before any call, want at least 20", rejected)
		}
		for i := range 5 {
			b.setMode("", address(i, 0), address(i, 1))
		}
		<-time.After(4 * time.Second) // observations of the replicas expire
		for i := range 25 {
			do(r, "/q/", 100+i)
			<-time.After(20 * time.Millisecond)
		}
		for i := range 20 {
			if reply, _ := do(r, "/q/", 200+i); reply.Status != 200 {
				t.Errorf("query %d after the end of the overload: got %d", i, reply.Status)
			}
			<-time.After(20 * time.Millisecond)
		}
		awaitCalls()
	})
}

// TestFailuresDoNotShed guards against queries that are rejected because replicas fail:
// with fewer queries, the same share would fail.
func TestFailuresDoNotShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		for i := range 3 {
			b.setMode("failing", address(i, 0), address(i, 1))
		}
		for i := range 40 {
			before := b.calls()
			if reply, _ := do(r, "/q/", i); b.calls() == before {
				t.Fatalf("query %d was rejected with %d before any call", i, reply.Status)
			}
			<-time.After(100 * time.Millisecond)
		}
		awaitCalls()
	})
}

// TestTaskReportsOverload guards against a delegate that does not report replicas at
// capacity: it executes tasks of many hosts, each of which has too few queries to notice
// the overload itself.
func TestTaskReportsOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		for i := range 4 {
			b.setMode("shed", address(i, 0), address(i, 1))
		}
		var last core.TaskResult
		for i := range 30 {
			task := core.Task{
				Request: &core.TaskRequest{ID: core.RequestID(fmt.Sprint("t", i)), Method: "GET", URI: "/q/", Host: "h"},
				Route:   "query", Attempts: 2, TopK: 5,
				FirstService: service(0), MinRatio: 0.89, TargetUS: 100_000, CloseUS: 80_000, Deadline: time.Now().Add(600 * time.Millisecond),
			}
			for s := range 20 {
				task.Services = append(task.Services, service(s))
			}
			last = core.TaskResult{}
			parts := 0
			if err := r.Execute(context.Background(), task, func(res core.TaskResult) {
				parts += len(res.Parts)
				last = res
			}); err != nil {
				t.Fatal(err)
			}
			if parts != 16 || last.Overloaded != 4 || last.OverloadedMissing != 4 {
				t.Fatalf("%d parts, %d shards at capacity, %d of them missing, want 16, 4 and 4", parts, last.Overloaded, last.OverloadedMissing)
			}
			<-time.After(50 * time.Millisecond)
		}
		if last.AdmitShare >= 0.5 {
			t.Errorf("the host reports a share of %.2f after 30 tasks that lacked parts, want less than 0.5", last.AdmitShare)
		}
		awaitCalls()
	})
}

// TestFinish guards against a stopping host that keeps requests waiting, loses parts that
// have arrived, or starts calls although it has no time for them.
func TestFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		warmUp(r)
		b.setMode("silent", address(1, 0), address(1, 1), address(2, 0), address(2, 1))
		go func() {
			<-time.After(50 * time.Millisecond)
			r.Finish()
		}()
		if reply, took := do(r, "/q/", 1); reply.Status != 200 || reply.Missing != 2 || took != 50*time.Millisecond {
			t.Errorf("running query: got %d with %d missing after %v", reply.Status, reply.Missing, took)
		}
		before := b.calls()
		for _, path := range []string{"/q/", "/o/"} {
			if reply, _ := do(r, path, 2); reply.Status != 503 || reply.RetryAfter <= 0 || b.calls() != before {
				t.Errorf("after Finish: got %d, retry after %v, %d calls, want 503 with a retry time and without a call", reply.Status, reply.RetryAfter, b.calls()-before)
			}
		}
		awaitCalls()
	})
}
