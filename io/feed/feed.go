// Package feed distributes the directory among hosts: normally one host of each data
// centre reads the directory itself, and the others fetch its changes from such a host
// over drpc.
//
// # Usage
//
//	server, err := feed.NewServer(source)
//	err = server.Serve(ctx, listener)
//
//	c, err := feed.New(feed.Deps{Self: self, Reachability: detector, Placer: placer})
//	update, err := c.Follow(ctx, host, era, revision, wait)
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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"oriolebarrow/core"
)

const (
	followMethod = "/feed.Directory/Follow"
	// maxUpdateBytes limits the size of a decompressed message. It is sufficient for
	// the complete directory at the design size.
	maxUpdateBytes = 64 << 20
	windowBytes    = 256 << 10
	// maxRequestBytes limits the size of a request, compressed and decompressed. Usual ones
	// have some 50 bytes.
	maxRequestBytes = 64 << 10
	dialTimeout     = 400 * time.Millisecond
)

// ErrFollow is returned when another host cannot be reached or the call to it fails.
var ErrFollow = errors.New("feed: cannot follow host")

// request asks for the changes of the directory after a revision of an era.
type request struct {
	Era    core.Era      `json:"era"`
	After  core.Revision `json:"after"`
	WaitMS int64         `json:"wait_ms"`
}

// reply contains the changes, the time since the directory was read, and the remaining
// grace period for missing entries after an outage of the directory.
type reply struct {
	Update      core.DirectoryUpdate `json:"news"`
	AgeMS       int64                `json:"age_ms"`
	GraceMS     int64                `json:"lapsing_ms"`
	HistoryGone bool                 `json:"gone"`      // the changes after the revision are no longer available
	LowerEra    bool                 `json:"lower_era"` // this host has only data of a lower era
}

// codec encodes messages as JSON compressed with zstd.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

var _ drpc.Encoding = (*codec)(nil)

func newCodec(maxBytes uint64) (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "feed: new encoder")
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Wrap(err, "feed: new decoder")
	}
	return &codec{enc: enc, dec: dec}, nil
}

// Marshal implements drpc.Encoding.
func (c *codec) Marshal(m drpc.Message) ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "feed: encode message")
	}
	return c.enc.EncodeAll(raw, nil), nil
}

// Unmarshal implements drpc.Encoding.
func (c *codec) Unmarshal(compressed []byte, m drpc.Message) error {
	raw, err := c.dec.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "feed: decompress message")
	}
	return errors.Wrap(json.Unmarshal(raw, m), "feed: decode message")
}

// Server answers the hosts that fetch changes of the directory from this host.
type Server struct {
	source core.FeedSource
	codec  *codec
	drpc   *drpcserver.Server
}

var _ drpc.Description = (*Server)(nil)

// NewServer returns a server that answers from a source.
func NewServer(s core.FeedSource) (*Server, error) {
	c, err := newCodec(maxRequestBytes)
	if err != nil {
		return nil, err
	}
	server := &Server{source: s, codec: c}
	mux := drpcmux.New()
	if err := mux.Register(server, server); err != nil {
		return nil, errors.Wrap(err, "feed: register server")
	}
	server.drpc = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes}},
	})
	return server, nil
}

// Serve answers requests until ctx ends.
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
	return followMethod, s.codec, receiver, (*Server).follow, true
}

