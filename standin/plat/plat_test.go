package plat_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"oriolebarrow/core"
	client "oriolebarrow/io/plat"
	"oriolebarrow/standin/plat"
)

// Guards against a mode that has no effect on the answers: tests that set it would then
// run without the fault.
func TestModes(t *testing.T) {
	tests := []struct {
		mode     plat.Mode
		status   int
		revision string
		text     string
	}{
		{plat.Up, http.StatusOK, "2", "second"},
		{plat.Down, http.StatusServiceUnavailable, "", "too many reads or down\n"},
		{plat.Stale, http.StatusOK, "1", "first"},
		{plat.Empty, http.StatusOK, "2", ""},
		{plat.Truncated, http.StatusOK, "2", "sec"},
	}
	for _, tc := range tests {
		p := plat.New(0)
		p.Publish(1, []byte("first"))
		p.Publish(2, []byte("second"))
		p.SetMode(tc.mode, 1)
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/config", nil))
		if w.Code != tc.status || w.Header().Get("X-Revision") != tc.revision || w.Body.String() != tc.text {
			t.Errorf("%s: status %d, revision %q, text %q", tc.mode, w.Code, w.Header().Get("X-Revision"), w.Body.String())
		}
	}
}

// countingTransport serves requests without a socket and adds up the sizes of the
// answers' bodies.
type countingTransport struct {
	p    *plat.Platform
	size int
}

func (tr *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	tr.p.ServeHTTP(w, r)
	tr.size += w.Body.Len()
	return w.Result(), nil
}

// Guards against an unchanged document or host list that is sent again, and against a
// changed one that is reported as unchanged.
func TestUnchangedIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &countingTransport{p: plat.New(0)}
		c := client.New("http://10.0.0.1:1", &http.Client{Transport: tr})
		tr.p.Publish(2, []byte("text"))
		doc, err := c.Document(t.Context(), 2)
		if err != nil || !doc.Unchanged || doc.Revision != 2 || tr.size > 0 {
			t.Errorf("watch without a change: %+v, %v, %d bytes", doc, err, tr.size)
		}
		for n, want := range []int{1, 1, 2, 2} {
			var entries []core.HostEntry
			for i := range want {
				entries = append(entries, core.HostEntry{Host: core.NewHost(core.HostID(fmt.Sprint(i)), "a", "10.0.0.1:1")})
			}
			tr.p.SetHosts(entries)
			tr.size = 0
			hosts, err := c.Hosts(t.Context())
			if err != nil || len(hosts) != want || (tr.size > 0) != (n%2 == 0) {
				t.Errorf("read %d: %d hosts, %v, %d bytes", n, len(hosts), err, tr.size)
			}
		}
		tr.p.Publish(3, []byte("news"))
		if doc, err := c.Document(t.Context(), 2); err != nil || doc.Unchanged || string(doc.Text) != "news" {
			t.Errorf("watch with a change: %+v, %v", doc, err)
		}
	})
}
