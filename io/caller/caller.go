// Package caller implements the HTTP interface for callers. docs/API.md describes it.
//
// # Usage
//
//	h := caller.New(deps)
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
	"oriolebarrow/io/conns"
)

const (
	requestIDBytes = 8
	// otherPath is reported to Observe for all unknown paths, so that callers can't add
	// names to the metrics.
	otherPath = "other"
)

// Deps holds the dependencies of a Handler.
type Deps struct {
	Requests core.RequestHandler
	Settings core.Settings
	Admitter core.Admitter
	Ready    func() bool
	Lifetime time.Duration // of a token
	// Observe is called after each answer. It may be nil.
	Observe func(path string, o core.Outcome, took time.Duration)
}

// Handler serves the requests of callers.
type Handler struct {
	Deps
	paths map[string]func(*exchange)
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler with the given dependencies.
func New(d Deps) *Handler {
	h := &Handler{Deps: d}
	// http.ServeMux isn't used, since it answers unclean paths with a redirect in HTML.
	h.paths = map[string]func(*exchange){
		"/v1/query":  h.query,
		"/v1/tokens": h.token,
		"/v1/orders": h.order,
	}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{h: h, w: w, r: r, path: r.URL.Path, started: time.Now(), rejectOutcome: core.NotRun}
	defer x.release()
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

// exchange is a request that is being served.
type exchange struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	path          string
	started       time.Time
	rejectOutcome core.Outcome // outcome that a rejection reports
	lease         core.Lease   // nil until the body was read
}

// context returns the context of the request with its lease.
func (x *exchange) context() context.Context { return core.WithLease(x.r.Context(), x.lease) }

// release ends the lease: the answer needs neither the request nor what the backend servers
// answered.
func (x *exchange) release() {
	if x.lease != nil {
		x.lease.Release()
		x.lease = nil
	}
}

// answer writes the answer and reports it to Observe.
func (x *exchange) answer(o core.Outcome, status int, body []byte) {
	x.release()
	if !conns.FromContext(x.r.Context()).ChargeAnswer(len(body)) {
		o, status, body = noRoomAnswer()
	}
	x.write(o, status, body)
}

// answerTooLarge answers a request for whose answer there is no memory.
func (x *exchange) answerTooLarge() {
	x.release()
	x.write(noRoomAnswer())
}

// noRoomAnswer returns the answer to a request that has run and for whose own answer there is
// no memory.
func noRoomAnswer() (core.Outcome, int, []byte) {
	return core.Unknown, http.StatusGatewayTimeout, encode(tokenOut{Outcome: string(core.Unknown), Reason: string(core.ReasonOverload)})
}

func (x *exchange) write(o core.Outcome, status int, body []byte) {
	write(x.w, status, body)
	if x.h.Observe != nil {
		x.h.Observe(x.path, o, time.Since(x.started))
	}
}

// reject answers a request that can't be executed now. Nothing of this request was
// started.
func (x *exchange) reject(r core.Refusal) {
	status := http.StatusServiceUnavailable
	if r.Reason == core.ReasonRate || r.Reason == core.ReasonConcurrency {
		status = http.StatusTooManyRequests
	}
	x.answer(x.rejectOutcome, status, encode(tokenOut{
		Outcome: string(x.rejectOutcome), Reason: string(r.Reason), RetryAfterMS: r.RetryAfter.Milliseconds(),
	}))
}

// fail answers an invalid request. Nothing of this request was started.
func (x *exchange) fail(f fault) {
	x.answer(x.rejectOutcome, f.status, encode(errorOut{Outcome: string(x.rejectOutcome), Reason: f.reason, Error: f.text}))
}

// decode reads and decodes the body. If it returns false, it has answered the request.
func (x *exchange) decode(into any) bool {
	raw, f := readBody(x.w, x.r)
	if f == nil {
		x.lease = conns.TakeLease(x.r.Context())
		f = decodeCharged(x.lease, raw, into)
	}
	if f != nil {
		x.fail(*f)
		return false
	}
	return true
}

// ready reports whether the host is ready. If not, it has answered the request.
func (x *exchange) ready() bool {
	if !x.h.Ready() {
		x.reject(core.Refusal{Reason: core.ReasonNotReady})
		return false
	}
	return true
}

// section returns the caller's section if it permits the service. If it returns false,
// it has answered the request.
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

// timeLimit returns the time limit of the request, which begins at its arrival: ms
// milliseconds, but at most the deadline of the caller's section, which also applies if ms
// is 0. If it returns false, it has answered the request.
func (x *exchange) timeLimit(c core.Caller, ms int64) (timeLimit, bool) {
	length := c.Policy().Deadline
	if ms < 0 {
		x.fail(fault{http.StatusBadRequest, reasonBadRequest, "deadline_ms: want 0 (the section's deadline) or more"})
		return timeLimit{}, false
	}
	capped := ms > length.Milliseconds()
	if ms > 0 && !capped {
		length = min(length, time.Duration(ms)*time.Millisecond)
	}
	l := timeLimit{deadline: x.started.Add(length), length: length, capped: capped}
	if !time.Now().Before(l.deadline) {
		x.fail(fault{http.StatusRequestTimeout, string(core.ReasonDeadline), "the deadline passed before the request had arrived"})
		return timeLimit{}, false
	}
	return l, true
}

// admission is the permission to execute a request until its deadline.
type admission struct {
	section core.Caller
	limit   timeLimit
	release func() // must be called when the request ends
}

// admit determines the section and the time limit and asks the admitter. If it returns
// false, it has answered the request.
func (x *exchange) admit(caller, service string, deadlineMS int64) (admission, bool) {
	section, ok := x.section(caller, service)
	if !ok {
		return admission{}, false
	}
	l, ok := x.timeLimit(section, deadlineMS)
	if !ok {
		return admission{}, false
	}
	release, refused := x.h.Admitter.Admit(time.Now(), section)
	if refused != nil {
		x.reject(*refused)
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

// query serves a query.
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
	adm, ok := x.admit(in.Caller, in.Service, in.DeadlineMS)
	if !ok {
		return
	}
	defer adm.release()
	policy := adm.section.Policy()
	coverage := policy.MinCoverage
	if in.MinCoverage != nil {
		coverage = *in.MinCoverage
	}
	q := core.Query{
		ID:          newRequestID(),
		Caller:      adm.section.Name(),
		Service:     core.ServiceName(in.Service),
		Body:        in.Body,
		Deadline:    adm.limit.deadline,
		MinCoverage: coverage,
		Priority:    policy.Priority,
		Repeatable:  policy.Repeatable,
	}
	a := h.Requests.Query(x.context(), q)
	if !x.lease.Charge(encodeFactor * rowBytes(a.Rows)) {
		x.answerTooLarge()
		return
	}
	status, body := h.queryAnswer(q, adm.limit, a)
	x.answer(a.Outcome, status, body)
}

// token issues a token for an order.
func (h *Handler) token(x *exchange) {
	if !x.ready() {
		return
	}
	r := h.Requests.IssueToken()
	if r.Token == "" {
		x.reject(core.Refusal{Reason: r.Reason, RetryAfter: r.RetryAfter})
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

// order executes an order.
func (h *Handler) order(x *exchange) {
	var in orderIn
	if !x.decode(&in) {
		return
	}
	if in.Token != "" {
		// An earlier request with this token may have run, which only the host that
		// issued the token knows. A rejection before the token is looked up therefore
		// doesn't prove that the order did not run.
		x.rejectOutcome = core.Unknown
	}
	f := checkNames(map[string]string{"caller": in.Caller, "service": in.Service, "key": in.Key, "token": in.Token})
	if f != nil {
		x.fail(*f)
		return
	}
	if !x.ready() {
		return
	}
	adm, ok := x.admit(in.Caller, in.Service, in.DeadlineMS)
	if !ok {
		return
	}
	defer adm.release()
	id := newRequestID()
	result := h.Requests.Order(x.context(), in.Token, id, core.Order{
		Caller:  adm.section.Name(),
		Service: core.ServiceName(in.Service),
		Key:     in.Key,
		Body:    in.Body,
	}, adm.limit.deadline)
	status, body := orderAnswer(id, adm.limit, result)
	x.answer(result.Outcome, status, body)
}

func newRequestID() core.RequestID {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return core.RequestID(hex.EncodeToString(raw[:]))
}

// Serve calls run, which must serve connections with s, and closes s when ctx is done. A
// closed server is no error.
func Serve(ctx context.Context, s *http.Server, run func() error) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
