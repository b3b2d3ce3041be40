package core

import "time"

// Query is one read over all shards of a service.
type Query struct {
	ID          RequestID
	Caller      CallerName
	Service     ServiceName
	Body        []byte
	Deadline    time.Time
	MinCoverage float64
	Priority    int
	Repeatable  bool
}

// GroupSnapshot says that a replica group holds shards of a snapshot.
type GroupSnapshot struct {
	Group      GroupID
	Snapshot   SnapshotID
	ShardCount int
	Shards     []ShardID
}

// HoldsNothing is the statement of an owner that no live replica of a group
// holds any shard. A group that is absent from a reply was not asked yet.
func HoldsNothing(g GroupID) GroupSnapshot { return GroupSnapshot{Group: g} }

// IsNothing reports whether h is a statement made by HoldsNothing.
func (h GroupSnapshot) IsNothing() bool {
	return h.Snapshot == 0 && h.ShardCount == 0 && len(h.Shards) == 0
}

// Pin is the snapshot chosen for one query and where its shards are.
type Pin struct {
	snapshot SnapshotID
	groups   []GroupID // by shard; -1 where no group is known
}

// NoGroup marks a shard of a snapshot that no group holds.
const NoGroup GroupID = -1

// NewPin returns a pin whose shard i is held by groups[i].
func NewPin(snapshot SnapshotID, groups []GroupID) Pin {
	return Pin{snapshot: snapshot, groups: groups}
}

// Snapshot returns the pinned snapshot.
func (p Pin) Snapshot() SnapshotID { return p.snapshot }

// ShardCount returns the size of the snapshot's own shard map.
func (p Pin) ShardCount() int { return len(p.groups) }

// Group returns the group that holds a shard, or NoGroup.
func (p Pin) Group(s ShardID) GroupID { return p.groups[s] }

// ShardRef names a shard and the replica group that holds it.
type ShardRef struct {
	Shard ShardID
	Group GroupID
}

// ReadBatch asks the owner of some groups for their shards of one query.
type ReadBatch struct {
	Query    Query
	Snapshot SnapshotID
	Shards   []ShardRef
	// Unacknowledged is called if no acknowledgement comes in time, and the batch
	// goes on. The batch fails instead when it is nil.
	Unacknowledged func()
}

// ShardResult is the result of one shard: rows, or the reason for none.
type ShardResult struct {
	Shard    ShardID
	Snapshot SnapshotID
	Rows     []byte
	Missing  Reason
	Attempts int
}

// MissingShard tells why a shard does not count towards coverage.
type MissingShard struct {
	Shard  ShardID
	Reason Reason
}

// Answer is what a caller gets for a query.
type Answer struct {
	Outcome      Outcome
	Reason       Reason
	Snapshot     SnapshotID
	Answered     int
	Total        int
	Missing      []MissingShard
	BelowMinimum bool
	Rows         [][]byte // one JSON array a shard, in shard order
	RetryAfter   time.Duration
}

// Order is a request that must not run twice.
type Order struct {
	Caller  CallerName
	Service ServiceName
	Key     string
	Body    []byte
}

// OrderResult is what a caller gets for an order.
type OrderResult struct {
	Outcome    Outcome
	Reason     Reason
	Body       []byte
	Token      string // a fresh token, with a refusal for want of one
	RetryAfter time.Duration
}
