package peer_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"oriolebarrow/core"
	"oriolebarrow/core/mutate"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

const maxFuzzBytes = 16 << 10

// stream feeds one message to a server and keeps nothing of the replies.
type stream struct {
	drpc.Stream
	ctx  context.Context
	in   *wire.Frames
	done <-chan struct{}
}

func (s *stream) Context() context.Context { return s.ctx }
func (s *stream) Send(*wire.Frames) error  { return nil }
func (s *stream) Recv() (*wire.Frames, error) {
	if in := s.in; in != nil {
		s.in = nil
		return in, nil
	}
	<-s.done
	return nil, io.EOF
}

// answerer converts each request as a host does and replies once.
type answerer struct {
	wait sync.WaitGroup
	now  time.Time
}

func (a *answerer) Handle(_ context.Context, f *wire.Frame, reply peer.Reply) {
	defer a.wait.Done()
	body := &wire.Frame{}
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		batch := peer.BatchFromWire(b.ReadBatch, a.now)
		for _, s := range batch.Shards {
			body.Body = &wire.Frame_ShardResult{ShardResult: peer.ResultToWire(core.ShardResult{Shard: s.Shard})}
		}
	case *wire.Frame_OrderCall:
		_ = peer.OrderFromWire(b.OrderCall.Order)
	case *wire.Frame_Redeem:
		_ = peer.OrderFromWire(b.Redeem.Order)
	}
	_ = reply(true, body)
}

// mutations is the number of messages that the ordinary test derives from the seeds.
const mutations = 2000

func frameSeeds(t testing.TB) [][]byte {
	t.Helper()
	var out [][]byte
	for _, frames := range []*wire.Frames{
		{},
		{Frames: []*wire.Frame{{Id: 1, Body: &wire.Frame_Hello{Hello: &wire.Hello{Host: "host-1", Incarnation: 7}}}}},
		{Frames: []*wire.Frame{
			{Id: 1, Body: &wire.Frame_ReadBatch{ReadBatch: &wire.ReadBatch{
				RequestId: "r", Service: "tickets", Snapshot: 3, RemainingUs: 1000, Shards: []*wire.ShardRef{{Shard: 1, Group: 2}}}}},
			{Id: 1, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}},
		}},
		{Frames: []*wire.Frame{{Id: 2, Body: &wire.Frame_OrderCall{OrderCall: &wire.OrderCall{OrderId: "o"}}}}},
		{Frames: []*wire.Frame{{Id: 2, Body: &wire.Frame_Redeem{Redeem: &wire.Redeem{Token: "t", RemainingUs: -1}}}, {Id: 2}}},
	} {
		raw, err := proto.Marshal(frames)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, raw)
	}
	return out
}

func FuzzFrames(f *testing.F) {
	for _, raw := range frameSeeds(f) {
		f.Add(raw)
	}
	f.Fuzz(checkFrames)
}

// Runs the check of FuzzFrames on the same messages each time.
func TestMutatedFrames(t *testing.T) {
	for raw := range mutate.Inputs(frameSeeds(t), mutations) {
		checkFrames(t, raw)
		if t.Failed() {
			t.Fatalf("message %x", raw)
		}
	}
}

// Guards against a message that crashes or stalls the host that receives it.
func checkFrames(t *testing.T, raw []byte) {
	frames := new(wire.Frames)
	if proto.Unmarshal(raw[:min(len(raw), maxFuzzBytes)], frames) != nil {
		return
	}
	h := &answerer{now: time.Unix(0, 0)}
	for _, frame := range frames.Frames {
		switch frame.Body.(type) {
		case *wire.Frame_Hello, *wire.Frame_Cancel:
		default:
			h.wait.Add(1)
		}
	}
	s, err := peer.NewServer(h)
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan struct{})
	go func() {
		h.wait.Wait()
		close(answered)
	}()
	if err := s.Link(&stream{ctx: t.Context(), in: frames, done: answered}); err == nil {
		t.Error("the end of a link is not reported")
	}
}
