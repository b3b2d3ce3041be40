package warm_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

const settled = 2 * time.Second // from the first known hosts or the end of a pause to the first quota

func hostIDs(n int) (ids []core.HostID) {
	for i := range n {
		ids = append(ids, core.HostID(fmt.Sprint("h-", i)))
	}
	return ids
}

// newLimiter returns a limiter of a host in dc whose known hosts have not changed for a while, and
// the time.
func newLimiter(self core.HostID, dc core.DataCentre, rate float64, m warm.Members) (*warm.Limiter, time.Time) {
	l := warm.New(self, dc)
	l.SetBounds(epoch, warm.Bounds{Overshoot: 1.5, Slack: 5})
	l.SetRates(epoch, map[core.ServiceName]float64{cold.Service: rate})
	return l, run(l, epoch, settled+2*warm.Window, m)
}

// run calls the limiter every 100 ms for a time and returns the time after it.
func run(l *warm.Limiter, now time.Time, d time.Duration, m warm.Members) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(tick) {
		l.SetMembers(now, m)
	}
	return now
}

// send sends as many requests as the limiter allows and returns their number.
func send(l *warm.Limiter, now time.Time) (n int) {
	for ; n < 1000 && l.Allow(now, cold.ID); n++ {
		l.Sent(now, cold.ID)
	}
	return n
}

// TestQuotas guards against quotas of all hosts that add up to more than the planned number, or to
// so little that cold replicas get no requests.
func TestQuotas(t *testing.T) {
	for _, c := range []struct {
		name               string
		rate               float64
		dataCentres, perDC int
		divided            bool
		planned, atLeast   int
	}{
		{"one host", 20, 1, 1, false, 17, 17},
		{"three hosts", 20, 3, 1, false, 17, 17},
		{"as many as requests", 20, 1, 17, false, 17, 17},
		{"one more than requests", 20, 1, 18, false, 17, 17},
		{"a rest", 20, 1, 9, false, 17, 17},
		{"81 hosts", 20, 3, 27, false, 17, 17},
		{"81 hosts, higher rate", 40, 3, 27, false, 32, 32},
		{"300 hosts", 30, 3, 100, false, 25, 25},
		{"81 hosts, owners", 20, 3, 27, true, 17, 15},
		{"300 hosts, owners", 40, 3, 100, true, 32, 28},
		{"rate below the number of data centres", 2, 3, 27, false, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum := 0
			for dc := range c.dataCentres {
				ids := hostIDs(c.perDC)
				for i, id := range ids {
					m := warm.Members{Known: true, Local: ids, DataCentres: c.dataCentres}
					if c.divided {
						m.Owned = map[core.ServiceName]bool{cold.Service: i == c.perDC/2}
					}
					l, now := newLimiter(id, core.DataCentre(fmt.Sprint("dc-", dc)), c.rate, m)
					l.MarkCold(now, cold, time.Minute, true)
					if n := send(l, now); n != l.Quota(now, cold.ID) {
						t.Errorf("sent %d, want the quota %d", n, l.Quota(now, cold.ID))
					}
					sum += l.Quota(now, cold.ID)
				}
			}
			if sum > c.planned || sum < c.atLeast {
				t.Errorf("the quotas add up to %d, want %d to %d", sum, c.atLeast, c.planned)
			}
		})
	}
}

// TestNoLimit guards against a limit where the routing document or the settings state none.
func TestNoLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds warm.Bounds
		rate   float64
	}{
		{"no rate", warm.Bounds{Overshoot: 1.5, Slack: 5}, 0},
		{"no bounds", warm.Bounds{}, 20},
	} {
		l := warm.New("h-0", "dc-0")
		l.SetBounds(epoch, c.bounds)
		l.SetRates(epoch, map[core.ServiceName]float64{cold.Service: c.rate})
		l.MarkCold(epoch, cold, time.Minute, true)
		if n := send(l, epoch); n != 1000 || l.Withheld() != 0 || l.Cold(epoch, cold.ID) {
			t.Errorf("%s: %d requests were allowed, want all", c.name, n)
		}
	}
}

