package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/caller"
)

// fake implements all dependencies of the handler with fixed answers and counts the
// queries and orders that it runs.
type fake struct {
	answer   core.Answer
	result   core.OrderResult
	refusal  *core.Refusal
	notReady bool
	ran      int
	deadline time.Time // of the last query
}

func (f *fake) Query(_ context.Context, q core.Query) core.Answer {
	f.ran++
	f.deadline = q.Deadline
	return f.answer
}

func (f *fake) IssueToken() core.OrderResult { return f.result }

func (f *fake) Order(context.Context, string, core.RequestID, core.Order, time.Time) core.OrderResult {
	f.ran++
	return f.result
}

func (f *fake) Service(s core.ServiceName) (core.Service, bool) {
	return core.NewService(s, nil, core.Limits{}), s == "tickets"
}
func (f *fake) Services() []core.Service { return nil }
func (f *fake) Revision() core.Revision  { return 7 }
func (f *fake) Caller(c core.CallerName) (core.Caller, bool) {
	return core.NewCaller(c, core.CallerPolicy{Deadline: 200 * time.Millisecond, Services: []core.ServiceName{"tickets"}}), c == "clerks"
}

func (f *fake) Admit(time.Time, core.Caller) (func(), *core.Refusal) { return func() {}, f.refusal }

func (f *fake) handler() *caller.Handler {
	return caller.New(caller.Deps{Requests: f, Settings: f, Admitter: f, Ready: func() bool { return !f.notReady }, Lifetime: time.Minute})
}

func post(h http.Handler, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		req.Header[k] = v
	}
	res := httptest.NewRecorder()
	h.ServeHTTP(res, req)
	return res
}

// TestRejectedRequests guards against rejections that are not JSON with a reason, or
// whose outcome doesn't say whether the request ran. An order with a token may have
// run before, so its rejection must not say not_run.
func TestRejectedRequests(t *testing.T) {
	const query = `{"caller":"clerks","service":"tickets","body":{}`
	for _, c := range []struct {
		name, method, path, body string
		fake                     fake
		header                   http.Header
		status                   int
		outcome, reason          string
	}{
		{"unknown path", "POST", "/v2/query", query + "}", fake{}, nil, 404, "not_run", "unknown_path"},
		{"unclean path", "POST", "/v1//query", query + "}", fake{}, nil, 404, "not_run", "unknown_path"},
		{"wrong method", "GET", "/v1/query", "", fake{}, nil, 405, "not_run", "wrong_method"},
		{"headers too large", "POST", "/v1/query", query + "}", fake{}, http.Header{"X": {strings.Repeat("x", 17<<10)}}, 431, "not_run", "headers_too_large"},
		{"body too large", "POST", "/v1/query", `"` + strings.Repeat("x", 1<<20) + `"`, fake{}, nil, 413, "not_run", "too_large"},
		{"no body", "POST", "/v1/query", "", fake{}, nil, 400, "not_run", "bad_request"},
		{"malformed", "POST", "/v1/query", query, fake{}, nil, 400, "not_run", "bad_request"},
		{"second value", "POST", "/v1/query", query + "}{}", fake{}, nil, 400, "not_run", "bad_request"},
		{"unknown key", "POST", "/v1/query", query + `,"deadline":5}`, fake{}, nil, 400, "not_run", "bad_request"},
		{"wrong type", "POST", "/v1/query", query + `,"deadline_ms":"5"}`, fake{}, nil, 400, "not_run", "bad_request"},
		{"negative deadline", "POST", "/v1/query", query + `,"deadline_ms":-5}`, fake{}, nil, 400, "not_run", "bad_request"},
		{"coverage above 1", "POST", "/v1/query", query + `,"min_coverage":1.5}`, fake{}, nil, 400, "not_run", "bad_request"},
		{"long name", "POST", "/v1/query", `{"caller":"` + strings.Repeat("c", 300) + `"}`, fake{}, nil, 400, "not_run", "bad_request"},
		{"unknown caller", "POST", "/v1/query", `{"caller":"x","service":"tickets"}`, fake{}, nil, 403, "not_run", "unknown_caller"},
		{"unknown service", "POST", "/v1/query", `{"caller":"clerks","service":"x"}`, fake{}, nil, 403, "not_run", "unknown_service"},
		{"not ready", "POST", "/v1/query", query + "}", fake{notReady: true}, nil, 503, "not_run", "not_ready"},
		{"rate", "POST", "/v1/query", query + "}", fake{refusal: &core.Refusal{Reason: core.ReasonRate}}, nil, 429, "not_run", "rate"},
		{"order without token, rate", "POST", "/v1/orders", query + "}", fake{refusal: &core.Refusal{Reason: core.ReasonRate}}, nil, 429, "not_run", "rate"},
		{"order with token, rate", "POST", "/v1/orders", query + `,"token":"t"}`, fake{refusal: &core.Refusal{Reason: core.ReasonRate}}, nil, 429, "unknown", "rate"},
		{"order with token, not ready", "POST", "/v1/orders", query + `,"token":"t"}`, fake{notReady: true}, nil, 503, "unknown", "not_ready"},
		{"order with token, unknown caller", "POST", "/v1/orders", `{"caller":"x","token":"t"}`, fake{}, nil, 403, "unknown", "unknown_caller"},
		{"token table full", "POST", "/v1/tokens", "", fake{result: core.OrderResult{Reason: core.ReasonTableFull}}, nil, 503, "not_run", "table_full"},
	} {
		t.Run(c.name, func(t *testing.T) {
			res := post(c.fake.handler(), c.method, c.path, c.body, c.header)
			var out struct{ Outcome, Reason string }
			if err := json.Unmarshal(res.Body.Bytes(), &out); err != nil {
				t.Fatalf("status %d, not JSON: %s", res.Code, res.Body)
			}
			if res.Code != c.status || out.Outcome != c.outcome || out.Reason != c.reason || c.fake.ran != 0 {
				t.Errorf("status %d, %+v, ran %d; want %d %s %s and nothing run", res.Code, out, c.fake.ran, c.status, c.outcome, c.reason)
			}
		})
	}
}

