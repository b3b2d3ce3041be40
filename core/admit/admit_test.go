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

// TestStorm guards against callers without any room while others fill the host.
func TestStorm(t *testing.T) {
	for _, c := range []struct {
		name string
		opts admit.Options
		want bool
	}{
		{"fair shares", admit.Options{Total: 100}, true},
		{"without", admit.Options{Total: 100, NoFair: true}, false},
	} {
		g := admit.NewGate(c.opts)
		running := 0
		for range 300 {
			if _, refused := g.Admit(start, caller("storm", policy(9))); refused == nil {
				running++
			}
		}
		if running != 100 {
			t.Errorf("%s: the storm got %d requests, want the total of 100", c.name, running)
		}
		_, refused := g.Admit(start, caller("quiet", policy(0)))
		if admitted := refused == nil; admitted != c.want {
			t.Errorf("%s: quiet caller admitted: %v, want %v", c.name, admitted, c.want)
		}
	}
}

// TestPriority guards against low priorities that fill the host for high ones.
func TestPriority(t *testing.T) {
	g := admit.NewGate(admit.Options{Total: 100, NoFair: true})
	counts := map[int]int{}
	for _, priority := range []int{0, 9} {
		for i := range 200 {
			name := core.CallerName(fmt.Sprint(priority, "-", i%50))
			if _, refused := g.Admit(start, caller(name, policy(priority))); refused == nil {
				counts[priority]++
			}
		}
	}
	if counts[0] != 64 || counts[9] != 36 {
		t.Errorf("want 64 of priority 0 and 36 of priority 9, got %v", counts)
	}
}

// TestHints guards against a storm that is told to come back all at once.
func TestHints(t *testing.T) {
	g := admit.New()
	c := caller("a", core.CallerPolicy{Rate: 10, Burst: 1, Concurrency: 100})
	g.Admit(start, c)
	for i := range 20 {
		_, refused := g.Admit(start, c)
		if refused == nil || refused.Reason != core.ReasonRate {
			t.Fatalf("want a refusal for rate, got %+v", refused)
		}
		if want := time.Duration(i+1) * 100 * time.Millisecond; refused.RetryAfter != want {
			t.Fatalf("refusal %d: want a hint of %s, got %s", i, want, refused.RetryAfter)
		}
	}
	if _, refused := g.Admit(start.Add(100*time.Millisecond), c); refused != nil {
		t.Errorf("a request at its hint is refused: %+v", refused)
	}
}

// TestOlderTime guards against tokens that get lost when a request with an
// older time arrives, and against a release that counts twice.
func TestOlderTime(t *testing.T) {
	g := admit.NewGate(admit.Options{Total: 1})
	c := caller("a", core.CallerPolicy{Rate: 1, Burst: 2, Concurrency: 1})
	release, _ := g.Admit(start, c)
	release()
	release()
	if _, refused := g.Admit(start.Add(-time.Hour), c); refused != nil {
		t.Errorf("want the second token of the burst, got %+v", refused)
	}
	if _, refused := g.Admit(start, c); refused == nil {
		t.Error("two requests run with a concurrency of 1")
	}
}
