package edge_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/edge"
)

// TestWhereHandler guards against questions without a limit, and against parameters that are
// not checked.
func TestWhereHandler(t *testing.T) {
	host, err := edge.New(edge.Options{Host: "a", DataCentre: "b", PeerAddress: "127.0.0.1:1"}, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	handler := host.WhereHandler()
	ask := func(method, query string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, "/v1/where"+query, nil))
		return w.Code
	}
	const valid = "?method=GET&host=h&path=/a"
	for query, want := range map[string]int{
		"": 400, "?method=GET&host=h&path=a": 400, "?host=h&path=/a": 400, valid + "&body_bytes=-1": 400, valid + "&body_bytes=x": 400,
	} {
		if got := ask(http.MethodGet, query); got != want {
			t.Errorf("%q: status %d, want %d", query, got, want)
		}
	}
	if got := ask(http.MethodPost, valid); got != http.StatusMethodNotAllowed {
		t.Errorf("POST: status %d", got)
	}
	limited := 0
	for range 20 {
		switch got := ask(http.MethodGet, valid); got {
		case http.StatusServiceUnavailable: // no routing document
		case http.StatusTooManyRequests:
			limited++
		default:
			t.Errorf("status %d", got)
		}
	}
	if limited < 10 {
		t.Errorf("%d of 20 questions were rejected, want most of them", limited)
	}
}

// TestWhereOfRunningHosts guards against an answer that names no replica or another owner than
// the host that makes the calls.
func TestWhereOfRunningHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, shards)
		d.start(0)
		d.start(1)
		<-time.After(4 * time.Second)
		w := httptest.NewRecorder()
		d.edges[0].WhereHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/where?method=GET&host=h&path=/q/1", nil))
		var answer core.Where
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil || w.Code != http.StatusOK {
			t.Fatalf("status %d, %v: %s", w.Code, err, w.Body)
		}
		if answer.Route != "query" || answer.RoutingVersion != 3 || !answer.Admission.Admitted || len(answer.Services) != shards {
			t.Errorf("answer %+v", answer)
		}
		for i, s := range answer.Services {
			// Each shard has one replica, in the data centre of host 0 or of host 1.
			if s.Owner != core.HostID(host(i%2)) || len(s.Candidates) != 1 || s.Candidates[0].Order != 1 {
				t.Errorf("shard %d: %+v, want calls by %s", i, s, host(i%2))
			}
		}
		d.runsMu.Lock()
		defer d.runsMu.Unlock()
		if len(d.runs) > 0 {
			t.Errorf("requests reached replicas: %v", d.runs)
		}
	})
}
