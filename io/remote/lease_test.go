package remote_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// lease is a core.Lease with a limit.
type lease struct {
	core.NoLease
	limit, charged atomic.Int64
}

func (l *lease) Charge(n int) bool {
	if l.charged.Add(int64(n)) <= l.limit.Load() {
		return true
	}
	l.charged.Add(-int64(n))
	return false
}

func (l *lease) Refund(n int) { l.charged.Add(-int64(n)) }

func reasonOf(err error) core.Reason {
	var call *core.CallError
	if !errors.As(err, &call) {
		return ""
	}
	return call.Reason
}

// TestRowsAreCharged guards against rows that a host holds without a charge, against a read that
// succeeds without room for them, and against bytes that stay charged after it failed.
func TestRowsAreCharged(t *testing.T) {
	const rowBytes = 300 << 10
	rows := `["` + strings.Repeat("r", rowBytes) + `"]`
	var received atomic.Pointer[map[string]any]
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		var body map[string]any
		_ = json.Unmarshal(raw, &body) // the test finds an empty body
		received.Store(&body)
		text := fmt.Sprintf(`{"snapshot":1,"shard":2,"rows":%s}`, rows)
		w.Header().Set(remote.CallIDHeader, r.Header.Get(remote.CallIDHeader))
		w.Header().Set(remote.ChecksumHeader, remote.Checksum([]byte(text)))
		_, _ = io.WriteString(w, text)
	}))
	defer s.Close()
	c := remote.New(remote.Options{Connections: 1, Dial: new(net.Dialer).DialContext})
	defer c.Close()
	read := func(l *lease) ([]byte, error) {
		return c.Read(core.WithLease(context.Background(), l), s.Listener.Addr().String(), core.ReadCall{
			CallID: "c", RequestID: "r", Service: "s", Snapshot: 1, Shard: 2, Body: []byte(` {"content": [1, "two"]} `),
			Deadline: time.Now().Add(time.Minute), MaxBytes: 1 << 20,
		})
	}
	l := new(lease)
	l.limit.Store(2 << 20)
	got, err := read(l)
	if err != nil || string(got) != rows {
		t.Fatalf("got %d bytes of rows, error %v", len(got), err)
	}
	if n := l.charged.Load(); n < rowBytes || n > rowBytes+rowBytes/4 {
		t.Errorf("%d bytes are charged, want about those of the rows", n)
	}
	body := *received.Load()
	if content, _ := json.Marshal(body["body"]); body["call_id"] != "c" || string(content) != `{"content":[1,"two"]}` {
		t.Errorf("the server got %v", body)
	}
	for _, limit := range []int64{0, rowBytes / 2, rowBytes + rowBytes/2} {
		l := new(lease)
		l.limit.Store(limit)
		if _, err := read(l); reasonOf(err) != core.ReasonOverload || l.charged.Load() != 0 {
			t.Errorf("room for %d bytes: error %v, %d bytes charged; want the reason overload and none", limit, err, l.charged.Load())
		}
	}
}
