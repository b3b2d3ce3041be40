// Package await orders the calls that wait at a host until a replica of their service has a
// free slot. A replica serves its own queue first in, first out, so that in an overload most
// of its answers are late. A host that sends no more calls than a replica has slots can
// instead choose the order, and let calls that can't be in time any more give way.
//
// # Order of service
//
// Calls that can still be in time go before those that can't. Among the former, the call that
// must start soonest goes first: short calls with a near target are not delayed by long ones.
// The others go in the order in which they became late.
//
// # Usage
//
//	q := await.New[*part]()
//	q.Add("tickets", part, latestStart) // no replica has a free slot
//	if next, ok := q.Next(now, "tickets"); ok {
//		start(next) // a slot is free
//	}
package await

import (
	"maps"
	"slices"
	"sync"
	"time"

	"oriolebarrow/core"
)

// Queue holds the waiting calls of one host by service. A call is represented by a value of
// type T. Queue is safe for concurrent use.
type Queue[T comparable] struct {
	mu      sync.Mutex
	waiting map[core.ServiceName][]entry[T]
}

// entry is a waiting call.
type entry[T comparable] struct {
	call        T
	latestStart time.Time // a call that starts later is not in time
}

// New returns an empty queue.
func New[T comparable]() *Queue[T] {
	return &Queue[T]{waiting: make(map[core.ServiceName][]entry[T])}
}

// Add adds a call to a service. A call that starts after latestStart is not in time.
func (q *Queue[T]) Add(s core.ServiceName, call T, latestStart time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[s] = append(q.waiting[s], entry[T]{call, latestStart})
}

// Remove removes a call and reports whether it was still waiting.
func (q *Queue[T]) Remove(s core.ServiceName, call T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.waiting[s], func(e entry[T]) bool { return e.call == call })
	if i < 0 {
		return false
	}
	q.removeAt(s, i)
	return true
}

// AddIf adds a call as Add does if admit allows it. before is the number of calls that would get
// a slot before this one: those that are late don't, unless this one is late as well. admit must
// not call the queue.
func (q *Queue[T]) AddIf(now time.Time, s core.ServiceName, call T, latestStart time.Time, admit func(before int) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	own := entry[T]{call, latestStart}
	before := 0
	for _, e := range q.waiting[s] {
		if !own.precedes(e, now) {
			before++
		}
	}
	if !admit(before) {
		return false
	}
	q.waiting[s] = append(q.waiting[s], own)
	return true
}

// Len returns how many calls wait for all services.
func (q *Queue[T]) Len() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, entries := range q.waiting {
		n += len(entries)
	}
	return n
}

// Next removes and returns the call that gets the next free slot.
func (q *Queue[T]) Next(now time.Time, s core.ServiceName) (call T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := -1
	for i, e := range q.waiting[s] {
		if best < 0 || e.precedes(q.waiting[s][best], now) {
			best = i
		}
	}
	if best < 0 {
		return call, false
	}
	call = q.waiting[s][best].call
	q.removeAt(s, best)
	return call, true
}

// Services returns the services with waiting calls, in no particular order.
func (q *Queue[T]) Services() []core.ServiceName {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.waiting))
}

func (e entry[T]) precedes(other entry[T], now time.Time) bool {
	if late, otherLate := e.late(now), other.late(now); late != otherLate {
		return otherLate
	}
	return e.latestStart.Before(other.latestStart)
}

func (e entry[T]) late(now time.Time) bool { return now.After(e.latestStart) }

func (q *Queue[T]) removeAt(s core.ServiceName, i int) {
	q.waiting[s] = slices.Delete(q.waiting[s], i, i+1)
	if len(q.waiting[s]) == 0 {
		delete(q.waiting, s)
	}
}
