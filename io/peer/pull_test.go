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

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// handleFunc answers a request. closeConn closes the connection to the client.
type handleFunc func(f *wire.Frame, reply peer.Reply, closeConn func())

// connHandler is a peer.Handler that calls a function.
type connHandler struct {
	handle handleFunc
	conn   net.Conn // the server's end of the last connection
}

func (h *connHandler) Handle(_ context.Context, f *wire.Frame, reply peer.Reply) {
	h.handle(f, reply, func() { _ = h.conn.Close() })
}

// withClient calls test with a client and the host that it calls. handle answers the
// client's requests.
func withClient(t *testing.T, handle handleFunc, test func(context.Context, *peer.Client, core.Host)) {
	synctest.Test(t, func(t *testing.T) {
		h := &connHandler{handle: handle}
		s, err := peer.NewServer(h)
		if err != nil {
			t.Fatal(err)
		}
		l := pipeListener{make(chan net.Conn), make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx, l) }()
		c := peer.NewClient("a", 1, func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			h.conn = server
			l.accept <- server
			return client, nil
		})
		test(ctx, c, core.NewHost("b", "x", "10.0.0.2:1"))
		c.Close()
		stop()
		<-served
	})
}

// sectionsReply returns a reply with the compressed sections.
func sectionsReply(t *testing.T, set *wire.SectionSet) *wire.SectionsReply {
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

func sectionsFrame(r *wire.SectionsReply) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_SectionsReply{SectionsReply: r}}
}

// Guards against chunks that are lost, reordered or accepted although they are
// invalid, and against an exchange that hangs when the other host fails during it.
func TestSectionsExchange(t *testing.T) {
	chunk := func(t *testing.T, text string) *wire.SectionsReply {
		return sectionsReply(t, &wire.SectionSet{Sections: []*wire.Section{{Revision: 7, Text: []byte(text)}}})
	}
	for name, c := range map[string]struct {
		handle       func(t *testing.T, reply peer.Reply, closeConn func())
		slowReceiver bool // replies arrive faster than the client processes them
		want         string
		wantErr      bool
	}{
		"several chunks": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			for _, text := range []string{"a", "b"} {
				_ = reply(false, sectionsFrame(chunk(t, text)))
			}
			_ = reply(true, sectionsFrame(&wire.SectionsReply{Compressed: chunk(t, "c").Compressed, Ready: true, HasDocument: true}))
		}, want: "abc"},
		"nothing differs": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			r := sectionsReply(t, &wire.SectionSet{})
			r.Ready, r.HasDocument = true, true
			_ = reply(true, sectionsFrame(r))
		}},
		"oversized body": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(false, sectionsFrame(chunk(t, "a")))
			_ = reply(true, sectionsFrame(chunk(t, strings.Repeat("x", 5<<20))))
		}, want: "a", wantErr: true},
		"not zstd data": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(true, sectionsFrame(&wire.SectionsReply{Compressed: []byte("plain")}))
		}, wantErr: true},
		"too many chunks": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			r := chunk(t, "a")
			for range 500 {
				_ = reply(false, sectionsFrame(&wire.SectionsReply{Compressed: r.Compressed}))
			}
			_ = reply(true, sectionsFrame(r))
		}, slowReceiver: true, wantErr: true},
		"connection closed after first chunk": {handle: func(t *testing.T, reply peer.Reply, closeConn func()) {
			_ = reply(false, sectionsFrame(chunk(t, "a")))
			synctest.Wait() // the client has received the chunk
			closeConn()
		}, want: "a", wantErr: true},
		"unexpected reply type": {handle: func(t *testing.T, reply peer.Reply, _ func()) {
			_ = reply(true, &wire.Frame{Body: &wire.Frame_ReadAck{ReadAck: &wire.ReadAck{}}})
		}, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			handle := func(f *wire.Frame, reply peer.Reply, closeConn func()) {
				if got := f.GetSectionsGet().GetBuckets(); len(got) != 2 || got[1] != 9 {
					t.Errorf("digests %v", got)
				}
				c.handle(t, reply, closeConn)
			}
			withClient(t, handle, func(ctx context.Context, client *peer.Client, h core.Host) {
				var got strings.Builder
				chunks := 0
				state, err := client.Sections(ctx, h, []uint64{3, 9}, func(texts []core.SectionText) {
					if chunks++; c.slowReceiver {
						synctest.Wait()
					}
					for _, s := range texts {
						got.Write(s.Text)
					}
				})
				if c.wantErr != (err != nil) || !c.slowReceiver && got.String() != c.want {
					t.Errorf("got %.20q and error %v, want %q", got.String(), err, c.want)
				}
				if c.slowReceiver && chunks > 100 {
					t.Errorf("%d chunks were processed, want at most 100", chunks)
				}
				if !c.wantErr && (!state.Ready || !state.HasDocument) {
					t.Errorf("got %+v, want Ready and HasDocument", state)
				}
			})
		})
	}
}

// Guards against a conversion that changes the host list or the states of hosts, and
// against one that accepts a state unknown to this version.
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
	withClient(t, func(f *wire.Frame, reply peer.Reply, _ func()) {
		if f.GetHostsGet() != nil {
			_ = reply(true, &wire.Frame{Body: &wire.Frame_HostsReply{HostsReply: &wire.HostsReply{Version: 8, Compressed: list}}})
			return
		}
		_ = reply(true, &wire.Frame{Body: &wire.Frame_StatesReply{StatesReply: update(state)}})
	}, func(ctx context.Context, c *peer.Client, h core.Host) {
		other := core.NewHost("h", "x", "10.0.0.1:1")
		hosts, err := c.Hosts(ctx, h, nil)
		want := core.HostsUpdate{Version: 8, Buckets: map[int][]core.HostEntry{3: {{Host: other, Leaving: true}}, 5: {}}}
		if diff := cmp.Diff(want, hosts, cmp.AllowUnexported(core.Host{})); diff != "" || err != nil {
			t.Error(err, diff)
		}
		states, err := c.States(ctx, h)
		if diff := cmp.Diff([]core.PeerUpdate{{Host: other, Incarnation: 4, State: core.PeerDead}}, states, cmp.AllowUnexported(core.Host{})); diff != "" || err != nil {
			t.Error(err, diff)
		}
		state = 9
		if _, err := c.States(ctx, h); err == nil {
			t.Error("no error for an unknown state")
		}
	})
}
