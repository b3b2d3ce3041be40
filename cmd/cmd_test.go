package cmd_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"oriolebarrow/cmd"
)

// run runs the program and returns its exit code and what it printed on both outputs.
func run(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := cmd.Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// writeFile writes a file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against commands that start with invalid or contradictory flags, and against
// faults that are not reported in exactly one line.
func TestUsageFaults(t *testing.T) {
	serve := func(flags ...string) []string {
		return append([]string{"serve", "-id", "h", "-data-centre", "d", "-peer-address", "127.0.0.1:1",
			"-caller-address", "127.0.0.1:2", "-platform", "http://127.0.0.1:3"}, flags...)
	}
	client := []string{"query", "-host", "127.0.0.1:1", "-caller", "c", "-service", "s"}
	short := writeFile(t, "short")
	for _, c := range []struct {
		args []string
		env  map[string]string
		want string
	}{
		{[]string{"start"}, nil, `unknown command "start"`},
		{[]string{"explain", "r1"}, nil, "want one log file or more and the id of a request"},
		{[]string{"explain", "-before", "-1s", "a.log", "r1"}, nil, "-before: want 0 or more"},
		{serve("-colour"), nil, "flag provided but not defined: -colour"},
		{serve("extra"), nil, `unexpected argument "extra"`},
		{serve("-token-max", "x"), nil, `invalid value "x" for flag -token-max`},
		{serve(), map[string]string{"OBW_CONNECTIONS": "many"}, `from environment variable "OBW_CONNECTIONS"`},
		{serve(), map[string]string{"OBW_LOG_LEVEL": "loud"}, `-log-level: want debug, info, warn or error, got "loud"`},
		{serve("-log-format", "xml"), nil, `-log-format: want text or json, got "xml"`},
		{serve("-id", "a~b"), nil, "-id:"},
		{serve("-peer-address", "mixco:1"), nil, "-peer-address: want an IP number and port"},
		{serve("-peer-address", "127.0.0.1:2"), nil, "want two different addresses"},
		{serve("-platform", "ftp://x"), nil, "-platform: want an http URL"},
		{serve("-token-lifetime", "0s"), nil, "want values above 0"},
		{serve("-admin-address", ":2"), nil, "-admin-address: want another address"},
		{serve("-admin-address", "admin:2"), nil, "-admin-address: want an IP number and port"},
		{serve("-admin-address", "10.0.0.1:4"), nil, "is not loopback; want -admin-token-file or OBW_ADMIN_TOKEN"},
		{serve("-admin-address", ":4", "-admin-token-file", short), nil, "at least 16 bytes"},
		{serve("-admin-token-file", short), nil, "has no use without -admin-address"},
		{serve("-admin-address", ":4", "-admin-token-file", short), map[string]string{"OBW_ADMIN_TOKEN": "x"}, "want only one of them"},
		{serve("-admin-address", ":4", "-admin-token-file", short+"-none"), nil, "-admin-token-file: open"},
		{[]string{"check"}, nil, "want one file"},
		{[]string{"check", "a", "b"}, nil, "want one file"},
		{[]string{"query"}, nil, "want -host, -caller and -service"},
		{append(client, "-host", "localhost:1"), nil, "-host: want an IP number and port"},
		{append(client, "-body", "{"), nil, "-body: want JSON"},
		{append(client, "-min-coverage", "1.5"), nil, "-min-coverage: want 0 to 1"},
		{append(client, "-min-coverage", "NaN"), nil, "-min-coverage: want 0 to 1"},
		{append(client, "-deadline", "-1s"), nil, "-deadline: want 0 or at least 1ms"},
		{[]string{"order", "-host", "127.0.0.1:1", "-caller", "c", "-service", "s", "-token", "t"}, nil, "-key:"},
		{[]string{"status"}, nil, "want -hosts"},
		{[]string{"status", "-hosts", "127.0.0.1:1,127.0.0.1:1"}, nil, "is listed twice"},
		{[]string{"status", "-hosts", "127.0.0.1:1", "-timeout", "0s"}, nil, "-timeout:"},
		{[]string{"version", "now"}, nil, `unexpected argument "now"`},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			for k, v := range c.env {
				t.Setenv(k, v)
			}
			code, out, errOut := run(c.args...)
			if code != cmd.ExitUsage || out != "" || !strings.Contains(errOut, c.want) || strings.Count(errOut, "\n") != 1 {
				t.Errorf("exit %d, out %q, err %q; want exit 2 and one line with %q", code, out, errOut, c.want)
			}
			if strings.Contains(errOut, "short\n") {
				t.Errorf("the token is printed: %q", errOut)
			}
		})
	}
}

