// Package verify compares the answers that callers got with the journal of what
// the backend servers ran.
//
// # Usage
//
//	report := verify.Check(queries, orders, journal)
//	if !report.OK() { ... }
package verify

import (
	"encoding/json"
	"fmt"
	"time"

	"oriolebarrow/standin/server"
)

// Tolerance is the scheduling delay allowed past a deadline.
const Tolerance = 20 * time.Millisecond

// maxFaults bounds the faults that a report lists; all are counted.
const maxFaults = 20

// Query is one query as its caller saw it.
type Query struct {
	RequestID string
	Outcome   string // empty when the connection to the host was lost
	Snapshot  uint64
	Answered  int
	Total     int
	Missing   []int32
	Rows      []json.RawMessage
	Took      time.Duration
	Deadline  time.Duration
}

// Order is one token with every outcome that its caller saw, in order.
type Order struct {
	Token    string
	Outcomes []string
	Took     []time.Duration
	Deadline time.Duration
}

// Report is the result of a check.
type Report struct {
	Queries      int            `json:"queries"`
	QueryResults map[string]int `json:"query_outcomes"`
	Orders       int            `json:"orders"`
	OrderResults map[string]int `json:"order_outcomes"`
	Executions   int            `json:"executions"`
	ExtraLoad    float64        `json:"extra_load"` // read executions per shard answered
	// Mean coverage over the answers that name a total: as reported, and as
	// counted from correct rows that the journal confirms.
	ReportedCoverage float64  `json:"reported_coverage"`
	ActualCoverage   float64  `json:"actual_coverage"`
	Late             int      `json:"late"` // answers past deadline and tolerance
	FaultCount       int      `json:"faults"`
	Faults           []string `json:"fault_texts"`
}

// OK reports whether no rule was broken.
func (r *Report) OK() bool { return r.FaultCount == 0 }

func (r *Report) fail(format string, args ...any) {
	r.FaultCount++
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// LimitExtraLoad fails the report when more calls ran for each answered shard
// than 1 + extra.
func (r *Report) LimitExtraLoad(extra float64) {
	if r.ExtraLoad > 1+extra {
		r.fail("extra load: %.4f calls ran for each answered shard, want at most %.4f", r.ExtraLoad, 1+extra)
	}
}

// RequireJournal fails the report when the journal dropped entries, since a
// rule about runs can't be checked without them.
func (r *Report) RequireJournal(dropped int64) {
	if dropped > 0 {
		r.fail("journal: %d entries were dropped", dropped)
	}
}

type execution struct {
	request  string
	snapshot uint64
	shard    int32
}

// Check applies every rule.
func Check(queries []Query, orders []Order, journal []server.Entry) *Report {
	r := &Report{
		Queries: len(queries), Orders: len(orders), Executions: len(journal),
		QueryResults: make(map[string]int), OrderResults: make(map[string]int), Faults: []string{},
	}
	ran := make(map[execution]bool)
	reads := make(map[string]int)
	runs := make(map[string]int)
	total := 0
	for _, e := range journal {
		if e.Kind == "order" {
			runs[e.ID]++
			continue
		}
		total++
		reads[e.RequestID]++
		ran[execution{request: e.RequestID, snapshot: e.Snapshot, shard: e.Shard}] = true
	}
	answered, needed, actual := 0, 0, 0
	for _, q := range queries {
		actual += r.query(q, ran, reads)
		answered += q.Answered
		needed += q.Total
	}
	if needed > 0 {
		r.ReportedCoverage = float64(answered) / float64(needed)
		r.ActualCoverage = float64(actual) / float64(needed)
	}
	if answered > 0 {
		r.ExtraLoad = float64(total) / float64(answered)
	}
	for _, o := range orders {
		r.order(o, runs[o.Token])
	}
	return r
}

// query checks one answer and returns the shards that really count.
func (r *Report) query(q Query, ran map[execution]bool, reads map[string]int) int {
	if q.Outcome == "" {
		r.QueryResults["connection_lost"]++
		return 0
	}
	r.QueryResults[q.Outcome]++
	if q.Took > q.Deadline+Tolerance {
		r.Late++
		r.fail("query %s: answered after %s, deadline %s", q.RequestID, q.Took, q.Deadline)
	}
	if q.Outcome == "not_run" {
		if reads[q.RequestID] > 0 {
			r.fail("query %s: not_run, but %d calls ran", q.RequestID, reads[q.RequestID])
		}
		return 0
	}
	seen, actual := r.shards(q, ran)
	if len(seen) != q.Answered || q.Answered+len(q.Missing) != q.Total {
		r.fail("query %s: reports %d answered and %d missing of %d, has %d", q.RequestID, q.Answered, len(q.Missing), q.Total, len(seen))
	}
	for _, shard := range q.Missing {
		if seen[shard] {
			r.fail("query %s: shard %d is both missing and answered", q.RequestID, shard)
		}
	}
	if (q.Outcome == "complete") != (q.Answered == q.Total && q.Total > 0) {
		r.fail("query %s: outcome %s with %d of %d shards", q.RequestID, q.Outcome, q.Answered, q.Total)
	}
	return actual
}

// shards returns the shards that an answer holds, and how many of them ran.
func (r *Report) shards(q Query, ran map[execution]bool) (seen map[int32]bool, actual int) {
	seen = make(map[int32]bool)
	for _, raw := range q.Rows {
		shard, ok := r.rows(q, raw)
		if !ok {
			continue
		}
		if seen[shard] {
			r.fail("query %s: shard %d counts twice", q.RequestID, shard)
		}
		if !ran[execution{request: q.RequestID, snapshot: q.Snapshot, shard: shard}] {
			r.fail("query %s: shard %d is answered but never ran", q.RequestID, shard)
		} else if !seen[shard] {
			actual++
		}
		seen[shard] = true
	}
	return seen, actual
}

// rows checks the rows of one shard and returns the shard.
func (r *Report) rows(q Query, raw json.RawMessage) (int32, bool) {
	var rows []server.Row
	if err := json.Unmarshal(raw, &rows); err != nil || len(rows) == 0 {
		r.fail("query %s: unreadable rows", q.RequestID)
		return 0, false
	}
	want := server.Rows(q.Snapshot, rows[0].Shard)
	if len(rows) != len(want) {
		r.fail("query %s: shard %d has %d rows, want %d", q.RequestID, rows[0].Shard, len(rows), len(want))
		return rows[0].Shard, false
	}
	correct := true
	for i := range rows {
		if rows[i] != want[i] {
			r.fail("query %s: row %v, want %v", q.RequestID, rows[i], want[i])
			correct = false
		}
	}
	return rows[0].Shard, correct
}

func (r *Report) order(o Order, runs int) {
	if runs > 1 {
		r.fail("order %s: ran %d times", o.Token, runs)
	}
	for i, outcome := range o.Outcomes {
		if outcome == "" {
			r.OrderResults["connection_lost"]++
			continue
		}
		r.OrderResults[outcome]++
		if outcome == "not_run" && runs > 0 {
			r.fail("order %s: not_run, but it ran", o.Token)
		}
		if outcome == "complete" && runs != 1 {
			r.fail("order %s: complete, but it ran %d times", o.Token, runs)
		}
		if i < len(o.Took) && o.Took[i] > o.Deadline+Tolerance {
			r.fail("order %s: answered after %s, deadline %s", o.Token, o.Took[i], o.Deadline)
		}
	}
}
