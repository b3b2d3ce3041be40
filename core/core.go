// Package core holds the domain types of the query tier and the interfaces
// between its parts. Implementations live in the packages below it (decisions)
// and in oriolebarrow/io (sockets, timers, workers).
//
// # Usage
//
// Packages below core take time and randomness as arguments and start no
// goroutine, so a test drives them one event at a time:
//
//	view := core.NewView(7, hosts)
//	owner, standby := place.New(10).Owner(view, "tickets", 3)
package core

// HostID names one host of the query tier.
type HostID string

// DataCentre names the data centre of a host or a backend server.
type DataCentre string

// ServiceName names a backend service.
type ServiceName string

// CallerName names a caller section.
type CallerName string

// GroupID numbers a replica group of a service, as listed in its section.
type GroupID int32

// ShardID numbers a shard within one snapshot's shard map.
type ShardID int32

// SnapshotID orders the index versions of a service.
type SnapshotID uint64

// Incarnation distinguishes successive lives of one host or backend server.
type Incarnation uint64

// Revision is the platform's revision of the configuration document.
type Revision uint64

// Edition is the team's own version number of one section.
type Edition uint64

// RequestID identifies one caller request in logs and between hosts.
type RequestID string

// Outcome is what an answer promises about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	Complete Outcome = "complete"
	Partial  Outcome = "partial"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Reason explains a missing shard, a refusal or an unknown outcome.
type Reason string

// Reasons for missing shards and refusals.
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
	ReasonTokenDiffers   Reason = "token_differs" // the token belongs to other content
	ReasonIssuerGone     Reason = "issuer_gone"
	ReasonTableFull      Reason = "table_full"
	ReasonDraining       Reason = "draining"
	ReasonBusy           Reason = "busy" // a backend server has no free slot
	ReasonUnknownCaller  Reason = "unknown_caller"
	ReasonUnknownService Reason = "unknown_service"
	ReasonRate           Reason = "rate"
	ReasonConcurrency    Reason = "concurrency"
	ReasonUnclear        Reason = "unclear_result"
	ReasonNotReady       Reason = "not_ready"
	ReasonNoRoute        Reason = "no_route"
	ReasonBudget         Reason = "retry_budget"
	ReasonCallerLeft     Reason = "caller_left"
	ReasonUnreadable     Reason = "unreadable_body" // cut or malformed
)
