package core

import "context"

// SectionText is a section of the configuration document on its way between
// hosts, with the platform revision in which it was first seen.
type SectionText struct {
	Revision Revision
	Text     []byte
}

// SectionsNews is what a host told about its sections, apart from their text.
type SectionsNews struct {
	Ready       bool // the host is ready to serve
	HasDocument bool // the host has a whole document
}

// HostsNews is the host list of another host, as far as it differs.
type HostsNews struct {
	Version uint64
	Buckets map[int][]HostEntry // whole content of the buckets that differ
}

// PeerUpdate is one host's state as another host knows it. It carries the
// address, so that hosts learn of each other before the lagging host list names
// them.
type PeerUpdate struct {
	Host        Host
	Incarnation Incarnation
	State       PeerState
}

// Exchange pulls configuration and host list from other hosts.
type Exchange interface {
	// Sections sends the digests of this host's sections. It calls sink with
	// each chunk of sections that differ.
	Sections(ctx context.Context, h Host, buckets []uint64, sink func([]SectionText)) (SectionsNews, error)
	Hosts(ctx context.Context, h Host, buckets []uint64) (HostsNews, error)
	// States returns what a host knows of all hosts, itself included.
	States(ctx context.Context, h Host) ([]PeerUpdate, error)
}
