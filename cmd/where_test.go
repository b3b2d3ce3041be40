package cmd_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oriolebarrow/cmd"
)

// TestWhere guards against a request that is not passed to the host as it was given, and
// against an answer or a fault that is not printed.
func TestWhere(t *testing.T) {
	const answer = `{"host":"h-1","route":"r","routing_version":7,"directory_age_ms":12,
		"estimate":{"usual_us":28000,"late_us":40000,"basis":"route"},"admission":{"admitted":true,"share_pct":100,"chance_pct":100},
		"services":[{"service":"s","owner":"h-2","next":true,"candidates":[
			{"id":"i-1","data_centre":"a","order":1,"cost_us":30000,"running":1,"slots":2,"load_age_ms":-1,"local":true,"in_subset":true},
			{"id":"i-2","data_centre":"b","reason":"evacuated","evacuated":true,"load_age_ms":5,"reported_busy":2}]}]}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if r.URL.Path != "/v1/where" || q.Get("method") != "GET" || q.Get("host") != "h" || q.Get("body_bytes") != "9" {
			t.Errorf("request %s", r.URL)
		}
		if q.Get("path") != "/a?b=c" {
			http.Error(w, "relay: no route", http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(answer))
	}))
	defer s.Close()
	at := strings.TrimPrefix(s.URL, "http://")
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"GET", "h", "/a?b=c"}, cmd.ExitOK, []string{"route r of document 7", "28ms", "admitted", "i-1", "h-2", "1 of 2", "evacuated", "2, 5 ms ago"}},
		{[]string{"-json", "GET", "h", "/a?b=c"}, cmd.ExitOK, []string{`"routing_version": 7`, `"order": 1`}},
		{[]string{"GET", "h", "/none"}, cmd.ExitFault, []string{"status 404: relay: no route"}},
		{[]string{"GET", "h", "none"}, cmd.ExitUsage, []string{"a path that begins with a slash"}},
		{[]string{"GET", "h"}, cmd.ExitUsage, []string{"want a method"}},
	} {
		flags := append([]string{"where", "-host", at, "-body-bytes", "9"}, c.args...)
		code, out, errOut := run(flags...)
		if code != c.code {
			t.Errorf("%v: exit code %d, want %d; %s", c.args, code, c.code, errOut)
		}
		for _, want := range c.want {
			if !strings.Contains(out+errOut, want) {
				t.Errorf("%v: no %q in\n%s%s", c.args, want, out, errOut)
			}
		}
	}
	if code, _, errOut := run("where", "-host", "nowhere", "GET", "h", "/"); code != cmd.ExitUsage || !strings.Contains(errOut, "-host") {
		t.Errorf("exit code %d, %q", code, errOut)
	}
}
