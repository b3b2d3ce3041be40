package core

import "time"

// HostStatus is one host as this host sees it.
type HostStatus struct {
	Host  Host
	State PeerState
	Self  bool
}

// HostSource tells what this host knows about all hosts.
type HostSource interface {
	HostStatuses(now time.Time) []HostStatus
}

// SectionStatus is a configuration section in force. Since and Source are empty
// when it is not known how the section came to this host.
type SectionStatus struct {
	Kind     string
	Name     string
	Team     string
	Edition  Edition
	Revision Revision
	Hash     uint64
	Removed  bool
	Since    time.Time
	Source   string // "platform" or the host it came from
}

// RefusedSection is a published section that is not in force.
type RefusedSection struct {
	Section  string
	Revision Revision
	Reason   string
}

// SectionSource tells which sections are in force and which were refused.
type SectionSource interface {
	SectionStatuses() []SectionStatus
	RefusedSections() []RefusedSection
}

// ReplicaReport is a replica of a group that this host knows.
type ReplicaReport struct {
	Service     ServiceName
	Group       GroupID
	Address     string
	DataCentre  DataCentre
	Owner       HostID
	SlotsInUse  int
	Slots       int
	Connections int
	State       string
	Reason      string // why it is in this state
}

// ReplicaSource tells the state of replicas as this host sees it.
type ReplicaSource interface {
	ReplicaReports(now time.Time) []ReplicaReport
}

// TokenSource counts the order tokens of this host by state.
type TokenSource interface {
	TokenCounts() map[string]int
}

// BudgetReport is the use of a hedge or retry budget of one service.
type BudgetReport struct {
	Service   ServiceName
	Kind      string  // "hedge" or "retry"
	Share     float64 // calls allowed as a share of calls needed
	Available float64 // calls that the budget allows now
	Used      uint64
	Denied    uint64
	Delay     time.Duration // hedge delay; zero for retries
}

// BudgetSource tells how much of each budget of this host is left.
type BudgetSource interface {
	BudgetReports(now time.Time) []BudgetReport
}

// PauseSource counts the pauses of the process that this host has noticed.
type PauseSource interface {
	Pauses() uint64
}

// Readiness tells whether a host may get requests and, if not, why.
type Readiness interface {
	Readiness() (ready bool, reasons []string)
}

// Levels changes how much a host logs.
type Levels interface {
	Level() string
	SetLevel(text string) error
}
