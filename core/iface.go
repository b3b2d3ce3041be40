package core

import (
	"context"
	"time"
)

// Placer decides which host owns what in a view.
type Placer interface {
	// OwnerSet returns the hosts that may own groups of the service.
	OwnerSet(v View, s ServiceName) []HostID
	// Owner returns the owner and the standby of a group; either may be empty.
	Owner(v View, s ServiceName, g GroupID) (owner, standby HostID)
	// Readers returns the hosts of a data centre that watch the platform for the
	// revision after r. The turn moves the duty while no revision comes.
	Readers(v View, dc DataCentre, r Revision, turn uint64) []HostID
}

// Selector chooses the snapshot of a query.
type Selector interface {
	Select(s ServiceName) (Pin, bool)
}

// Admitter decides whether a caller's request may start now. The release
// function must be called when the request ends.
type Admitter interface {
	Admit(now time.Time, c Caller) (release func(), refused *Refusal)
}

// Refusal is a decision not to run a request, with a hint when to try again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Settings gives the sections in force.
type Settings interface {
	Service(s ServiceName) (Service, bool)
	Services() []Service
	Caller(c CallerName) (Caller, bool)
	// Revision is the highest platform revision seen.
	Revision() Revision
}

// ReplicaStatus is what a backend server reports about itself. It may lag.
type ReplicaStatus struct {
	Incarnation Incarnation
	State       ReplicaState
	Load        int
	Snapshots   []GroupSnapshot // Group is not set
}

// ReplicaState is the state that a backend server reports.
type ReplicaState string

// Replica states.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaCold     ReplicaState = "cold"
	ReplicaDraining ReplicaState = "draining"
)

// ReadCall is one call of one shard to one replica.
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

// OrderRun is one order to one replica.
type OrderRun struct {
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
	// Cancel asks the server to end a call. The call itself then returns.
	Cancel(ctx context.Context, address, callID string) error
	Order(ctx context.Context, address string, o OrderRun) ([]byte, error)
}

// Bounder limits the open connections to one backend server.
type Bounder interface {
	Bound(address string, connections int)
}

// Peers sends requests to other hosts.
type Peers interface {
	// Read sends a batch. It calls sink for each shard result and returns when
	// all came, the context ended, or the owner was lost.
	Read(ctx context.Context, h Host, b ReadBatch, sink func(ShardResult)) error
	Order(ctx context.Context, h Host, id string, req RequestID, o Order, g GroupID, deadline time.Time) (OrderResult, error)
	Redeem(ctx context.Context, h Host, token string, req RequestID, o Order, deadline time.Time) (OrderResult, error)
	Snapshots(ctx context.Context, h Host, s ServiceName) ([]GroupSnapshot, error)
}

// BatchReader sends a batch to another host, as Peers does.
type BatchReader interface {
	Read(ctx context.Context, h Host, b ReadBatch, sink func(ShardResult)) error
}

// HostEntry is one line of the published host list.
type HostEntry struct {
	Host    Host
	Leaving bool
}

// Document is one revision of the configuration document.
type Document struct {
	Revision Revision
	Text     []byte
	// Unchanged marks the end of a watch without news; there is no text then.
	Unchanged bool
}

// Platform reads what the platform publishes. It writes nothing.
type Platform interface {
	// Document waits until the document's revision is above after, or the
	// service's own wait time ended (then it is unchanged, or the current one).
	Document(ctx context.Context, after Revision) (Document, error)
	Hosts(ctx context.Context) ([]HostEntry, error)
}

// GroupOwner serves the replica groups that this host owns.
type GroupOwner interface {
	// Read calls sink once for each shard and returns when all are decided.
	Read(ctx context.Context, b ReadBatch, sink func(ShardResult))
	Order(ctx context.Context, run OrderRun, g GroupID) OrderResult
	// Snapshots says nothing about groups whose replicas were not all asked yet,
	// and HoldsNothing about those whose live replicas hold nothing.
	Snapshots(ctx context.Context, s ServiceName, ids []GroupID) []GroupSnapshot
}

// Views gives the live view and takes hints about lost hosts.
type Views interface {
	View(now time.Time) View
	MarkDown(now time.Time, id HostID)
}

// Reach tells which hosts run, ready or not, and takes hints about lost ones.
type Reach interface {
	Reachable(now time.Time) View
	MarkDown(now time.Time, id HostID)
}

// Locator finds a host that other hosts may still reach although it is not in
// the view, such as a leaving one.
type Locator interface {
	Locate(id HostID) (Host, bool)
}

// Announcer tells other hosts about this one.
type Announcer interface {
	// Leave says that this host takes no new work; it returns when it was sent.
	Leave(ctx context.Context)
}

// Requests serves what callers ask of a host.
type Requests interface {
	Query(ctx context.Context, q Query) Answer
	IssueToken() OrderResult
	Order(ctx context.Context, token string, req RequestID, o Order, deadline time.Time) OrderResult
}

// Budget learns the service times of one service and limits its extra calls.
type Budget interface {
	// Call earns the shares of one first attempt.
	Call()
	TakeHedge() bool
	TakeRetry() bool
	// Observe learns from a call that took d, or at least d if it was cancelled.
	Observe(d time.Duration)
	HedgeDelay() time.Duration
	// Times are zero until enough is learnt.
	Times() (mean, median, fast time.Duration)
}

// CallEnd tells how a call to a replica ended.
type CallEnd struct {
	Took      time.Duration
	Median    time.Duration // of the service, or zero
	Refused   bool          // proof that it did not run
	Failed    bool          // it may have run
	Cancelled bool          // it would have taken longer
	Reason    Reason
	Snapshot  SnapshotID
	Shard     ShardID
}

// Health tells which replicas of a group may take a call.
type Health interface {
	// Slots returns how many calls the replica may run now.
	Slots(now time.Time, replica int) int
	// Trial reports whether the next call to the replica is a trial.
	Trial(now time.Time, replica int) bool
	// Available is false while the replica can get no call at all.
	Available(replica int) bool
	Holds(replica int, snapshot SnapshotID, shard ShardID) bool
	Started(now time.Time, replica int)
	Ended(now time.Time, replica int, e CallEnd)
	// NextChange returns when a replica that is held back may take calls again
	// without any event, or the zero time.
	NextChange(now time.Time) time.Time
}
