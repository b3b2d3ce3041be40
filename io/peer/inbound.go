package peer

import (
	"context"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/wire"
)

// inboundExchange is a request of another host and its replies.
type inboundExchange struct {
	link     *inboundLink
	id       uint64
	frame    *wire.Frame
	contents *assembly    // nil if the frame arrived whole
	lease    *conns.Lease // nil until there is room for the request

	sending sync.Mutex // held while the chunks of a large reply are sent
}

// newInboundExchange returns the exchange that a frame begins.
func newInboundExchange(l *inboundLink, f *wire.Frame) (*inboundExchange, error) {
	x := &inboundExchange{link: l, id: f.Id, frame: f}
	large, ok := f.Body.(*wire.Frame_Large)
	if !ok {
		return x, nil
	}
	var err error
	if x.contents, err = newAssembly(large.Large); err == nil {
		x.frame = x.contents.frame
		x.frame.Id = f.Id
	}
	return x, err
}

// run receives the contents of the request if they are large, and handles it. It refuses the
// request if there is no room for it, or if it has to give way to others before it has arrived.
func (x *inboundExchange) run(ctx context.Context) {
	in := newIncoming(x.contents)
	size := contentBytes(x.frame)
	if x.contents != nil {
		size = x.contents.total
		x.acknowledge()
	}
	server := x.link.server
	lease, ok := server.limits.NewLease(ctx, server.listener, size, in.displace)
	if !ok {
		x.refuse()
		return
	}
	x.lease = lease
	if x.contents != nil && !x.receive(ctx, in) {
		return
	}
	lease.SetRunning()
	server.handler.Handle(core.WithLease(ctx, lease), x.frame, x.reply)
}

// acknowledge tells the other host that this one is alive, since the request may have to wait
// for room.
func (x *inboundExchange) acknowledge() {
	switch x.frame.Body.(type) {
	case *wire.Frame_Task, *wire.Frame_ReadBatch:
		_ = x.reply(false, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}}) // fails only if the link is lost
	}
}

// receive lets the other host send the contents, and waits for them until its deadline.
func (x *inboundExchange) receive(ctx context.Context, in *incoming) bool {
	ctx, cancel := context.WithDeadline(ctx, Deadline(time.Now(), remaining(x.frame)))
	defer cancel()
	in.start(x.lease)
	l := x.link
	l.mu.Lock()
	l.incoming[x.id] = in
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.incoming, x.id)
	}()
	if x.reply(false, &wire.Frame{Body: &wire.Frame_Continue{Continue: &wire.Continue{}}}) != nil {
		return false
	}
	select {
	case <-in.complete:
		select {
		case <-in.displaced:
		default:
			return true
		}
	case <-in.displaced:
	case <-ctx.Done():
		return false
	}
	x.refuse()
	return false
}

// refuse tells the other host that the request is not executed.
func (x *inboundExchange) refuse() {
	// The error needs no handling: the other host notices a lost link itself.
	_ = x.reply(true, &wire.Frame{Body: &wire.Frame_Refusal{Refusal: &wire.Refusal{Reason: string(core.ReasonOverload)}}})
}

// reply implements Reply. Large contents are sent in chunks.
func (x *inboundExchange) reply(last bool, f *wire.Frame) error {
	f.Id = x.id
	f.Last = last
	l := x.link
	if !l.largeReplies.Load() || contentBytes(f) <= maxInlineBytes {
		return l.queue.put(l.ctx, newOutgoing(f, time.Time{}))
	}
	large, chunks := detach(f)
	x.sending.Lock() // the other host receives the contents of one frame at a time
	defer x.sending.Unlock()
	if err := l.queue.put(l.ctx, newOutgoing(large, time.Time{})); err != nil {
		return err
	}
	end := newOutgoing(chunkFrame(x.id, chunks[len(chunks)-1]), time.Time{})
	return l.queue.sendChunks(l.ctx.Done(), chunks, end, x.lease)
}

// release ends the lease of the request, whose replies are written.
func (x *inboundExchange) release() {
	if x.lease != nil {
		x.lease.Release()
	}
}

// remaining returns the remaining time of a request in microseconds.
func remaining(f *wire.Frame) int64 {
	switch b := f.Body.(type) {
	case *wire.Frame_Task:
		return b.Task.RemainingUs
	case *wire.Frame_ReadBatch:
		return b.ReadBatch.RemainingUs
	case *wire.Frame_OrderCall:
		return b.OrderCall.RemainingUs
	case *wire.Frame_Redeem:
		return b.Redeem.RemainingUs
	}
	return maxRemaining.Microseconds()
}

// incoming is a request whose contents are arriving.
type incoming struct {
	complete     chan struct{} // closed when all have arrived
	displaced    chan struct{} // closed when the request has to give way to others
	displaceOnce sync.Once

	mu       sync.Mutex
	contents *assembly
	lease    *conns.Lease
	done     bool
}

func newIncoming(a *assembly) *incoming {
	return &incoming{complete: make(chan struct{}), displaced: make(chan struct{}), contents: a}
}

// start allocates the memory for the contents, which is charged to the lease.
func (in *incoming) start(lease *conns.Lease) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lease = lease
	in.contents.allocate()
}

// add adds a chunk.
func (in *incoming) add(c *wire.Chunk) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.done {
		return errContent
	}
	complete, err := in.contents.add(c.Data)
	if err != nil {
		return err
	}
	in.lease.Progress()
	if complete {
		// The time of the transfer must not be added to the deadline.
		setRemaining(in.contents.frame, time.Duration(c.RemainingUs)*time.Microsecond)
		in.done = true
		close(in.complete)
	}
	return nil
}

// displace makes the request give way to others. It has no effect once all contents have
// arrived.
func (in *incoming) displace() { in.displaceOnce.Do(func() { close(in.displaced) }) }
