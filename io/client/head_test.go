package client_test

import (
	"fmt"
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

// rejects checks that a response is not accepted, that it proves nothing, and that its
// connection is not used again. The replica closes the connection after the response.
func rejects(t *testing.T, response string) {
	t.Helper()
	inBubble(t, "rejected", func(t *testing.T) {
		r := &cutReplica{text: response}
		cl := client.New(client.Options{Names: names, Dial: r.dial})
		defer cl.Close()
		if got := send(cl, "r"); got.Err == nil || got.NotRun {
			t.Errorf("%q: got status %d, fields %q and body %q, want an error that proves nothing", response, got.Reply.Status, got.Reply.Fields, got.Reply.Body)
		}
		if n := cl.Connections(); n != 0 {
			t.Errorf("%q: %d connections are open, want 0", response, n)
		}
	})
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

// TestOddLines guards against a line of a head that is no field, or a field whose name or
// value has bytes that HTTP does not allow, in a response that is accepted or passed on.
func TestOddLines(t *testing.T) {
	lines := []string{
		"no field", ": no name", " : no name", "X Y: z", "X-Y : z", " X-Y: z", "\tX-Y: z", "X-Y\t: z",
		"X-Y: z\r\n folded", "X-Y: z\r\n\tfolded: z", "X-Y: a\rContent-Length: 1", "X-Y: z\r", "\r", " ", "\x00",
		"X(Y): z", "X-Y=z: 1", "X-\xc3\xa9: z", "\"X-Y\": z", "X,Y: z", "X/Y: z", "{X}: z", "X-Y;: z", "X@Y: z", "<X>: z", "X[1]: z", "X\\Y: z", "X?: z",
	}
	for b := range byte(0x20) {
		if b == '\n' {
			continue // ends the line
		}
		lines = append(lines, fmt.Sprintf("X%cY: z", b))
		if b != '\t' {
			lines = append(lines, fmt.Sprintf("X-Y: a%cz", b))
		}
	}
	lines = append(lines, "X\x7fY: z", "X-Y: a\x7fz")
	for _, line := range lines {
		rejects(t, headStart+line+"\r\nContent-Length: 2\r\n\r\nok")
		rejects(t, headStart+"Content-Length: 2\r\n"+line+"\r\n\r\nok")
		rejects(t, "HTTP/1.1 100 Continue\r\n"+line+"\r\n\r\n"+okResponse)
	}
	for _, line := range []string{"X-Empty:", "X-Spaces: a b\tc", "X-Obs: \xe9", "X-Colon: a:b", "x!#$%&'*+-.^_`|~1: z"} {
		accepts(t, headStart+line+"\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestOddStatusLines guards against a status line with bytes that HTTP does not allow.
func TestOddStatusLines(t *testing.T) {
	const rest = "\r\nReq-Id: r\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 \x1b[2J", "HTTP/1.1 200 OK\x7f",
		"HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "http/1.1 200 OK", "HTTP/1.2 200 OK", "HTTP/2 200 OK", "HTTP/1.1  200 OK",
	} {
		rejects(t, line+rest)
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Tr\xe8s bien", "HTTP/1.0 200 OK"} {
		accepts(t, line+rest)
	}
}

// TestOddLengths guards against a head that does not tell the length of the body, or
// contradicts itself about it, in a response that is accepted: its body may be cut off, or
// have bytes that are not part of it.
func TestOddLengths(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: +2", "Content-Length: -0", "Content-Length: -2", "Content-Length:", "Content-Length: 2x", "Content-Length: 0x2",
		"Content-Length: 2 0", "Content-Length: 2,2", "Content-Length: 2.0", "Content-Length: \xd9\xa2", "Content-Length: 99999999999999999999",
		"Content-Length: 2\r\nContent-Length: 1", "Content-Length: 1\r\ncontent-length: 2",
		"Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 2",
	} {
		rejects(t, headStart+fields+"\r\n\r\nok")
	}
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	for _, fields := range []string{
		"Transfer-Encoding: chunkes", "Transfer-Encoding:", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked;x=y",
		"Content-Length: 12\r\nTransfer-Encoding: chunked",
	} {
		rejects(t, headStart+fields+"\r\n\r\n"+chunks)
	}
	// HTTP/1.0 has no chunks.
	rejects(t, "HTTP/1.0 200 OK\r\nReq-Id: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	// The connection of a response without a length can't stay open.
	for _, fields := range []string{"Keep-Alive: timeout=10", "Connection: keep-alive", "Transfer-Encodinh: chunked\r\nKeep-Alive: timeout=10"} {
		rejects(t, headStart+fields+"\r\n\r\n"+chunks)
	}
	for _, status := range []string{"204 No Content", "100 Continue", "103 Early Hints"} {
		rejects(t, "HTTP/1.1 "+status+"\r\nReq-Id: r\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok"+okResponse)
		rejects(t, "HTTP/1.1 "+status+"\r\nReq-Id: r\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks+okResponse)
	}
	for _, fields := range []string{
		"Content-Length: 2", "Content-Length: 002", "Content-Length: 2\r\nContent-Length: 2",
		"Connection: close", "Connection: close\r\nKeep-Alive: timeout=10", "X-More: m",
	} {
		accepts(t, headStart+fields+"\r\n\r\nok")
	}
	for _, value := range []string{"chunked", "Chunked"} {
		accepts(t, headStart+"Keep-Alive: timeout=10\r\nTransfer-Encoding: "+value+"\r\n\r\n"+chunks)
	}
}

// TestTrailingBytes guards against a length that is shorter than the body in a response that is
// accepted: bytes that begin no response follow it. A late or extra response may follow.
func TestTrailingBytes(t *testing.T) {
	for _, size := range []int{1, 100, 4000, 4096, 5000, 20_000} {
		body := strings.Repeat("b", size)
		for _, length := range []int{0, size / 2, size - 1} {
			rejects(t, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headStart, length, body))
		}
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", headStart, size, body)
		rejects(t, whole+"\r\n")
		rejects(t, whole+"http/1.1 200 OK")
		for _, next := range []string{"", "H", "HTTP/1.1", otherResponse, okResponse} {
			inBubble(t, "accepted", func(t *testing.T) {
				r := &cutReplica{text: whole + next}
				cl := client.New(client.Options{Names: names, Dial: r.dial})
				defer cl.Close()
				if got := send(cl, "r"); got.Err != nil || string(got.Reply.Body) != body {
					t.Errorf("%d bytes before %q: got error %v and %d bytes", size, next, got.Err, len(got.Reply.Body))
				}
			})
		}
	}
	// The length of chunks is not in doubt.
	accepts(t, headStart+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore")
}