type queryOut struct {
	Outcome        string
	DeadlineMS     int64 `json:"deadline_ms"`
	DeadlineCapped bool  `json:"deadline_capped"`
	Coverage       struct {
		Answered, Total int
		BelowMinimum    bool `json:"below_minimum"`
		Missing         []struct {
			Shard  int
			Reason string
		}
	}
	Rows []json.RawMessage
}

// postQuery sends a query with additional JSON fields.
func postQuery(t *testing.T, f *fake, fields string) queryOut {
	t.Helper()
	res := post(f.handler(), "POST", "/v1/query", `{"caller":"clerks","service":"tickets","min_coverage":1`+fields+`}`, nil)
	var out queryOut
	if err := json.Unmarshal(res.Body.Bytes(), &out); err != nil || res.Code != 200 {
		t.Fatalf("status %d, %v: %.200s", res.Code, err, res.Body)
	}
	return out
}

// TestRows guards against an answer that is not valid JSON or exceeds the size limit,
// and against dropped rows that still count in the coverage.
func TestRows(t *testing.T) {
	large := append(append([]byte{'"'}, bytes.Repeat([]byte("x"), 40<<20)...), '"')
	missingShards := []core.MissingShard{{Shard: 1, Reason: core.ReasonDeadline}}
	for _, c := range []struct {
		name     string
		answer   core.Answer
		answered int
		missing  map[int]string
	}{
		{"no rows", core.Answer{Outcome: core.Complete}, 0, nil},
		{"empty arrays", core.Answer{Outcome: core.Complete, Total: 2, Answered: 2, Rows: [][]byte{[]byte("[]"), []byte("[]")}}, 2, nil},
		{"empty bytes", core.Answer{Outcome: core.Complete, Total: 2, Answered: 2, Rows: [][]byte{[]byte("[]"), {}}}, 1, map[int]string{1: "wrong_answer"}},
		{"invalid JSON", core.Answer{Outcome: core.Partial, Total: 3, Answered: 2, Missing: missingShards, Rows: [][]byte{[]byte("[1]"), []byte("[1")}}, 1, map[int]string{1: "deadline", 2: "wrong_answer"}},
		{"too large", core.Answer{Outcome: core.Complete, Total: 2, Answered: 2, Rows: [][]byte{large, large}}, 1, map[int]string{1: "too_large"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := postQuery(t, &fake{answer: c.answer}, "")
			if out.Rows == nil || len(out.Rows) != c.answered || out.Coverage.Answered != c.answered || len(out.Coverage.Missing) != len(c.missing) {
				t.Errorf("%d rows, coverage %+v; want %d shards answered", len(out.Rows), out.Coverage, c.answered)
			}
			for _, m := range out.Coverage.Missing {
				if c.missing[m.Shard] != m.Reason {
					t.Errorf("missing shard %+v, want %v", m, c.missing)
				}
			}
			if partial := len(c.missing) > 0; partial != (out.Outcome == "partial") || partial != out.Coverage.BelowMinimum {
				t.Errorf("outcome %s, below minimum %t", out.Outcome, out.Coverage.BelowMinimum)
			}
		})
	}
}

