package remote_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// oddLines are lines of a head that net/http accepts, or may accept, and that HTTP does not
// allow.
var oddLines = []string{
	": no name", "X Y: z", "X-Y: z\r\n folded", "X-Y: z\r\n\tfolded: z", "X-Y : z", "no field", "X\x01Y: z", "X-Y: a\x00b", "X-Y: a\rb",
	"Content-Length: +2", "Content-Length:", "Transfer-Encoding: chunkes", "Content-Length : 9", "Content Length: 9",
}

// TestOddHeads guards against an answer whose head is broken and that counts as rows, or as
// proof that a call did not run: the bytes after such a head can't be trusted.
func TestOddHeads(t *testing.T) {
	const rows, refusal = `{"snapshot":41,"shard":3,"rows":[1,2]}`, `{"refused":"busy","ran":false}`
	for _, whole := range []string{okResponse(rows), strings.Replace(okResponse(refusal), "200 OK", "503 Busy", 1)} {
		status, rest, _ := strings.Cut(whole, "\r\n")
		for _, line := range oddLines {
			testOddHead(t, status+"\r\n"+line+"\r\n"+rest)
			testOddHead(t, strings.Replace(whole, "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1))
			testOddHead(t, "HTTP/1.1 100 Continue\r\n"+line+"\r\n\r\n"+whole)
		}
		testOddHead(t, "HTTP/2.0"+strings.TrimPrefix(whole, "HTTP/1.1"))
		noLength := strings.Replace(whole, "Content-Length", "Content-Lenght", 1)
		testOddHead(t, strings.Replace(noLength, "Connection: close", "Keep-Alive: timeout=9", 1))
	}
}

func testOddHead(t *testing.T, response string) {
	t.Helper()
	t.Run("rejected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &pipeServer{response: response}
			client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
			rows, err := client.Read(t.Context(), "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)})
			client.Close()
			p.wg.Wait()
			var call *core.CallError
			if !errors.As(err, &call) || call.NotRun || rows != nil {
				t.Errorf("%q: rows %s, error %v, want an error that proves nothing", response, rows, err)
			}
		})
	})
}

// TestProtocolSwitch guards against a call that waits for the rest of an answer beyond its
// deadline: a server that claims to switch protocols, and then sends nothing, must not hold it.
func TestProtocolSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeServer{response: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n", silence: time.Hour}
		client := remote.New(remote.Options{Connections: 1, Dial: p.dial})
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Read(ctx, "b", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: begin.Add(time.Second)})
		took := time.Since(begin)
		client.Close()
		p.wg.Wait()
		var call *core.CallError
		if !errors.As(err, &call) || call.NotRun || took > time.Second {
			t.Errorf("error %v after %v, want one that proves nothing within a second", err, took)
		}
	})
}
