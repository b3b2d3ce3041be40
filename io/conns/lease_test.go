package conns_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/quota"
	"oriolebarrow/io/conns"
)

// TestLeaseOutlivesRequest guards against the body of a request that is no longer charged
// although a call still uses it after the answer or the end of the connection.
func TestLeaseOutlivesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(1<<20, 0)
		const bodyBytes = 64 << 10
		var call core.Lease
		s.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
			lease := conns.TakeLease(r.Context())
			lease.Hold()
			call = lease
			lease.Release()
			w.WriteHeader(statusRan)
		}
		c := s.l.dial()
		go func() {
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("b", bodyBytes))
		}()
		if got := readStatus(c); got != statusRan {
			t.Errorf("status %d, want %d", got, statusRan)
		}
		synctest.Wait()
		if used := s.budget.Used(); used != conns.BaseBytes+bodyBytes {
			t.Errorf("after the answer, %d bytes are charged, want those of the connection and %d", used, bodyBytes)
		}
		_ = c.Close()
		synctest.Wait()
		if used := s.budget.Used(); used != bodyBytes {
			t.Errorf("after the end of the connection, %d bytes are charged, want %d", used, bodyBytes)
		}
		if call.Release(); call.Charge(conns.FreeBytes + 1) {
			t.Error("bytes were charged to a lease that has ended")
		}
		s.stop(t)
	})
}

// TestLeasesOfHosts guards against requests of other hosts that exceed the budget, that wait
// although nothing can give way, or that keep others out before they have arrived.
func TestLeasesOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 200 << 10
		limits := conns.NewLimits(1<<20, 0, nil, slog.New(slog.DiscardHandler)) // a budget of 256 KiB
		arriving := make(chan *conns.Lease, 1)
		first, ok := limits.NewLease(context.Background(), "tasks", size, func() { (<-arriving).Release() })
		if !ok {
			t.Fatal("no lease although nothing is held")
		}
		arriving <- first
		time.Sleep(quota.StuckAfter)
		second, ok := limits.NewLease(context.Background(), "tasks", size, func() {})
		if !ok {
			t.Fatal("no lease although the other request does not arrive")
		}
		second.SetRunning()
		begin := time.Now()
		if _, ok := limits.NewLease(context.Background(), "tasks", size, func() {}); ok || time.Since(begin) > 0 {
			t.Errorf("lease: %v after %v, want none at once beside a running request", ok, time.Since(begin))
		}
		if second.Charge(100 << 10) {
			t.Error("a charge exceeded the budget")
		}
		second.Release()
		if used := limits.Budget.Used(); used != 0 {
			t.Errorf("%d bytes are charged in the end", used)
		}
	})
}
