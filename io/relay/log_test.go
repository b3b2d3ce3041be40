package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/relay"
)

// logLines returns the log lines of a request, by message.
func logLines(t *testing.T, log *bytes.Buffer, request string) map[string][]map[string]any {
	t.Helper()
	found := map[string][]map[string]any{}
	for raw := range strings.Lines(log.String()) {
		var l map[string]any
		if err := json.Unmarshal([]byte(raw), &l); err != nil {
			t.Fatalf("%q: %v", raw, err)
		}
		if l["request"] == request {
			message := l["msg"].(string)
			found[message] = append(found[message], l)
		}
	}
	return found
}

// TestLoggedTextsAreBounded guards against log lines that hold a long text of a caller until the
// log is read, and against requests that can no longer be found by the begin of their ID.
func TestLoggedTextsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 256
		b := newBackends()
		r, _ := newRelay(t, b, 20, nil)
		var log bytes.Buffer
		r.Log = slog.New(slog.NewJSONHandler(&log, nil))
		b.setMode("paused", address(0, 0))
		id := core.RequestID("id-" + strings.Repeat("x", 16<<10))
		for _, path := range []string{"/q/", "/none/"} {
			r.Do(context.Background(), relay.Request{ID: id, Method: "GET", URI: path, Path: path, Host: strings.Repeat("y", 16<<10), Arrived: time.Now(), Remaining: time.Second})
			r.Do(context.Background(), relay.Request{ID: id, Method: "GET", URI: path, Path: path, Host: "h", Arrived: time.Now(), Remaining: time.Second})
		}
		awaitCalls()
		lines := 0
		for raw := range strings.Lines(log.String()) {
			var l map[string]any
			if err := json.Unmarshal([]byte(raw), &l); err != nil {
				t.Fatal(err)
			}
			request, ok := l["request"].(string)
			if !ok {
				continue
			}
			lines++
			host, _ := l["host"].(string) // not in all lines
			if !strings.HasPrefix(request, "id-xx") || len(request) > most || len(host) > most {
				t.Errorf("line %q has an ID of %d bytes and a host of %d", l["msg"], len(request), len(host))
			}
		}
		if lines < 4 {
			t.Errorf("%d lines, want one for each request at least", lines)
		}
	})
}

// TestOutcomesAreLogged guards against an answer whose cause cannot be found in the
// log by the request's ID.
func TestOutcomesAreLogged(t *testing.T) {
	for _, c := range []struct {
		name, path string
		modes      [2]string // of the two replicas of the first shard
		removed    int       // shards without replicas
		leaves     bool      // whether the caller leaves
		status     int
		reason     core.Reason
		events     []string // messages that must be logged
		missed     string   // substring of the attribute
	}{
		{name: "no route", path: "/none/", status: 404, reason: core.ReasonNoRoute},
		{name: "service without replicas", path: "/o/", removed: 1, status: 503, reason: core.ReasonNoReplica, missed: "shard-0=no_replica"},
		{name: "too few shards", path: "/q/", removed: 9, status: 503, reason: core.ReasonNoReplica, missed: "shard-8=no_replica"},
		{name: "all refuse", path: "/o/", modes: [2]string{"shed", "shed"}, status: 503, reason: core.ReasonBusy, events: []string{"relay: call refused", "relay: retry sent", "relay: replica that refused is asked again"}, missed: "shard-0=busy"},
		{name: "answer lost", path: "/o/", modes: [2]string{"lost", "lost"}, status: 502, reason: core.ReasonBackendError, events: []string{"relay: call failed"}, missed: "shard-0=backend_error"},
		{name: "replica fails", path: "/o/", modes: [2]string{"failing", "failing"}, status: 500, events: []string{"relay: call failed"}},
		{name: "silent replicas", path: "/o/", modes: [2]string{"silent", "silent"}, status: 504, reason: core.ReasonDeadline, missed: "shard-0/" + address(0, 0)},
		{name: "silent shard", path: "/q/", modes: [2]string{"silent", "silent"}, status: 200, events: []string{"relay: hedge sent", "relay: parts are open at the closing time"}, missed: "shard-0"},
		{name: "hedge wins", path: "/q/", modes: [2]string{"paused", ""}, status: 200, events: []string{"relay: hedge sent"}},
		{name: "caller leaves", path: "/o/", modes: [2]string{"silent", "silent"}, leaves: true, status: 504, reason: core.ReasonCallerLeft},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackends()
				r, replicas := newRelay(t, b, 20, nil)
				warmUp(r)
				<-time.After(time.Second) // start a new second of the log limiters
				var log bytes.Buffer
				r.Log = slog.New(slog.NewJSONHandler(&log, nil))
				b.setMode(c.modes[0], address(0, 0))
				b.setMode(c.modes[1], address(0, 1))
				for s := range c.removed {
					replicas.Remove(time.Now(), core.InstanceID(address(s, 0)), false)
					replicas.Remove(time.Now(), core.InstanceID(address(s, 1)), false)
				}
				ctx, cancel := context.WithCancel(t.Context())
				if c.leaves {
					time.AfterFunc(50*time.Millisecond, cancel)
				}
				reply, _ := doContext(ctx, r, c.path, 1)
				cancel()
				awaitCalls()
				if reply.Status != c.status {
					t.Errorf("status %d, want %d", reply.Status, c.status)
				}
				found := logLines(t, &log, "r1")
				answers := found["relay: answered"]
				if len(answers) != 1 || answers[0]["reason"] != string(c.reason) || answers[0]["status"] != float64(c.status) {
					t.Fatalf("logged answers %v, want one with status %d and reason %q", answers, c.status, c.reason)
				}
				if missed, _ := answers[0]["missed"].(string); !strings.Contains(missed, c.missed) {
					t.Errorf("attribute missed is %q, want it to contain %q", missed, c.missed)
				}
				for _, e := range c.events {
					if len(found[e]) == 0 {
						t.Errorf("no line %q in %v", e, found)
					}
				}
			})
		})
	}
}

// TestNotReadyIsLogged guards against an answer without a log line before the first
// routing document.
func TestNotReadyIsLogged(t *testing.T) {
	var log bytes.Buffer
	r := relay.New(relay.Deps{Log: slog.New(slog.NewJSONHandler(&log, nil))})
	r.Do(t.Context(), relay.Request{ID: "r1", Path: "/", Arrived: time.Now()})
	if got := logLines(t, &log, "r1")["relay: answered"]; len(got) != 1 || got[0]["reason"] != string(core.ReasonNotReady) {
		t.Errorf("logged answers %v, want one with reason not_ready", got)
	}
}

// TestLogLimits guards against log lines of complete answers that use up the limit for
// failed ones, and against an unbounded log.
func TestLogLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, _ := newRelay(t, b, 1, nil)
		warmUp(r)
		<-time.After(time.Second)
		var log bytes.Buffer
		r.Log = slog.New(slog.NewJSONHandler(&log, nil))
		for range 50 {
			do(r, "/q/", 1)
		}
		b.setMode("lost", address(0, 0), address(0, 1))
		for range 20 {
			do(r, "/o/", 2)
		}
		awaitCalls()
		// 50 answers take half a second, and at most 3 of them are logged a second.
		if n := len(logLines(t, &log, "r1")["relay: answered"]); n == 0 || n > 6 {
			t.Errorf("%d lines for 50 complete answers, want 3 a second", n)
		}
		if n := len(logLines(t, &log, "r2")["relay: answered"]); n != 20 {
			t.Errorf("%d lines for 20 failed orders, want 20", n)
		}
	})
}
