package caller_test

import (
	"encoding/json"
	"strings"
	"testing"

	"oriolebarrow/core"
	"oriolebarrow/core/mutate"
)

// mutations is the number of bodies that TestMutatedBodies derives from the seeds.
const mutations = 2000

// bodySeeds returns the seed bodies of both tests.
func bodySeeds() [][]byte {
	var out [][]byte
	for _, body := range []string{
		`{"caller":"clerks","service":"tickets","body":{}}`,
		`{"caller":"clerks","service":"tickets","deadline_ms":50,"min_coverage":0.5}`,
		`{"caller":"clerks","service":"tickets","key":"k","token":"h~1~2","body":[1]}`,
		`{"caller":"\ud800","service":null}`, `null`, `[]`, `{"deadline_ms":1e400}`, "\x00", strings.Repeat("[", 200),
	} {
		out = append(out, []byte(body))
	}
	return out
}

// FuzzBody runs checkBody on random bodies and rows.
func FuzzBody(f *testing.F) {
	for _, body := range bodySeeds() {
		for path := range uint8(3) {
			f.Add(path, body, []byte("[]"))
		}
	}
	f.Fuzz(checkBody)
}

// TestMutatedBodies runs checkBody on bodies and rows that are the same in each run.
func TestMutatedBodies(t *testing.T) {
	rows := []byte("[]")
	path := uint8(0)
	for body := range mutate.Inputs(bodySeeds(), mutations) {
		path++
		checkBody(t, path, body, rows)
		if t.Failed() {
			t.Fatalf("path %d, body %q, rows %q", path, body, rows)
		}
		if path%8 == 0 {
			rows = body
		}
	}
}

// checkBody guards against a body that crashes a host, gets an answer that is not
// JSON, or is executed although the answer says not_run.
func checkBody(t *testing.T, path uint8, body, rows []byte) {
	paths := []string{"/v1/query", "/v1/orders", "/v1/tokens"}
	body = body[:min(len(body), 8<<10)]
	f := &fake{
		answer: core.Answer{Outcome: core.Complete, Total: 1, Answered: 1, Rows: [][]byte{rows}},
		result: core.OrderResult{Outcome: core.Complete, Body: rows, Token: "h~1~2"},
	}
	res := post(f.handler(), "POST", paths[int(path)%len(paths)], string(body), nil)
	var out struct{ Outcome, Token string }
	if err := json.Unmarshal(res.Body.Bytes(), &out); err != nil {
		t.Errorf("status %d, not JSON: %q", res.Code, res.Body)
		return
	}
	if out.Outcome == "" && out.Token == "" || out.Outcome == "not_run" && f.ran > 0 || f.ran > 1 {
		t.Errorf("status %d, outcome %q, ran %d", res.Code, out.Outcome, f.ran)
	}
}
