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

// singleMessageStream delivers one message to a server and discards the replies.
type singleMessageStream struct {
	drpc.Stream
	ctx  context.Context
	in   *wire.Frames
	done <-chan struct{}
}

func (s *singleMessageStream) Context() context.Context { return s.ctx }
func (s *singleMessageStream) Send(*wire.Frames) error  { return nil }
func (s *singleMessageStream) Recv() (*wire.Frames, error) {
	if in := s.in; in != nil {
		s.in = nil
		return in, nil
	}
	<-s.done
	return nil, io.EOF
}

// convertingHandler converts each request as a host does and replies once.
type convertingHandler struct {
	unanswered sync.WaitGroup
	now        time.Time
}

func (h *convertingHandler) Handle(_ context.Context, f *wire.Frame, reply peer.Reply) {
	defer h.unanswered.Done()
	body := &wire.Frame{}
	switch b := f.Body.(type) {
	case *wire.Frame_ReadBatch:
		batch := peer.BatchFromWire(b.ReadBatch, h.now)
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

// mutations is the number of messages that TestMutatedFrames derives from the seeds.
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

// Runs the check of FuzzFrames on a fixed set of messages.
func TestMutatedFrames(t *testing.T) {
	for raw := range mutate.Inputs(frameSeeds(t), mutations) {
		checkFrames(t, raw)
		if t.Failed() {
			t.Fatalf("message %x", raw)
		}
	}
}

// checkFrames guards against a message that crashes or blocks the receiving host.
func checkFrames(t *testing.T, raw []byte) {
	frames := new(wire.Frames)
	if proto.Unmarshal(raw[:min(len(raw), maxFuzzBytes)], frames) != nil {
		return
	}
	h := &convertingHandler{now: time.Unix(0, 0)}
	for _, frame := range frames.Frames {
		switch frame.Body.(type) {
		case *wire.Frame_Hello, *wire.Frame_Cancel:
		default:
			h.unanswered.Add(1)
		}
	}
	s, err := peer.NewServer(h)
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan struct{})
	go func() {
		h.unanswered.Wait()
		close(answered)
	}()
	if err := s.Link(&singleMessageStream{ctx: t.Context(), in: frames, done: answered}); err == nil {
		t.Error("Link returned no error at the end of the stream")
	}
}
