// Package caller is the HTTP interface for callers. docs/API.md describes it.
//
// # Usage
//
//	h := caller.New(caller.Parts{...})
//	err := http.Serve(listener, h)
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"oriolebarrow/core"
)

const (
	maxBodyBytes   = 1 << 20
	maxAnswerBytes = 64 << 20
	requestIDBytes = 8
)

// Parts are the dependencies of a Handler.
type Parts struct {
	Requests core.Requests
	Settings core.Settings
	Admitter core.Admitter
	Ready    func() bool
	Lifetime time.Duration // of a token
}

// Handler serves callers.
type Handler struct {
	Parts
	mux *http.ServeMux
}

// New returns a handler over its parts.
func New(p Parts) *Handler {
	h := &Handler{Parts: p, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/query", h.query)
	h.mux.HandleFunc("POST /v1/tokens", h.token)
	h.mux.HandleFunc("POST /v1/orders", h.order)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

type queryIn struct {
	Caller      string          `json:"caller"`
	Service     string          `json:"service"`
	Body        json.RawMessage `json:"body"`
	DeadlineMS  int64           `json:"deadline_ms"`
	MinCoverage *float64        `json:"min_coverage"`
}

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
	RetryAfterMS   int64             `json:"retry_after_ms,omitempty"`
	Rows           []json.RawMessage `json:"rows"`
}

func (h *Handler) query(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	var in queryIn
	if !h.decode(w, r, &in) {
		return
	}
	section, ok := h.section(w, in.Caller, in.Service)
	if !ok {
		return
	}
	deadline, ok := h.deadline(w, started, section, in.DeadlineMS)
	if !ok {
		return
	}
	coverage := section.Policy().MinCoverage
	if in.MinCoverage != nil {
		coverage = *in.MinCoverage
	}
	if coverage < 0 || coverage > 1 {
		h.fail(w, http.StatusBadRequest, "min_coverage: want 0 to 1", "bad_request")
		return
	}
	release, refused := h.Admitter.Admit(started, section)
	if refused != nil {
		h.refuse(w, *refused)
		return
	}
	defer release()
	q := core.Query{
		ID:          newRequestID(),
		Caller:      section.Name(),
		Service:     core.ServiceName(in.Service),
		Body:        in.Body,
		Deadline:    deadline,
		MinCoverage: coverage,
		Priority:    section.Policy().Priority,
		Repeatable:  section.Policy().Repeatable,
	}
	h.answer(w, q, h.Requests.Query(r.Context(), q))
}

func (h *Handler) answer(w http.ResponseWriter, q core.Query, a core.Answer) {
	out := queryOut{
		RequestID:      string(q.ID),
		Outcome:        string(a.Outcome),
		Reason:         string(a.Reason),
		Snapshot:       uint64(a.Snapshot),
		ConfigRevision: uint64(h.Settings.Revision()),
		RetryAfterMS:   a.RetryAfter.Milliseconds(),
		Rows:           []json.RawMessage{},
	}
	if a.Outcome == core.NotRun {
		write(w, http.StatusServiceUnavailable, out)
		return
	}
	out.Coverage = &coverageOut{
		Answered: a.Answered, Total: a.Total, BelowMinimum: a.BelowMinimum, Missing: []missingOut{},
	}
	for _, m := range a.Missing {
		out.Coverage.Missing = append(out.Coverage.Missing, missingOut{Shard: int32(m.Shard), Reason: string(m.Reason)})
	}
	size := 0
	for _, rows := range a.Rows {
		size += len(rows)
		out.Rows = append(out.Rows, rows)
	}
	if size > maxAnswerBytes {
		h.fail(w, http.StatusInternalServerError, "answer is larger than 64 MB", string(core.ReasonTooLarge))
		return
	}
	write(w, http.StatusOK, out)
}

type tokenOut struct {
	Token        string `json:"token,omitempty"`
	ExpiresInMS  int64  `json:"expires_in_ms,omitempty"`
	Outcome      string `json:"outcome,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (h *Handler) token(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		h.refuse(w, core.Refusal{Reason: core.ReasonNotReady})
		return
	}
	r := h.Requests.IssueToken()
	if r.Token == "" {
		h.refuse(w, core.Refusal{Reason: r.Reason, RetryAfter: r.RetryAfter})
		return
	}
	write(w, http.StatusOK, tokenOut{Token: r.Token, ExpiresInMS: h.Lifetime.Milliseconds()})
}

type orderIn struct {
	Caller     string          `json:"caller"`
	Service    string          `json:"service"`
	Key        string          `json:"key"`
	Token      string          `json:"token"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS int64           `json:"deadline_ms"`
}

type orderOut struct {
	RequestID    string          `json:"request_id"`
	Outcome      string          `json:"outcome"`
	Reason       string          `json:"reason,omitempty"`
	Token        string          `json:"token,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	var in orderIn
	if !h.decodeBody(w, r, &in) {
		return
	}
	if in.Token != "" {
		// An earlier request with this token may have run, and only the issuer
		// knows, so a refusal before the token is looked up is not proof.
		w = &unclearWriter{ResponseWriter: w}
	}
	if !h.Ready() {
		h.refuse(w, core.Refusal{Reason: core.ReasonNotReady})
		return
	}
	section, ok := h.section(w, in.Caller, in.Service)
	if !ok {
		return
	}
	deadline, ok := h.deadline(w, started, section, in.DeadlineMS)
	if !ok {
		return
	}
	release, refused := h.Admitter.Admit(started, section)
	if refused != nil {
		h.refuse(w, *refused)
		return
	}
	defer release()
	id := newRequestID()
	result := h.Requests.Order(r.Context(), in.Token, id, core.Order{
		Caller:  section.Name(),
		Service: core.ServiceName(in.Service),
		Key:     in.Key,
		Body:    in.Body,
	}, deadline)
	write(w, orderStatus(result), orderOut{
		RequestID:    string(id),
		Outcome:      string(result.Outcome),
		Reason:       string(result.Reason),
		Token:        result.Token,
		RetryAfterMS: result.RetryAfter.Milliseconds(),
		Result:       result.Body,
	})
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

func (h *Handler) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if !h.Ready() {
		h.refuse(w, core.Refusal{Reason: core.ReasonNotReady})
		return false
	}
	return h.decodeBody(w, r, into)
}

func (h *Handler) decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.fail(w, http.StatusRequestEntityTooLarge, "body is larger than 1 MB", string(core.ReasonTooLarge))
		return false
	}
	if err != nil {
		h.fail(w, http.StatusBadRequest, "body: "+err.Error(), "bad_request")
		return false
	}
	if err := json.Unmarshal(raw, into); err != nil {
		h.fail(w, http.StatusBadRequest, "body: "+err.Error(), "bad_request")
		return false
	}
	return true
}

func (h *Handler) section(w http.ResponseWriter, caller, service string) (core.Caller, bool) {
	section, ok := h.Settings.Caller(core.CallerName(caller))
	if !ok {
		h.fail(w, http.StatusForbidden, "caller: no such section in force", string(core.ReasonUnknownCaller))
		return section, false
	}
	_, known := h.Settings.Service(core.ServiceName(service))
	if !known || !section.MayUse(core.ServiceName(service)) {
		h.fail(w, http.StatusForbidden, "service: not in the caller's section", string(core.ReasonUnknownService))
		return section, false
	}
	return section, true
}

func (h *Handler) deadline(w http.ResponseWriter, now time.Time, c core.Caller, ms int64) (time.Time, bool) {
	limit := c.Policy().Deadline
	if ms < 0 {
		h.fail(w, http.StatusBadRequest, "deadline_ms: want 0 (the section's deadline) or more", "bad_request")
		return time.Time{}, false
	}
	if ms > 0 && ms < limit.Milliseconds() {
		limit = time.Duration(ms) * time.Millisecond
	}
	return now.Add(limit), true
}

// unclearWriter marks an answer to an order that has a token.
type unclearWriter struct{ http.ResponseWriter }

// refusalOutcome is the outcome of a refusal that is written to w.
func refusalOutcome(w http.ResponseWriter) string {
	if _, ok := w.(*unclearWriter); ok {
		return string(core.Unknown)
	}
	return string(core.NotRun)
}

// refuse answers that nothing was started on this request.
func (h *Handler) refuse(w http.ResponseWriter, r core.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Reason == core.ReasonRate || r.Reason == core.ReasonConcurrency {
		status = http.StatusTooManyRequests
	}
	write(w, status, tokenOut{
		Outcome: refusalOutcome(w), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
}

type errorOut struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Error   string `json:"error"`
}

// fail answers a faulty request; nothing was started on it.
func (h *Handler) fail(w http.ResponseWriter, status int, msg, reason string) {
	write(w, status, errorOut{Outcome: refusalOutcome(w), Reason: reason, Error: msg})
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func newRequestID() core.RequestID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return core.RequestID(hex.EncodeToString(raw[:]))
}

var _ http.Handler = (*Handler)(nil)

// Serve runs an HTTP server until ctx ends.
func Serve(ctx context.Context, s *http.Server, run func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
