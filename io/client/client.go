// Package client sends requests to replicas over HTTP/1.1. It keeps a bounded
// number of connections to each instance, never sends a request twice, and
// reports for each failed call whether the replica can have executed it.
//
// It replaces net/http's Transport, which retries some requests by itself, needs
// two goroutines for each connection, and cannot skip a late response to an
// earlier request. Responses without a length are parsed by net/http.
//
// # Usage
//
//	c := client.New(client.Options{Names: names})
//	call := c.Send(target, request, func(r client.Result) { results <- r })
//	call.Abandon(linger)
package client

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
)

const (
	// dialTimeout is far above the round-trip time within a region. A replica that
	// accepts no connection within it would not respond in time either.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds the writing of a large request to a replica that does not read.
	writeTimeout = 2 * time.Second
	// idleMargin is how long before the end of the replica's stated idle timeout a
	// connection is no longer used, so that no request is sent while the replica
	// closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxWait bounds the time for which a replica can ask for no requests.
	maxWait = 10 * time.Minute
	// maxWarmup bounds the time for which a replica can state that it is cold.
	maxWarmup = time.Hour
	// maxInterim bounds the interim responses (status below 200) before the final one.
	maxInterim = 4
	// headTimeout bounds the time from the first byte of a head to its end. Pauses of a
	// replica are far shorter. For a head that follows an interim response, or a late
	// response to an earlier request, the time starts at the end of that response.
	headTimeout = time.Second
	// defaultBodyBytes and defaultBufferBytes replace limits of 0 in Options.
	defaultBodyBytes   = 8 << 20
	defaultBufferBytes = 64 << 20
)

// Errors of a call. Result.Err is or wraps one of them, but never ErrMismatch: a mismatch
// is reported as an ErrBadResponse that contains its text.
var (
	ErrNoConn      = errors.New("client: no connection is available")
	ErrTooLate     = errors.New("client: time to send has passed")
	ErrClosed      = errors.New("client: connection closed before the response")
	ErrDial        = errors.New("client: dial failed")
	ErrBadResponse = errors.New("client: bad response")
	ErrMismatch    = errors.New("client: response to another request")
)

// Dial opens a network connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client.
type Options struct {
	Names core.HeaderNames
	Dial  Dial       // if nil, that of a net.Dialer
	Meter core.Meter // may be nil
	// LastConnClosed is called when a replica closed the last connection to an instance
	// while it was idle, but not if it reset it. It must not block and may be nil.
	LastConnClosed func(core.InstanceID)
	// BodyBytes bounds the body of one response, and BufferBytes the memory for the
	// bodies of all responses that are being read. 0 means 8 MiB and 64 MiB.
	BodyBytes   int
	BufferBytes int64
	// Connections bounds the connections to all instances; 0 means no bound. At the bound, a
	// new one replaces the connection that has been idle longest.
	Connections int
}

// Target is the instance that a request goes to.
type Target struct {
	ID          core.InstanceID
	Address     string
	Connections int // limit on this host's open connections to the instance
}

// Request is one request to a replica.
type Request struct {
	ID     core.RequestID
	Method string
	URI    string
	Host   string
	Header core.Header // without the fields that the client sets itself
	Body   []byte
	// Head is the result of Client.Head for this request, so that the calls for a request
	// with a large head share it. nil: the call makes its own.
	Head           []byte
	Remaining      time.Duration // remaining time, sent to the replica unless it is 0
	AvoidStaleConn bool          // must not use a connection that the replica may just have closed
	// Earlier lists the earlier calls of the same request. The request is not sent on a
	// connection that carried one of them, since a late copy of its response there would be
	// taken for the response to this call: both have the same ID.
	Earlier []*Call
	// BodyBytes lowers the client's limit on the body of the response; 0 keeps it.
	BodyBytes int
	// SendBy is the time after which the request is not sent any more; zero for no limit.
	SendBy time.Time
}

// Reply is the response of a replica.
type Reply struct {
	Status int
	Fields []core.Field
	Stamp  string
	Body   []byte
	NotRun bool // the replica did not execute the request
	// AddressReused is set when another instance uses the address now.
	AddressReused bool
	Load          *picker.Load
	Leaving       bool          // the replica is about to stop
	Wait          time.Duration // the replica wants no requests for so long
	InvalidWait   bool          // the replica stated a time that can't be understood
	Warmup        time.Duration // the replica stays cold for so long; 0 if it states nothing
}

// Result is the outcome of a call.
type Result struct {
	Reply Reply
	Err   error
	// NotRun is set if it is certain that the replica did not execute the request.
	NotRun bool
	// NoResponse is set when the dial failed, or the connection ended before the first
	// byte of a response.
	NoResponse bool
	Took       time.Duration
	// Conn numbers the connection that carried the call, from 1 on; 0 if there was none.
	Conn uint64
}

