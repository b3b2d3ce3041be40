package relay_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// reportTime is the service time of requests for reports, see backends.serve.
const reportTime = 8 * serviceTime

// TestExpensiveRequestsAreNotHedged guards against hedges of requests that take long because
// of what they ask for, and against the loss of hedges of the other requests of their route.
func TestExpensiveRequestsAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 1, nil)
		n := 0
		run := func(path string, times int) (calls int) {
			before := b.calls()
			for range times {
				n++
				if reply, _ := do(r, fmt.Sprint(path, n), n); reply.Status != 200 {
					t.Fatalf("%s: status %d", path, reply.Status)
				}
			}
			return b.calls() - before
		}
		for range 40 {
			run("/v/item/", 2)
			run("/v/report/", 1)
		}
		var log bytes.Buffer
		r.Log = slog.New(slog.NewJSONHandler(&log, nil))
		<-time.After(time.Second) // start a new second of the log limiters
		if calls := run("/v/report/", 20); calls != 20 {
			t.Errorf("%d calls for 20 reports, want no hedge", calls)
		}
		line := logLines(t, &log, "r121")["relay: answered"]
		if len(line) != 1 || line[0]["estimate"] != "pattern_and_size" {
			t.Fatalf("logged %v, want an estimate by path", line)
		}
		usual := time.Duration(line[0]["usual_us"].(float64)) * time.Microsecond
		if usual < reportTime*3/4 || usual > reportTime*4/3 {
			t.Errorf("logged an estimate of %v, want about %v", usual, reportTime)
		}
		b.setMode("paused", address(0, 0))
		if reply, took := do(r, "/v/item/1", 1000); reply.Status != 200 || took > 5*serviceTime {
			t.Errorf("a short request to a paused replica got %d after %v, want a hedge", reply.Status, took)
		}
		awaitCalls()
	})
}
