package core

import "context"

// SectionText is a section of the configuration document as hosts send it to each
// other, with the platform revision in which it was first seen.
type SectionText struct {
	Revision Revision
	Text     []byte
}

// SectionsState is the state that a host reports with its configuration sections.
type SectionsState struct {
	Ready       bool // the host is ready to serve
	HasDocument bool // the host has a complete document
}

// HostsUpdate holds the buckets of another host's host list that differ from those
// of this host.
type HostsUpdate struct {
	Version uint64
	Buckets map[int][]HostEntry // complete content of each differing bucket
}

// PeerUpdate is the state of one host as another host knows it. It includes the
// address, so that hosts find each other before the published host list, which
// lags, names them.
type PeerUpdate struct {
	Host        Host
	Incarnation Incarnation
	State       PeerState
}

// Exchange pulls configuration, the host list and host states from other hosts.
type Exchange interface {
	// Sections sends the digests of this host's buckets of sections. It calls sink
	// with each chunk of the other host's sections from buckets that differ.
	Sections(ctx context.Context, h Host, buckets []uint64, sink func([]SectionText)) (SectionsState, error)
	// Hosts sends the digests of this host's buckets of the host list and returns the
	// buckets that differ.
	Hosts(ctx context.Context, h Host, buckets []uint64) (HostsUpdate, error)
	// States returns the states of all hosts that a host knows, itself included.
	States(ctx context.Context, h Host) ([]PeerUpdate, error)
}
