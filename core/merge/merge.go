// Package merge assembles the answer to one query from its shard results. Each shard
// counts once, only rows of the pinned snapshot count, and results are rejected after
// the merge is closed.
//
// # Usage
//
//	m := merge.New(pin)
//	m.Add(result)
//	answer := m.Close(0.95)
package merge

import (
	"slices"
	"sync"

	"oriolebarrow/core"
)

// Verdict says whether a shard result was counted, or why not.
type Verdict string

// Verdicts on a shard result.
const (
	Counted       Verdict = "counted"
	Duplicate     Verdict = "duplicate"      // the shard is answered already
	Late          Verdict = "late"           // the merge is closed
	WrongSnapshot Verdict = "wrong_snapshot" // not the pinned snapshot
	WrongShard    Verdict = "wrong_shard"    // the pinned snapshot has no such shard
	NoRows        Verdict = "no_rows"        // the result has no rows
)

// Merger collects the shard results of one query. It is safe for concurrent use. It
// acquires no other lock while it holds its own.
type Merger struct {
	mu       sync.Mutex
	pin      core.Pin
	rows     [][]byte      // by shard; nil while the shard is not answered
	reasons  []core.Reason // by shard: why it is missing, until it is answered
	answered int           // shards with rows
	closed   bool
}

// New returns a Merger without results for the pinned snapshot.
func New(pin core.Pin) *Merger {
	m := &Merger{
		pin:     pin,
		rows:    make([][]byte, pin.ShardCount()),
		reasons: make([]core.Reason, pin.ShardCount()),
	}
	for i := range m.reasons {
		m.reasons[i] = core.ReasonDeadline
		if pin.Group(core.ShardID(i)) == core.NoGroup {
			m.reasons[i] = core.ReasonNoReplica
		}
	}
	return m
}

// Add counts a shard result, or records why the shard is missing.
func (m *Merger) Add(r core.ShardResult) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.closed:
		return Late
	case r.Shard < 0 || int(r.Shard) >= len(m.rows):
		return WrongShard
	case m.rows[r.Shard] != nil:
		return Duplicate
	case r.Missing != "":
		m.reasons[r.Shard] = r.Missing
		return NoRows
	case r.Snapshot != m.pin.Snapshot():
		m.reasons[r.Shard] = core.ReasonWrongAnswer
		return WrongSnapshot
	case r.Rows == nil:
		m.reasons[r.Shard] = core.ReasonWrongAnswer
		return NoRows
	}
	m.rows[r.Shard] = r.Rows
	m.answered++
	return Counted
}

// Answered returns the number of shards answered so far.
func (m *Merger) Answered() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

// Close closes the merge and returns the answer. Later results get the verdict Late.
func (m *Merger) Close(minCoverage float64) core.Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	a := core.Answer{
		Outcome:  core.Complete,
		Snapshot: m.pin.Snapshot(),
		Answered: m.answered,
		Total:    len(m.rows),
	}
	for i, rows := range m.rows {
		if rows == nil {
			a.Missing = append(a.Missing, core.MissingShard{Shard: core.ShardID(i), Reason: m.reasons[i]})
		}
	}
	a.Rows = slices.DeleteFunc(slices.Clone(m.rows), func(r []byte) bool { return r == nil })
	if len(a.Missing) > 0 {
		a.Outcome = core.Partial
	}
	a.BelowMinimum = float64(a.Answered) < minCoverage*float64(a.Total)
	return a
}