// Guards against an environment variable that overrides a flag, and against help that
// fails.
func TestHelpAndEnvironment(t *testing.T) {
	t.Setenv("OBW_TIMEOUT", "bad")
	if code, _, errOut := run("status", "-hosts", "127.0.0.1:1", "-timeout", "0s"); code != cmd.ExitUsage || !strings.Contains(errOut, "want a value above 0") {
		t.Errorf("the flag does not override the environment: exit %d, %q", code, errOut)
	}
	for _, name := range []string{"serve", "check", "query", "order", "status", "version"} {
		for _, args := range [][]string{{name, "-help"}, {"help", name}} {
			code, out, errOut := run(args...)
			if code != cmd.ExitOK || errOut != "" || !strings.Contains(out, "usage: oriolebarrow "+name) {
				t.Errorf("%v: exit %d, %q, %q", args, code, out, errOut)
			}
		}
	}
	if _, out, _ := run("help", "serve"); !strings.Contains(out, "OBW_PEER_ADDRESS") {
		t.Errorf("help does not name the environment: %s", out)
	}
}

// Guards against a check that stops at the first fault or accepts a document that hosts
// reject.
func TestCheck(t *testing.T) {
	const good = "kind: caller\nname: a\nteam: t\nedition: 1\nservices: [s]\n---\n"
	for _, c := range []struct {
		name, text string
		code       int
		want       []string
	}{
		{"good", good + "kind: end\n", cmd.ExitOK, []string{"ok caller/a edition 1"}},
		{"truncated", good, cmd.ExitFault, []string{"does not end"}},
		{"empty", "", cmd.ExitFault, []string{"empty"}},
		{"two faults", "kind: caller\nname: a\nteam: t\nedition: 0\nservices: []\nmin_coverage: 2\n---\nkind: end\n", cmd.ExitFault,
			[]string{`section "caller/a", key "edition", line 4`, `key "min_coverage", line 6: want 0 to 1, got 2`, `key "services", line 5`}},
		{"second section", good + good + "kind: end\n", cmd.ExitFault, []string{`section "caller/a", key "name", line 7`, "at line 1"}},
		{"syntax", good + "kind: [\n---\nkind: end\n", cmd.ExitFault, []string{"ok caller/a", "line 7"}},
		{"unknown key", "kind: caller\nnam: a\n---\nkind: end\n", cmd.ExitFault, []string{"line 2", "nam"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, _ := run("check", writeFile(t, c.text))
			if code != c.code {
				t.Errorf("exit %d, want %d", code, c.code)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("no %q in %s", want, out)
				}
			}
		})
	}
}

