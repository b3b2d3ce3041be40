package queue

import (
	"time"

	"oriolebarrow/core"
)

// Task is one shard read or one order that waits for a replica.
type Task struct {
	ID       uint64
	Caller   core.CallerName
	Priority int             // higher goes first
	Snapshot core.SnapshotID // zero if any replica will do
	Shard    core.ShardID
	Deadline time.Time
	Once     bool // never sent a second time, whatever the result
}

// Kind says what an action asks for.
type Kind int

// Kinds of action.
const (
	Start  Kind = iota // call Replica for Task
	Finish             // Task has its result from Attempt
	Fail               // Task ends without a result
	Cancel             // ask Replica to end Attempt
)

// Choice says why a call starts or is cancelled.
type Choice string

// Choices, for the decision log.
const (
	First     Choice = "first"     // first attempt
	Hedge     Choice = "hedge"     // the first attempt passed the hedge delay
	Retry     Choice = "retry"     // the last attempt was refused as not run
	Repeat    Choice = "repeat"    // the last attempt of a read had no clear result
	Lost      Choice = "lost"      // cancelled: another attempt answered first
	Expired   Choice = "expired"   // cancelled: the deadline passed
	Withdrawn Choice = "withdrawn" // cancelled: the caller no longer waits
	Abandoned Choice = "abandoned" // cancelled: the task failed
)

// Action is one thing to carry out.
type Action struct {
	Kind    Kind
	Task    uint64
	Attempt uint64
	Replica int
	Choice  Choice // with Start and Cancel
	Reason  core.Reason
	NotRun  bool // with Fail: no attempt can have run
}

// Status is the result of an attempt.
type Status int

// Results of an attempt.
const (
	OK      Status = iota
	Refused        // proof that it did not run
	Failed         // it may have run
)

// Result tells how an attempt ended.
type Result struct {
	Status Status
	Reason core.Reason
}

// noReplica marks a task without a replica to avoid.
const noReplica = -1

type task struct {
	Task
	serial   uint64
	running  []*attempt
	unclear  bool // an attempt may have run
	tried    int
	avoid    int // replica of the last attempt that was refused or failed
	next     Choice
	home     int // line of the task
	deadline *alarm
	hedge    *alarm
	gone     bool // finished, failed or withdrawn

	queued bool // in a line
	level  *level
	share  *share
	extra  bool // in the list of pending extra attempts
}

type attempt struct {
	id        uint64
	task      *task
	replica   int
	started   time.Time
	cancelled bool
}

// alarm is a deadline or the due time of a hedge.
type alarm struct {
	at   time.Time
	task *task
	off  bool
}
