package owner_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// meter is a core.Meter that sums the counts and the number of observations by
// name.
type meter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (m *meter) Count(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

func (m *meter) Observe(name string, _ int64) { m.Count(name, 1) }

// TestMeter guards against counts that differ from the calls made, and against
// slots or waiting tasks that are reported after the work has ended.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(smallLimits())
		m := &meter{counts: map[string]int64{}}
		f.owner.SetMeter(m)
		f.withPolling(t, func() {
			if n := countAnswered(f.read(t.Context(), 6, time.Second)); n != 6 {
				t.Fatalf("%d answered, want 6", n)
			}
			synctest.Wait()
			m.mu.Lock()
			defer m.mu.Unlock()
			for _, name := range []string{"owner_calls_first", "owner_queue_wait_us", "owner_tasks_complete"} {
				if m.counts[name] != 6 {
					t.Errorf("%s is %d, want 6", name, m.counts[name])
				}
			}
			if l := f.owner.Load(); l.Groups != 1 || l.Waiting != 0 || l.Running != 0 {
				t.Errorf("load %+v, want one idle group", l)
			}
			for _, r := range f.owner.ReplicaReports(time.Now()) {
				if r.State != "ready" || r.SlotsInUse != 0 || r.Service != service {
					t.Errorf("replica %+v, want ready and idle", r)
				}
			}
			if b := f.owner.BudgetReports(time.Now()); len(b) != 2 || b[0].Share != 0.05 || b[0].Used+b[1].Used != 0 {
				t.Errorf("budgets %+v, want two unused", b)
			}
		})
	})
}
