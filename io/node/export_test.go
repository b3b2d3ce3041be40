package node

import (
	"context"
	"log/slog"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
)

// Gate gives tests the gate that a pause closes.
type Gate struct{ *gate }

// NewGate returns a gate over the given clocks.
func NewGate(read func() pause.Reading) Gate {
	return Gate{newGate(read, slog.New(slog.DiscardHandler))}
}

// Run runs the gate until ctx ends.
func (g Gate) Run(ctx context.Context, refresh func(context.Context) error) error {
	return g.run(ctx, refresh)
}

// Open reports whether work may be sent.
func (g Gate) Open() bool { return g.open() }

// Backend wraps a backend with the gate.
func (g Gate) Backend(b core.Backend) core.Backend { return gatedBackend{Backend: b, gate: g.gate} }

// Peers wraps peers with the gate.
func (g Gate) Peers(p core.Peers) core.Peers { return gatedPeers{p, g.gate} }

// Apply puts a document in force.
func (n *Node) Apply(d core.Document) error {
	_, err := n.ledger.Apply(d)
	return err
}

// Owner returns the owner and the client that it calls replicas with.
func (n *Node) Owner() (core.GroupOwner, core.Backend) { return n.owner, n.backend }
