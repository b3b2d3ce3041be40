// Package quota shares a bounded number of bytes among holders, for example the connections
// of callers. A charge that does not fit makes the largest and slowest holders give way, but
// never for the benefit of one that holds more than they do, unless they make no progress.
//
// # Usage
//
//	b := quota.New(limit)
//	h := b.Open(now, giveWay)
//	switch verdict, victims := b.Charge(now, h, n); verdict {
//	case quota.Granted:
//	case quota.Wait: // close the victims and try again when b.Changed() is closed
//	case quota.Refused:
//	}
//	b.Close(h)
package quota

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// StuckAfter is the time without progress after which a holder may have to give way to one
// that holds more. Pauses of the callers' machines and lost packets are usually shorter.
const StuckAfter = time.Second

const (
	// smallBytes is the size up to which a holder may use all of the budget. Holders of more must
	// leave a part of it free, the limit divided by smallDivisor: otherwise large requests that
	// run would keep out small ones until they end.
	smallBytes   = 128 << 10
	smallDivisor = 32
)

// State says whether a holder may have to give way.
type State int32

// States of a holder.
const (
	Receiving State = iota // idle, or its request is arriving; may have to give way
	Running                // its request is being served; never has to give way
	Sending                // its answer is being written; has to give way only when it is stuck
)

// Verdict is the result of a charge.
type Verdict int

// Verdicts.
const (
	Refused Verdict = iota
	Granted
	Wait // nothing was charged yet; there is room when the holders that give way are closed
)

// Holder is one holder of bytes.
type Holder struct {
	giveWay  func()
	state    atomic.Int32
	progress atomic.Int64 // time of the last progress, Unix nanoseconds

	held    int64 // guarded by the lock of the budget
	leaving bool  // has to give way; guarded by the lock of the budget
	closed  bool  // guarded by the lock of the budget
}

// GiveWay calls the function that was passed to Open. It must not be called while a lock is
// held that this function takes.
func (h *Holder) GiveWay() { h.giveWay() }

// SetState sets the state. A change counts as progress.
func (h *Holder) SetState(now time.Time, s State) {
	h.state.Store(int32(s))
	h.Progress(now)
}

// Progress records that bytes have been received or sent.
func (h *Holder) Progress(now time.Time) { h.progress.Store(now.UnixNano()) }

// State returns the state.
func (h *Holder) State() State { return State(h.state.Load()) }

// Stuck returns the time since the last progress.
func (h *Holder) Stuck(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixNano()-h.progress.Load()))
}

// Budget is a bounded number of bytes. It is safe for concurrent use; its lock guards the
// fields below it and those of the holders.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64 // by all holders, including those that give way
	leaving int64 // by holders that give way
	holders map[*Holder]struct{}
	changed chan struct{} // closed by signal; nil until Changed is called
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[*Holder]struct{})}
}

// Limit returns the number of bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Open adds a holder without bytes. The function giveWay must lead to a call of Close soon.
func (b *Budget) Open(now time.Time, giveWay func()) *Holder {
	h := &Holder{giveWay: giveWay}
	h.Progress(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// Close removes a holder and returns its bytes.
func (b *Budget) Close(h *Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(b.holders, h)
	b.refund(h, h.held)
}

// Refund returns n bytes of a holder, or all if it has fewer.
func (b *Budget) Refund(h *Holder, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refund(h, n)
}

// RefundTo returns the bytes of a holder except for rest.
func (b *Budget) RefundTo(h *Holder, rest int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refund(h, h.held-rest)
}

func (b *Budget) refund(h *Holder, n int64) {
	n = min(n, h.held)
	if n <= 0 {
		return
	}
	h.held -= n
	b.used -= n
	if h.leaving {
		b.leaving -= n
	}
	b.signal()
}

// Move makes n bytes of one holder those of another, or all if it has fewer. It returns how
// many it has moved: none if one of the holders is closed.
func (b *Budget) Move(from, to *Holder, n int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, from.held)
	if n <= 0 || from.closed || to.closed {
		return 0
	}
	from.held -= n
	to.held += n
	if from.leaving != to.leaving {
		if from.leaving {
			b.leaving -= n
		} else {
			b.leaving += n
		}
		b.signal() // those who wait for the bytes have to decide again
	}
	return n
}

// signal wakes those who wait for a change. The lock must be held.
func (b *Budget) signal() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Charge adds n bytes to a holder. If it returns Wait, the caller must call GiveWay of the
// victims and try again when bytes are returned.
func (b *Budget) Charge(now time.Time, h *Holder, n int64) (Verdict, []*Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limitFor(h.held + n)
	if n < 0 || h.leaving || h.closed || h.held+n > limit {
		return Refused, nil
	}
	if b.used+n <= limit {
		b.used += n
		h.held += n
		return Granted, nil
	}
	missing := b.used - b.leaving + n - limit
	if missing <= 0 {
		return Wait, nil
	}
	victims := b.victims(now, h, h.held+n, missing)
	if victims == nil {
		return Refused, nil
	}
	for _, v := range victims {
		v.leaving = true
		b.leaving += v.held
	}
	return Wait, victims
}

// limitFor returns how many bytes may be used after a charge of a holder that then has held.
func (b *Budget) limitFor(held int64) int64 {
	if held <= smallBytes {
		return b.limit
	}
	return b.limit - b.limit/smallDivisor
}

// victims returns holders that have missing bytes together, the largest and slowest first, or
// nil if too few can give way to one that would hold want bytes.
func (b *Budget) victims(now time.Time, h *Holder, want, missing int64) []*Holder {
	type candidate struct {
		holder *Holder
		weight float64
	}
	var candidates []candidate
	for c := range b.holders {
		if c == h || c.leaving || c.held == 0 {
			continue
		}
		stuck := c.Stuck(now)
		state := c.State()
		if state == Running || stuck < StuckAfter && (state == Sending || c.held <= want) {
			continue
		}
		// The square, so that a connection with little is not chosen for being idle while
		// there are large ones. One second more, so that of several with recent progress the
		// largest goes.
		candidates = append(candidates, candidate{c, float64(c.held) * float64(c.held) * (stuck + time.Second).Seconds()})
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.weight, x.weight) })
	var victims []*Holder
	for _, c := range candidates {
		victims = append(victims, c.holder)
		if missing -= c.holder.held; missing <= 0 {
			return victims
		}
	}
	return nil
}

// Changed returns a channel that is closed when bytes are returned, or are no longer about to
// be.
func (b *Budget) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Used returns the bytes of all holders.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holders returns the number of holders.
func (b *Budget) Holders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.holders)
}

// Held returns the bytes of a holder.
func (b *Budget) Held(h *Holder) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.held
}
