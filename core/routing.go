package core

import (
	"context"
	"time"
)

// InstanceID identifies one run of a backend server.
type InstanceID string

// Share is one service of a route's split and its weight relative to the others.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route defines which services get the requests for one HTTP host and path
// prefix, and the limits of these requests.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // a request may run more than once
	Timeout    time.Duration
	Target     time.Duration // latency up to which an answer has its full value
	Attempts   int           // most calls to replicas for one request or shard
	Priority   int           // 0 is the highest
	Split      []Share       // services of which one serves the request; empty for a gather route
	Gather     []ServiceName // one service for each shard; empty for a split route
	TopK       int           // records in a gathered answer
	MinRatio   float64       // smallest share of the shards that a gathered answer must include
}

// Upstream holds the settings of one service in the routing document.
type Upstream struct {
	Name        ServiceName
	HealthPath  string
	Connections int           // most connections that a replica accepts from all hosts together
	Warmup      time.Duration // how long a replica is cold after its start
	WarmupRate  float64       // requests per second that a cold replica tolerates; 0 for no limit
}

// CallerLimits bounds the size of a caller's request and the time it takes to
// send it.
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
	Warmup     time.Duration // remaining time in which the replica is slow after its start
	Born       int64         // start of this run in Unix milliseconds; distinguishes runs that share an ID
	Sequence   int64         // rises when the replica writes its entry again
}

// Evacuation states whether a data centre is evacuated: while it is, its replicas get no
// requests.
type Evacuation struct {
	DataCentre DataCentre
	Ended      bool
}

// DirectoryItem is one item of the directory: the entry of an instance, the routing
// document, or the evacuation of a data centre.
type DirectoryItem struct {
	ID         InstanceID // empty for the routing document; not that of an instance for an evacuation
	Revision   Revision   // revision of the item's last change
	Instance   *Instance  // nil when the entry was removed or cannot be used
	Routing    *Routing
	RoutingEra Era // in which the document was written; set by the host that read it
	Evacuation *Evacuation
}

// EvacuationItem returns the item of an evacuation. Its ID is not empty, since hosts of an
// earlier version store an item without ID as the routing document.
func EvacuationItem(r Revision, e Evacuation) DirectoryItem {
	return DirectoryItem{ID: InstanceID("evacuate/" + string(e.DataCentre)), Revision: r, Evacuation: &e}
}

// Removed reports whether the item records a removal or names no usable replica.
func (i DirectoryItem) Removed() bool {
	return i.Instance == nil && i.Routing == nil && (i.Evacuation == nil || i.Evacuation.Ended)
}

// Era counts how often a directory has returned from an older copy. Revisions of different
// eras can't be compared: later eras give the same ones out again.
type Era uint64

// Position is a point in the history of a directory.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether a position is earlier than another one.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

// DirectoryUpdate holds items of a directory up to a revision: all of them, or those
// that changed since an earlier revision of the same era.
type DirectoryUpdate struct {
	Era      Era
	Revision Revision
	Items    []DirectoryItem // in the order of their changes
}

// Position returns the position up to which the update describes the directory.
func (u DirectoryUpdate) Position() Position { return Position{Era: u.Era, Revision: u.Revision} }

// Directory reads the published instances and the routing document.
type Directory interface {
	// List returns all items.
	List(ctx context.Context) (DirectoryUpdate, error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// when wait has passed. After ErrHistoryGone, and if the update's era is not that of
	// the revision, List must be called again.
	Watch(ctx context.Context, after Revision, wait time.Duration) (DirectoryUpdate, error)
}

// HeaderNames holds the names of the header fields that the relay exchanges with
// callers and replicas.
type HeaderNames struct {
	RequestID  string // identifies a caller's attempt; replicas return it
	Deadline   string // remaining time in milliseconds
	Stamp      string // a replica's signature of its answer
	Expect     string // the instance that a call is meant for
	Instance   string // the instance that answered
	NotRun     string // present when a replica did not run the request
	Load       string // running calls, waiting calls and slots of a replica
	Parts      string // stamps of the parts of a gathered answer
	Missing    string // number of shards missing from a gathered answer
	RetryAfter string // seconds, with fractions
	Leaving    string // 1 when a replica is about to stop
	Warmup     string // remaining time in milliseconds for which a replica is cold
}

// Field is one HTTP header field.
type Field struct {
	Name  string
	Value string
}

// FeedUpdate is another host's reply about the directory: items and how current
// they are.
type FeedUpdate struct {
	Update DirectoryUpdate
	// Age is the time since the directory was read, by that host or by the one
	// that it follows.
	Age time.Duration
	// OutageGrace is the remaining time in which missing entries are kept after an
	// outage of the directory: they may have expired during the outage, and their
	// replicas may publish them again.
	OutageGrace time.Duration
}

// Feeds reads the directory's content from other hosts, so that only a few hosts
// read the directory itself.
type Feeds interface {
	// Sources returns the hosts to follow, best first, and whether this host should
	// read the directory itself.
	Sources(now time.Time) (hosts []Host, reads bool)
	// Follow returns the changes after a revision of an era as Directory.Watch does, or
	// all items after revision 0 or if the host's era is higher. A host of a lower era
	// returns ErrLowerEra.
	Follow(ctx context.Context, h Host, era Era, after Revision, wait time.Duration) (FeedUpdate, error)
	// MarkDown reports that a host could not be reached.
	MarkDown(now time.Time, h Host)
}

// FeedSource serves the directory's content to other hosts.
type FeedSource interface {
	// Follow returns the changes after a revision of an era as soon as there are any, or
	// none when wait has passed. After revision 0, and if the source's era is higher, it
	// returns all items at once. A source of a lower era returns ErrLowerEra.
	Follow(ctx context.Context, era Era, after Revision, wait time.Duration) (FeedUpdate, error)
}
