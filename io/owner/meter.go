package owner

import (
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/queue"
)

// SetMeter sets the meter for the owner's metrics. It must be called before the
// first request.
func (o *Owner) SetMeter(m core.Meter) { o.meter = core.MeterOr(m) }

// meteredBudget counts the hedges and retries that a service's budget grants and
// denies.
type meteredBudget struct {
	*budget.Budget
	hedges, retries usage
}

// usage counts the granted and denied requests for one kind of extra call.
type usage struct{ granted, denied atomic.Uint64 }

func (u *usage) count(ok bool) bool {
	if ok {
		u.granted.Add(1)
	} else {
		u.denied.Add(1)
	}
	return ok
}

// TakeHedge implements core.Budget.
func (b *meteredBudget) TakeHedge() bool { return b.hedges.count(b.Budget.TakeHedge()) }

// TakeRetry implements core.Budget.
func (b *meteredBudget) TakeRetry() bool { return b.retries.count(b.Budget.TakeRetry()) }

// countAction reports an action to the meter before it is carried out. The
// caller holds group.mu.
func (g *group) countAction(now time.Time, a queue.Action) {
	m := g.owner.meter
	j := g.jobs[a.Task]
	switch a.Kind {
	case queue.Start:
		m.Count("owner_calls_"+string(a.Cause), 1)
		if a.Cause == queue.First {
			m.Observe("owner_queue_wait_us", now.Sub(j.queuedAt).Microseconds())
		}
		if a.Cause == queue.Hedge {
			j.hedge = a.Attempt
		}
	case queue.Finish:
		m.Count("owner_tasks_complete", 1)
		if j.hedge == 0 {
			return
		}
		if j.hedge == a.Attempt {
			m.Count("owner_hedges_won", 1)
		} else {
			m.Count("owner_hedges_lost", 1)
		}
	case queue.Fail:
		if a.NotRun {
			m.Count("owner_tasks_refused_"+string(a.Reason), 1)
		} else {
			m.Count("owner_tasks_failed_"+string(a.Reason), 1)
		}
	case queue.Cancel:
		m.Count("owner_cancels_"+string(a.Cause), 1)
	}
}

// countStateChanges reports to the meter which replicas changed their health
// state since its last run. The caller holds group.mu.
func (g *group) countStateChanges() {
	for i, old := range g.states {
		state := g.health.State(i)
		if state != old {
			g.states[i] = state
			g.owner.meter.Count("owner_replicas_became_"+string(state), 1)
		}
	}
}

func readyStates(n int) []eject.State {
	out := make([]eject.State, n)
	for i := range out {
		out[i] = eject.Ready
	}
	return out
}

// Load is the amount of work in the replica groups of a host.
type Load struct {
	Groups  int // groups in use
	Waiting int // queued tasks that have not had an attempt
	Running int // slots in use
}

// Load returns the current load.
func (o *Owner) Load() Load {
	groups := o.currentGroups()
	l := Load{Groups: len(groups)}
	for _, g := range groups {
		g.mu.Lock()
		l.Waiting += g.sched.Waiting()
		for i := range g.replicas {
			l.Running += g.sched.InUse(i)
		}
		g.mu.Unlock()
	}
	return l
}

var (
	_ core.ReplicaSource = (*Owner)(nil)
	_ core.BudgetSource  = (*Owner)(nil)
)

// ReplicaReports returns the slots and health of the replicas of all groups in
// use on this host.
func (o *Owner) ReplicaReports(now time.Time) []core.ReplicaReport {
	var out []core.ReplicaReport
	for _, g := range o.currentGroups() {
		out = append(out, g.reports(now)...)
	}
	return out
}

func (g *group) reports(now time.Time) []core.ReplicaReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]core.ReplicaReport, 0, len(g.replicas))
	for i, r := range g.replicas {
		out = append(out, core.ReplicaReport{
			Service: g.service.Name(), Group: g.id, Address: r.Address(), DataCentre: r.DataCentre(),
			SlotsInUse: g.sched.InUse(i), Slots: g.health.Slots(now, i),
			State: string(g.health.State(i)), Reason: g.health.Reason(now, i),
		})
	}
	return out
}

// BudgetReports returns the hedge and retry budgets of each service that this
// host has used since its start.
func (o *Owner) BudgetReports(time.Time) []core.BudgetReport {
	o.mu.Lock()
	budgets := make(map[core.ServiceName]*meteredBudget, len(o.budgets))
	for name, b := range o.budgets {
		budgets[name] = b
	}
	o.mu.Unlock()
	var out []core.BudgetReport
	for name, b := range budgets {
		r := b.Report()
		out = append(out,
			core.BudgetReport{
				Service: name, Kind: "hedge", Share: r.HedgeShare, Available: r.Hedges,
				Used: b.hedges.granted.Load(), Denied: b.hedges.denied.Load(), Delay: b.HedgeDelay(),
			},
			core.BudgetReport{
				Service: name, Kind: "retry", Share: r.RetryShare, Available: r.Retries,
				Used: b.retries.granted.Load(), Denied: b.retries.denied.Load(),
			})
	}
	return out
}
