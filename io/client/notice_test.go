package client_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/io/client"
)

// TestNoticeFields guards against a Retry-After or a leaving replica that is not recognised,
// or is read from a field that says something else.
func TestNoticeFields(t *testing.T) {
	const busy = "HTTP/1.1 503 Busy\r\nReq-Id: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name    string
		head    string
		wait    time.Duration
		invalid bool
		leaving bool
	}{
		{name: "none", head: busy},
		{name: "seconds", head: busy + "Retry-After: 3\r\n", wait: 3 * time.Second},
		{name: "fraction", head: busy + "retry-after: 0.25\r\n", wait: 250 * time.Millisecond},
		{name: "zero", head: busy + "Retry-After: 0\r\n"},
		{name: "given twice, the longer holds", head: busy + "Retry-After: 3\r\nRetry-After: 2\r\n", wait: 3 * time.Second},
		{name: "one of two is invalid", head: busy + "Retry-After: x\r\nRetry-After: 2\r\n", wait: 2 * time.Second, invalid: true},
		{name: "longer than the bound", head: busy + "Retry-After: 99999999999\r\n", wait: 10 * time.Minute},
		{name: "a thousand digits", head: busy + "Retry-After: " + strings.Repeat("9", 1000) + "\r\n", wait: 10 * time.Minute},
		{name: "negative", head: busy + "Retry-After: -3\r\n", invalid: true},
		{name: "a date", head: busy + "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n", invalid: true},
		{name: "infinite", head: busy + "Retry-After: inf\r\n", invalid: true},
		{name: "not a number", head: busy + "Retry-After: NaN\r\n", invalid: true},
		{name: "two points", head: busy + "Retry-After: 1.2.3\r\n", invalid: true},
		{name: "empty", head: busy + "Retry-After:\r\n", invalid: true},
		{name: "of another status", head: strings.Replace(busy, "503 Busy", "200 OK", 1) + "Retry-After: 3\r\n"},
		{name: "leaving", head: busy + "Leaving: 1\r\n", leaving: true},
		{name: "not leaving", head: busy + "Leaving: 0\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{c.head + "\r\n"}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				got := send(cl, "r").Reply
				if got.Wait != c.wait || got.InvalidWait != c.invalid || got.Leaving != c.leaving {
					t.Errorf("got wait %v, invalid %v, leaving %v", got.Wait, got.InvalidWait, got.Leaving)
				}
			})
		})
	}
}
