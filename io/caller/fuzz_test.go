package caller_test

import (
	"encoding/json"
	"strings"
	"testing"

	"oriolebarrow/core"
)

// Guards against a body that crashes a host, gets an answer that is not JSON,
// or runs although the answer says not_run.
func FuzzBody(f *testing.F) {
	for _, body := range []string{
		`{"caller":"clerks","service":"tickets","body":{}}`,
		`{"caller":"clerks","service":"tickets","deadline_ms":50,"min_coverage":0.5}`,
		`{"caller":"clerks","service":"tickets","key":"k","token":"h~1~2","body":[1]}`,
		`{"caller":"\ud800","service":null}`, `null`, `[]`, `{"deadline_ms":1e400}`, "\x00", strings.Repeat("[", 200),
	} {
		for path := range uint8(3) {
			f.Add(path, []byte(body), []byte("[]"))
		}
	}
	paths := []string{"/v1/query", "/v1/orders", "/v1/tokens"}
	f.Fuzz(func(t *testing.T, path uint8, body, rows []byte) {
		body = body[:min(len(body), 8<<10)]
		x := &fake{
			answer: core.Answer{Outcome: core.Complete, Total: 1, Answered: 1, Rows: [][]byte{rows}},
			result: core.OrderResult{Outcome: core.Complete, Body: rows, Token: "h~1~2"},
		}
		res := post(x.handler(), "POST", paths[int(path)%len(paths)], string(body), nil)
		var out struct{ Outcome, Token string }
		if err := json.Unmarshal(res.Body.Bytes(), &out); err != nil {
			t.Fatalf("status %d, not JSON: %q", res.Code, res.Body)
		}
		if out.Outcome == "" && out.Token == "" || out.Outcome == "not_run" && x.ran > 0 || x.ran > 1 {
			t.Fatalf("status %d, outcome %q, ran %d", res.Code, out.Outcome, x.ran)
		}
	})
}
