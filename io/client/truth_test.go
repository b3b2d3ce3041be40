package client_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/io/client"
)

// failingConn is a connection whose writes fail after a number of bytes.
type failingConn struct {
	net.Conn
	accepted int
}

func (c failingConn) Write(b []byte) (int, error) {
	return min(len(b), c.accepted), errors.New("connection reset")
}

// TestUnsentRequest guards against a request that counts as possibly run although the write
// failed before its first byte, and against the reverse for one that was written in part.
func TestUnsentRequest(t *testing.T) {
	for accepted, want := range map[int]bool{0: true, 1: false, 40: false} {
		synctest.Test(t, func(t *testing.T) {
			local, remote := net.Pipe()
			defer func() { _ = remote.Close() }()
			c := client.New(client.Options{Names: names, Dial: func(context.Context, string, string) (net.Conn, error) {
				return failingConn{local, accepted}, nil
			}})
			defer c.Close()
			results := make(chan client.Result, 1)
			c.Send(client.Target{ID: "a", Address: "a", Connections: 1}, client.Request{ID: "r", Method: "POST", URI: "/", Host: "h", Body: []byte("x")},
				func(r client.Result) { results <- r })
			if r := <-results; r.Err == nil || r.NotRun != want {
				t.Errorf("after %d bytes: error %v, not run %v, want %v", accepted, r.Err, r.NotRun, want)
			}
		})
	}
}

// TestUnsent guards against a call that is reported as never sent although its request was
// sent, and against one that is sent after its caller was told that it never will be.
func TestUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		written := make(chan struct{}, 1)
		open := make(chan struct{})
		c := client.New(client.Options{Names: names, Dial: func(context.Context, string, string) (net.Conn, error) {
			<-open
			local, remote := net.Pipe()
			go func() {
				if n, _ := remote.Read(make([]byte, 1)); n > 0 {
					written <- struct{}{}
				}
				_, _ = io.Copy(io.Discard, remote)
			}()
			return local, nil
		}})
		defer c.Close()
		send := func() *client.Call {
			return c.Send(client.Target{ID: "a", Address: "a", Connections: 1}, client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(client.Result) {})
		}
		call := send()
		if call.Unsent() {
			t.Error("a call that may still be sent counts as unsent")
		}
		call.Abandon(time.Second)
		if !call.Unsent() {
			t.Error("a call that was abandoned during the dial does not count as unsent")
		}
		close(open)
		synctest.Wait()
		if len(written) > 0 {
			t.Error("a call was sent after it was reported as unsent")
		}
		call = send()
		synctest.Wait()
		call.Abandon(0)
		if len(written) == 0 || call.Unsent() {
			t.Error("a call that was sent counts as unsent")
		}
	})
}
