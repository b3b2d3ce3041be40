package client_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/client"
)

// TestTrimIdle guards against idle connections that are kept beyond the host's share, and against
// closing one that carries a call, was used lately, or is within the share.
func TestTrimIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := client.New(client.Options{Names: names, Dial: func(context.Context, string, string) (net.Conn, error) {
			local, remote := net.Pipe()
			t.Cleanup(func() { _ = remote.Close() })
			go func() { _, _ = remote.Read(make([]byte, 4096)) }() // it never answers
			return local, nil
		}})
		defer c.Close()
		target := func(id core.InstanceID) client.Target {
			return client.Target{ID: id, Address: string(id), Connections: 2}
		}
		c.Warm(context.Background(), target("idle"))
		c.Warm(context.Background(), target("kept"))
		c.Send(target("busy"), client.Request{ID: "r", Method: "GET", URI: "/", Host: "h"}, func(client.Result) {})
		synctest.Wait()
		keep := func(id core.InstanceID) int {
			if id == "kept" {
				return 1
			}
			return 0
		}
		if n := c.TrimIdle(time.Second, keep); n != 0 {
			t.Errorf("%d connections that were just used were closed", n)
		}
		<-time.After(2 * time.Second)
		if n := c.TrimIdle(time.Second, keep); n != 1 || c.Connections() != 2 {
			t.Errorf("%d connections were closed and %d kept, want 1 and 2", n, c.Connections())
		}
	})
}
