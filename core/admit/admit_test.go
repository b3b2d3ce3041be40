package admit_test

import (
	"fmt"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/admit"
)

var start = time.Unix(1_000_000, 0)

func caller(name core.CallerName, p core.CallerPolicy) core.Caller {
	return core.NewCaller(name, p)
}

func policy(priority int) core.CallerPolicy {
	return core.CallerPolicy{Rate: 1000, Burst: 1000, Concurrency: 1000, Priority: priority}
}

// TestFairShare guards against a caller that gets no request admitted while others use
// the whole capacity of the host.
func TestFairShare(t *testing.T) {
	for _, c := range []struct {
		name string
		opts admit.Options
		want bool
	}{
		{"with fair shares", admit.Options{Total: 100}, true},
		{"without fair shares", admit.Options{Total: 100, NoFairShare: true}, false},
	} {
		l := admit.NewWithOptions(c.opts)
		running := 0
		for range 300 {
			if _, refused := l.Admit(start, caller("storm", policy(9))); refused == nil {
				running++
			}
		}
		if running != 100 {
			t.Errorf("%s: %d requests of the first caller admitted, want the total of 100", c.name, running)
		}
		_, refused := l.Admit(start, caller("quiet", policy(0)))
		if admitted := refused == nil; admitted != c.want {
			t.Errorf("%s: quiet caller admitted: %v, want %v", c.name, admitted, c.want)
		}
	}
}

// TestPriority guards against requests of low priority that use the whole capacity and
// leave none for a high priority.
func TestPriority(t *testing.T) {
	l := admit.NewWithOptions(admit.Options{Total: 100, NoFairShare: true})
	counts := map[int]int{}
	for _, priority := range []int{0, 9} {
		for i := range 200 {
			name := core.CallerName(fmt.Sprint(priority, "-", i%50))
			if _, refused := l.Admit(start, caller(name, policy(priority))); refused == nil {
				counts[priority]++
			}
		}
	}
	if counts[0] != 64 || counts[9] != 36 {
		t.Errorf("want 64 of priority 0 and 36 of priority 9, got %v", counts)
	}
}

// TestRetryHints guards against rejected requests that all get the same retry hint.
func TestRetryHints(t *testing.T) {
	l := admit.New()
	c := caller("a", core.CallerPolicy{Rate: 10, Burst: 1, Concurrency: 100})
	l.Admit(start, c)
	for i := range 20 {
		_, refused := l.Admit(start, c)
		if refused == nil || refused.Reason != core.ReasonRate {
			t.Fatalf("want a rejection because of the rate, got %+v", refused)
		}
		if want := time.Duration(i+1) * 100 * time.Millisecond; refused.RetryAfter != want {
			t.Fatalf("rejection %d: want a retry hint of %s, got %s", i, want, refused.RetryAfter)
		}
	}
	if _, refused := l.Admit(start.Add(100*time.Millisecond), c); refused != nil {
		t.Errorf("a request at the time of its retry hint is rejected: %+v", refused)
	}
}

// TestOlderTime guards against tokens that are lost when a request with an earlier time
// arrives, and against a release that counts twice.
func TestOlderTime(t *testing.T) {
	l := admit.NewWithOptions(admit.Options{Total: 1})
	c := caller("a", core.CallerPolicy{Rate: 1, Burst: 2, Concurrency: 1})
	release, _ := l.Admit(start, c)
	release()
	release()
	if _, refused := l.Admit(start.Add(-time.Hour), c); refused != nil {
		t.Errorf("want the second token of the burst, got %+v", refused)
	}
	if _, refused := l.Admit(start, c); refused == nil {
		t.Error("two requests run with a concurrency of 1")
	}
}
