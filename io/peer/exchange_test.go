package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/wire"
)

// pipes is a listener whose connections are in memory.
type pipes struct {
	accept chan net.Conn
	closed chan struct{}
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error {
	close(p.closed)
	return nil
}

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// answer is a handler that is a function.
type answer func(f *wire.Frame, reply peer.Reply, hangUp func())

type answering struct {
	answer answer
	conn   net.Conn
}

func (a *answering) Handle(_ context.Context, f *wire.Frame, reply peer.Reply) {
	a.answer(f, reply, func() { _ = a.conn.Close() })
}

// exchanging runs f with a client of a host that answers.
func exchanging(t *testing.T, a answer, f func(context.Context, *peer.Client, core.Host)) {
	synctest.Test(t, func(t *testing.T) {
		h := &answering{answer: a}
		s, err := peer.NewServer(h)
		if err != nil {
			t.Fatal(err)
		}
		l := pipes{make(chan net.Conn), make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx, l) }()
		c := peer.NewClient("a", 1, func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			h.conn = far
			l.accept <- far
			return near, nil
		})
		f(ctx, c, core.NewHost("b", "x", "10.0.0.2:1"))
		c.Close()
		stop()
		<-ended
	})
}

func pack(t *testing.T, set *wire.SectionSet) *wire.SectionsReply {
	p, err := wire.NewPacker()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := p.Pack(set)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.SectionsReply{Compressed: raw}
}

func sections(r *wire.SectionsReply) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_SectionsReply{SectionsReply: r}}
}

// Guards against chunks that are lost, swapped or taken from a faulty host, and
// against an exchange that hangs when the other host fails in the middle of it.
func TestSectionsExchange(t *testing.T) {
	chunk := func(t *testing.T, text string) *wire.SectionsReply {
		return pack(t, &wire.SectionSet{Sections: []*wire.Section{{Revision: 7, Text: []byte(text)}}})
	}
	for name, c := range map[string]struct {
		answer func(t *testing.T, reply peer.Reply, hangUp func())
		flood  bool // the receiver is slower than the sender
		want   string
		fails  bool
	}{
		"several chunks": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			for _, text := range []string{"a", "b"} {
				_ = reply(false, sections(chunk(t, text)))
			}
			_ = reply(true, sections(&wire.SectionsReply{Compressed: chunk(t, "c").Compressed, Ready: true, HasDocument: true}))
		}, want: "abc"},
		"nothing differs": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			r := pack(t, &wire.SectionSet{})
			r.Ready, r.HasDocument = true, true
			_ = reply(true, sections(r))
		}},
		"oversized body": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(false, sections(chunk(t, "a")))
			_ = reply(true, sections(chunk(t, strings.Repeat("x", 5<<20))))
		}, want: "a", fails: true},
		"no zstd": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(true, sections(&wire.SectionsReply{Compressed: []byte("plain")}))
		}, fails: true},
		"too many chunks": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			r := chunk(t, "a")
			for range 500 {
				_ = reply(false, sections(&wire.SectionsReply{Compressed: r.Compressed}))
			}
			_ = reply(true, sections(r))
		}, flood: true, fails: true},
		"closed in the middle": {answer: func(t *testing.T, reply peer.Reply, hangUp func()) {
			_ = reply(false, sections(chunk(t, "a")))
			synctest.Wait() // the chunk has arrived
			hangUp()
		}, want: "a", fails: true},
		"another answer": {answer: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
		}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			answer := func(f *wire.Frame, reply peer.Reply, hangUp func()) {
				if got := f.GetSectionsGet().GetBuckets(); len(got) != 2 || got[1] != 9 {
					t.Errorf("digests %v", got)
				}
				c.answer(t, reply, hangUp)
			}
			exchanging(t, answer, func(ctx context.Context, client *peer.Client, h core.Host) {
				var got strings.Builder
				chunks := 0
				news, err := client.Sections(ctx, h, []uint64{3, 9}, func(texts []core.SectionText) {
					if chunks++; c.flood {
						synctest.Wait()
					}
					for _, s := range texts {
						got.Write(s.Text)
					}
				})
				if c.fails != (err != nil) || !c.flood && got.String() != c.want {
					t.Errorf("got %.20q and error %v, want %q", got.String(), err, c.want)
				}
				if c.flood && chunks > 100 {
					t.Errorf("%d chunks were taken", chunks)
				}
				if !c.fails && (!news.Ready || !news.HasDocument) {
					t.Errorf("news %+v", news)
				}
			})
		})
	}
}

// Guards against a host list or states that change on their way, and against
// states that this version does not know.
func TestHostsAndStatesExchange(t *testing.T) {
	p, err := wire.NewPacker()
	if err != nil {
		t.Fatal(err)
	}
	list, _ := p.Pack(&wire.HostSet{Buckets: []*wire.HostBucket{
		{Index: 3, Hosts: []*wire.HostEntry{{Host: "h", DataCentre: "x", Address: "10.0.0.1:1", Leaving: true}}}, {Index: 5},
	}})
	update := func(state int32) *wire.StatesReply {
		raw, _ := p.Pack(&wire.StateSet{Updates: []*wire.Update{{Host: "h", DataCentre: "x", Address: "10.0.0.1:1", Incarnation: 4, State: state}}})
		return &wire.StatesReply{Compressed: raw}
	}
	state := int32(core.PeerDead)
	exchanging(t, func(f *wire.Frame, reply peer.Reply, _ func()) {
		if f.GetHostsGet() != nil {
			_ = reply(true, &wire.Frame{Body: &wire.Frame_HostsReply{HostsReply: &wire.HostsReply{Version: 8, Compressed: list}}})
			return
		}
		_ = reply(true, &wire.Frame{Body: &wire.Frame_StatesReply{StatesReply: update(state)}})
	}, func(ctx context.Context, c *peer.Client, h core.Host) {
		other := core.NewHost("h", "x", "10.0.0.1:1")
		hosts, err := c.Hosts(ctx, h, nil)
		want := core.HostsNews{Version: 8, Buckets: map[int][]core.HostEntry{3: {{Host: other, Leaving: true}}, 5: {}}}
		if diff := cmp.Diff(want, hosts, cmp.AllowUnexported(core.Host{})); diff != "" || err != nil {
			t.Error(err, diff)
		}
		states, err := c.States(ctx, h)
		if diff := cmp.Diff([]core.PeerUpdate{{Host: other, Incarnation: 4, State: core.PeerDead}}, states, cmp.AllowUnexported(core.Host{})); diff != "" || err != nil {
			t.Error(err, diff)
		}
		state = 9
		if _, err := c.States(ctx, h); err == nil {
			t.Error("an unknown state is taken")
		}
	})
}
