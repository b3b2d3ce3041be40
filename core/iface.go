package core

import (
	"context"
	"time"
)

// Placer decides which hosts of a view own replica groups and which ones read from
// the platform.
type Placer interface {
	// OwnerSet returns the hosts that may own groups of the service.
	OwnerSet(v View, s ServiceName) []HostID
	// Owner returns the owner and the standby of a group; either may be empty.
	Owner(v View, s ServiceName, g GroupID) (owner, standby HostID)
	// Readers returns the hosts of a data centre that watch the platform for the
	// revision after r. Other values of rotation give other hosts, which take over
	// while no newer revision arrives.
	Readers(v View, dc DataCentre, r Revision, rotation uint64) []HostID
}

// Selector chooses the snapshot for a query.
type Selector interface {
	Select(s ServiceName) (Pin, bool)
}

// Admitter decides whether a caller's request may start now. The release
// function must be called when the request ends.
type Admitter interface {
	Admit(now time.Time, c Caller) (release func(), refused *Refusal)
}

// Refusal is a decision not to run a request, with a hint when to retry it.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Settings returns the services and callers of the active configuration sections.
type Settings interface {
	Service(s ServiceName) (Service, bool)
	Services() []Service
	Caller(c CallerName) (Caller, bool)
	// Revision returns the highest platform revision that this host has applied
	// completely.
	Revision() Revision
}

// ReplicaStatus is a backend server's report about itself. It may be out of date.
type ReplicaStatus struct {
	Incarnation Incarnation
	State       ReplicaState
	Load        int
	Snapshots   []GroupSnapshot // without Group
}

// ReplicaState is the state that a backend server reports.
type ReplicaState string

// Replica states.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaCold     ReplicaState = "cold"
	ReplicaDraining ReplicaState = "draining"
)

// ReadCall is one call to one replica for one shard.
type ReadCall struct {
	CallID    string
	RequestID RequestID
	Service   ServiceName
	Snapshot  SnapshotID
	Shard     ShardID
	Body      []byte
	Deadline  time.Time
	MaxBytes  int
}

// OrderCall is one call to one replica that executes an order.
type OrderCall struct {
	OrderID   string
	RequestID RequestID
	Service   ServiceName
	Key       string
	Body      []byte
	Deadline  time.Time
	MaxBytes  int
}

// Backend calls backend servers. Errors are *CallError.
type Backend interface {
	Status(ctx context.Context, address string) (ReplicaStatus, error)
	Read(ctx context.Context, address string, c ReadCall) ([]byte, error)
	// Cancel asks the server to end a call. The method that made the call then
	// returns.
	Cancel(ctx context.Context, address, callID string) error
	Order(ctx context.Context, address string, o OrderCall) ([]byte, error)
}

// ConnectionLimiter limits the open connections to one backend server.
type ConnectionLimiter interface {
	SetConnectionLimit(address string, connections int)
}

// PeerClient sends requests to other hosts.
type PeerClient interface {
	// Read sends a batch. It calls sink for each shard result and returns when all
	// have arrived, the context has ended, or the owner is lost.
	Read(ctx context.Context, h Host, b ReadBatch, sink func(ShardResult)) error
	Order(ctx context.Context, h Host, id string, req RequestID, o Order, g GroupID, deadline time.Time) (OrderResult, error)
	Redeem(ctx context.Context, h Host, token string, req RequestID, o Order, deadline time.Time) (OrderResult, error)
	Snapshots(ctx context.Context, h Host, s ServiceName) ([]GroupSnapshot, error)
}

// BatchReader sends a batch to another host, as PeerClient.Read does.
type BatchReader interface {
	Read(ctx context.Context, h Host, b ReadBatch, sink func(ShardResult)) error
}

// HostEntry is one entry of the published host list.
type HostEntry struct {
	Host    Host
	Leaving bool
}

// Document is one revision of the configuration document.
type Document struct {
	Revision Revision
	Text     []byte
	// Unchanged is set, and Text is empty, if a watch ended without a change.
	Unchanged bool
}

// Platform reads what the platform publishes. It writes nothing.
type Platform interface {
	// Document waits until the document's revision is above after. When the
	// service's own wait time has passed, it returns the current document or one
	// marked as unchanged.
	Document(ctx context.Context, after Revision) (Document, error)
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// GroupOwner runs calls on the replica groups that this host owns.
type GroupOwner interface {
	// Read calls sink once for each shard and returns when all shards have a result.
	Read(ctx context.Context, b ReadBatch, sink func(ShardResult))
	Order(ctx context.Context, call OrderCall, g GroupID) OrderResult
	// Snapshots returns the snapshots and shards of the live replicas of the groups.
	// For a group without any, it returns EmptyGroup once all replicas were asked,
	// and no entry before.
	Snapshots(ctx context.Context, s ServiceName, ids []GroupID) []GroupSnapshot
}

// Views returns the hosts that get work now. MarkDown reports that a host could
// not be reached.
type Views interface {
	View(now time.Time) View
	MarkDown(now time.Time, id HostID)
}

// Reachability returns the hosts that are running, ready or not. MarkDown reports that a
// host could not be reached.
type Reachability interface {
	Reachable(now time.Time) View
	MarkDown(now time.Time, id HostID)
}

// Locator finds a known host whether or not it is in the view. A leaving host, for
// example, is not in the view but can still be reached.
type Locator interface {
	Locate(id HostID) (Host, bool)
}

// Announcer sends changes of this host's state to other hosts.
type Announcer interface {
	// Leave announces that this host accepts no new work. It returns once the
	// announcement is sent.
	Leave(ctx context.Context)
}

// RequestHandler serves the requests of callers.
type RequestHandler interface {
	Query(ctx context.Context, q Query) Answer
	IssueToken() OrderResult
	Order(ctx context.Context, token string, req RequestID, o Order, deadline time.Time) OrderResult
}

// Budget estimates the service times of one service and limits its extra calls.
type Budget interface {
	// RecordCall counts a first attempt, which adds to the hedge and the retry budget.
	RecordCall()
	TakeHedge() bool
	TakeRetry() bool
	// Observe records a call that took d, or at least d if it was cancelled.
	Observe(d time.Duration)
	HedgeDelay() time.Duration
	// Times returns the mean, the median and a low quantile of the service times, or
	// zeros before enough calls were observed.
	Times() (mean, median, fast time.Duration)
}

// CallEnd describes how a call to a replica ended.
type CallEnd struct {
	Took      time.Duration
	Median    time.Duration // median time of the service's calls, or zero
	Refused   bool          // the call certainly did not run
	Failed    bool          // the call failed and may have run
	Cancelled bool          // the call would have taken longer than Took
	Reason    Reason
	Snapshot  SnapshotID
	Shard     ShardID
}

// Health decides how many calls each replica of a group may get.
type Health interface {
	// Slots returns the number of calls that may run on the replica at once now.
	Slots(now time.Time, replica int) int
	// Trial reports whether the next call to the replica tests if it has recovered.
	Trial(now time.Time, replica int) bool
	// Available reports whether the replica may get calls now, or later without a new
	// report of its own. It is false for a draining replica.
	Available(replica int) bool
	Holds(replica int, snapshot SnapshotID, shard ShardID) bool
	Started(now time.Time, replica int)
	Ended(now time.Time, replica int, e CallEnd)
	// NextChange returns the next time at which a replica may get calls again
	// although no event occurs, or the zero time.
	NextChange(now time.Time) time.Time
}
