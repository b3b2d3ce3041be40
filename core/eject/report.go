package eject

import (
	"fmt"
	"time"
)

// Why explains the state of a replica to operators.
func (g *Group) Why(now time.Time, i int) string {
	r := &g.replicas[i]
	switch g.State(i) {
	case Draining:
		return fmt.Sprintf("said so %s ago", now.Sub(r.drained).Round(time.Millisecond))
	case Gone:
		return fmt.Sprintf("%d connection failures in a row", r.missed)
	case Ejected:
		return fmt.Sprintf("slow calls %.0f%%, next trial in %s", 100*r.slow, max(0, r.trialAt.Sub(now)).Round(time.Millisecond))
	case Cold:
		return "its own report"
	}
	if !r.known {
		return "no report yet"
	}
	if r.allowed < g.opts.Slots {
		return fmt.Sprintf("ramping up, %d of %d slots", r.allowed, g.opts.Slots)
	}
	return "its own report"
}
