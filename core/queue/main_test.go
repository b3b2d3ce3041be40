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
	mean  = 10 * time.Millisecond
	delay = 40 * time.Millisecond
)

// start is an arbitrary time; the tests move on from it by argument.
var start = time.Unix(1_000_000, 0)

// purse is a budget with fixed times and counted tokens.
type purse struct {
	hedges, retries int
	learnt          bool
}

func (p *purse) Call()                     {}
func (p *purse) TakeHedge() bool           { p.hedges--; return p.hedges >= 0 }
func (p *purse) TakeRetry() bool           { p.retries--; return p.retries >= 0 }
func (p *purse) Observe(time.Duration)     {}
func (p *purse) HedgeDelay() time.Duration { return delay }
func (p *purse) Times() (time.Duration, time.Duration, time.Duration) {
	if !p.learnt {
		return 0, 0, 0
	}
	return mean, mean, mean / 10
}

// ward is a health whose state the test sets.
type ward struct {
	slots    int
	draining map[int]bool
	missing  map[int]bool // replicas without the snapshot
}

func (w *ward) Slots(_ time.Time, r int) int {
	if w.draining[r] {
		return 0
	}
	return w.slots
}
func (w *ward) Trial(time.Time, int) bool                           { return false }
func (w *ward) Available(r int) bool                                { return !w.draining[r] }
func (w *ward) Holds(r int, _ core.SnapshotID, _ core.ShardID) bool { return !w.missing[r] }
func (w *ward) NextChange(time.Time) time.Time                      { return time.Time{} }
func (w *ward) Started(time.Time, int)                              {}
func (w *ward) Ended(_ time.Time, r int, e core.CallEnd) {
	if e.Reason == core.ReasonDraining {
		w.draining[r] = true
	}
}

func newWard(slots int) *ward {
	return &ward{slots: slots, draining: map[int]bool{}, missing: map[int]bool{}}
}

func options(replicas, slots int) queue.Options {
	return queue.Options{
		Replicas: replicas, Slots: slots, Length: 1000,
		Budget: &purse{hedges: 1000, retries: 1000}, Health: newWard(slots),
	}
}

func starts(actions []queue.Action) []queue.Action {
	var out []queue.Action
	for _, a := range actions {
		if a.Kind == queue.Start {
			out = append(out, a)
		}
	}
	return out
}
