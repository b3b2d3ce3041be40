package remote_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
)

// dialKeepAlive returns a dial function for in-memory connections. Each connection
// answers all requests with the same response until it is closed.
func dialKeepAlive(response string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			in := bufio.NewReader(server)
			for {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(server, echoCallID(response, req))
			}
		}()
		return client, nil
	}
}

// TestOpenConnections guards against a wrong count of open connections, and against a
// deadlock of SetConnectionLimit and Close, which occurs if the count needs the lock
// that they hold while they close idle connections.
func TestOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response := strings.Replace(okResponse(`{"snapshot":41,"shard":3,"rows":[]}`), "Connection: close\r\n", "", 1)
		client := remote.New(remote.Options{Connections: 1, Dial: dialKeepAlive(response)})
		checkOpen := func(n int) {
			t.Helper()
			synctest.Wait()
			if got := client.OpenConnections("b:1"); got != n {
				t.Errorf("%d open connections, want %d", got, n)
			}
		}
		for _, closeIdle := range []func(){func() { client.SetConnectionLimit("b:1", 2) }, client.Close} {
			for range 2 { // the second call reuses the open connection
				if _, err := client.Read(t.Context(), "b:1", core.ReadCall{Snapshot: 41, Shard: 3, Deadline: time.Now().Add(time.Second)}); err != nil {
					t.Fatal(err)
				}
				checkOpen(1)
			}
			closeIdle()
			checkOpen(0)
		}
		failing := remote.New(remote.Options{Connections: 1, Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}})
		_, _ = failing.Status(t.Context(), "b:1")
		if n := failing.OpenConnections("b:1"); n != 0 {
			t.Errorf("%d open connections after a failed dial, want 0", n)
		}
	})
}
