package client_test

import (
	"testing"
	"testing/synctest"

	"oriolebarrow/io/client"
)

// TestOddStatuses guards against a status that HTTP does not define being accepted as the
// status of a response, final or interim.
func TestOddStatuses(t *testing.T) {
	const rest = " Odd\r\nReq-Id: r\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno"
	for _, code := range []string{
		"000", "0", "00", "20", "+20", "+200", "-20", "2 0", "2 00", " 200", "0200", "020", "099", "+99", "1e2", "0x9", "2_0", "2.0",
		"600", "601", "700", "999", "1000", "20O", "\xd9\xa2\xd9\xa0\xd9\xa0", "",
	} {
		for _, first := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{first + "HTTP/1.1 " + code + rest, okResponse}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				if got := send(cl, "r"); got.Err == nil || got.NotRun {
					t.Errorf("%q after %q: got %+v, want an error that proves nothing", code, first, got)
				}
				if second := send(cl, "r"); string(second.Reply.Body) != "ok" {
					t.Errorf("%q after %q: the second request got %+v", code, first, second)
				}
			})
		}
	}
}

// TestOddInterimStatuses guards against an odd interim status that is skipped as if it were
// valid.
func TestOddInterimStatuses(t *testing.T) {
	for _, code := range []string{"000", "099", "+10", "1 0", "10", "01", "101", "600"} {
		synctest.Test(t, func(t *testing.T) {
			r := &replica{scripts: []string{"HTTP/1.1 " + code + " Odd\r\n\r\n" + okResponse, okResponse}}
			cl := client.New(client.Options{Names: names, Dial: r.dial})
			defer cl.Close()
			if got := send(cl, "r"); got.Err == nil || got.NotRun {
				t.Errorf("%q: got %+v, want an error that proves nothing", code, got)
			}
		})
	}
}
