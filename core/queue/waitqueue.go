package queue

import (
	"cmp"
	"slices"

	"oriolebarrow/core"
	"oriolebarrow/core/pqueue"
)

// compactSlack is the number of entries that a heap may have beyond twice its
// waiting ones before it is rebuilt. It keeps small heaps from being rebuilt
// after almost every removal.
const compactSlack = 16

// waitQueue holds the tasks that wait for their first attempt. The highest
// priority goes first. Within a priority the callers are served round robin, and
// each caller's task with the earliest deadline goes first. A burst of one caller
// therefore delays mostly its own tasks.
type waitQueue struct {
	fair    bool     // callers are served round robin; otherwise they share one queue
	levels  []*level // by priority, highest first
	waiting int
}

// level holds the waiting tasks of one priority.
type level struct {
	priority int
	callers  map[core.CallerName]*callerQueue
	order    *pqueue.Heap[*callerQueue] // lowest round first; may hold empty queues
	round    uint64                     // highest round served so far
	waiting  int
}

// callerQueue holds the waiting tasks of one caller at one priority.
type callerQueue struct {
	name    core.CallerName
	tasks   *pqueue.Heap[*task] // earliest deadline first; may hold removed tasks
	round   uint64              // round in which the next task is served
	serial  uint64              // of the first task; breaks ties between callers of one round
	waiting int
}

// level returns the level of a priority and adds it if it is missing.
func (q *waitQueue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(v *level, p int) int {
		return cmp.Compare(p, v.priority)
	})
	if !ok {
		v := &level{
			priority: priority,
			callers:  make(map[core.CallerName]*callerQueue),
			order: pqueue.NewHeap(func(a, b *callerQueue) bool {
				return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.serial, b.serial)) < 0
			}),
		}
		q.levels = slices.Insert(q.levels, i, v)
	}
	return q.levels[i]
}

func (q *waitQueue) push(t *task) {
	v := q.level(t.Priority)
	caller := t.Caller
	if !q.fair {
		caller = ""
	}
	c := v.callers[caller]
	if c == nil {
		// A caller that was idle joins in the round after the latest one: it must
		// neither be served several times in a row for the rounds it missed, nor
		// go first each time it returns.
		c = &callerQueue{
			name:   caller,
			round:  v.round + 1,
			serial: t.serial,
			tasks: pqueue.NewHeap(func(a, b *task) bool {
				return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.serial, b.serial)) < 0
			}),
		}
		v.callers[caller] = c
		v.order.Push(c)
	}
	t.queued, t.level, t.callerQueue = true, v, c
	c.tasks.Push(t)
	c.waiting++
	v.waiting++
	q.waiting++
}

// remove takes a task out of the queue. Its heap entry stays until it reaches the
// top or the heap is rebuilt.
func (q *waitQueue) remove(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	c, v := t.callerQueue, t.level
	c.waiting--
	v.waiting--
	q.waiting--
	if c.waiting == 0 {
		delete(v.callers, c.name)
	}
	if c.tasks.Len() > 2*c.waiting+compactSlack {
		c.tasks.Filter(func(x *task) bool { return x.queued })
	}
	if v.order.Len() > 2*len(v.callers)+compactSlack {
		v.order.Filter(func(x *callerQueue) bool { return x.waiting > 0 })
	}
}

// pop removes and returns the first task that accept allows and whose priority is
// at least the given one. It returns nil if there is none. The other tasks keep
// their place.
func (q *waitQueue) pop(priority int, accept func(*task) bool) *task {
	for _, v := range q.levels {
		if v.priority < priority {
			return nil
		}
		if v.waiting == 0 {
			continue
		}
		if t := v.pop(q, accept); t != nil {
			return t
		}
	}
	return nil
}

func (v *level) pop(q *waitQueue, accept func(*task) bool) *task {
	var popped []*callerQueue // to be pushed back
	defer func() {
		for _, c := range popped {
			v.order.Push(c)
		}
	}()
	for {
		c, ok := v.order.Pop()
		if !ok {
			return nil
		}
		if c.waiting == 0 {
			continue
		}
		t := c.pop(accept)
		if t == nil {
			popped = append(popped, c)
			continue
		}
		v.round = max(v.round, c.round)
		c.round++
		popped = append(popped, c)
		q.remove(t)
		return t
	}
}

func (c *callerQueue) pop(accept func(*task) bool) *task {
	var skipped []*task
	defer func() {
		for _, t := range skipped {
			c.tasks.Push(t)
		}
	}()
	for {
		t, ok := c.tasks.Pop()
		if !ok {
			return nil
		}
		if !t.queued {
			continue
		}
		if accept(t) {
			return t
		}
		skipped = append(skipped, t)
	}
}

// ahead estimates how many waiting tasks start before a new one.
func (q *waitQueue) ahead(t Task) int {
	n := 0
	for _, v := range q.levels {
		if v.priority > t.Priority {
			n += v.waiting
			continue
		}
		if v.priority < t.Priority {
			break
		}
		n += v.ahead(t, q.fair)
	}
	return n
}

func (v *level) ahead(t Task, fair bool) int {
	c := v.callers[t.Caller]
	switch {
	case !fair:
		return v.waiting
	case c == nil:
		return min(v.waiting, len(v.callers))
	}
	return min(v.waiting, c.waiting*len(v.callers))
}

// all returns the waiting tasks in order of arrival.
func (q *waitQueue) all() []*task {
	var out []*task
	for _, v := range q.levels {
		for _, c := range v.callers {
			c.tasks.Filter(func(t *task) bool { return t.queued })
			out = append(out, c.tasks.Items()...)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.serial, b.serial) })
	return out
}
