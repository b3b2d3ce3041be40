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

type canned struct {
	status int
	body   []byte
	sum    string
}

// mutations is the number of answers that the ordinary test derives from the
// seeds; each is sent over a socket for three kinds of call.
const mutations = 1000

func answerSeeds() [][]byte {
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

func FuzzAnswers(f *testing.F) {
	for _, body := range answerSeeds() {
		f.Add(uint16(0), body)
		f.Add(uint16(303), body)
	}
	f.Fuzz(answerCheck(f))
}

// Runs the check of FuzzAnswers on the same answers each time.
func TestMutatedAnswers(t *testing.T) {
	check := answerCheck(t)
	status := uint16(0)
	for body := range mutate.Inputs(answerSeeds(), mutations) {
		status += 101
		check(t, status, body)
		if t.Failed() {
			t.Fatalf("status %d, answer %q", status, body)
		}
	}
}

// answerCheck guards against an answer of a backend server that crashes a host,
// counts as rows although it is not, exceeds its bound, or passes for proof
// that a request did not run.
func answerCheck(tb testing.TB) func(*testing.T, uint16, []byte) {
	tb.Helper()
	const limit = 64
	var answer atomic.Pointer[canned]
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := answer.Load()
		w.Header().Set(remote.ChecksumHeader, a.sum)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}))
	tb.Cleanup(server.Close)
	client := remote.New(remote.Options{Connections: 2})
	tb.Cleanup(client.Close)
	at := strings.TrimPrefix(server.URL, "http://")
	return func(t *testing.T, status uint16, body []byte) {
		body = body[:min(len(body), 16<<10)]
		answer.Store(&canned{status: 200 + int(status)%400, body: body, sum: remote.Checksum(body)})
		deadline := time.Now().Add(time.Minute)
		rows, err := client.Read(t.Context(), at, core.ReadCall{Snapshot: 3, Shard: 1, MaxBytes: limit, Deadline: deadline})
		check(t, err, body)
		if err == nil && (!json.Valid(rows) || rows[0] != '[' || len(rows) > limit+4<<10) {
			t.Errorf("not rows: %q", rows)
		}
		_, err = client.Status(t.Context(), at)
		check(t, err, body)
		_, err = client.Order(t.Context(), at, core.OrderRun{Deadline: deadline, MaxBytes: limit})
		check(t, err, body)
	}
}

func check(t *testing.T, err error, body []byte) {
	t.Helper()
	if err == nil {
		return
	}
	var call *core.CallError
	if !errors.As(err, &call) {
		t.Errorf("untyped error: %v", err)
		return
	}
	var said struct{ Ran *bool }
	_ = json.Unmarshal(body, &said)
	if call.NotRun && (said.Ran == nil || *said.Ran) {
		t.Errorf("%q passes for proof that the request did not run", body)
	}
}
