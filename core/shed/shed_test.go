package shed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core/shed"
)

// TestShare guards against a share that falls after failures which admitting fewer queries
// would not prevent, that never rises again, or that falls to zero.
func TestShare(t *testing.T) {
	s := shed.New(shed.Options{Compete: true})
	for range 100 {
		s.Ended(false, false)
	}
	if s.Share() != 1 {
		t.Errorf("failures without overload lower the share to %.2f", s.Share())
	}
	for range 100 {
		s.Ended(false, true)
	}
	low := s.Share()
	if low <= 0 || low > 0.5 {
		t.Errorf("the share in an endless overload is %.2f, want more than 0 and at most 0.5", low)
	}
	s.Ended(true, true)
	raised := s.Share()
	if raised <= low {
		t.Errorf("a query with enough parts does not raise the share of %.2f", low)
	}
	for range 6 {
		s.Ended(true, false)
	}
	if s.Share() != 1 {
		t.Errorf("after six queries without overload the share is %.2f, want 1", s.Share())
	}
}

// TestAdmit guards against a host that admits more or fewer queries than its share, and
// against a share reported by another host that never expires.
func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := shed.New(shed.Options{Compete: true})
	admit := func(now time.Time, hash uint64) bool {
		return s.Admit(now, shed.Demand{Route: "q", Cost: time.Millisecond, Remaining: time.Second, Content: hash, Hash: hash}).Admitted
	}
	if !admit(now, math.MaxUint64) || !admit(now, 0) {
		t.Error("a query is rejected with a share of 1")
	}
	s.SetPeerShare(now, 0.5)
	if admit(now, math.MaxUint64/4*3) || !admit(now, math.MaxUint64/4) {
		t.Error("with a reported share of 0.5, want the lower half of the hashes admitted")
	}
	s.SetPeerShare(now, 0)
	if !admit(now, math.MaxUint64/10) {
		t.Error("no query is admitted with a reported share of 0")
	}
	if !admit(now.Add(time.Minute), math.MaxUint64) {
		t.Error("a share that was reported a minute ago is still used")
	}
}

// TestRetryAfter guards against rejected callers that all retry at the same time, or too late
// to be served before their deadline.
func TestRetryAfter(t *testing.T) {
	const remaining, target = 600 * time.Millisecond, 100 * time.Millisecond
	now := time.Unix(1000, 0)
	s := shed.New(shed.Options{Compete: true})
	s.SetPeerShare(now, 0.3)
	times := make(map[time.Duration]int)
	for i := range 100 {
		hash := uint64(math.MaxUint64) - uint64(i)*1e12
		d := s.Admit(now, shed.Demand{Route: "q", Cost: time.Millisecond, Target: target, Remaining: remaining, Content: hash, Hash: hash})
		if d.Admitted || d.RetryAfter <= 0 || d.RetryAfter > remaining/3 || d.RetryAfter+target > remaining {
			t.Fatalf("query %d: admitted %v, retry after %v of %v", i, d.Admitted, d.RetryAfter, remaining)
		}
		times[d.RetryAfter.Truncate(10*time.Millisecond)]++
	}
	for at, n := range times {
		if n > 25 {
			t.Errorf("%d of 100 callers return within 10 ms from %v on", n, at)
		}
	}
	queue := s.Admit(now, shed.Demand{Route: "new", Cost: time.Millisecond, Target: target, Remaining: remaining, Queue: 120 * time.Millisecond, Hash: math.MaxUint64})
	if queue.Admitted || queue.RetryAfter < 120*time.Millisecond || queue.RetryAfter > remaining/3 {
		t.Errorf("with calls that wait for 120 ms: admitted %v, retry after %v", queue.Admitted, queue.RetryAfter)
	}
	d := s.Admit(now, shed.Demand{Route: "q", Cost: time.Millisecond, Target: remaining, Remaining: remaining, Hash: math.MaxUint64})
	if d.Admitted || d.RetryAfter != 0 {
		t.Errorf("a caller that can no longer be served before its deadline: admitted %v, retry after %v", d.Admitted, d.RetryAfter)
	}
}

// TestCalm guards against rejections while no overload has been seen, whatever callers send and
// however often they repeat it.
func TestCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := shed.New(shed.Options{Compete: true})
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "queries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap_ms")) * time.Millisecond)
			d := s.Admit(now, shed.Demand{
				Route: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "route")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Cost: time.Duration(rapid.IntRange(0, 100).Draw(t, "cost_ms")) * time.Millisecond, Remaining: time.Second,
				Caller: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")), Content: uint64(rapid.IntRange(0, 3).Draw(t, "content")), Hash: math.MaxUint64,
			})
			if !d.Admitted {
				t.Fatalf("rejected with reason %s while no overload was seen", d.Reason)
			}
			if rapid.Bool().Draw(t, "ended") {
				s.Ended(rapid.Bool().Draw(t, "enough"), false)
			}
		}
	})
}
