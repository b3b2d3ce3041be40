package admin_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/admin"
)

const token = "0123456789abcdef"

// fake implements the sources and controls of admin.Deps.
type fake struct {
	ready bool
	level string
	since time.Time
}

func (f *fake) Readiness() (bool, []string) {
	if f.ready {
		return true, nil
	}
	return false, []string{"no_document"}
}
func (f *fake) Level() string { return f.level }
func (f *fake) SetLevel(l string) error {
	if l != "debug" {
		return errors.New("level")
	}
	f.level = l
	return nil
}
func (f *fake) SectionStatuses() []core.SectionStatus {
	return []core.SectionStatus{{Kind: "caller", Name: "weighbridge", Edition: 3, Revision: 9, Hash: 255, Since: f.since, Source: "host-2"}}
}
func (f *fake) RefusedSections() []core.RefusedSection { return nil }

func (f *fake) ReplicaReports(time.Time) []core.ReplicaReport {
	return []core.ReplicaReport{
		{Service: "s", Group: 0, Owner: "host-1"}, {Service: "s", Group: 0, Owner: "host-1"},
		{Service: "s", Group: 1, Owner: "host-2"}, {Service: "t", Group: 0}, // no owner known
	}
}
func (f *fake) Pauses() uint64 { return 4 }

func newHandler(t *testing.T, o admin.Options, f *fake, drained *int) *admin.Handler {
	t.Helper()
	h, err := admin.New(o, admin.Deps{
		Self: core.NewHost("host-1", "mixco", "127.0.0.1:1"), Readiness: f, Levels: f, Sections: f, Replicas: f, Pauses: f,
		Drain: func() { *drained++ }, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Guards against a control interface without a token on an address that other
// machines can reach.
func TestOptions(t *testing.T) {
	for _, c := range []struct {
		o    admin.Options
		want error
	}{
		{admin.Options{Address: "127.0.0.1:7003"}, nil},
		{admin.Options{Address: "[::1]:7003"}, nil},
		{admin.Options{Address: "10.0.0.1:7003", Token: token}, nil},
		{admin.Options{Address: "10.0.0.1:7003"}, admin.ErrNoToken},
		{admin.Options{Address: "0.0.0.0:7003"}, admin.ErrNoToken},
		{admin.Options{Address: "10.0.0.1:7003", Token: "short"}, admin.ErrToken},
		{admin.Options{Address: "localhost:7003"}, admin.ErrAddress},
	} {
		if err := c.o.Check(); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.o, err, c.want)
		}
	}
}

// Guards against errors without a reason, operator requests that are accepted without
// the token or from a web page, and request bodies without a size limit.
func TestRequests(t *testing.T) {
	local, remote := admin.Options{Address: "127.0.0.1:7003"}, admin.Options{Address: "10.0.0.1:7003", Token: token}
	for _, c := range []struct {
		name, method, path, body string
		opts                     admin.Options
		header                   map[string]string
		status                   int
		want                     string
	}{
		{"health", "GET", "/healthz", "", remote, nil, 200, `"healthy":true`},
		{"not ready", "GET", "/readyz", "", remote, nil, 503, `"no_document"`},
		{"no token", "GET", "/v1/status", "", remote, nil, 401, `"unauthorized"`},
		{"wrong token", "POST", "/v1/drain", "", remote, map[string]string{"Authorization": "Bearer 0123456789abcdeF"}, 401, `"unauthorized"`},
		{"token without scheme", "POST", "/v1/drain", "", remote, map[string]string{"Authorization": token}, 401, `"unauthorized"`},
		{"token", "POST", "/v1/drain", "", remote, map[string]string{"Authorization": "Bearer " + token}, 202, `"draining":true`},
		{"status", "GET", "/v1/status", "", local, nil, 200, `"sections":1`},
		{"owned groups", "GET", "/v1/status", "", local, nil, 200, `"owned_groups":1,"pauses":4`},
		{"sections", "GET", "/v1/sections", "", local, nil, 200, `"hash":"00000000000000ff","removed":false,"since":"2026-01-02T03:04:05Z","source":"host-2"`},
		{"refused", "GET", "/v1/refused", "", local, nil, 200, `{"refused":[]}`},
		{"missing source", "GET", "/v1/budgets", "", local, nil, 501, `"not_available"`},
		{"method", "GET", "/v1/drain", "", local, nil, 405, `"wrong_method"`},
		{"path", "GET", "/v2/status", "", local, nil, 404, `"unknown_path"`},
		{"unclean path", "GET", "/v1//status", "", local, nil, 404, `"unknown_path"`},
		{"level", "PUT", "/v1/log-level", `{"level":"debug"}`, local, nil, 200, `"debug"`},
		{"bad level", "PUT", "/v1/log-level", `{"level":"loud"}`, local, nil, 400, `"bad_request"`},
		{"large body", "PUT", "/v1/log-level", strings.Repeat(" ", 5000), local, nil, 413, `"too_large"`},
		{"web page", "POST", "/v1/drain", "", local, map[string]string{"Origin": "http://example.com"}, 403, `"cross_origin"`},
		{"DNS rebinding", "POST", "/v1/drain", "", local, map[string]string{"Host": "example.com"}, 403, `"foreign_host"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fake{since: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
			drained := 0
			req := httptest.NewRequest(c.method, "http://127.0.0.1:7003"+c.path, strings.NewReader(c.body))
			for k, v := range c.header {
				req.Header.Set(k, v)
			}
			if host := c.header["Host"]; host != "" {
				req.Host = host
			}
			res := httptest.NewRecorder()
			newHandler(t, c.opts, f, &drained).ServeHTTP(res, req)
			if res.Code != c.status || !strings.Contains(res.Body.String(), c.want) || !json.Valid(res.Body.Bytes()) {
				t.Errorf("status %d, body %s; want %d with %s", res.Code, res.Body, c.status, c.want)
			}
			if (drained == 1) != (c.status == http.StatusAccepted) {
				t.Errorf("drained %d times", drained)
			}
		})
	}
}
