package front_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestOddStatuses guards against a status of a replica that HTTP does not define reaching a
// caller.
func TestOddStatuses(t *testing.T) {
	for _, code := range []string{"000", "+20", "2 0", "099", "100", "600", "999"} {
		script := fmt.Sprintf("HTTP/1.1 %s Odd\r\nReq-Id: r-1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", code)
		f := newFront(t, script, make(chan *http.Request, 1))
		if w := post(f, "/a/x", ""); w.Code != http.StatusBadGateway && w.Code != http.StatusGatewayTimeout {
			t.Errorf("%q: the caller got status %d, want 502 or 504", code, w.Code)
		}
	}
}