// Client holds the connections to all instances. It is safe for concurrent use.
// Lock order: Client, pool, conn. Call is locked before conn.
type Client struct {
	opts   Options
	meter  core.Meter
	memory *memoryBudget

	lastConn atomic.Uint64 // number of the connection that was opened last
	open     atomic.Int64  // connections that are open or being opened, also those of no pool

	mu    sync.Mutex
	pools map[core.InstanceID]*pool
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.LastConnClosed == nil {
		o.LastConnClosed = func(core.InstanceID) {}
	}
	if o.BodyBytes <= 0 {
		o.BodyBytes = defaultBodyBytes
	}
	if o.BufferBytes <= 0 {
		o.BufferBytes = defaultBufferBytes
	}
	return &Client{
		opts:   o,
		meter:  core.MeterOr(o.Meter),
		memory: &memoryBudget{limit: o.BufferBytes},
		pools:  make(map[core.InstanceID]*pool),
	}
}

// Send starts a call. It passes the result to done, which is called once, on another
// goroutine or before Send returns, and must not block.
func (c *Client) Send(t Target, r Request, done func(Result)) *Call {
	call := &Call{client: c, target: t, request: r, done: done, start: time.Now()}
	p := c.pool(t)
	call.size = r.size()
	if !p.flight.reserve(int64(call.size)) {
		c.meter.Count("client_full_instances", 1)
		call.finish(Result{Err: ErrNoConn, NotRun: true})
		return call
	}
	call.flight = &p.flight
	conn, dial := p.take(call.start, r.AvoidStaleConn, r.Earlier)
	switch {
	case conn != nil:
		conn.run(call)
	case dial:
		go call.dial(p)
	default:
		call.finish(Result{Err: ErrNoConn, NotRun: true})
	}
	return call
}

// Warm opens a connection to an instance if none is open or being opened.
func (c *Client) Warm(ctx context.Context, t Target) {
	p := c.pool(t)
	if !p.reserveFirst() {
		return
	}
	conn, err := c.dial(ctx, t, p)
	if err != nil {
		p.release()
		return
	}
	p.put(conn)
}

// CloseInstance closes the connections to an instance that no longer exists. A
// connection with a running call is closed when the call ends.
func (c *Client) CloseInstance(id core.InstanceID) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// CloseIdle closes the idle connections to an instance, since the replica may no longer
// respond on them.
func (c *Client) CloseIdle(id core.InstanceID) {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

// TrimIdle closes idle connections that have not been used for a time, as far as an instance has
// more connections than keep allows. It returns how many it closed.
func (c *Client) TrimIdle(unused time.Duration, keep func(core.InstanceID) int) (closed int) {
	c.mu.Lock()
	pools := make(map[core.InstanceID]*pool, len(c.pools))
	for id, p := range c.pools {
		if p.size() > 0 {
			pools[id] = p
		}
	}
	c.mu.Unlock()
	before := time.Now().Add(-unused)
	for id, p := range pools {
		closed += p.trim(keep(id), before)
	}
	return closed
}

// Close closes all idle connections now, and the others when their calls end.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[core.InstanceID]*pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Connections returns the number of connections that are open or being opened. It does
// not count those that remain after CloseInstance or Close until their calls end.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.size()
	}
	return n
}

// pool returns the pool of an instance, creates it if needed, and sets its limit.
func (c *Client) pool(t Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[t.ID]
	if !ok {
		p = &pool{onEmpty: func() { c.opts.LastConnClosed(t.ID) }}
		c.pools[t.ID] = p
	}
	p.setLimit(t.Connections)
	return p
}

// dial dials an instance and starts a connection that p counts already.
func (c *Client) dial(ctx context.Context, t Target, p *pool) (*conn, error) {
	if !c.reserve() {
		c.meter.Count("client_connection_limit", 1)
		return nil, errors.Wrap(ErrNoConn, t.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.meter.Count("client_dials", 1)
	raw, err := c.opts.Dial(ctx, "tcp", t.Address)
	if err != nil {
		c.open.Add(-1)
		return nil, errors.Wrapf(ErrDial, "%s: %v", t.Address, err)
	}
	return newConn(&countedConn{Conn: raw, closed: func() { c.open.Add(-1) }}, p, c, c.lastConn.Add(1)), nil
}

// reserve reserves a connection. At the limit, it closes the one that has been idle longest.
func (c *Client) reserve() bool {
	limit := int64(c.opts.Connections)
	if c.open.Add(1) <= limit || limit <= 0 {
		return true
	}
	if c.closeLongestIdle() {
		return true
	}
	c.open.Add(-1)
	return false
}

// closeLongestIdle closes the connection that has been idle longest. It returns false if there
// is none.
func (c *Client) closeLongestIdle() bool {
	c.mu.Lock()
	pools := slices.Collect(maps.Values(c.pools))
	c.mu.Unlock()
	var oldest *pool
	var since time.Time
	for _, p := range pools {
		if t, ok := p.idleSince(); ok && (oldest == nil || t.Before(since)) {
			oldest, since = p, t
		}
	}
	return oldest != nil && oldest.closeOldest()
}

// countedConn calls a function when it is closed for the first time.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
