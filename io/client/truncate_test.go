package client_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"oriolebarrow/io/client"
)

// cutReplica is a stand-in that sends a text as its response to the first request on each
// connection and then closes or resets the connection.
type cutReplica struct {
	text  string
	reset bool
}

func (r *cutReplica) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	go func() {
		defer func() { _ = serverEnd.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(serverEnd)); err == nil {
			_, _ = io.WriteString(serverEnd, r.text)
		}
	}()
	if r.reset {
		return resetConn{clientEnd}, nil
	}
	return clientEnd, nil
}

// resetConn is a connection whose end is a reset.
type resetConn struct{ net.Conn }

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// TestTruncatedResponses guards against a response that ends early and is accepted as
// complete: one that is cut at any byte of its head, or before the end of a body whose length
// is known, or one without a length whose connection is reset.
func TestTruncatedResponses(t *testing.T) {
	for name, whole := range map[string]string{
		"content length": okResponse,
		"empty body":     "HTTP/1.1 200 OK\r\nReq-Id: r\r\nStamp: s\r\nContent-Length: 0\r\n\r\n",
		"chunked":        chunked,
		"no length":      "HTTP/1.1 200 OK\r\nReq-Id: r\r\nStamp: s\r\n\r\nok",
		"interim":        "HTTP/1.1 100 Continue\r\n\r\n" + okResponse,
		"late response":  otherResponse + okResponse,
		"line feeds":     strings.ReplaceAll(okResponse, "\r\n", "\n"),
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					for size := range len(whole) {
						r := &cutReplica{text: whole[:size], reset: reset}
						cl := client.New(client.Options{Names: names, Dial: r.dial})
						got := send(cl, "r")
						cl.Close()
						// The end of the connection ends a body without a length.
						bodyEnds := name == "no length" && strings.Contains(whole[:size], "\r\n\r\n") && !reset
						if got.NotRun || got.Err == nil && !bodyEnds {
							t.Errorf("cut after %q: got status %d with body %q, not run %v", whole[:size], got.Reply.Status, got.Reply.Body, got.NotRun)
						}
					}
				})
			})
		}
	}
}