// TestDeadline guards against a deadline beyond the section's, and against a shortened
// deadline that the answer doesn't report.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for fields, want := range map[string]queryOut{
			``:                                   {DeadlineMS: 200},
			`,"deadline_ms":50`:                  {DeadlineMS: 50},
			`,"deadline_ms":200`:                 {DeadlineMS: 200},
			`,"deadline_ms":201`:                 {DeadlineMS: 200, DeadlineCapped: true},
			`,"deadline_ms":9223372036854775807`: {DeadlineMS: 200, DeadlineCapped: true},
		} {
			f := &fake{answer: core.Answer{Outcome: core.Complete}}
			out := postQuery(t, f, fields)
			if out.DeadlineMS != want.DeadlineMS || out.DeadlineCapped != want.DeadlineCapped ||
				time.Until(f.deadline) != time.Duration(want.DeadlineMS)*time.Millisecond {
				t.Errorf("%s: answer reports %d ms, capped %t; query got %s", fields, out.DeadlineMS, out.DeadlineCapped, time.Until(f.deadline))
			}
		}
	})
}

// TestOrderResult guards against an order whose outcome is lost because the backend
// server's result is not valid JSON.
func TestOrderResult(t *testing.T) {
	for body, want := range map[string]string{
		"":         `"outcome":"complete"`,
		"{":        `"reason":"wrong_answer"`,
		` {"n":1}`: `"result":{"n":1}`,
	} {
		f := &fake{result: core.OrderResult{Outcome: core.Complete, Body: []byte(body)}}
		res := post(f.handler(), "POST", "/v1/orders", `{"caller":"clerks","service":"tickets","key":"k","token":"t"}`, nil)
		if res.Code != 200 || !json.Valid(res.Body.Bytes()) || !strings.Contains(res.Body.String(), want) || !strings.Contains(res.Body.String(), `"complete"`) {
			t.Errorf("%q: status %d, %s", body, res.Code, res.Body)
		}
	}
}

// listener accepts connections from a channel.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, errors.New("closed")
	}
}
func (l *listener) Close() error   { close(l.done); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// exchangeRaw writes parts of a raw request to a server, with a pause after each, and
// returns the raw answer. It uses fake time.
func exchangeRaw(t *testing.T, f *fake, parts ...string) string {
	var got []byte
	synctest.Test(t, func(t *testing.T) {
		l := &listener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		s := caller.NewServer(f.handler())
		go func() { _ = s.Serve(l) }()
		client, server := net.Pipe()
		l.conns <- server
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for _, part := range parts {
				_, _ = io.WriteString(client, part)
				time.Sleep(150 * time.Millisecond) // simulates a slow caller
			}
		}()
		got, _ = io.ReadAll(client)
		_ = client.Close()
		<-sent
		_ = s.Close()
	})
	return string(got)
}

// TestSlowCallers guards against callers that occupy a connection by sending slowly,
// and against executing a request whose deadline passed before it had arrived.
func TestSlowCallers(t *testing.T) {
	const head = "POST /v1/query HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
	body := `{"caller":"clerks","service":"tickets"}`
	for _, c := range []struct {
		name  string
		parts []string
		want  string
	}{
		{"body stops", []string{head + "39\r\n\r\n{"}, `"reason":"slow_body"`},
		{"deadline passed", []string{head + "39\r\n\r\n" + body[:5], body[5:10], body[10:]}, `"reason":"deadline"`},
		{"in time", []string{head + "39\r\n\r\n" + body}, `"outcome":"complete"`},
		{"header stops", []string{"POST /v1/query HTTP/1.1\r\nHost:"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{answer: core.Answer{Outcome: core.Complete}}
			got := exchangeRaw(t, f, c.parts...)
			if !strings.Contains(got, c.want) || c.want == "" && strings.Contains(got, "200 OK") {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if (f.ran == 1) != (c.name == "in time") {
				t.Errorf("query ran %d times", f.ran)
			}
		})
	}
}
