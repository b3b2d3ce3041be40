package queue

import (
	"cmp"
	"slices"

	"oriolebarrow/core"
	"oriolebarrow/core/pool"
)

// slack is the number of dropped entries that a heap may keep, so that small
// heaps are not rebuilt again and again.
const slack = 16

// line holds waiting tasks: the highest priority first, within a priority the
// caller that had the fewest turns, and of a caller the earliest deadline. A
// storm of one caller therefore delays only its own tasks.
type line struct {
	fair   bool
	levels []*level // by priority, highest first
	live   int
}

type level struct {
	priority int
	callers  map[core.CallerName]*share
	order    *pool.Heap[*share]
	turns    uint64 // turns of the caller served last
	live     int
}

// share is one caller's part of a level.
type share struct {
	name   core.CallerName
	tasks  *pool.Heap[*task]
	turns  uint64
	serial uint64 // breaks ties by first arrival
	live   int
}

func (l *line) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(l.levels, priority, func(v *level, p int) int {
		return cmp.Compare(p, v.priority)
	})
	if !ok {
		v := &level{
			priority: priority,
			callers:  make(map[core.CallerName]*share),
			order: pool.NewHeap(func(a, b *share) bool {
				return cmp.Or(cmp.Compare(a.turns, b.turns), cmp.Compare(a.serial, b.serial)) < 0
			}),
		}
		l.levels = slices.Insert(l.levels, i, v)
	}
	return l.levels[i]
}

func (l *line) push(t *task) {
	v := l.level(t.Priority)
	caller := t.Caller
	if !l.fair {
		caller = ""
	}
	s := v.callers[caller]
	if s == nil {
		// A caller that was idle starts behind the turn served last: it must
		// not save up turns, nor go first each time it returns.
		s = &share{
			name:   caller,
			turns:  v.turns + 1,
			serial: t.serial,
			tasks: pool.NewHeap(func(a, b *task) bool {
				return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.serial, b.serial)) < 0
			}),
		}
		v.callers[caller] = s
		v.order.Push(s)
	}
	t.queued, t.level, t.share = true, v, s
	s.tasks.Push(t)
	s.live++
	v.live++
	l.live++
}

// leave takes a task out of the counts; its entry is dropped when it comes up.
func (l *line) leave(t *task) {
	if !t.queued {
		return
	}
	t.queued = false
	s, v := t.share, t.level
	s.live--
	v.live--
	l.live--
	if s.live == 0 {
		delete(v.callers, s.name)
	}
	if s.tasks.Len() > 2*s.live+slack {
		s.tasks.Filter(func(x *task) bool { return x.queued })
	}
	if v.order.Len() > 2*len(v.callers)+slack {
		v.order.Filter(func(x *share) bool { return x.live > 0 })
	}
}

// pop returns the first task of at least a priority that fits and leaves the
// others in place.
func (l *line) pop(priority int, fits func(*task) bool) *task {
	for _, v := range l.levels {
		if v.priority < priority {
			return nil
		}
		if v.live == 0 {
			continue
		}
		if t := v.pop(l, fits); t != nil {
			return t
		}
	}
	return nil
}

func (v *level) pop(l *line, fits func(*task) bool) *task {
	var passed []*share
	defer func() {
		for _, s := range passed {
			v.order.Push(s)
		}
	}()
	for {
		s, ok := v.order.Pop()
		if !ok {
			return nil
		}
		if s.live == 0 {
			continue
		}
		t := s.pop(fits)
		if t == nil {
			passed = append(passed, s)
			continue
		}
		v.turns = max(v.turns, s.turns)
		s.turns++
		passed = append(passed, s)
		l.leave(t)
		return t
	}
}

func (s *share) pop(fits func(*task) bool) *task {
	var passed []*task
	defer func() {
		for _, t := range passed {
			s.tasks.Push(t)
		}
	}()
	for {
		t, ok := s.tasks.Pop()
		if !ok {
			return nil
		}
		if !t.queued {
			continue
		}
		if fits(t) {
			return t
		}
		passed = append(passed, t)
	}
}

// ahead estimates how many tasks go before a new one.
func (l *line) ahead(t Task) int {
	n := 0
	for _, v := range l.levels {
		if v.priority > t.Priority {
			n += v.live
			continue
		}
		if v.priority < t.Priority {
			break
		}
		n += v.ahead(t, l.fair)
	}
	return n
}

func (v *level) ahead(t Task, fair bool) int {
	s := v.callers[t.Caller]
	switch {
	case !fair:
		return v.live
	case s == nil:
		return min(v.live, len(v.callers))
	}
	return min(v.live, s.live*len(v.callers))
}

// all returns the waiting tasks in order of arrival.
func (l *line) all() []*task {
	var out []*task
	for _, v := range l.levels {
		for _, s := range v.callers {
			s.tasks.Filter(func(t *task) bool { return t.queued })
			out = append(out, s.tasks.Items()...)
		}
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.serial, b.serial) })
	return out
}
