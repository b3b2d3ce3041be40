// Package caller is the HTTP interface for callers. docs/API.md describes it.
//
// # Usage
//
//	h := caller.New(caller.Parts{...})
//	err := caller.NewServer(h).Serve(listener)
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"oriolebarrow/core"
)

const (
	requestIDBytes = 8
	// otherPath stands for all unknown paths, so that callers can't make up names.
	otherPath = "other"
)

// Parts are the dependencies of a Handler.
type Parts struct {
	Requests core.Requests
	Settings core.Settings
	Admitter core.Admitter
	Ready    func() bool
	Lifetime time.Duration // of a token
	// Observe is told about each answer; it may be nil.
	Observe func(path string, o core.Outcome, took time.Duration)
}

// Handler serves callers.
type Handler struct {
	Parts
	paths map[string]func(*exchange)
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler over its parts.
func New(p Parts) *Handler {
	h := &Handler{Parts: p}
	// A map instead of http.ServeMux, which redirects unclean paths in HTML.
	h.paths = map[string]func(*exchange){
		"/v1/query":  h.query,
		"/v1/tokens": h.token,
		"/v1/orders": h.order,
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, path: r.URL.Path, started: time.Now(), refusal: core.NotRun}
	serve, ok := h.paths[x.path]
	switch {
	case !ok:
		x.path = otherPath
		x.fail(fault{http.StatusNotFound, reasonUnknownPath, "no such path"})
	case headerBytes(r.Header) > maxHeaderBytes:
		x.fail(fault{http.StatusRequestHeaderFieldsTooLarge, reasonHeaders, "headers are larger than 16 KB"})
	case r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		x.fail(fault{http.StatusMethodNotAllowed, reasonWrongMethod, "want POST"})
	default:
		serve(x)
	}
}

// exchange is one request and its answer.
type exchange struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	path    string
	started time.Time
	refusal core.Outcome // outcome of a refusal
}

func (x *exchange) answer(o core.Outcome, status int, body []byte) {
	write(x.w, status, body)
	if x.h.Observe != nil {
		x.h.Observe(x.path, o, time.Since(x.started))
	}
}

// refuse answers that nothing was started on this request.
func (x *exchange) refuse(r core.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Reason == core.ReasonRate || r.Reason == core.ReasonConcurrency {
		status = http.StatusTooManyRequests
	}
	x.answer(x.refusal, status, encode(tokenOut{
		Outcome: string(x.refusal), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds(),
	}))
}

// fail answers a faulty request; nothing was started on it.
func (x *exchange) fail(f fault) {
	x.answer(x.refusal, f.status, encode(errorOut{Outcome: string(x.refusal), Reason: f.reason, Error: f.text}))
}

// decode reads the body. It answers the request itself when it returns false.
func (x *exchange) decode(into any) bool {
	raw, f := readBody(x.w, x.r)
	if f == nil {
		f = decodeStrict(raw, into)
	}
	if f != nil {
		x.fail(*f)
		return false
	}
	return true
}

func (x *exchange) ready() bool {
	if !x.h.Ready() {
		x.refuse(core.Refusal{Reason: core.ReasonNotReady})
		return false
	}
	return true
}

// section finds the caller's section.
func (x *exchange) section(caller, service string) (core.Caller, bool) {
	section, ok := x.h.Settings.Caller(core.CallerName(caller))
	if !ok {
		x.fail(fault{http.StatusForbidden, string(core.ReasonUnknownCaller), "caller: no such section in force"})
		return section, false
	}
	_, known := x.h.Settings.Service(core.ServiceName(service))
	if !known || !section.MayUse(core.ServiceName(service)) {
		x.fail(fault{http.StatusForbidden, string(core.ReasonUnknownService), "service: not in the caller's section"})
		return section, false
	}
	return section, true
}

// limit finds the deadline, counted from the arrival of the request.
func (x *exchange) limit(c core.Caller, ms int64) (limit, bool) {
	length := c.Policy().Deadline
	if ms < 0 {
		x.fail(fault{http.StatusBadRequest, reasonBadRequest, "deadline_ms: want 0 (the section's deadline) or more"})
		return limit{}, false
	}
	capped := ms > length.Milliseconds()
	if ms > 0 && !capped {
		length = min(length, time.Duration(ms)*time.Millisecond)
	}
	l := limit{deadline: x.started.Add(length), length: length, capped: capped}
	if !time.Now().Before(l.deadline) {
		x.fail(fault{http.StatusRequestTimeout, string(core.ReasonDeadline), "the deadline passed before the request had arrived"})
		return limit{}, false
	}
	return l, true
}

