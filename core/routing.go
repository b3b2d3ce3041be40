package core

import (
	"context"
	"time"
)

// InstanceID names one life of a backend server.
type InstanceID string

// Share is one service of a route and its weight among the others.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route says where requests of one host and path prefix go and what limits them.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	Timeout    time.Duration
	Target     time.Duration // an answer within it has its full value
	Attempts   int           // replicas that may get one request
	Priority   int           // 0 is the highest
	Split      []Share       // services that serve a whole request; empty for a gather
	Gather     []ServiceName // one service for each shard; empty for a plain route
	TopK       int           // records in a gathered answer
	MinRatio   float64       // smallest share of the shards in a gathered answer
}

// Upstream is what the routing document says of one service.
type Upstream struct {
	Name        ServiceName
	HealthPath  string
	Connections int // a replica accepts so many from all hosts together
}

// CallerLimits bounds what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the routing document.
type Routing struct {
	Version   uint64
	Routes    []Route
	Upstreams []Upstream
	Limits    CallerLimits
}

// Instance is the published entry of one replica.
type Instance struct {
	ID         InstanceID
	Service    ServiceName
	Address    string
	DataCentre DataCentre
	Slots      int
	Draining   bool
	Warmup     time.Duration // how much longer the replica is slow after its start
	Born       int64         // start of this life; differs when an ID is used again
}

// DirectoryItem is one item of the directory: the entry of an instance, or the
// routing document.
type DirectoryItem struct {
	ID       InstanceID // empty for the routing document
	Revision Revision   // of its last change
	Instance *Instance  // nil when the entry was removed or names no usable replica
	Routing  *Routing
}

// DirectoryNews is what a directory published up to a revision.
type DirectoryNews struct {
	Revision Revision
	Items    []DirectoryItem // in the order of their changes
}

// Directory reads published instances and the routing document.
type Directory interface {
	// List returns all items.
	List(ctx context.Context) (DirectoryNews, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none at the end of wait. ErrHistoryGone asks for a new List.
	Watch(ctx context.Context, after Revision, wait time.Duration) (DirectoryNews, error)
}

// HeaderNames are the names under which callers and replicas exchange what the
// relay needs.
type HeaderNames struct {
	RequestID  string // identifies a caller's attempt; replicas repeat it
	Deadline   string // remaining time in milliseconds
	Stamp      string // a replica's signature of its answer
	Expect     string // the instance that a call is meant for
	Instance   string // the instance that answered
	NotRun     string // present when a replica did not run the request
	Load       string // running, waiting, slots
	Parts      string // stamps of the parts of a gathered answer
	Missing    string // number of shards that a gathered answer lacks
	RetryAfter string // seconds, with fractions
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// FeedNews is what another host knows of the directory.
type FeedNews struct {
	News DirectoryNews
	// Age is the time since that host, or the one it learnt from, read the
	// directory itself.
	Age time.Duration
	// Lapsing is how long a vanished entry may still be one that lapsed while
	// the directory could not be read.
	Lapsing time.Duration
}

// Feeds gives access to the directory as other hosts know it, so that few hosts
// read the directory itself.
type Feeds interface {
	// Leaders returns the hosts to learn from, best first, and whether this host is
	// to read the directory itself.
	Leaders(now time.Time) (hosts []Host, reads bool)
	// Follow returns the changes after a revision as Directory.Watch does, and
	// everything for revision 0.
	Follow(ctx context.Context, h Host, after Revision, wait time.Duration) (FeedNews, error)
	// Lost takes a hint that a host could not be reached.
	Lost(now time.Time, h Host)
}

// FeedSource tells other hosts what this one knows of the directory.
type FeedSource interface {
	// Follow returns the changes after a revision as soon as there is one, or
	// none at the end of wait; everything for revision 0.
	Follow(ctx context.Context, after Revision, wait time.Duration) (FeedNews, error)
}
