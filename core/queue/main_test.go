package queue_test

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/queue"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	meanTime   = 10 * time.Millisecond // mean service time of a call
	hedgeDelay = 40 * time.Millisecond
)

// start is the arbitrary time at which tests begin.
var start = time.Unix(1_000_000, 0)

// fakeBudget is a core.Budget with fixed times and a fixed number of hedges and
// retries.
type fakeBudget struct {
	hedges, retries int
	hasTimes        bool // otherwise Times returns zeros
}

func (b *fakeBudget) RecordCall()               {}
func (b *fakeBudget) TakeHedge() bool           { b.hedges--; return b.hedges >= 0 }
func (b *fakeBudget) TakeRetry() bool           { b.retries--; return b.retries >= 0 }
func (b *fakeBudget) Observe(time.Duration)     {}
func (b *fakeBudget) HedgeDelay() time.Duration { return hedgeDelay }
func (b *fakeBudget) Times() (time.Duration, time.Duration, time.Duration) {
	if !b.hasTimes {
		return 0, 0, 0
	}
	return meanTime, meanTime, meanTime / 10
}

// fakeHealth is a core.Health whose state the test sets.
type fakeHealth struct {
	slots    int
	draining map[int]bool
	missing  map[int]bool // replicas without the snapshot
}

func (h *fakeHealth) Slots(_ time.Time, r int) int {
	if h.draining[r] {
		return 0
	}
	return h.slots
}
func (h *fakeHealth) Trial(time.Time, int) bool                           { return false }
func (h *fakeHealth) Available(r int) bool                                { return !h.draining[r] }
func (h *fakeHealth) Holds(r int, _ core.SnapshotID, _ core.ShardID) bool { return !h.missing[r] }
func (h *fakeHealth) NextChange(time.Time) time.Time                      { return time.Time{} }
func (h *fakeHealth) Started(time.Time, int)                              {}
func (h *fakeHealth) Ended(_ time.Time, r int, e core.CallEnd) {
	if e.Reason == core.ReasonDraining {
		h.draining[r] = true
	}
}

func newFakeHealth(slots int) *fakeHealth {
	return &fakeHealth{slots: slots, draining: map[int]bool{}, missing: map[int]bool{}}
}

func options(replicas, slots int) queue.Options {
	return queue.Options{
		Replicas: replicas, Slots: slots, Length: 1000,
		Budget: &fakeBudget{hedges: 1000, retries: 1000}, Health: newFakeHealth(slots),
	}
}

// starts returns the actions that start a call.
func starts(actions []queue.Action) []queue.Action {
	var out []queue.Action
	for _, a := range actions {
		if a.Kind == queue.Start {
			out = append(out, a)
		}
	}
	return out
}