func (s *Server) follow(ctx context.Context, r *request) (*reply, error) {
	update, err := s.source.Follow(ctx, r.Era, r.After, time.Duration(r.WaitMS)*time.Millisecond)
	if errors.Is(err, core.ErrHistoryGone) {
		return &reply{HistoryGone: true}, nil
	}
	if errors.Is(err, core.ErrLowerEra) {
		return &reply{LowerEra: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &reply{Update: update.Update, AgeMS: update.Age.Milliseconds(), GraceMS: update.OutageGrace.Milliseconds()}, nil
}

// Dial opens a connection to another host, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Deps contains the dependencies of a Client.
type Deps struct {
	Self         core.Host
	Reachability core.Reachability
	Placer       core.Placer
	Dial         Dial // if nil, that of a net.Dialer
}

// Client fetches changes of the directory from other hosts. It keeps one connection to each
// of them, on which calls run one after the other. It is safe for concurrent use.
type Client struct {
	Deps
	codec *codec

	mu    sync.Mutex
	conns map[core.HostID]*drpcconn.Conn
}

var _ core.Feeds = (*Client)(nil)

// New returns a Client without open connections.
func New(d Deps) (*Client, error) {
	c, err := newCodec(maxUpdateBytes)
	if err != nil {
		return nil, err
	}
	if d.Dial == nil {
		d.Dial = new(net.Dialer).DialContext
	}
	return &Client{Deps: d, codec: c, conns: make(map[core.HostID]*drpcconn.Conn)}, nil
}

// Sources implements core.Feeds. The first reader of the local data centre reads the
// directory. All other hosts follow that host or, if it fails, the next reader of the
// local data centre or the first reader of another one.
func (c *Client) Sources(now time.Time) (hosts []core.Host, reads bool) {
	view := c.Reachability.Reachable(now)
	ids := c.Placer.Readers(view, c.Self.DataCentre(), 0, 0)
	reads = len(ids) == 0 || ids[0] == c.Self.ID()
	for _, dc := range dataCentres(view) {
		if dc != c.Self.DataCentre() {
			ids = append(ids, c.Placer.Readers(view, dc, 0, 0)[:1]...)
		}
	}
	for _, id := range ids {
		if h, ok := view.Lookup(id); ok && id != c.Self.ID() {
			hosts = append(hosts, h)
		}
	}
	return hosts, reads
}

// dataCentres returns each data centre of a view's hosts once, in the order of the hosts.
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

// MarkDown implements core.Feeds.
func (c *Client) MarkDown(now time.Time, h core.Host) { c.Reachability.MarkDown(now, h.ID()) }

// Follow implements core.Feeds. It closes a connection on which a call failed.
func (c *Client) Follow(ctx context.Context, h core.Host, era core.Era, after core.Revision, wait time.Duration) (core.FeedUpdate, error) {
	conn, err := c.connect(ctx, h)
	if err != nil {
		return core.FeedUpdate{}, err
	}
	var answer reply
	if err := conn.Invoke(ctx, followMethod, c.codec, &request{Era: era, After: after, WaitMS: wait.Milliseconds()}, &answer); err != nil {
		c.closeConn(h.ID(), conn)
		return core.FeedUpdate{}, errors.Wrapf(ErrFollow, "%s: %v", h.ID(), err)
	}
	if answer.HistoryGone {
		return core.FeedUpdate{}, core.ErrHistoryGone
	}
	if answer.LowerEra {
		return core.FeedUpdate{}, errors.Wrapf(core.ErrLowerEra, "%s", h.ID())
	}
	return core.FeedUpdate{
		Update:      answer.Update,
		Age:         time.Duration(answer.AgeMS) * time.Millisecond,
		OutageGrace: time.Duration(answer.GraceMS) * time.Millisecond,
	}, nil
}

// connect returns the connection to a host and opens it if necessary.
func (c *Client) connect(ctx context.Context, h core.Host) (*drpcconn.Conn, error) {
	c.mu.Lock()
	conn := c.conns[h.ID()]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.Dial(ctx, "tcp", h.Address())
	if err != nil {
		return nil, errors.Wrapf(ErrFollow, "%s: %v", h.ID(), err)
	}
	conn = drpcconn.New(raw)
	c.mu.Lock()
	c.conns[h.ID()] = conn
	c.mu.Unlock()
	return conn, nil
}

// closeConn closes a connection and removes it from conns if it is still there.
func (c *Client) closeConn(id core.HostID, conn *drpcconn.Conn) {
	// The error of the failed call is reported instead.
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[id] == conn {
		delete(c.conns, id)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, id)
	}
}
