package eject

import (
	"fmt"
	"time"
)

// Reason returns the reason for the state of a replica, for operators.
func (g *Group) Reason(now time.Time, i int) string {
	r := &g.replicas[i]
	switch g.State(i) {
	case Draining:
		return fmt.Sprintf("said so %s ago", now.Sub(r.drainingAt).Round(time.Millisecond))
	case Gone:
		return fmt.Sprintf("%d connection failures in a row", r.connectFailures)
	case Ejected:
		return fmt.Sprintf("slow calls %.0f%%, next trial in %s", 100*r.slowShare, max(0, r.trialAt.Sub(now)).Round(time.Millisecond))
	case Cold:
		return "its own report"
	}
	if !r.hasStatus {
		return "no report yet"
	}
	if r.allowed < g.opts.Slots {
		return fmt.Sprintf("ramping up, %d of %d slots", r.allowed, g.opts.Slots)
	}
	return "its own report"
}
