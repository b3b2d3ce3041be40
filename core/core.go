// Package core holds the domain types of the query tier and the interfaces
// between its packages. The packages below core implement the decisions; those in
// oriolebarrow/io implement sockets, timers and workers.
//
// # Usage
//
// Packages below core take time and randomness as arguments and start no
// goroutine, so that a test can drive them one event at a time:
//
//	view := core.NewView(7, hosts)
//	owner, standby := place.New(10).Owner(view, "tickets", 3)
package core

// HostID identifies one host of the query tier.
type HostID string

// DataCentre names the data centre of a host or a backend server.
type DataCentre string

// ServiceName names a backend service.
type ServiceName string

// CallerName names a caller and its configuration section.
type CallerName string

// GroupID is the index of a replica group in the configuration section of its
// service.
type GroupID int32

// ShardID is the index of a shard in the shard map of one snapshot.
type ShardID int32

// SnapshotID identifies a snapshot, one version of a service's data. Newer
// snapshots have higher IDs.
type SnapshotID uint64

// Incarnation distinguishes successive runs of one host or backend server. A
// later run has a higher number. A running host raises its own number to refute a
// false claim about its state.
type Incarnation uint64

// Revision is the platform's revision of the configuration document or of the
// directory.
type Revision uint64

// Edition is the version number that a team gives its configuration section.
type Edition uint64

// RequestID identifies one caller request in logs and between hosts.
type RequestID string

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Reason explains a missing shard, a rejection or an unknown outcome.
type Reason string

// Reasons for missing shards, rejections and unknown outcomes.
const (
	ReasonDeadline       Reason = "deadline"
	ReasonNoReplica      Reason = "no_replica"
	ReasonNoOwner        Reason = "no_owner"
	ReasonOverload       Reason = "overload"
	ReasonSnapshotGone   Reason = "snapshot_gone"
	ReasonWrongAnswer    Reason = "wrong_answer"
	ReasonBackendError   Reason = "backend_error"
	ReasonOwnerLost      Reason = "owner_lost"
	ReasonTooLarge       Reason = "too_large"
	ReasonNoToken        Reason = "no_token"
	ReasonTokenUnknown   Reason = "token_unknown"
	ReasonTokenExpired   Reason = "token_expired"
	ReasonTokenDiffers   Reason = "token_differs" // the token was used with another order
	ReasonIssuerGone     Reason = "issuer_gone"
	ReasonTableFull      Reason = "table_full"
	ReasonDraining       Reason = "draining"
	ReasonBusy           Reason = "busy" // a backend server has no free slot
	ReasonCold           Reason = "cold" // cold replicas are at their limit
	ReasonUnknownCaller  Reason = "unknown_caller"
	ReasonUnknownService Reason = "unknown_service"
	ReasonRate           Reason = "rate"
	ReasonConcurrency    Reason = "concurrency"
	ReasonUnclear        Reason = "unclear_result"
	ReasonNotReady       Reason = "not_ready"
	ReasonNoRoute        Reason = "no_route"
	ReasonBudget         Reason = "retry_budget"
	ReasonCallerLeft     Reason = "caller_left"
	ReasonUnreadable     Reason = "unreadable_body" // truncated or malformed
)
