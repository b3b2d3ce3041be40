package verify_test

import (
	"encoding/json"
	"testing"

	"oriolebarrow/bench/verify"
	"oriolebarrow/standin/server"
)

func rows(t *testing.T, snapshot uint64, shard int32) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(server.Rows(snapshot, shard))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestCheckFindsViolations guards against a check that accepts a broken rule, which would
// hide faults of the product.
func TestCheckFindsViolations(t *testing.T) {
	good := func() ([]verify.Query, []verify.Order, []server.Execution) {
		q := verify.Query{
			RequestID: "q1", Outcome: "complete", Snapshot: 41, Answered: 2, Total: 2,
			Rows: []json.RawMessage{rows(t, 41, 0), rows(t, 41, 1)}, Deadline: 1e9,
		}
		o := verify.Order{Token: "o1", Outcomes: []string{"unknown", "complete"}, Deadline: 1e9}
		journal := []server.Execution{
			{Kind: "read", RequestID: "q1", Snapshot: 41, Shard: 0},
			{Kind: "read", RequestID: "q1", Snapshot: 41, Shard: 1},
			{Kind: "order", ID: "o1"},
		}
		return []verify.Query{q}, []verify.Order{o}, journal
	}
	tests := []struct {
		name   string
		change func(q *verify.Query, o *verify.Order, j *[]server.Execution)
		ok     bool
	}{
		{"no violation", func(*verify.Query, *verify.Order, *[]server.Execution) {}, true},
		{"order executed twice", func(_ *verify.Query, _ *verify.Order, j *[]server.Execution) {
			*j = append(*j, server.Execution{Kind: "order", ID: "o1"})
		}, false},
		{"not_run but executed", func(_ *verify.Query, o *verify.Order, _ *[]server.Execution) {
			o.Outcomes = []string{"not_run"}
		}, false},
		{"complete but not executed", func(_ *verify.Query, _ *verify.Order, j *[]server.Execution) {
			*j = (*j)[:2]
		}, false},
		{"row of another snapshot", func(q *verify.Query, _ *verify.Order, _ *[]server.Execution) {
			q.Rows[1] = rows(t, 40, 1)
		}, false},
		{"shard answered twice", func(q *verify.Query, _ *verify.Order, _ *[]server.Execution) {
			q.Rows[1] = q.Rows[0]
		}, false},
		{"reported coverage too high", func(q *verify.Query, _ *verify.Order, _ *[]server.Execution) {
			q.Rows = q.Rows[:1]
		}, false},
		{"partial answer reported as complete", func(q *verify.Query, _ *verify.Order, _ *[]server.Execution) {
			q.Rows, q.Answered, q.Missing = q.Rows[:1], 1, []int32{1}
		}, false},
		{"shard never executed", func(_ *verify.Query, _ *verify.Order, j *[]server.Execution) {
			*j = (*j)[1:]
		}, false},
		{"late", func(q *verify.Query, _ *verify.Order, _ *[]server.Execution) {
			q.Elapsed = q.Deadline + verify.Tolerance + 1
		}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			queries, orders, journal := good()
			tc.change(&queries[0], &orders[0], &journal)
			if got := verify.Check(queries, orders, journal); got.OK() != tc.ok {
				t.Errorf("OK() = %v, want %v; violations: %v", got.OK(), tc.ok, got.Violations)
			}
		})
	}
}

// TestLimitsAndActualCoverage guards against limits that are never enforced, and against an
// actual coverage that only repeats the reported one.
func TestLimitsAndActualCoverage(t *testing.T) {
	q := verify.Query{
		RequestID: "q1", Outcome: "complete", Snapshot: 41, Answered: 2, Total: 2,
		Rows: []json.RawMessage{rows(t, 41, 0), rows(t, 40, 1)}, Deadline: 1e9,
	}
	entry := server.Execution{Kind: "read", RequestID: "q1", Snapshot: 41}
	r := verify.Check([]verify.Query{q}, nil, []server.Execution{entry, entry, entry})
	if r.ReportedCoverage != 1 || r.ActualCoverage != 0.5 {
		t.Errorf("coverage: reported %v, actual %v, want 1 and 0.5", r.ReportedCoverage, r.ActualCoverage)
	}
	for name, limit := range map[string]func(*verify.Report){
		"extra load": func(r *verify.Report) { r.LimitExtraLoad(0.49) },
		"journal":    func(r *verify.Report) { r.RequireJournal(1) },
	} {
		before := r.ViolationCount
		if limit(r); r.ViolationCount != before+1 {
			t.Errorf("%s: the exceeded limit gave no violation", name)
		}
	}
	before := r.ViolationCount
	r.LimitExtraLoad(0.5)
	r.RequireJournal(0)
	if r.ViolationCount != before {
		t.Errorf("violations although the limits are met: %v", r.Violations)
	}
}
