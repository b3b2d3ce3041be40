package core

import "time"

// Query is one read over all shards of a service.
type Query struct {
	ID          RequestID
	Caller      CallerName
	Service     ServiceName
	Body        []byte
	Deadline    time.Time
	MinCoverage float64 // smallest acceptable share of answered shards
	Priority    int     // higher goes first
	Repeatable  bool    // shard calls may be hedged and retried
}

// GroupSnapshot lists the shards of one snapshot that a replica group holds.
type GroupSnapshot struct {
	Group      GroupID
	Snapshot   SnapshotID
	ShardCount int
	Shards     []ShardID
}

// EmptyGroup returns the entry by which an owner reports that no live replica of
// a group holds any shard. If a reply has no entry for a group, the owner has not
// yet asked all of the group's replicas.
func EmptyGroup(g GroupID) GroupSnapshot { return GroupSnapshot{Group: g} }

// IsEmpty reports whether s is an entry that EmptyGroup returns.
func (s GroupSnapshot) IsEmpty() bool {
	return s.Snapshot == 0 && s.ShardCount == 0 && len(s.Shards) == 0
}

// Pin is the snapshot chosen for one query and the replica group of each of its
// shards.
type Pin struct {
	snapshot SnapshotID
	groups   []GroupID // by shard; NoGroup where no group is known
}

// NoGroup marks a shard of a snapshot that no known group holds.
const NoGroup GroupID = -1

// NewPin returns a pin whose shard i is held by groups[i].
func NewPin(snapshot SnapshotID, groups []GroupID) Pin {
	return Pin{snapshot: snapshot, groups: groups}
}

// Snapshot returns the pinned snapshot.
func (p Pin) Snapshot() SnapshotID { return p.snapshot }

// ShardCount returns the number of shards of the snapshot, which may differ from
// that of other snapshots.
func (p Pin) ShardCount() int { return len(p.groups) }

// Group returns the group that holds a shard, or NoGroup.
func (p Pin) Group(s ShardID) GroupID { return p.groups[s] }

// ShardRef names a shard and the replica group that holds it.
type ShardRef struct {
	Shard ShardID
	Group GroupID
}

// ReadBatch is a request to one owner for shards of a query that its replica
// groups hold.
type ReadBatch struct {
	Query    Query
	Snapshot SnapshotID
	Shards   []ShardRef
	// Unacknowledged is called when the owner does not acknowledge the batch in
	// time; the batch then continues. If it is nil, the batch fails instead.
	Unacknowledged func()
}

// ShardResult is the result of one shard: its rows, or the reason why they are
// missing.
type ShardResult struct {
	Shard    ShardID
	Snapshot SnapshotID
	Rows     []byte
	Missing  Reason
	Attempts int
}

// MissingShard is a shard that does not count towards coverage, and the reason.
type MissingShard struct {
	Shard  ShardID
	Reason Reason
}

// Answer is the answer to a caller's query.
type Answer struct {
	Outcome      Outcome
	Reason       Reason
	Snapshot     SnapshotID
	Answered     int
	Total        int
	Missing      []MissingShard
	BelowMinimum bool     // coverage is below the query's MinCoverage
	Rows         [][]byte // one JSON array for each shard, in shard order
	RetryAfter   time.Duration
}

// Order is a request that must not run twice.
type Order struct {
	Caller  CallerName
	Service ServiceName
	Key     string
	Body    []byte
}

// OrderResult is the answer to a caller's order.
type OrderResult struct {
	Outcome    Outcome
	Reason     Reason
	Body       []byte
	Token      string // new token for a caller that sent none
	RetryAfter time.Duration
}
