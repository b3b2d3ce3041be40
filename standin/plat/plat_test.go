package plat_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"oriolebarrow/standin/plat"
)

// Guards against a fault of the configuration service that changes nothing.
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
		{plat.Short, http.StatusOK, "2", "sec"},
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
