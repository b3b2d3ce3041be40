package node

import (
	"context"

	"github.com/pkg/errors"

	"oriolebarrow/core/place"
	"oriolebarrow/io/gossip"
)

func (n *Node) newAgent() (*gossip.Agent, error) {
	return gossip.New(gossip.Deps{
		Self:     n.self,
		Detector: n.detector,
		Ledger:   n.ledger,
		Platform: n.platform,
		Placer:   place.New(place.DefaultSetSize),
		Exchange: n.peers,
		Log:      n.log,
		Meter:    n.meter(),
		Informed: func() bool { return n.entry.SnapshotsKnown() },
	})
}

// runGossip runs the gossip agent, which keeps membership, host list and
// configuration up to date, until ctx ends.
func (n *Node) runGossip(ctx context.Context) error {
	conn, err := n.opts.ListenPacket("udp", n.opts.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "node: listen for gossip")
	}
	return n.agent.Run(ctx, conn)
}
