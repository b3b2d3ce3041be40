package heads_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core/mutate"
	"oriolebarrow/io/heads"
)

// TestLengths guards against a length of a body that is not the one that the head states.
func TestLengths(t *testing.T) {
	for _, c := range []struct {
		method, head string
		length       int
		reuse        bool
	}{
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", 12, true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: x, Close\r\n\r\n", 12, false},
		{http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nConnection: keep-alive\r\n\r\n", 12, false},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", heads.Chunked, true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", heads.UntilClose, true},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\nKeep-Alive: timeout=5\r\n\r\n", heads.UntilClose, false},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", 0, true},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n\r\n", 0, true},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 0, true},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", 0, true},
		{http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\n", 0, true},
	} {
		h, err := heads.Parse(c.head, c.method)
		if err != nil || h.Length() != c.length || h.Reuse() != c.reuse {
			t.Errorf("%s, %q: got length %d, reuse %v, error %v, want %d and %v", c.method, c.head, h.Length(), h.Reuse(), err, c.length, c.reuse)
		}
	}
}

func seedHeads() [][]byte {
	var out [][]byte
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\nA: b\nTransfer-Encoding: chunked\n\n",
		"HTTP/1.0 404 Not Found\r\nA: b, c\r\nConnection: close\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nA: b\r\nKeep-Alive: timeout=5\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
	} {
		out = append(out, []byte(head))
	}
	return out
}

// FuzzParse checks the parsing of random heads.
func FuzzParse(f *testing.F) {
	for _, head := range seedHeads() {
		f.Add(head)
	}
	f.Fuzz(checkParse)
}

// TestMutatedHeads runs the check of FuzzParse on a fixed set of heads.
func TestMutatedHeads(t *testing.T) {
	const mutations = 20000
	accepted := 0
	for head := range mutate.Inputs(seedHeads(), mutations) {
		if _, err := heads.Parse(string(head), http.MethodGet); err == nil {
			accepted++
		}
		if checkParse(t, head); t.Failed() {
			t.Fatalf("head %q", head)
		}
	}
	if accepted == 0 {
		t.Error("no head was accepted")
	}
}

// checkParse guards against a head that is accepted although net/http rejects it, or finds
// another status, other fields or another length in it: a caller behind net/http would get an
// answer that differs from the replica's.
func checkParse(t *testing.T, head []byte) {
	var b heads.Buffer
	n, complete, err := b.Add(head)
	if err != nil || !complete {
		return
	}
	h, err := heads.Parse(b.String(), http.MethodGet)
	if err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(head[:n]))), &http.Request{Method: http.MethodGet})
	if err != nil {
		t.Errorf("net/http rejects the head: %v", err)
		return
	}
	length := int(res.ContentLength)
	switch {
	case len(res.TransferEncoding) > 0:
		length = heads.Chunked
	case length < 0:
		length = heads.UntilClose
	case h.Length() == 0: // the body is empty, whatever the head states
		length = 0
	}
	if res.StatusCode != h.Status() || length != h.Length() {
		t.Errorf("net/http finds status %d and length %d, got %d and %d", res.StatusCode, length, h.Status(), h.Length())
	}
	got := make(http.Header)
	for _, f := range h.Fields() {
		got.Add(f.Name, f.Value)
	}
	for _, header := range []http.Header{got, res.Header} {
		for _, changed := range []string{"Content-Length", "Transfer-Encoding", "Connection", "Trailer", "Cache-Control"} {
			header.Del(changed) // by net/http
		}
	}
	if diff := cmp.Diff(res.Header, got); diff != "" {
		t.Error(diff)
	}
}
