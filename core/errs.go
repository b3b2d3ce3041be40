package core

import (
	"errors"
	"fmt"
)

// CallError describes a failed call to a backend server or another host. NotRun
// is set only if the call certainly did not run: the dial failed or the server
// rejected the call before starting it.
type CallError struct {
	Op     string // operation, such as "read"
	Target string // address or host
	Reason Reason
	NotRun bool
	Cause  error
}

// Error names the operation, the target and the cause.
func (e *CallError) Error() string {
	run := "may have run"
	if e.NotRun {
		run = "not run"
	}
	if e.Cause == nil {
		return fmt.Sprintf("%s %s: %s (%s)", e.Op, e.Target, e.Reason, run)
	}
	return fmt.Sprintf("%s %s: %s (%s): %v", e.Op, e.Target, e.Reason, run, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// ErrHistoryGone is returned when a directory, or a host that serves its changes,
// no longer has the changes after a revision.
var ErrHistoryGone = errors.New("core: changes after the given revision are no longer available")

// ErrLowerEra is returned when a directory, or a host that serves its changes, is in a lower
// era than the caller.
var ErrLowerEra = errors.New("core: directory data of a lower era")

// ErrNoMemory is returned for a request that was not started because there is no memory for it.
var ErrNoMemory = errors.New("core: no memory for the request")
