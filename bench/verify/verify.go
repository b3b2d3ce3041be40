// Package verify compares the answers that callers got with the journal of the calls that
// backend servers executed.
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

// Tolerance is how much later than its deadline an answer may arrive, because of scheduling
// delays.
const Tolerance = 20 * time.Millisecond

// maxListed limits the violations that a report lists; it counts all of them.
const maxListed = 20

// Query is one query and the answer that its caller got.
type Query struct {
	RequestID string
	Outcome   string // empty when the connection to the host was lost
	Snapshot  uint64
	Answered  int
	Total     int
	Missing   []int32
	Rows      []json.RawMessage
	Elapsed   time.Duration // 0 if the duration is not to be checked
	Deadline  time.Duration
}

// Order is one order, identified by its token, with the outcome of each attempt in order.
type Order struct {
	Token    string
	Outcomes []string        // an outcome is empty if the connection to the host was lost
	Elapsed  []time.Duration // of each attempt
	Deadline time.Duration
}

// Report is the result of a check.
type Report struct {
	Queries      int            `json:"queries"`
	QueryResults map[string]int `json:"query_outcomes"`
	Orders       int            `json:"orders"`
	OrderResults map[string]int `json:"order_outcomes"`
	Executions   int            `json:"executions"`
	ExtraLoad    float64        `json:"extra_load"` // executed read calls per answered shard
	// ReportedCoverage and ActualCoverage are the share of answered shards over all answers
	// that report a total. ReportedCoverage uses the counts of the answers; ActualCoverage
	// counts the shards with correct rows whose execution is in the journal.
	ReportedCoverage float64  `json:"reported_coverage"`
	ActualCoverage   float64  `json:"actual_coverage"`
	Late             int      `json:"late"` // queries answered later than their deadline plus Tolerance
	ViolationCount   int      `json:"faults"`
	Violations       []string `json:"fault_texts"`
}

// OK reports whether the check found no violation of a rule.
func (r *Report) OK() bool { return r.ViolationCount == 0 }

func (r *Report) fail(format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < maxListed {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// LimitExtraLoad adds a violation if more than 1 + extra calls were executed for each
// answered shard.
func (r *Report) LimitExtraLoad(extra float64) {
	if r.ExtraLoad > 1+extra {
		r.fail("extra load: %.4f calls ran for each answered shard, want at most %.4f", r.ExtraLoad, 1+extra)
	}
}

// RequireJournal adds a violation if the journal dropped entries, since rules about
// executions can't be checked without them.
func (r *Report) RequireJournal(dropped int64) {
	if dropped > 0 {
		r.fail("journal: %d entries were dropped", dropped)
	}
}

// execution identifies the execution of a request on one shard of a snapshot.
type execution struct {
	request  string
	snapshot uint64
	shard    int32
}

// Check checks queries and orders against every rule and returns a report.
func Check(queries []Query, orders []Order, journal []server.Execution) *Report {
	r := &Report{
		Queries: len(queries), Orders: len(orders), Executions: len(journal),
		QueryResults: make(map[string]int), OrderResults: make(map[string]int), Violations: []string{},
	}
	executed := make(map[execution]bool)
	readCalls := make(map[string]int)
	orderRuns := make(map[string]int)
	reads := 0
	for _, e := range journal {
		if e.Kind == "order" {
			orderRuns[e.ID]++
			continue
		}
		reads++
		readCalls[e.RequestID]++
		executed[execution{request: e.RequestID, snapshot: e.Snapshot, shard: e.Shard}] = true
	}
	answered, shards, actual := 0, 0, 0
	for _, q := range queries {
		actual += r.checkQuery(q, executed, readCalls)
		answered += q.Answered
		shards += q.Total
	}
	if shards > 0 {
		r.ReportedCoverage = float64(answered) / float64(shards)
		r.ActualCoverage = float64(actual) / float64(shards)
	}
	if answered > 0 {
		r.ExtraLoad = float64(reads) / float64(answered)
	}
	for _, o := range orders {
		r.checkOrder(o, orderRuns[o.Token])
	}
	return r
}

// checkQuery checks one query and returns the number of shards for which it got correct rows of
// an execution in the journal.
func (r *Report) checkQuery(q Query, executed map[execution]bool, readCalls map[string]int) int {
	if q.Outcome == "" {
		r.QueryResults["connection_lost"]++
		return 0
	}
	r.QueryResults[q.Outcome]++
	if q.Elapsed > q.Deadline+Tolerance {
		r.Late++
		r.fail("query %s: answered after %s, deadline %s", q.RequestID, q.Elapsed, q.Deadline)
	}
	if q.Outcome == "not_run" {
		if readCalls[q.RequestID] > 0 {
			r.fail("query %s: not_run, but %d calls ran", q.RequestID, readCalls[q.RequestID])
		}
		return 0
	}
	seen, actual := r.checkShards(q, executed)
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

// checkShards returns the shards for which an answer contains correct rows, and the number of
// these that have an execution in the journal.
func (r *Report) checkShards(q Query, executed map[execution]bool) (seen map[int32]bool, actual int) {
	seen = make(map[int32]bool)
	for _, raw := range q.Rows {
		shard, ok := r.checkRows(q, raw)
		if !ok {
			continue
		}
		if seen[shard] {
			r.fail("query %s: shard %d counts twice", q.RequestID, shard)
		}
		if !executed[execution{request: q.RequestID, snapshot: q.Snapshot, shard: shard}] {
			r.fail("query %s: shard %d is answered but never ran", q.RequestID, shard)
		} else if !seen[shard] {
			actual++
		}
		seen[shard] = true
	}
	return seen, actual
}

// checkRows checks the rows of one shard. It returns the shard and whether its rows are correct.
func (r *Report) checkRows(q Query, raw json.RawMessage) (int32, bool) {
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

// checkOrder checks the outcomes of one order that was executed orderRuns times.
func (r *Report) checkOrder(o Order, orderRuns int) {
	if orderRuns > 1 {
		r.fail("order %s: ran %d times", o.Token, orderRuns)
	}
	for i, outcome := range o.Outcomes {
		if outcome == "" {
			r.OrderResults["connection_lost"]++
			continue
		}
		r.OrderResults[outcome]++
		if outcome == "not_run" && orderRuns > 0 {
			r.fail("order %s: not_run, but it ran", o.Token)
		}
		if outcome == "complete" && orderRuns != 1 {
			r.fail("order %s: complete, but it ran %d times", o.Token, orderRuns)
		}
		if i < len(o.Elapsed) && o.Elapsed[i] > o.Deadline+Tolerance {
			r.fail("order %s: answered after %s, deadline %s", o.Token, o.Elapsed[i], o.Deadline)
		}
	}
}
