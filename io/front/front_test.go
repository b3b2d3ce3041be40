package front_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/io/client"
	"oriolebarrow/io/front"
	"oriolebarrow/io/relay"
)

var names = core.HeaderNames{
	RequestID: "Req-Id", Deadline: "Left-Ms", Stamp: "Stamp", Expect: "Expect-Instance", Instance: "Instance",
	NotRun: "Not-Run", Load: "Load", Parts: "Parts", Missing: "Missing", RetryAfter: "Retry-After",
}

// newFront returns a Front whose only service has one replica. The replica responds with
// script and sends the request that it received to got.
func newFront(t *testing.T, script string, got chan<- *http.Request) *front.Front {
	t.Helper()
	replicas := picker.New("host-0", "a")
	replicas.Put(time.Now(), core.Instance{ID: "i-1", Service: "tickets", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2})
	c := client.New(client.Options{Names: names, Dial: func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer func() { _ = serverEnd.Close() }()
			req, err := http.ReadRequest(bufio.NewReader(serverEnd))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			req.Body = io.NopCloser(strings.NewReader(string(body)))
			got <- req
			_, _ = io.WriteString(serverEnd, script)
		}()
		return clientEnd, nil
	}})
	t.Cleanup(c.Close)
	r := relay.New(relay.Deps{
		Replicas: replicas, Client: c, Splitter: route.NewSplitter(0), Log: slog.New(slog.DiscardHandler), Callers: func(core.ServiceName) int { return 1 },
		Extra: budget.NewExtra(budget.ExtraLimits{Window: 10 * time.Second}, 1),
	})
	r.SetTable(route.New(core.Routing{
		Version:   1,
		Routes:    []core.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Timeout: time.Second, Target: time.Second, Attempts: 1, Split: []core.Share{{Service: "tickets", Weight: 1}}}},
		Upstreams: []core.Upstream{{Name: "tickets", Connections: 26}},
		Limits:    core.CallerLimits{BodyBytes: 10},
	}))
	return front.New(front.Deps{Relay: r, Names: names, Limits: func() core.CallerLimits { return r.Table().Limits() }})
}

func post(f *front.Front, target, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	req.Host = "h.example"
	req.Header = http.Header{
		"Req-Id": {"r-1"}, "Left-Ms": {"800"}, "Expect-Instance": {"i-9"}, "X-Own": {"kept"},
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"dropped"}, "Te": {"trailers"},
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, req)
	return w
}

// TestForwardsUnchanged guards against requests and responses that are changed when they
// are forwarded, and against hop-by-hop fields that are forwarded.
func TestForwardsUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	f := newFront(t, "HTTP/1.1 404 Not Found\r\nReq-Id: r-1\r\nStamp: s\r\nLoad: 1,0,2\r\nX-More: m\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\n\r\nabc", got)
	w := post(f, "/a/x%2Fy?q=%20", "0123456789")
	req := <-got
	body, _ := io.ReadAll(req.Body)
	if req.Method != http.MethodPost || req.RequestURI != "/a/x%2Fy?q=%20" || req.Host != "h.example" || string(body) != "0123456789" {
		t.Errorf("the replica got %s %s for host %s with body %q", req.Method, req.RequestURI, req.Host, body)
	}
	want := http.Header{"Req-Id": {"r-1"}, "X-Own": {"kept"}, "Expect-Instance": {"i-1"}, "Content-Length": {"10"}}
	remaining := req.Header.Get("Left-Ms")
	req.Header.Del("Left-Ms")
	if diff := cmp.Diff(want, req.Header); diff != "" {
		t.Error(diff)
	}
	if len(remaining) != 3 || remaining > "800" {
		t.Errorf("the replica got a remaining time of %q ms, want three digits and at most 800", remaining)
	}
	if w.Code != http.StatusNotFound || w.Body.String() != "abc" {
		t.Errorf("the caller got status %d with body %q, want 404 with abc", w.Code, w.Body)
	}
	for name, value := range map[string]string{"Stamp": "s", "Req-Id": "r-1", "X-More": "m", "Load": "", "Keep-Alive": "", "Content-Length": "3"} {
		if w.Header().Get(name) != value {
			t.Errorf("%s: got %q, want %q", name, w.Header().Get(name), value)
		}
	}
}

// TestResponsesWithoutReplica guards against requests that are forwarded although they must
// be rejected, against a rejection without Retry-After, and against a host that keeps
// connections open after DisableKeepAlive.
func TestResponsesWithoutReplica(t *testing.T) {
	f := newFront(t, "", make(chan *http.Request, 1))
	if w := post(f, "/b/", ""); w.Code != http.StatusNotFound {
		t.Errorf("no route: got status %d, want 404", w.Code)
	}
	if w := post(f, "/a/", "01234567890"); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("long body: got status %d, want 413", w.Code)
	}
	noDocument := relay.New(relay.Deps{Log: slog.New(slog.DiscardHandler)})
	f = front.New(front.Deps{Relay: noDocument, Names: names, Limits: func() core.CallerLimits { return core.CallerLimits{} }})
	if w := post(f, "/a/", ""); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "0.200" {
		t.Errorf("no document: got status %d, fields %v; want 503 with Retry-After 0.200", w.Code, w.Header())
	}
	f.DisableKeepAlive()
	if w := post(f, "/a/", ""); w.Header().Get("Connection") != "close" {
		t.Error("a response after DisableKeepAlive does not close its connection")
	}
}
