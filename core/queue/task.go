package queue

import (
	"time"

	"oriolebarrow/core"
)

// Task is one shard call of a query, or one order, that a replica of the group
// must run.
type Task struct {
	ID       uint64
	Caller   core.CallerName
	Priority int             // higher goes first
	Snapshot core.SnapshotID // zero if every replica can run the task
	Shard    core.ShardID
	Deadline time.Time
	Once     bool // at most one attempt starts, whatever its result
}

// Kind is the kind of an action.
type Kind int

// Kinds of action.
const (
	Start  Kind = iota // call Replica for Task
	Finish             // Task ends with the result of Attempt
	Fail               // Task ends without a result
	Cancel             // ask Replica to stop running Attempt
)

// Cause is the cause of a start or a cancellation.
type Cause string

// Causes, which appear as the reason in the log of scheduling decisions.
const (
	First     Cause = "first"     // first attempt
	Hedge     Cause = "hedge"     // the running attempt took longer than the hedge delay
	Retry     Cause = "retry"     // the last attempt was refused and did not run
	Repeat    Cause = "repeat"    // the last attempt of a read failed and may have run
	Lost      Cause = "lost"      // cancelled: another attempt answered first
	Expired   Cause = "expired"   // cancelled: the deadline passed
	Withdrawn Cause = "withdrawn" // cancelled: the result is no longer needed
	Abandoned Cause = "abandoned" // cancelled: the task failed
)

// Action is a step that the user of the scheduler must carry out.
type Action struct {
	Kind    Kind
	Task    uint64
	Attempt uint64
	Replica int
	Cause   Cause       // with Start and Cancel
	Reason  core.Reason // with Fail
	NotRun  bool        // with Fail: no attempt can have run
}

// Status tells whether an attempt succeeded and, if not, whether it may have run.
type Status int

// Statuses of an attempt.
const (
	OK      Status = iota
	Refused        // it certainly did not run
	Failed         // it may have run
)

// Result describes how an attempt ended.
type Result struct {
	Status Status
	Reason core.Reason
}

// noReplica is the index that stands for no replica.
const noReplica = -1

type task struct {
	Task
	serial        uint64 // number of the task in order of arrival
	running       []*attempt
	mayHaveRun    bool  // an attempt may have run
	tries         int   // attempts started so far
	avoid         int   // replica of the last attempt that was refused or failed
	next          Cause // cause of the next attempt
	queueIndex    int   // index in Scheduler.queues
	deadlineTimer *timer
	hedgeTimer    *timer
	ended         bool // finished, failed or withdrawn

	queued      bool // in a waitQueue
	level       *level
	callerQueue *callerQueue
	extra       bool // in the list of pending extra attempts
}

type attempt struct {
	id        uint64
	task      *task
	replica   int
	started   time.Time
	cancelled bool
}

// timer is the deadline of a task or the time at which its hedge is due.
type timer struct {
	at      time.Time
	task    *task
	stopped bool
}
