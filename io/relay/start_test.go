package relay_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/relay"
)

// TestRequestsDuringStart guards against requests that a host rejects in the moment between its
// start and the arrival of the routing document, as after a loss of power of all hosts: their
// callers would meet other hosts that have just started. It also guards against requests that
// wait for a document that does not arrive, or after their caller has left.
func TestRequestsDuringStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		document time.Duration // when it arrives; 0 for never
		leaves   time.Duration // when the caller leaves; 0 for never
		status   int
		after    time.Duration // when the request is answered, at the latest
	}{
		{"document arrives", 60 * time.Millisecond, 0, 200, 110 * time.Millisecond},
		{"document arrives late", 150 * time.Millisecond, 0, 503, 100 * time.Millisecond},
		{"no document", 0, 0, 503, 100 * time.Millisecond},
		{"caller leaves", 0, 20 * time.Millisecond, 503, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served, _ := newRelay(t, newBackends(), 4, nil)
				r := relay.New(served.Deps)
				r.Log = slog.New(slog.DiscardHandler)
				if c.document > 0 {
					time.AfterFunc(c.document, func() { r.SetTable(served.Table()) })
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.leaves > 0 {
					time.AfterFunc(c.leaves, cancel)
				}
				reply, took := doContext(ctx, r, "/q/", 1)
				if reply.Status != c.status || took > c.after {
					t.Errorf("status %d after %v, want %d after %v at most", reply.Status, took, c.status, c.after)
				}
				if reply.Status == 503 && (reply.Reason != core.ReasonNotReady || reply.RetryAfter != 200*time.Millisecond) {
					t.Errorf("%s, retry after %v, want %s after 200ms", reply.Reason, reply.RetryAfter, core.ReasonNotReady)
				}
				awaitCalls()
			})
		})
	}
}
