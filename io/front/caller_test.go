package front_test

import (
	"net/http"
	"strings"
	"testing"

	"oriolebarrow/io/front"
)

// TestCallerKey guards against a caller that gets another key with each connection, and against
// keys of unlimited length.
func TestCallerKey(t *testing.T) {
	for _, c := range []struct{ address, agent, want string }{
		{"10.0.0.1:5000", "tool/1", "10.0.0.1 tool/1"},
		{"10.0.0.1:5001", "tool/1", "10.0.0.1 tool/1"},
		{"[fe80::1]:5001", "", "fe80::1 "},
		{"pipe", strings.Repeat("x", 500), "pipe " + strings.Repeat("x", 64)},
	} {
		r := &http.Request{RemoteAddr: c.address, Header: http.Header{"User-Agent": {c.agent}}}
		if got := front.CallerKey(r); got != c.want {
			t.Errorf("caller from %s: key %q, want %q", c.address, got, c.want)
		}
	}
}