// admission is a request that may run until its limit.
type admission struct {
	section core.Caller
	limit   limit
	release func() // ends the request's share of the concurrency
}

// admit finds section and deadline and asks the admitter. It answers the
// request itself when it returns false.
func (x *exchange) admit(caller, service string, deadlineMS int64) (admission, bool) {
	section, ok := x.section(caller, service)
	if !ok {
		return admission{}, false
	}
	l, ok := x.limit(section, deadlineMS)
	if !ok {
		return admission{}, false
	}
	release, refused := x.h.Admitter.Admit(time.Now(), section)
	if refused != nil {
		x.refuse(*refused)
		return admission{}, false
	}
	return admission{section: section, limit: l, release: release}, true
}

type queryIn struct {
	Caller      string          `json:"caller"`
	Service     string          `json:"service"`
	Body        json.RawMessage `json:"body"`
	DeadlineMS  int64           `json:"deadline_ms"`
	MinCoverage *float64        `json:"min_coverage"`
}

func (h *Handler) query(x *exchange) {
	var in queryIn
	if !x.ready() || !x.decode(&in) {
		return
	}
	if f := checkNames(map[string]string{"caller": in.Caller, "service": in.Service}); f != nil {
		x.fail(*f)
		return
	}
	if c := in.MinCoverage; c != nil && !(*c >= 0 && *c <= 1) {
		x.fail(fault{http.StatusBadRequest, reasonBadRequest, "min_coverage: want 0 to 1"})
		return
	}
	run, ok := x.admit(in.Caller, in.Service, in.DeadlineMS)
	if !ok {
		return
	}
	defer run.release()
	policy := run.section.Policy()
	coverage := policy.MinCoverage
	if in.MinCoverage != nil {
		coverage = *in.MinCoverage
	}
	q := core.Query{
		ID:          newRequestID(),
		Caller:      run.section.Name(),
		Service:     core.ServiceName(in.Service),
		Body:        in.Body,
		Deadline:    run.limit.deadline,
		MinCoverage: coverage,
		Priority:    policy.Priority,
		Repeatable:  policy.Repeatable,
	}
	a := h.Requests.Query(x.r.Context(), q)
	status, body := h.queryAnswer(q, run.limit, a)
	x.answer(a.Outcome, status, body)
}

func (h *Handler) token(x *exchange) {
	if !x.ready() {
		return
	}
	r := h.Requests.IssueToken()
	if r.Token == "" {
		x.refuse(core.Refusal{Reason: r.Reason, RetryAfter: r.RetryAfter})
		return
	}
	x.answer(core.Complete, http.StatusOK, encode(tokenOut{Token: r.Token, ExpiresInMS: h.Lifetime.Milliseconds()}))
}

type orderIn struct {
	Caller     string          `json:"caller"`
	Service    string          `json:"service"`
	Key        string          `json:"key"`
	Token      string          `json:"token"`
	Body       json.RawMessage `json:"body"`
	DeadlineMS int64           `json:"deadline_ms"`
}

func (h *Handler) order(x *exchange) {
	var in orderIn
	if !x.decode(&in) {
		return
	}
	if in.Token != "" {
		// An earlier request with this token may have run, and only the issuer
		// knows, so a refusal before the token is looked up is not proof.
		x.refusal = core.Unknown
	}
	f := checkNames(map[string]string{"caller": in.Caller, "service": in.Service, "key": in.Key, "token": in.Token})
	if f != nil {
		x.fail(*f)
		return
	}
	if !x.ready() {
		return
	}
	run, ok := x.admit(in.Caller, in.Service, in.DeadlineMS)
	if !ok {
		return
	}
	defer run.release()
	id := newRequestID()
	result := h.Requests.Order(x.r.Context(), in.Token, id, core.Order{
		Caller:  run.section.Name(),
		Service: core.ServiceName(in.Service),
		Key:     in.Key,
		Body:    in.Body,
	}, run.limit.deadline)
	status, body := orderAnswer(id, run.limit, result)
	x.answer(result.Outcome, status, body)
}

func newRequestID() core.RequestID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return core.RequestID(hex.EncodeToString(raw[:]))
}

// Serve runs an HTTP server until ctx ends.
func Serve(ctx context.Context, s *http.Server, run func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
