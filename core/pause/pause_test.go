package pause_test

import (
	"testing"
	"time"
	"unsafe"

	"oriolebarrow/core/pause"
)

// TestDetector guards against a missed suspension, which only the wall clock shows, and a
// missed stop while the wall clock is set back, which only the monotonic clock shows. It
// also guards against a gap that is reported twice, or when the wall clock is set back.
func TestDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	read := func(wall, mono time.Duration) pause.Reading {
		return pause.Reading{Wall: start.Add(wall), Monotonic: mono}
	}
	for name, test := range map[string]struct {
		readings []pause.Reading
		want     time.Duration // result for the last reading
	}{
		"first":                {[]pause.Reading{read(time.Hour, time.Hour)}, 0},
		"steady":               {[]pause.Reading{read(0, 0), read(time.Second, time.Second)}, 0},
		"stopped":              {[]pause.Reading{read(0, 0), read(3*time.Second, 3*time.Second)}, 3 * time.Second},
		"suspended":            {[]pause.Reading{read(0, 0), read(time.Minute, time.Millisecond)}, time.Minute},
		"wall set back":        {[]pause.Reading{read(0, 0), read(-time.Hour, 100*time.Millisecond)}, 0},
		"stopped, set back":    {[]pause.Reading{read(0, 0), read(-time.Hour, 2*time.Second)}, 2 * time.Second},
		"reported once":        {[]pause.Reading{read(0, 0), read(time.Minute, 0), read(time.Minute, 0)}, 0},
		"crossing readings":    {[]pause.Reading{read(0, 0), read(time.Second, time.Second), read(0, 0), read(1500*time.Millisecond, 1500*time.Millisecond)}, 0},
		"just above the limit": {[]pause.Reading{read(0, 0), read(0, time.Second+1)}, time.Second + 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := pause.New(pause.DefaultLimit)
			var got time.Duration
			for _, r := range test.readings {
				got = d.Observe(r)
			}
			if got != test.want {
				t.Errorf("gap %v, want %v", got, test.want)
			}
		})
	}
}

// TestDeadlinePassesByEitherClock guards against a remaining time that relies on one clock:
// the monotonic clock stops during a suspension, and the wall clock may be set back.
func TestDeadlinePassesByEitherClock(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		wall, mono, want time.Duration
	}{
		"both clocks run": {time.Second, time.Second, 2 * time.Second},
		"suspended":       {time.Hour, 0, 3*time.Second - time.Hour},
		"wall set back":   {-time.Hour, time.Second, 2 * time.Second},
	} {
		now := start.Add(test.wall)
		// The time package can't construct a reading whose clocks differ.
		(*struct {
			wall uint64
			ext  int64 // the monotonic reading
		})(unsafe.Pointer(&now)).ext += int64(test.mono - test.wall)
		if got := pause.Remaining(now, start.Add(3*time.Second)); got != test.want {
			t.Errorf("%s: %v remaining, want %v", name, got, test.want)
		}
	}
}
