package remote_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/mutate"
	"oriolebarrow/io/remote"
)

// cannedResponse is a response of the backend server.
type cannedResponse struct {
	status   int
	body     []byte
	checksum string
}

// mutations is the number of response bodies that TestMutatedAnswers derives from the
// seeds. Each is sent over a socket for three kinds of calls.
const mutations = 1000

func seedBodies() [][]byte {
	var out [][]byte
	for _, body := range []string{
		`{"snapshot":3,"shard":1,"rows":[]}`, `{"snapshot":3,"shard":1,"rows":[{"a":1}]}`, `{"snapshot":3,"shard":1}`,
		`{"snapshot":4,"shard":1,"rows":[]}`, `{"snapshot":3,"shard":1,"rows":{}}`, `{"refused":"draining","ran":false}`,
		`{"incarnation":7,"state":"ready","load":1,"snapshots":[{"snapshot":3,"shard_count":2,"shards":[0,1]}]}`,
		`{"result":{"n":1}}`, ``, `null`, `[`,
	} {
		out = append(out, []byte(body))
	}
	return out
}

// FuzzAnswers checks the handling of random responses.
func FuzzAnswers(f *testing.F) {
	for _, body := range seedBodies() {
		f.Add(uint16(0), body)
		f.Add(uint16(303), body)
	}
	f.Fuzz(newAnswerCheck(f))
}

// TestMutatedAnswers runs the check of FuzzAnswers on a fixed set of responses.
func TestMutatedAnswers(t *testing.T) {
	check := newAnswerCheck(t)
	status := uint16(0)
	for body := range mutate.Inputs(seedBodies(), mutations) {
		status += 101
		check(t, status, body)
		if t.Failed() {
			t.Fatalf("status %d, response %q", status, body)
		}
	}
}

// newAnswerCheck returns a check with a status and a response body as input. It guards
// against a response of a backend server that crashes a host, is wrongly accepted as rows,
// exceeds its size limit, or is wrongly treated as proof that a request did not run.
func newAnswerCheck(tb testing.TB) func(*testing.T, uint16, []byte) {
	tb.Helper()
	const limit = 64
	var response atomic.Pointer[cannedResponse]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := response.Load()
		w.Header().Set(remote.CallIDHeader, r.Header.Get(remote.CallIDHeader))
		w.Header().Set(remote.ChecksumHeader, a.checksum)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}))
	tb.Cleanup(server.Close)
	client := remote.New(remote.Options{Connections: 2})
	tb.Cleanup(client.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return func(t *testing.T, status uint16, body []byte) {
		body = body[:min(len(body), 16<<10)]
		response.Store(&cannedResponse{status: 200 + int(status)%400, body: body, checksum: remote.Checksum(body)})
		deadline := time.Now().Add(time.Minute)
		rows, err := client.Read(t.Context(), address, core.ReadCall{Snapshot: 3, Shard: 1, MaxBytes: limit, Deadline: deadline})
		checkError(t, err, body)
		if err == nil && (!json.Valid(rows) || rows[0] != '[' || len(rows) > limit+4<<10) {
			t.Errorf("Read returned %q, want a JSON array within the size limit", rows)
		}
		_, err = client.Status(t.Context(), address)
		checkError(t, err, body)
		_, err = client.Order(t.Context(), address, core.OrderCall{Deadline: deadline, MaxBytes: limit})
		checkError(t, err, body)
	}
}

// checkError checks that err is a CallError, and that it says that the request did not run
// only if the response body says so.
func checkError(t *testing.T, err error, body []byte) {
	t.Helper()
	if err == nil {
		return
	}
	var call *core.CallError
	if !errors.As(err, &call) {
		t.Errorf("error %v, want a CallError", err)
		return
	}
	var reply struct{ Ran *bool }
	_ = json.Unmarshal(body, &reply)
	if call.NotRun && (reply.Ran == nil || *reply.Ran) {
		t.Errorf("response %q is treated as proof that the request did not run", body)
	}
}