// TestQuotaRules guards against quotas that count before the requests of other hosts, or of this
// host in an earlier state, have left the second of the bound. Each case tells when a host that is
// alone in its data centre, with a quota of 17, may send after something happened.
func TestQuotaRules(t *testing.T) {
	alone := warm.Members{Known: true, Local: hostIDs(1), DataCentres: 1}
	two := warm.Members{Known: true, Local: hostIDs(2), DataCentres: 1}
	notOwner, isOwner := alone, alone
	notOwner.Owned = map[core.ServiceName]bool{cold.Service: false}
	isOwner.Owned = map[core.ServiceName]bool{cold.Service: true}
	for _, c := range []struct {
		name    string
		before  warm.Members
		prepare func(l *warm.Limiter, now time.Time) time.Time
		after   warm.Members
		wait    time.Duration // until the whole quota is allowed
		early   int           // requests that are allowed before
		quota   int
	}{
		{
			name: "nothing happened", before: alone, after: alone, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time { l.MarkCold(now, cold, time.Minute, true); return now },
		},
		{
			name: "it was in use when it became cold", before: alone, after: alone, wait: warm.Window, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time { l.MarkCold(now, cold, time.Minute, false); return now },
		},
		{
			name: "the hosts become known", before: warm.Members{Local: hostIDs(1), DataCentres: 1}, after: alone,
			wait: settled + warm.Window, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time { l.MarkCold(now, cold, time.Minute, true); return now },
		},
		{
			name: "the other host was lost, and is remembered", before: two, after: alone, quota: 8,
			prepare: func(l *warm.Limiter, now time.Time) time.Time { l.MarkCold(now, cold, time.Minute, true); return now },
		},
		{
			name: "it becomes the owner", before: notOwner, after: isOwner, wait: warm.Window, early: 2, quota: 15,
			prepare: func(l *warm.Limiter, now time.Time) time.Time { l.MarkCold(now, cold, time.Minute, true); return now },
		},
		{
			name: "it becomes the owner before it reads the entry", before: notOwner, after: isOwner, wait: warm.Window, quota: 15,
			prepare: func(l *warm.Limiter, now time.Time) time.Time {
				l.SetMembers(now, isOwner)
				l.MarkCold(now, cold, time.Minute, true)
				return now
			},
		},
		{
			name: "a short pause after requests", before: alone, after: alone, wait: warm.Window, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time {
				l.MarkCold(now, cold, time.Minute, true)
				send(l, now)
				return now.Add(900 * time.Millisecond)
			},
		},
		{
			name: "a clock reading from before the pause", before: alone, after: alone, wait: warm.Window, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time {
				l.MarkCold(now, cold, time.Minute, true)
				woken := now.Add(900 * time.Millisecond)
				l.SetMembers(woken, alone)
				send(l, now) // read before, sent after the pause
				return woken
			},
		},
		{
			name: "a pause in which the hosts may have changed", before: alone, after: alone, wait: settled + warm.Window, quota: 17,
			prepare: func(l *warm.Limiter, now time.Time) time.Time {
				l.MarkCold(now, cold, time.Minute, true)
				return now.Add(5 * time.Second)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, start := newLimiter("h-0", "dc-0", 20, c.before)
			start = c.prepare(l, start)
			early := 0
			for now := start; now.Before(start.Add(c.wait - step)); now = now.Add(step) {
				l.SetMembers(now, c.after)
				early += send(l, now)
			}
			now := start.Add(c.wait)
			l.SetMembers(now, c.after)
			if n, q := send(l, now), l.Quota(now, cold.ID); early != c.early || n != c.quota || q != c.quota {
				t.Errorf("%d requests were allowed before and %d of a quota of %d after %v, want %d and %d of %d",
					early, n, q, c.wait, c.early, c.quota, c.quota)
			}
		})
	}
}

// TestRamp guards against a step from few requests to all at the end of a warm-up: in each half
// second, the hosts together may send at most about twice as many as in the one before.
func TestRamp(t *testing.T) {
	ids := hostIDs(27)
	var all []*warm.Limiter
	var now time.Time
	m := warm.Members{Known: true, Local: ids, DataCentres: 1}
	for _, id := range ids {
		l, at := newLimiter(id, "dc-0", 20, m)
		l.MarkCold(at, cold, time.Second, true)
		all, now = append(all, l), at
	}
	end := now.Add(time.Second)
	const half = 500 * time.Millisecond
	counts := make([]int, 10)
	for ; now.Before(end.Add(3 * time.Second)); now = now.Add(step) {
		for _, l := range all {
			l.SetMembers(now, m)
			counts[now.Sub(end.Add(-time.Second))/half] += send(l, now)
		}
	}
	t.Log("requests per half second:", counts)
	for i := 3; i < 8; i++ {
		// Twice the quota of the last window, of which up to all may be sent in one half second.
		if limit := 17 << i; counts[i] > limit {
			t.Errorf("%d requests in half second %d, want at most %d", counts[i], i, limit)
		}
		if counts[i] <= counts[1] {
			t.Errorf("%d requests in half second %d, no more than during the warm-up", counts[i], i)
		}
	}
	if q := all[0].Quota(end.Add(3*time.Second), cold.ID); q != math.MaxInt {
		t.Errorf("the quota is %d after the ramp, want no limit", q)
	}
}

// TestTurns guards against a wait for a turn that does not come, and against turns that are missed.
func TestTurns(t *testing.T) {
	m := warm.Members{Known: true, Local: hostIDs(6), DataCentres: 1}
	l, now := newLimiter("h-0", "dc-0", 20, m) // its quota is 2
	l.MarkCold(now, cold, time.Minute, true)
	check := func(now time.Time, want ...time.Duration) {
		t.Helper()
		turns := l.Turns(now, cold.ID)
		if len(turns) != len(want) {
			t.Fatalf("%d turns, want %d", len(turns), len(want))
		}
		for i, at := range turns {
			if at.Sub(now) != want[i] {
				t.Errorf("turn %d comes after %v, want %v", i, at.Sub(now), want[i])
			}
		}
	}
	check(now, 0, 0)
	l.Sent(now, cold.ID)
	check(now, 0, warm.Window)
	second := now.Add(tick)
	l.SetMembers(second, m)
	l.Sent(second, cold.ID)
	check(second, warm.Window-tick, warm.Window)
	if l.Allow(now.Add(tick), cold.ID) {
		t.Error("a request was allowed before its turn")
	}
	now = run(l, second, warm.Window-tick, m)
	if !l.Allow(now, cold.ID) {
		t.Error("no request was allowed at its turn")
	}
	l.SetMembers(now, warm.Members{Local: hostIDs(6), DataCentres: 1})
	check(now)
}
