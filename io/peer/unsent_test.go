package peer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// TestUnsentBatch guards against a batch that counts as possibly run although it was never
// sent, since its deadline passed while it was queued.
func TestUnsentBatch(t *testing.T) {
	received := false
	h := handler(func(context.Context, *wire.Frame, peer.Reply) { received = true })
	withServer(t, nil, h, func(t *testing.T, c *peer.Client, _ *peer.Server) {
		batch := core.ReadBatch{Query: core.Query{ID: "q", Deadline: time.Now().Add(-time.Millisecond)}, Unacknowledged: func() {}}
		err := c.Read(context.Background(), remote, batch, func(core.ShardResult) {})
		var call *core.CallError
		if !errors.As(err, &call) || !call.NotRun || received {
			t.Errorf("error %v, received: %v; want an error that states that the batch did not run", err, received)
		}
	})
}
