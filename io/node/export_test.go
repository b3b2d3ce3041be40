package node

import "oriolebarrow/core"

// Apply puts a document in force.
func (n *Node) Apply(d core.Document) error {
	_, err := n.ledger.Apply(d)
	return err
}

// Owner returns the owner and the client that it calls replicas with.
func (n *Node) Owner() (core.GroupOwner, core.Backend) { return n.owner, n.backend }
