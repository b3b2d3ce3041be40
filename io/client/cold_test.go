package client_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/io/client"
)

// TestWarmupField guards against a cold replica that is taken for warm, or whose time is misread.
func TestWarmupField(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nReq-Id: r\r\nContent-Length: 0\r\n"
	for _, c := range []struct {
		name, head string
		want       time.Duration
	}{
		{"none", ok, 0},
		{"milliseconds", ok + "warm-left: 1500\r\n", 1500 * time.Millisecond},
		{"fraction", ok + "Warm-Left: 0.5\r\n", 500 * time.Microsecond},
		{"on a rejection", "HTTP/1.1 503 Busy\r\nReq-Id: r\r\nNot-Run: 1\r\nContent-Length: 0\r\nWarm-Left: 7\r\n", 7 * time.Millisecond},
		{"zero", ok + "Warm-Left: 0\r\n", 0},
		{"negative", ok + "Warm-Left: -5\r\n", 0},
		{"not a number", ok + "Warm-Left: NaN\r\n", 0},
		{"no text", ok + "Warm-Left: soon\r\n", 0},
		{"longer than the bound", ok + "Warm-Left: 1e300\r\n", time.Hour},
		{"of another instance", ok + "Warm-Left: 1500\r\nInstance: other\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &replica{scripts: []string{c.head + "\r\n"}}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				if got := send(cl, "r").Reply.Warmup; got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// TestSendBy guards against requests that are sent after their time, because the connection took
// long to open, and against a connection that is lost with them.
func TestSendBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replica{scripts: []string{"HTTP/1.1 200 OK\r\nReq-Id: r2\r\nContent-Length: 0\r\n\r\n"}}
		cl := client.New(client.Options{Names: names, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			<-time.After(150 * time.Millisecond)
			return r.dial(ctx, network, address)
		}})
		defer cl.Close()
		do := func(id string) client.Result {
			results := make(chan client.Result, 1)
			cl.Send(target, client.Request{ID: "r2", Method: "GET", URI: "/" + id, Host: "h", SendBy: time.Now().Add(100 * time.Millisecond)},
				func(res client.Result) { results <- res })
			return <-results
		}
		if res := do("r1"); !errors.Is(res.Err, client.ErrTooLate) || !res.NotRun || len(r.seen) != 0 {
			t.Errorf("slow dial: got error %v, not run %v, %d requests sent", res.Err, res.NotRun, len(r.seen))
		}
		if do("r2"); len(r.seen) != 1 || r.dials.Load() != 1 {
			t.Errorf("open connection: %d requests sent on %d connections, want 1 on 1", len(r.seen), r.dials.Load())
		}
	})
}
