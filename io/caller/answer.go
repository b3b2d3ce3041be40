package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"oriolebarrow/core"
)

const maxAnswerBytes = 64 << 20

type coverageOut struct {
	Answered     int          `json:"answered"`
	Total        int          `json:"total"`
	BelowMinimum bool         `json:"below_minimum"`
	Missing      []missingOut `json:"missing"`
}

type missingOut struct {
	Shard  int32  `json:"shard"`
	Reason string `json:"reason"`
}

type queryOut struct {
	RequestID      string            `json:"request_id"`
	Outcome        string            `json:"outcome"`
	Reason         string            `json:"reason,omitempty"`
	Snapshot       uint64            `json:"snapshot,omitempty"`
	Coverage       *coverageOut      `json:"coverage,omitempty"`
	ConfigRevision uint64            `json:"config_revision"`
	DeadlineMS     int64             `json:"deadline_ms"`
	DeadlineCapped bool              `json:"deadline_capped,omitempty"`
	RetryAfterMS   int64             `json:"retry_after_ms,omitempty"`
	Rows           []json.RawMessage `json:"rows"`
}

type tokenOut struct {
	Token        string `json:"token,omitempty"`
	ExpiresInMS  int64  `json:"expires_in_ms,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

type orderOut struct {
	RequestID      string          `json:"request_id"`
	Outcome        string          `json:"outcome"`
	Reason         string          `json:"reason,omitempty"`
	Token          string          `json:"token,omitempty"`
	DeadlineMS     int64           `json:"deadline_ms"`
	DeadlineCapped bool            `json:"deadline_capped,omitempty"`
	RetryAfterMS   int64           `json:"retry_after_ms,omitempty"`
	Result         json.RawMessage `json:"result,omitempty"`
}

type errorOut struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Error   string `json:"error"`
}

// timeLimit is the deadline that applies to a request.
type timeLimit struct {
	deadline time.Time
	length   time.Duration // from the arrival of the request to the deadline
	capped   bool          // whether the caller asked for more than its section allows
}

// queryAnswer returns the status and the body of the answer to a query.
func (h *Handler) queryAnswer(q core.Query, l timeLimit, a core.Answer) (int, []byte) {
	out := queryOut{
		RequestID:      string(q.ID),
		Outcome:        string(a.Outcome),
		Reason:         string(a.Reason),
		Snapshot:       uint64(a.Snapshot),
		ConfigRevision: uint64(h.Settings.Revision()),
		DeadlineMS:     l.length.Milliseconds(),
		DeadlineCapped: l.capped,
		RetryAfterMS:   a.RetryAfter.Milliseconds(),
		Rows:           []json.RawMessage{},
	}
	if a.Outcome == core.NotRun {
		return http.StatusServiceUnavailable, encode(out)
	}
	a = dropTooLarge(a, q.MinCoverage)
	out.setAnswer(a)
	body, err := json.Marshal(out)
	if err != nil {
		// Some rows are not valid JSON. The rows of each shard are checked only in
		// this rare case, because the encoder checks all rows anyway.
		a = dropRows(a, q.MinCoverage, core.ReasonWrongAnswer, json.Valid)
		out.setAnswer(a)
		body = encode(out)
	}
	return http.StatusOK, append(body, '\n')
}

// setAnswer sets outcome, coverage and rows.
func (o *queryOut) setAnswer(a core.Answer) {
	o.Outcome = string(a.Outcome)
	o.Coverage = &coverageOut{
		Answered: a.Answered, Total: a.Total, BelowMinimum: a.BelowMinimum, Missing: []missingOut{},
	}
	for _, m := range a.Missing {
		o.Coverage.Missing = append(o.Coverage.Missing, missingOut{Shard: int32(m.Shard), Reason: string(m.Reason)})
	}
	o.Rows = make([]json.RawMessage, 0, len(a.Rows))
	for _, rows := range a.Rows {
		o.Rows = append(o.Rows, rows)
	}
}

// dropTooLarge keeps the rows of the first shards until their total size would exceed
// maxAnswerBytes. All further shards count as missing, so that the coverage matches the
// answer.
func dropTooLarge(a core.Answer, minCoverage float64) core.Answer {
	size := 0
	return dropRows(a, minCoverage, core.ReasonTooLarge, func(rows []byte) bool {
		size += len(rows)
		return size <= maxAnswerBytes
	})
}

func rowBytes(rows [][]byte) int {
	size := 0
	for _, r := range rows {
		size += len(r)
	}
	return size
}

// dropRows removes the rows of each shard for which keep returns false, counts the shard
// as missing for the given reason, and updates the coverage.
func dropRows(a core.Answer, minCoverage float64, reason core.Reason, keep func([]byte) bool) core.Answer {
	missing := slices.Clone(a.Missing)
	rows := make([][]byte, 0, len(a.Rows))
	for i, shard := range answeredShards(a) {
		if keep(a.Rows[i]) {
			rows = append(rows, a.Rows[i])
			continue
		}
		missing = append(missing, core.MissingShard{Shard: shard, Reason: reason})
	}
	if len(rows) == len(a.Rows) {
		return a
	}
	slices.SortFunc(missing, func(x, y core.MissingShard) int { return int(x.Shard) - int(y.Shard) })
	a.Rows, a.Missing = rows, missing
	a.Answered = len(rows)
	a.Outcome = core.Partial
	a.BelowMinimum = float64(a.Answered) < minCoverage*float64(a.Total)
	return a
}

// answeredShards returns the shard of each element of a.Rows, which contains the rows of
// all shards that are not missing, in shard order.
func answeredShards(a core.Answer) []core.ShardID {
	missing := make(map[core.ShardID]bool, len(a.Missing))
	for _, m := range a.Missing {
		missing[m.Shard] = true
	}
	out := make([]core.ShardID, 0, len(a.Rows))
	for s := core.ShardID(0); len(out) < len(a.Rows); s++ {
		if !missing[s] {
			out = append(out, s)
		}
	}
	return out
}

// orderAnswer returns the status and the body of the answer to an order.
func orderAnswer(id core.RequestID, l timeLimit, r core.OrderResult) (int, []byte) {
	out := orderOut{
		RequestID:      string(id),
		Outcome:        string(r.Outcome),
		Reason:         string(r.Reason),
		Token:          r.Token,
		DeadlineMS:     l.length.Milliseconds(),
		DeadlineCapped: l.capped,
		RetryAfterMS:   r.RetryAfter.Milliseconds(),
	}
	if body := bytes.TrimSpace(r.Body); len(body) > 0 {
		out.Result = body
		// A result that isn't valid JSON or is too large doesn't change the order's outcome.
		if !json.Valid(body) || len(body) > maxAnswerBytes {
			out.Result = nil
			out.Reason = string(core.ReasonWrongAnswer)
		}
	}
	return orderStatus(r), encode(out)
}

func orderStatus(r core.OrderResult) int {
	switch {
	case r.Outcome == core.Complete:
		return http.StatusOK
	case r.Outcome == core.Unknown:
		return http.StatusGatewayTimeout
	case r.Reason == core.ReasonNoToken:
		return http.StatusPreconditionRequired
	default:
		return http.StatusServiceUnavailable
	}
}

// encode marshals a value of one of the types of this file. Raw JSON in it must be valid.
func encode(body any) []byte {
	raw, _ := json.Marshal(body)
	return append(raw, '\n')
}

// write sends an answer.
func write(w http.ResponseWriter, status int, body []byte) {
	// Without a deadline, a caller that stops reading would keep the answer in memory.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
