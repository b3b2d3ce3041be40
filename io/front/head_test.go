package front_test

import (
	"net/http"
	"testing"
)

// TestOddHeads guards against a response of a replica whose head is broken reaching a caller.
func TestOddHeads(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	for _, rest := range []string{
		"Content-Length: +2\r\n\r\nok",
		"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"Transfer-Encodinh: chunked\r\nKeep-Alive: timeout=10\r\n\r\n" + chunks,
		"Content-Length: 2\r\nno field\r\n\r\nok",
		"Content-Length: 2\r\nX Y: z\r\n\r\nok",
		"Content-Length: 2\r\nX\x01Y: z\r\n\r\nok",
		"Content-Length: 2\r\nX-Y: a\rb\r\n\r\nok",
		"Content\x00-Length: 2\r\n\r\nok",
	} {
		f := newFront(t, "HTTP/1.1 200 OK\r\nReq-Id: r-1\r\nStamp: s\r\n"+rest, make(chan *http.Request, 1))
		if w := post(f, "/a/x", ""); w.Code != http.StatusBadGateway && w.Code != http.StatusGatewayTimeout {
			t.Errorf("%q: the caller got status %d with header %q and body %q, want 502 or 504", rest, w.Code, w.Header(), w.Body)
		}
	}
}
