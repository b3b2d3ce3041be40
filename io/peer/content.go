package peer

import (
	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

const (
	// maxInlineBytes is the size of the contents up to which a frame is sent whole. Larger
	// contents follow their frame in chunks of this size, so that the buffers of a link stay
	// small and other frames are sent in between.
	maxInlineBytes = 16 << 10
	// maxContentBytes bounds the contents of a frame. The largest are the rows of a shard.
	maxContentBytes = 65 << 20
)

var errContent = errors.New("peer: contents of a frame do not have the announced size")

// contents returns the fields of a frame that hold what a caller sent or a backend server
// answered.
func contents(f *wire.Frame) []*[]byte {
	switch b := f.Body.(type) {
	case *wire.Frame_Task:
		return []*[]byte{&b.Task.Head, &b.Task.Body}
	case *wire.Frame_ReadBatch:
		return []*[]byte{&b.ReadBatch.Body}
	case *wire.Frame_OrderCall:
		if b.OrderCall.Order != nil {
			return []*[]byte{&b.OrderCall.Order.Body}
		}
	case *wire.Frame_Redeem:
		if b.Redeem.Order != nil {
			return []*[]byte{&b.Redeem.Order.Body}
		}
	case *wire.Frame_ShardResult:
		return []*[]byte{&b.ShardResult.Rows}
	case *wire.Frame_OrderResult:
		return []*[]byte{&b.OrderResult.Body}
	}
	return nil
}

func contentBytes(f *wire.Frame) int {
	size := 0
	for _, c := range contents(f) {
		size += len(*c)
	}
	return size
}

// dropContents removes what a reply holds for lack of memory, and says so in its reason. The
// outcome stays.
func dropContents(f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_ShardResult:
		b.ShardResult.Rows, b.ShardResult.Missing = nil, string(core.ReasonOverload)
	case *wire.Frame_OrderResult:
		b.OrderResult.Body, b.OrderResult.Reason = nil, string(core.ReasonOverload)
	}
}

// detach removes the contents of a frame. It returns a frame that announces them, and chunks
// that refer to them.
func detach(f *wire.Frame) (large *wire.Frame, chunks [][]byte) {
	announced := &wire.Large{Frame: f}
	for _, c := range contents(f) {
		content := *c
		*c = nil
		announced.Sizes = append(announced.Sizes, uint64(len(content)))
		for len(content) > 0 {
			n := min(len(content), maxInlineBytes)
			chunks = append(chunks, content[:n:n])
			content = content[n:]
		}
	}
	return &wire.Frame{Id: f.Id, Body: &wire.Frame_Large{Large: announced}}, chunks
}

// assembly is a frame whose contents arrive in chunks. Only one goroutine uses it at a time.
type assembly struct {
	frame *wire.Frame
	sizes []int
	total int
	// buffer is nil if there is no memory for the contents, which are then dropped.
	buffer   []byte
	received int
}

// newAssembly returns an assembly without a buffer.
func newAssembly(large *wire.Large) (*assembly, error) {
	a := &assembly{frame: large.GetFrame()}
	if a.frame == nil || len(large.Sizes) != len(contents(a.frame)) {
		return nil, errContent
	}
	for _, size := range large.Sizes {
		if size > maxContentBytes || a.total+int(size) > maxContentBytes {
			return nil, errContent
		}
		a.sizes = append(a.sizes, int(size))
		a.total += int(size)
	}
	if a.total == 0 {
		return nil, errContent
	}
	return a, nil
}

func (a *assembly) allocate() { a.buffer = make([]byte, 0, a.total) }

// add adds a chunk. complete is true for the last one; the frame then has its contents, or
// states that they were dropped.
func (a *assembly) add(data []byte) (complete bool, err error) {
	a.received += len(data)
	if a.received > a.total {
		return false, errContent
	}
	if a.buffer != nil {
		a.buffer = append(a.buffer, data...)
	}
	if a.received < a.total {
		return false, nil
	}
	if a.buffer == nil {
		dropContents(a.frame)
		return true, nil
	}
	rest := a.buffer
	for i, c := range contents(a.frame) {
		*c = rest[:a.sizes[i]:a.sizes[i]]
		rest = rest[a.sizes[i]:]
	}
	return true, nil
}