// serveJSON starts a server that answers every request with status and body. It returns
// the server's address.
func serveJSON(t *testing.T, status int, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against differences between hosts that the status command does not report.
func TestStatus(t *testing.T) {
	host := func(name, digest string) string {
		return serveJSON(t, 200, `{"host":"`+name+`","ready":true,"revision":7,"sections":2,"sections_digest":"`+digest+`","view":["a","b"],"owned_groups":5,"pauses":3}`)
	}
	a, b, c := host("a", "aaaaaaaaaa"), host("b", "aaaaaaaaaa"), host("c", "cccccccccc")
	denied := serveJSON(t, 401, `{}`)
	for _, tc := range []struct {
		name  string
		hosts []string
		flag  string
		code  int
		want  string
	}{
		{"all equal", []string{a, b}, "", cmd.ExitOK, "2 aaaaaaaa "},
		{"groups and pauses", []string{a}, "", cmd.ExitOK, "2 hosts  5             3"},
		{"one differs", []string{a, b, c}, "", cmd.ExitFault, "2 cccccccc*"},
		{"differing hosts listed", []string{a, b, c}, "", cmd.ExitFault, "disagreement on sections (marked *):\n  aaaaaaaaaa: " + a + " " + b},
		{"no majority", []string{a, c}, "", cmd.ExitFault, "2 aaaaaaaa*"},
		{"no answer", []string{a, denied}, "", cmd.ExitFault, "status 401"},
		{"json", []string{a, c}, "-json", cmd.ExitFault, `"subject": "sections"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := []string{"status", "-hosts", strings.Join(tc.hosts, ",")}
			if tc.flag != "" {
				args = append(args, tc.flag)
			}
			code, out, errOut := run(args...)
			if code != tc.code || !strings.Contains(out, tc.want) {
				t.Errorf("exit %d, want %d; no %q in\n%s%s", code, tc.code, tc.want, out, errOut)
			}
		})
	}
}

// Guards against an exit code 0 for an answer that is refused, unknown or below the
// minimum coverage: a script would take it for a complete one.
func TestQueryAndOrder(t *testing.T) {
	for _, c := range []struct {
		name, command, body string
		status, code        int
		flags, want         string
	}{
		{"complete", "query", `{"outcome":"complete","coverage":{"answered":2,"total":2},"rows":[[1],[]]}`, 200, cmd.ExitOK, "-json=false", "coverage   2 of 2 shards"},
		{"below minimum", "query", `{"outcome":"partial","coverage":{"answered":1,"total":2,"below_minimum":true,"missing":[{"shard":1,"reason":"deadline"}]},"rows":[]}`, 200, cmd.ExitFault, "-json=false", "missing    shard 1: deadline"},
		{"refused", "order", `{"outcome":"not_run","reason":"no_token","token":"h~1~2"}`, 428, cmd.ExitFault, "-key=k -token=h~1~3", "token      h~1~2"},
		{"answer as JSON", "order", `{"outcome":"unknown"}`, 504, cmd.ExitFault, "-json -key=k -token=h~1~3", `{"outcome":"unknown"}`},
		{"answer without JSON", "query", `<html>`, 502, cmd.ExitFault, "-json=false", "status 502"},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := serveJSON(t, c.status, c.body)
			code, out, errOut := run(append([]string{c.command, "-host", at, "-caller", "c", "-service", "s"}, strings.Fields(c.flags)...)...)
			if code != c.code || !strings.Contains(out+errOut, c.want) {
				t.Errorf("exit %d, want %d; no %q in\n%s%s", code, c.code, c.want, out, errOut)
			}
		})
	}
}

// Guards against an order that is sent without a token or although only a token was
// requested, and against a token that is not printed.
func TestOrderToken(t *testing.T) {
	for _, c := range []struct {
		name, issued string
		status, code int
		args         []string
		orders       string // tokens of the orders sent
		want         string
	}{
		{"no token given", `{"token":"h~1~2"}`, 200, cmd.ExitOK, []string{"-key", "k"}, "h~1~2;", "got token h~1~2;"},
		{"only a token", `{"token":"h~1~2","expires_in_ms":9}`, 200, cmd.ExitOK, []string{"-token-only"}, "", "expires    in 9 ms"},
		{"token given", `{}`, 200, cmd.ExitOK, []string{"-key", "k", "-token", "h~1~3"}, "h~1~3;", "outcome    complete"},
		{"no token issued", `{"outcome":"not_run","reason":"table_full"}`, 503, cmd.ExitFault, []string{"-key", "k"}, "", "table_full"},
		{"refused with a token", `{"outcome":"not_run","token":"h~1~2"}`, 503, cmd.ExitFault, []string{"-key", "k"}, "", "not_run"},
		{"empty answer", `{}`, 200, cmd.ExitFault, []string{"-key", "k"}, "", "issued no token"},
		{"no key", `{"token":"h~1~2"}`, 200, cmd.ExitUsage, nil, "", "-key: want the key"},
		{"token and token-only", `{}`, 200, cmd.ExitUsage, []string{"-token-only", "-token", "h~1~2"}, "", "want one of them"},
	} {
		t.Run(c.name, func(t *testing.T) {
			orders := ""
			mux := http.NewServeMux()
			mux.HandleFunc("/v1/tokens", func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.issued))
			})
			mux.HandleFunc("/v1/orders", func(w http.ResponseWriter, r *http.Request) {
				var in struct{ Token string }
				_ = json.NewDecoder(r.Body).Decode(&in)
				orders += in.Token + ";"
				_, _ = w.Write([]byte(`{"outcome":"complete"}`))
			})
			s := httptest.NewServer(mux)
			defer s.Close()
			at := strings.TrimPrefix(s.URL, "http://")
			code, out, errOut := run(append([]string{"order", "-host", at, "-caller", "c", "-service", "s"}, c.args...)...)
			if code != c.code || orders != c.orders || !strings.Contains(out+errOut, c.want) {
				t.Errorf("exit %d, want %d; orders %q, want %q; no %q in\n%s%s", code, c.code, orders, c.orders, c.want, out, errOut)
			}
		})
	}
}

// Guards against a flag of serve that docs/OPERATIONS.md does not describe.
func TestServeFlagsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, help, _ := run("help", "serve")
	flags := regexp.MustCompile(`(?m)^  -([a-z-]+)`).FindAllStringSubmatch(help, -1)
	for _, f := range flags {
		if !bytes.Contains(page, []byte("`-"+f[1]+"`")) {
			t.Errorf("-%s is not in docs/OPERATIONS.md", f[1])
		}
	}
	if len(flags) < 14 {
		t.Errorf("only %d flags found in\n%s", len(flags), help)
	}
}

// Guards against a log whose lines are left out, and against a missing log or an unknown
// request that is reported as success.
func TestExplain(t *testing.T) {
	first := writeFile(t, `{"time":"2026-12-04T10:00:06.050Z","level":"INFO","msg":"relay: answered","request":"r1","status":502}`+"\n")
	second := writeFile(t, `time=2026-12-04T10:00:06.045Z level=INFO msg="owner: call starts" request_id=r1 shard=3`+"\n")
	code, out, errOut := run("explain", first, second, "r1")
	if code != cmd.ExitOK || !strings.Contains(out, "relay: answered status=502") || !strings.Contains(out, "owner: call starts shard=3") {
		t.Errorf("exit code %d, %q, %q", code, out, errOut)
	}
	for _, args := range [][]string{{"explain", first, "r2"}, {"explain", first, first + ".old", "r1"}} {
		if code, out, errOut := run(args...); code != cmd.ExitFault || out != "" || strings.Count(errOut, "\n") != 1 {
			t.Errorf("%v: exit code %d, %q, %q", args, code, out, errOut)
		}
	}
}
