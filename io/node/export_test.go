package node

import "oriolebarrow/core"

// Apply activates the sections of a configuration document.
func (n *Node) Apply(d core.Document) error {
	_, err := n.ledger.Apply(d)
	return err
}

// Owner returns the owner of replica groups, and the client for replicas.
func (n *Node) Owner() (core.GroupOwner, core.Backend) { return n.owner, n.backend }
