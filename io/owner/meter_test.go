package owner_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// counts is a core.Meter.
type counts struct {
	mu  sync.Mutex
	all map[string]int64
}

func (c *counts) Count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[name] += n
}

func (c *counts) Observe(name string, _ int64) { c.Count(name, 1) }

// Guards against counts that drift from what was done, and slots or waiting
// tasks that are reported after the work has ended.
func TestMeter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTier(small())
		c := &counts{all: map[string]int64{}}
		f.owner.SetMeter(c)
		f.during(t, func() {
			if n := answered(f.read(t.Context(), 6, time.Second)); n != 6 {
				t.Fatalf("%d answered, want 6", n)
			}
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, name := range []string{"owner_calls_first", "owner_queue_wait_us", "owner_tasks_complete"} {
				if c.all[name] != 6 {
					t.Errorf("%s is %d, want 6", name, c.all[name])
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
