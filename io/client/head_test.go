package client_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"oriolebarrow/io/client"
)

// headStart is a head without the fields that state the length of the body.
const headStart = "HTTP/1.1 200 OK\r\nReq-Id: r\r\nStamp: s\r\n"

// inBubble runs a subtest with synthetic time, so that its failure does not end the others.
func inBubble(t *testing.T, name string, test func(*testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// accepts checks that a response is accepted with the body "ok".
func accepts(t *testing.T, response string) {
	t.Helper()
	inBubble(t, "accepted", func(t *testing.T) {
		r := &cutReplica{text: response}
		cl := client.New(client.Options{Names: names, Dial: r.dial})
		defer cl.Close()
		if got := send(cl, "r"); got.Err != nil || string(got.Reply.Body) != "ok" {
			t.Errorf("%q: got error %v and body %q, want the body ok", response, got.Err, got.Reply.Body)
		}
	})
}

// TestLongFields guards against a line of a head whose end is taken for the end of the head,
// so that the rest of the head becomes the start of the body. The end of a line may be
// anywhere in the buffer.
func TestLongFields(t *testing.T) {
	const bufferBytes = 4 << 10
	for size := bufferBytes - 8; size <= bufferBytes+8; size++ {
		field := "X-Long: " + strings.Repeat("x", size-len("X-Long: "))
		accepts(t, headStart+"Content-Length: 2\r\n"+field+"\r\n\r\nok")
		accepts(t, headStart+field+"\r\nContent-Length: 2\r\n\r\nok")
		accepts(t, headStart+"Transfer-Encoding: chunked\r\n"+field+"\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	}
}
