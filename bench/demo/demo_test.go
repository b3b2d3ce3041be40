package demo_test

import (
	"syscall"
	"testing"
	"time"

	"oriolebarrow/bench/demo"
)

func at(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }

// TestAnswersDuringPauseAreNotTimed guards against skipping the deadline check of a host
// that was not paused, and against counting the pause as part of a host's answer time. The
// pause is from second 10 to second 20.
func TestAnswersDuringPauseAreNotTimed(t *testing.T) {
	for name, test := range map[string]struct {
		host           string
		started, ended int
		timed          bool
	}{
		"before the pause":                {"b", 5, 9, true},
		"pause begins during the request": {"b", 9, 11, false},
		"during the pause":                {"b", 12, 13, false},
		"pause ends during the request":   {"b", 19, 22, false},
		"longer than the pause":           {"b", 9, 22, false},
		"after the pause":                 {"b", 21, 25, true},
		"another host during the pause":   {"a", 12, 15, true},
		"another host across the pause":   {"a", 5, 25, true},
	} {
		d := demo.NewDriver("b")
		d.HandleSignal(syscall.SIGUSR1, at(10))
		d.HandleSignal(syscall.SIGUSR2, at(20))
		want, untimed := time.Duration(test.ended-test.started)*time.Second, int64(0)
		if !test.timed {
			want, untimed = 0, 1
		}
		if got, count := d.Elapsed(test.host, at(test.started), at(test.ended)); got != want || count != untimed {
			t.Errorf("%s: took %v and %d not timed, want %v and %d", name, got, count, want, untimed)
		}
	}
}

// TestGracefulStopCheck guards against failed requests that the check of the graceful stop
// misses, and against counting requests that another disturbance may have affected.
func TestGracefulStopCheck(t *testing.T) {
	for name, test := range map[string]struct {
		started, ended  int
		lost            bool
		outcome, reason string
		sent, failed    int
	}{
		"complete":             {11, 12, false, "complete", "", 1, 0},
		"partial":              {11, 12, false, "partial", "", 1, 0},
		"connection lost":      {11, 12, true, "", "", 1, 1},
		"unknown":              {11, 12, false, "unknown", "unclear", 1, 1},
		"not ready":            {11, 12, false, "not_run", "not_ready", 1, 1},
		"refused by admission": {11, 12, false, "not_run", "rate", 1, 0},
		"began earlier":        {9, 12, true, "", "", 0, 0},
		"ended later":          {11, 21, true, "", "", 0, 0},
	} {
		d := demo.NewDriver("")
		d.HandleSignal(syscall.SIGHUP, at(10))
		d.HandleSignal(syscall.SIGHUP, at(20))
		sent, failed, ok := d.Check(at(test.started), at(test.ended), test.lost, test.outcome, test.reason)
		if sent != test.sent || failed != test.failed {
			t.Errorf("%s: %d sent, %d failed, want %d and %d", name, sent, failed, test.sent, test.failed)
		}
		if want := test.sent > 0 && test.failed == 0; ok != want {
			t.Errorf("%s: ok %v, want %v", name, ok, want)
		}
	}
}

// TestBalancerDropsHostAfterLag guards against requests to a host that has not been ready
// for longer than the lag.
func TestBalancerDropsHostAfterLag(t *testing.T) {
	b := demo.NewBalancer("a", "b")
	b.MarkReady(0, at(10))
	b.MarkReady(1, at(10))
	if first, second := b.Pick(at(10).Add(demo.BalanceLag)), b.Pick(at(10).Add(demo.BalanceLag)); first == second {
		t.Errorf("both requests went to %s within the lag", first)
	}
	b.MarkReady(0, at(12))
	for range 4 {
		if got := b.Pick(at(12)); got != "a" {
			t.Errorf("picked %s, want only the ready host", got)
		}
	}
}
