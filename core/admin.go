package core

import "time"

// HostStatus is the state of one host as this host knows it.
type HostStatus struct {
	Host  Host
	State PeerState
	Self  bool // the entry is this host's own
}

// HostSource lists all hosts that this host knows, with their states.
type HostSource interface {
	HostStatuses(now time.Time) []HostStatus
}

// SectionStatus describes an active configuration section. Since and Source are
// empty when this host does not know when and from where it got the section.
type SectionStatus struct {
	Kind     string
	Name     string
	Team     string
	Edition  Edition
	Revision Revision
	Hash     uint64
	Removed  bool // the section states that its service or caller no longer exists
	Since    time.Time
	Source   string // "platform" or the host that sent the section
}

// RefusedSection is a section that was refused when its document was read.
type RefusedSection struct {
	Section  string
	Revision Revision
	Reason   string
}

// SectionSource lists the active and the refused configuration sections.
type SectionSource interface {
	SectionStatuses() []SectionStatus
	RefusedSections() []RefusedSection
}

// ReplicaReport describes a configured replica. Its slots, connections and state
// are those that this host sees.
type ReplicaReport struct {
	Service     ServiceName
	Group       GroupID
	Address     string
	DataCentre  DataCentre
	Owner       HostID
	SlotsInUse  int
	Slots       int // calls that this host may run on the replica now
	Connections int
	State       string
	Reason      string // why the replica is in this state
}

// ReplicaSource reports the replicas as this host sees them.
type ReplicaSource interface {
	ReplicaReports(now time.Time) []ReplicaReport
}

// TokenSource counts the order tokens of this host by state.
type TokenSource interface {
	TokenCounts() map[string]int
}

// BudgetReport describes the hedge or retry budget of one service.
type BudgetReport struct {
	Service   ServiceName
	Kind      string        // "hedge" or "retry"
	Share     float64       // extra calls allowed for each first attempt
	Available float64       // extra calls that may start now
	Used      uint64        // extra calls that the budget allowed
	Denied    uint64        // extra calls that the budget denied
	Delay     time.Duration // hedge delay; zero for retries
}

// BudgetSource reports the hedge and retry budgets of this host.
type BudgetSource interface {
	BudgetReports(now time.Time) []BudgetReport
}

// PauseSource counts the detected pauses of this host's process.
type PauseSource interface {
	Pauses() uint64
}

// Readiness reports whether a host may receive requests and, if not, why.
type Readiness interface {
	Readiness() (ready bool, reasons []string)
}

// LogLevels reads and changes the log level of a host.
type LogLevels interface {
	Level() string
	SetLevel(text string) error
}
