package node_test

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"oriolebarrow/core"
	"oriolebarrow/io/node"
)

const sixSlotSection = `kind: backend
name: portal
team: a
edition: 1
slots: 6
connections: 100
groups:
  - - {address: "127.0.0.14:1", data_centre: mixco}
---
kind: end
`

// Guards against a host that ignores the connection limit in a service's section:
// the wrapper around its client for replicas must not hide core.ConnectionLimiter.
func TestReplicaConnectionLimitFromSection(t *testing.T) {
	for address, want := range map[string]int{
		"127.0.0.14:1": 2*6 + 1,
		"127.0.0.14:2": 1, // not in a section
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			var mu sync.Mutex
			dials := 0
			n, err := node.New(node.Options{ID: "h1", DataCentre: "mixco", PeerAddress: loopback + ":3", Connections: 1,
				Dial: func(dial context.Context, _, to string) (net.Conn, error) {
					mu.Lock()
					if to == address {
						dials++
					}
					mu.Unlock()
					select {
					case <-dial.Done():
					case <-ctx.Done(): // net/http doesn't end a dial when its request ends
					}
					return nil, net.ErrClosed
				}}, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			if err := n.Apply(core.Document{Revision: 1, Text: []byte(sixSlotSection)}); err != nil {
				t.Fatal(err)
			}
			groups, client := n.Owner()
			groups.Snapshots(ctx, "portal", []core.GroupID{0})
			mu.Lock()
			dials = 0 // don't count the first status request, whose dial has ended
			mu.Unlock()
			var calls sync.WaitGroup
			for range 3 * want {
				calls.Go(func() { _, _ = client.Status(ctx, address) })
			}
			synctest.Wait()
			mu.Lock()
			if dials != want {
				t.Errorf("%d connections to %s at once, want %d", dials, address, want)
			}
			mu.Unlock()
			stop()
			calls.Wait()
			synctest.Wait()
		})
	}
}
