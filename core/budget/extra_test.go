package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolebarrow/core/budget"
)

// TestExtraCallsOfAllHosts guards against hedges and retries that worsen an
// overload. In any window, all hosts together may make extra calls up to the ratio
// times the requests plus the minimum; the requests are those of that window, of
// the one half a window earlier or of the one before, whichever has most.
func TestExtraCallsOfAllHosts(t *testing.T) { checkWindows(t, 5) }

// TestExtraCallsOfOneHost guards against the same with a single host.
func TestExtraCallsOfOneHost(t *testing.T) { checkWindows(t, 1) }

// checkWindows checks the extra calls of random schedules at up to maxHosts hosts.
func checkWindows(t *testing.T, maxHosts int) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := budget.ExtraLimits{
			Window:  window,
			Ratio:   rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Minimum: float64(rapid.IntRange(0, 60).Draw(t, "minimum")),
		}
		hosts := make([]*budget.Extra, rapid.IntRange(1, maxHosts).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = budget.NewExtra(limits, len(hosts))
		}
		start := time.Now()
		now := start
		var requests, extra []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap_ms")) * time.Millisecond)
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			for range rapid.IntRange(0, 15).Draw(t, "requests") {
				h.RecordRequests(now, "tickets", 1)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "wanted") {
				if h.Take(now, "tickets") {
					extra = append(extra, now)
				}
			}
		}
		for _, from := range extra {
			got := within(extra, from, window)
			most := max(within(requests, from, window), within(requests, from.Add(-window/2), window), within(requests, from.Add(-window), window))
			if allowed := limits.Ratio*float64(most) + limits.Minimum; float64(got) > allowed {
				t.Fatalf("%d extra calls in the window from %v, allowed %v", got, from.Sub(start), allowed)
			}
		}
	})
}

// TestRejectedQueriesCount guards against an overload in which the admitted queries get fewer
// extra calls than callers have paid for with all of their requests, and against more than
// that. Entry hosts reject queries and report them with their next admitted one to one of two
// owners; reports may be lost. Owners make the extra calls.
func TestRejectedQueriesCount(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := budget.ExtraLimits{
			Window:  window,
			Ratio:   rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Minimum: float64(rapid.IntRange(0, 60).Draw(t, "minimum")),
		}
		entries := make([]budget.Rejected, rapid.IntRange(1, 9).Draw(t, "entries"))
		owners := []*budget.Extra{budget.NewExtra(limits, 2), budget.NewExtra(limits, 2)}
		now := time.Now()
		var sent, extra []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 100, 300, 3000}).Draw(t, "gap_ms")) * time.Millisecond)
			entry := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			sent = append(sent, now)
			if rapid.IntRange(0, 9).Draw(t, "admitted") > 3 {
				entry.Add(now)
				continue
			}
			owner := owners[rapid.IntRange(0, 1).Draw(t, "owner")]
			queries := 1 + entry.Take(now)
			if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
				continue
			}
			owner.RecordRequests(now, "tickets", queries)
			for range rapid.IntRange(0, 20).Draw(t, "wanted") {
				if owner.Take(now, "tickets") {
					extra = append(extra, now)
				}
			}
		}
		for _, from := range extra {
			got := within(extra, from, window)
			most := max(within(sent, from, window), within(sent, from.Add(-window/2), window), within(sent, from.Add(-window), window))
			if allowed := limits.Ratio*float64(most) + limits.Minimum; float64(got) > allowed {
				t.Fatalf("%d extra calls in a window, allowed %v", got, allowed)
			}
		}
	})
}

// TestRejectedOnce guards against rejected queries that count twice, or long after callers
// have sent them.
func TestRejectedOnce(t *testing.T) {
	now := time.Now()
	var r budget.Rejected
	r.Add(now)
	r.Add(now.Add(200 * time.Millisecond))
	if n := r.Take(now.Add(300 * time.Millisecond)); n != 1 {
		t.Errorf("took %d, want only the recent query", n)
	}
	if n := r.Take(now.Add(300 * time.Millisecond)); n != 0 {
		t.Errorf("took %d of the same queries again", n)
	}
}

func within(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestExtraCallsAreUsable guards against a budget that rejects most of the allowed
// extra calls while every request asks for one.
func TestExtraCallsAreUsable(t *testing.T) {
	e := budget.NewExtra(budget.ExtraLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 54}, 7)
	now, got := time.Now(), 0
	for i := range 200 {
		now = now.Add(100 * time.Millisecond)
		e.RecordRequests(now, "tickets", 1)
		// No requests precede the first window, so less is allowed in it.
		if e.Take(now, "tickets") && i >= 100 {
			got++
		}
	}
	if allowed := 0.2*100 + 54.0/7; float64(got) < 0.75*allowed {
		t.Errorf("got %d extra calls, allowed %.1f", got, allowed)
	}
}

// TestChangedWindow guards against a change of the window that forgets the extra calls of the
// last window, or that disables the limit.
func TestChangedWindow(t *testing.T) {
	for _, window := range []time.Duration{2 * time.Second, 10 * time.Second, 40 * time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			limits := budget.ExtraLimits{Window: 10 * time.Second, Ratio: 0.2, Minimum: 60}
			e := budget.NewExtra(limits, 1)
			now := time.Now()
			take := func(d time.Duration) (n int) {
				for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
					if e.Take(now, "tickets") {
						n++
					}
				}
				return n
			}
			take(20 * time.Second)
			before := take(limits.Window)
			limits.Window = window
			e.SetLimits(now, limits)
			if n := take(100 * time.Millisecond); before+n > int(limits.Minimum) {
				t.Errorf("%d extra calls in the last window and %d right after the change, allowed %.0f", before, n, limits.Minimum)
			}
			take(window)
			if n := take(window); n > int(limits.Minimum) || n < int(limits.Minimum/2) {
				t.Errorf("%d extra calls in a window, allowed %.0f", n, limits.Minimum)
			}
		})
	}
}
