package picker

import (
	"maps"
	"slices"
	"time"

	"oriolebarrow/core"
)

// Copy returns a table in the same state that changes independently of t, so that decisions can be
// asked for without effect on later ones.
func (t *Table) Copy() *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := New(t.self, t.localDC)
	c.evacuated, c.hostLimits, c.warm = maps.Clone(t.evacuated), maps.Clone(t.hostLimits), t.warm.Copy()
	for s, replicas := range t.byService {
		for _, r := range replicas {
			copied := *r
			copied.calls = slices.Clone(r.calls)
			c.byID[r.initial.ID] = &copied
			c.byService[s] = append(c.byService[s], &copied)
		}
	}
	return c
}

// Candidates returns the replicas of a service for a call whose usual duration is expected:
// first those that Pick picks one after the other, then the others with the reason. It counts
// withheld requests like Pick, so it is meant for a copy.
func (t *Table) Candidates(now time.Time, s core.ServiceName, expected time.Duration) []core.Candidate {
	var picked []*Replica
	for r, _ := t.Pick(now, s, expected, nil); r != nil; r, _ = t.Pick(now, s, expected, picked) {
		picked = append(picked, r)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]core.Candidate, 0, len(t.byService[s]))
	for i, r := range picked {
		out = append(out, t.candidate(now, r, expected, i+1))
	}
	for _, r := range t.byService[s] {
		if !slices.Contains(picked, r) {
			out = append(out, t.candidate(now, r, expected, 0))
		}
	}
	return out
}

// candidate describes a replica. order is its place among those that Pick would pick, from 1,
// and 0 for the others.
func (t *Table) candidate(now time.Time, r *Replica, expected time.Duration, order int) core.Candidate {
	out := core.Candidate{
		ID: r.inst.ID, DataCentre: r.inst.DataCentre, Order: order, Running: r.running, Slots: r.inst.Slots,
		CostUS:   time.Duration(r.cost(now, expected, t.localDC)).Microseconds(),
		QueuedUS: time.Duration(r.queuedWork(now, float64(max(expected, minExpected)))).Microseconds(), Slowness: r.slowness, FailureShare: r.failureShare,
		Local: r.inst.DataCentre == t.localDC, InSubset: r.inSubset, Cold: now.Before(r.warmUntil), Evacuated: r.evacuated,
		CallAgeMS: now.Sub(r.updatedAt).Milliseconds(), LoadAgeMS: -1,
	}
	if !r.loadAt.IsZero() {
		out.LoadAgeMS, out.ReportedBusy = now.Sub(r.loadAt).Milliseconds(), r.load.Running+r.load.Waiting
	}
	if order == 0 {
		out.Reason = t.reason(now, r)
	}
	return out
}

// reason returns why Pick does not pick a replica.
func (t *Table) reason(now time.Time, r *Replica) string {
	switch {
	case r.evacuated:
		return "evacuated"
	case r.inst.Draining:
		return "draining"
	case r.leaving:
		return "leaving"
	case r.ejected && r.silentCalls >= ejectAfterSilent:
		return "ejected: calls without an answer"
	case r.ejected:
		return "ejected: another instance has its address"
	case now.Before(r.waitUntil):
		return "asked for no requests"
	case r.running >= t.maxCalls(r):
		return "no free slot"
	case t.warm.Limits(now, r.initial.ID):
		return "cold and at its limit"
	default:
		return "not usable"
	}
}
