package picker_test

import (
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

// TestPausesKeepCallsLocal guards against calls that go to another data centre for seconds
// after each short pause of the local replica. Every 4.5 s the replica pauses for 200 ms,
// which delays the calls that run then; all its other calls take the usual time.
func TestPausesKeepCallsLocal(t *testing.T) {
	const pauseEvery, pauseLength, gap = 4500 * time.Millisecond, 200 * time.Millisecond, 50 * time.Millisecond
	begin := time.Now()
	table := newTable(t, begin, 1)
	remote, calls := 0, 0
	for at := time.Duration(0); at < 45*time.Second; at += gap {
		now := begin.Add(at)
		r, _ := table.Pick(now, service(0), usualTime, nil)
		if !table.Start(now, r) {
			t.Fatalf("call at %v was not started", at)
		}
		took := usualTime
		if left := pauseLength - at%pauseEvery; left > 0 && r.Instance().ID == "0-home" {
			took += left
		}
		table.Ended(now.Add(took), r, picker.CallEnd{Took: took, Expected: usualTime})
		calls++
		if r.Instance().DataCentre != "home" {
			remote++
		}
	}
	if remote > calls/20 {
		t.Errorf("%d of %d calls went to another data centre, want at most a twentieth", remote, calls)
	}
}

// TestOnePauseManyCalls guards against several calls that one pause delays and that count as
// several signs of slowness, and against a slow replica whose overlapping calls are taken for
// such a pause.
func TestOnePauseManyCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls [][2]time.Duration // begin and end
		want  core.DataCentre    // where the next call goes
	}{
		{"one pause", [][2]time.Duration{{0, 190}, {40, 195}, {100, 200}, {150, 205}}, "home"},
		{"slow, one call after the other", [][2]time.Duration{{0, 190}, {200, 390}, {400, 590}}, "away"},
		{"slow, overlapping calls", [][2]time.Duration{{0, 190}, {100, 290}, {200, 390}, {300, 490}}, "away"},
		{"two pauses with usual calls between", [][2]time.Duration{{0, 190}, {200, 210}, {300, 490}, {500, 510}}, "home"},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			table := newTable(t, begin, 1)
			local, _ := table.Pick(begin, service(0), usualTime, nil)
			var last time.Time
			for _, call := range c.calls {
				last = begin.Add(call[1] * time.Millisecond)
				took := (call[1] - call[0]) * time.Millisecond
				table.Start(begin.Add(call[0]*time.Millisecond), local)
				table.Ended(last, local, picker.CallEnd{Took: took, Expected: usualTime})
			}
			if next, _ := table.Pick(last, service(0), usualTime, nil); next.Instance().DataCentre != c.want {
				t.Errorf("the next call goes to %s, want %s", next.Instance().DataCentre, c.want)
			}
		})
	}
}
