// Package feed lets hosts learn of the directory from each other: a few hosts of
// each data centre read it, the others follow one of those over drpc.
//
// # Usage
//
//	server, err := feed.NewServer(source)
//	err = server.Serve(ctx, listener)
//
//	f, err := feed.New(feed.Parts{Self: self, Views: crew, Placer: placer})
//	news, err := f.Follow(ctx, leader, revision, wait)
package feed

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oriolebarrow/core"
)

const (
	method = "/feed.Directory/Follow"
	// maxNewsBytes bounds what a compressed message may expand to: a whole list
	// at the design size.
	maxNewsBytes = 64 << 20
	windowBytes  = 256 << 10
	dialTimeout  = 400 * time.Millisecond
)

// ErrFollow is returned when another host does not answer.
var ErrFollow = errors.New("feed: follow")

// request and reply are the messages.
type request struct {
	After  core.Revision `json:"after"`
	WaitMS int64         `json:"wait_ms"`
}

type reply struct {
	News      core.DirectoryNews `json:"news"`
	AgeMS     int64              `json:"age_ms"`
	LapsingMS int64              `json:"lapsing_ms"`
	Gone      bool               `json:"gone"` // the changes after the revision are not known
}

// codec encodes messages as compressed JSON.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

var _ drpc.Encoding = (*codec)(nil)

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "feed: new encoder")
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxNewsBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Wrap(err, "feed: new decoder")
	}
	return &codec{enc: enc, dec: dec}, nil
}

// Marshal implements drpc.Encoding.
func (c *codec) Marshal(m drpc.Message) ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode")
	}
	return c.enc.EncodeAll(raw, nil), nil
}

// Unmarshal implements drpc.Encoding.
func (c *codec) Unmarshal(compressed []byte, m drpc.Message) error {
	raw, err := c.dec.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "feed: expand")
	}
	return errors.Wrap(json.Unmarshal(raw, m), "feed: decode")
}

// Server answers the hosts that follow this one.
type Server struct {
	source core.FeedSource
	codec  *codec
	drpc   *drpcserver.Server
}

var _ drpc.Description = (*Server)(nil)

// NewServer returns a server of what a source knows.
func NewServer(s core.FeedSource) (*Server, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	server := &Server{source: s, codec: c}
	mux := drpcmux.New()
	if err := mux.Register(server, server); err != nil {
		return nil, errors.Wrap(err, "feed: register")
	}
	server.drpc = drpcserver.New(mux)
	return server, nil
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return errors.Wrap(s.drpc.Serve(ctx, l), "feed: serve")
}

// NumMethods implements drpc.Description.
func (s *Server) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (s *Server) Method(n int) (rpc string, enc drpc.Encoding, receiver drpc.Receiver, m any, ok bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receiver = func(_ any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		return s.follow(ctx, in1.(*request))
	}
	return method, s.codec, receiver, (*Server).follow, true
}

func (s *Server) follow(ctx context.Context, r *request) (*reply, error) {
	news, err := s.source.Follow(ctx, r.After, time.Duration(r.WaitMS)*time.Millisecond)
	if errors.Is(err, core.ErrHistoryGone) {
		return &reply{Gone: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &reply{News: news.News, AgeMS: news.Age.Milliseconds(), LapsingMS: news.Lapsing.Milliseconds()}, nil
}

// Dial opens a connection to another host.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Parts are what a feed works with.
type Parts struct {
	Self   core.Host
	Views  core.Reach
	Placer core.Placer
	Dial   Dial
}

// Feeds follows other hosts. It keeps one connection to each and is safe for
// concurrent use; calls to one host run one after the other.
type Feeds struct {
	Parts
	codec *codec

	mu    sync.Mutex
	conns map[core.HostID]*drpcconn.Conn
}

var _ core.Feeds = (*Feeds)(nil)

// New returns feeds without connections.
func New(p Parts) (*Feeds, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	if p.Dial == nil {
		p.Dial = new(net.Dialer).DialContext
	}
	return &Feeds{Parts: p, codec: c, conns: make(map[core.HostID]*drpcconn.Conn)}, nil
}

// Leaders implements core.Feeds. The first reader of the own data centre reads
// the directory; all others follow it, or the next one, or those of other data
// centres.
func (f *Feeds) Leaders(now time.Time) (hosts []core.Host, reads bool) {
	view := f.Views.Reachable(now)
	ids := f.Placer.Readers(view, f.Self.DataCentre(), 0, 0)
	reads = len(ids) == 0 || ids[0] == f.Self.ID()
	for _, dc := range dataCentres(view) {
		if dc != f.Self.DataCentre() {
			ids = append(ids, f.Placer.Readers(view, dc, 0, 0)[:1]...)
		}
	}
	for _, id := range ids {
		if h, ok := view.Lookup(id); ok && id != f.Self.ID() {
			hosts = append(hosts, h)
		}
	}
	return hosts, reads
}

// dataCentres returns the data centres of a view's hosts, in their order.
func dataCentres(v core.View) []core.DataCentre {
	var all []core.DataCentre
	seen := make(map[core.DataCentre]bool)
	for _, h := range v.Hosts() {
		if !seen[h.DataCentre()] {
			seen[h.DataCentre()] = true
			all = append(all, h.DataCentre())
		}
	}
	return all
}

// Lost implements core.Feeds.
func (f *Feeds) Lost(now time.Time, h core.Host) { f.Views.MarkDown(now, h.ID()) }

// Follow implements core.Feeds. A connection on which a call failed is closed.
func (f *Feeds) Follow(ctx context.Context, h core.Host, after core.Revision, wait time.Duration) (core.FeedNews, error) {
	conn, err := f.conn(ctx, h)
	if err != nil {
		return core.FeedNews{}, err
	}
	var out reply
	if err := conn.Invoke(ctx, method, f.codec, &request{After: after, WaitMS: wait.Milliseconds()}, &out); err != nil {
		f.drop(h.ID(), conn)
		return core.FeedNews{}, errors.Wrapf(ErrFollow, "%s: %v", h.ID(), err)
	}
	if out.Gone {
		return core.FeedNews{}, core.ErrHistoryGone
	}
	return core.FeedNews{
		News:    out.News,
		Age:     time.Duration(out.AgeMS) * time.Millisecond,
		Lapsing: time.Duration(out.LapsingMS) * time.Millisecond,
	}, nil
}

func (f *Feeds) conn(ctx context.Context, h core.Host) (*drpcconn.Conn, error) {
	f.mu.Lock()
	conn := f.conns[h.ID()]
	f.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := f.Dial(ctx, "tcp", h.Address())
	if err != nil {
		return nil, errors.Wrapf(ErrFollow, "%s: %v", h.ID(), err)
	}
	conn = drpcconn.New(raw)
	f.mu.Lock()
	f.conns[h.ID()] = conn
	f.mu.Unlock()
	return conn, nil
}

func (f *Feeds) drop(id core.HostID, conn *drpcconn.Conn) {
	// The call's own error says why.
	_ = conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[id] == conn {
		delete(f.conns, id)
	}
}

// Close closes all connections.
func (f *Feeds) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, conn := range f.conns {
		_ = conn.Close()
		delete(f.conns, id)
	}
}
