package peer

import (
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

// errStopped is returned for contents that are no longer needed.
var errStopped = errors.New("peer: exchange ended before its contents were sent")

// sendContents sends the contents of the request once the other host has room for them, and
// releases the lease. Its errors need no handling: the exchange has ended, or its link has
// failed.
func (x *openExchange) sendContents(proceed <-chan struct{}, chunks [][]byte, lease core.Lease) {
	defer lease.Release()
	select {
	case <-proceed:
		_ = x.link.queue.sendChunks(x.stopped, chunks, x.last, lease)
	case <-x.stopped:
	}
}

// sendChunks sends chunks one after the other, so that other frames are sent in between and
// only one chunk waits in the queue. It returns when the last one is written, stopped is
// closed, or the queue is closed. last is the frame of the last chunk. The lease is held until
// no chunk is referred to.
func (q *sendQueue) sendChunks(stopped <-chan struct{}, chunks [][]byte, last *outgoing, lease core.Lease) error {
	for i, data := range chunks {
		o := last
		if i < len(chunks)-1 {
			o = newOutgoing(chunkFrame(last.id, data), time.Time{})
		}
		done := make(chan struct{})
		lease.Hold()
		o.written = func() {
			lease.Release()
			close(done)
		}
		if err := q.putChunk(stopped, o, done); err != nil {
			if o.withdraw(); !o.claimed() {
				lease.Release()
			}
			return err
		}
	}
	return nil
}

// putChunk queues a chunk and waits until it is written.
func (q *sendQueue) putChunk(stopped <-chan struct{}, o *outgoing, done <-chan struct{}) error {
	select {
	case q.frames <- o:
	case <-q.closed:
		return ErrLinkClosed
	case <-stopped:
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-q.closed:
		return ErrLinkClosed
	case <-stopped:
		return errStopped
	}
}

func chunkFrame(id uint64, data []byte) *wire.Frame {
	return &wire.Frame{Id: id, Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: data}}}
}
