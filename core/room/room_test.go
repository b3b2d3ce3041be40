package room_test

import (
	"math"
	"testing"
	"time"

	"oriolebarrow/core/room"
)

// TestShare guards against a share that falls for failures which fewer queries would not
// lessen, that never rises again, or that lets nothing in.
func TestShare(t *testing.T) {
	r := room.New()
	for range 100 {
		r.Ended(false, false)
	}
	if r.Share() != 1 {
		t.Errorf("failures of another kind lower the share to %.2f", r.Share())
	}
	for range 100 {
		r.Ended(false, true)
	}
	low := r.Share()
	if low <= 0 || low > 0.5 {
		t.Errorf("the share of an endless overload is %.2f, want some and at most half", low)
	}
	r.Ended(true, true)
	climbed := r.Share()
	if climbed <= low {
		t.Errorf("a whole query does not raise the share of %.2f", low)
	}
	for range 6 {
		r.Ended(true, false)
	}
	if r.Share() != 1 {
		t.Errorf("six queries that met room leave the share at %.2f", r.Share())
	}
}

// TestAdmit guards against hosts that let in another part of the queries than their share,
// and against what another host told that holds for ever.
func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	r := room.New()
	if !r.Admit(now, math.MaxUint64) || !r.Admit(now, 0) {
		t.Error("a query is rejected although there is room for all")
	}
	r.Tell(now, 0.5)
	if r.Admit(now, math.MaxUint64/4*3) || !r.Admit(now, math.MaxUint64/4) {
		t.Error("half of the queries should be let in")
	}
	r.Tell(now, 0)
	if !r.Admit(now, math.MaxUint64/10) {
		t.Error("nothing is let in")
	}
	if !r.Admit(now.Add(time.Minute), math.MaxUint64) {
		t.Error("a share that was told a minute ago holds")
	}
}

// TestAfter guards against rejected callers who return all at once, or too late to be
// served in time.
func TestAfter(t *testing.T) {
	const left, target = 600 * time.Millisecond, 100 * time.Millisecond
	r := room.New()
	early, late := r.After(left, target, 0), r.After(left, target, math.MaxUint64)
	if early <= 0 || late <= early || late > left/3 || late+target > left {
		t.Errorf("callers return after %v to %v of %v", early, late, left)
	}
	if after := r.After(left, left, 1); after != 0 {
		t.Errorf("a caller who cannot be served in time any more returns after %v", after)
	}
}
