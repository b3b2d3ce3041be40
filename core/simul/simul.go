// Package simul runs events in simulated time. It is for load tests of packages that take the
// time as an argument: minutes of load take milliseconds and always go the same way.
//
// # Usage
//
//	clock := simul.New()
//	clock.After(time.Second, func() { fmt.Println(clock.Elapsed()) })
//	clock.Run()
package simul

import (
	"time"

	"oriolebarrow/core/pqueue"
)

// epoch is the simulated time at which each clock starts.
var epoch = time.Unix(1000, 0)

// Clock holds the simulated time and the events that are due later. It is not safe for
// concurrent use.
type Clock struct {
	elapsed time.Duration
	events  *pqueue.Heap[event]
}

type event struct {
	at time.Duration
	do func()
}

// New returns a Clock without events.
func New() *Clock {
	return &Clock{events: pqueue.NewHeap(func(a, b event) bool { return a.at < b.at })}
}

// Elapsed returns the simulated time since the start.
func (c *Clock) Elapsed() time.Duration { return c.elapsed }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return epoch.Add(c.elapsed) }

// After schedules an event.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.elapsed+d, do) }

// At schedules an event at a time since the start.
func (c *Clock) At(at time.Duration, do func()) { c.events.Push(event{at: at, do: do}) }

// Run runs the events in the order of their times until there are none.
func (c *Clock) Run() {
	for {
		e, ok := c.events.Pop()
		if !ok {
			return
		}
		c.elapsed = e.at
		e.do()
	}
}
