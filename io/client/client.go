// Package client sends requests to replicas over HTTP/1.1. It keeps a bounded
// number of connections to each instance, never sends a request twice, and
// tells for each failed call whether the replica can have run it.
//
// It replaces net/http's transport, which repeats some requests by itself, needs
// two goroutines a connection and cannot skip a late answer to an earlier
// request. Answers without a length are parsed by net/http.
//
// # Usage
//
//	c := client.New(client.Options{Names: names})
//	call := c.Send(target, request, func(r client.Result) { results <- r })
//	call.Abandon(linger)
package client

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
)

const (
	// dialTimeout is far above the round trip within a region; a replica that
	// accepts no connection for so long does not answer in time either.
	dialTimeout = 400 * time.Millisecond
	// writeTimeout bounds a write to a replica that does not read.
	writeTimeout = 2 * time.Second
	// idleMargin is how long before a replica's stated idle timeout a connection
	// is no longer used, so that no request crosses the replica's close.
	idleMargin = 500 * time.Millisecond
	// maxHeadBytes bounds the head of an answer: usual ones have a few hundred bytes.
	maxHeadBytes = 16 << 10
	// maxInterim bounds the answers with a status below 200 that precede the final one.
	maxInterim = 4
	// headWithin bounds the time from the first byte of a head to its end: pauses of a
	// replica are far shorter.
	headWithin = time.Second
	// defaultBodyBytes and defaultHeldBytes hold where the options state nothing.
	defaultBodyBytes = 8 << 20
	defaultHeldBytes = 64 << 20
)

// Errors of a call.
var (
	ErrBusy     = errors.New("client: no connection is free")
	ErrClosed   = errors.New("client: connection closed before the answer")
	ErrDial     = errors.New("client: connection failed")
	ErrBroken   = errors.New("client: answer is broken")
	ErrMismatch = errors.New("client: answer to another request")
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a client.
type Options struct {
	Names core.HeaderNames
	Dial  Dial       // net.Dialer when nil
	Meter core.Meter // may be nil
	// Emptied is told when the replica closed the last connection of an instance
	// while it was idle. It must not block; may be nil.
	Emptied func(core.InstanceID)
	// BodyBytes bounds one body, and HeldBytes those of all answers that are being read;
	// 0 means 8 MiB and 64 MiB.
	BodyBytes int
	HeldBytes int64
}

// Target is the instance that a request goes to.
type Target struct {
	ID          core.InstanceID
	Address     string
	Connections int // open ones of this host at most
}

// Request is one request as the replica shall get it.
type Request struct {
	ID     core.RequestID
	Method string
	URI    string
	Host   string
	Fields []core.Field // without those that the client sets itself
	Body   []byte
	Left   time.Duration // remaining time to state; none when 0
	Fresh  bool          // must not use a connection that may just have been closed
	// BodyBytes bounds the body of the answer; 0 means the bound of the client.
	BodyBytes int
}

// Reply is the answer of a replica.
type Reply struct {
	Status int
	Fields []core.Field
	Stamp  string
	Body   []byte
	NotRun bool
	// Moved is set when another instance has the address by now.
	Moved bool
	Load  *fleet.Load
}

// Result is the end of a call.
type Result struct {
	Reply Reply
	Err   error
	// NotRun is set on proof that the replica did not run the request.
	NotRun bool
	// Silent is set when nothing came back at all.
	Silent bool
	Took   time.Duration
}

// Client holds the connections to all instances. It is safe for concurrent use.
// Lock order: client, pool, connection.
type Client struct {
	opts  Options
	meter core.Meter
	held  *held

	mu    sync.Mutex
	pools map[core.InstanceID]*pool
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Emptied == nil {
		o.Emptied = func(core.InstanceID) {}
	}
	if o.BodyBytes <= 0 {
		o.BodyBytes = defaultBodyBytes
	}
	if o.HeldBytes <= 0 {
		o.HeldBytes = defaultHeldBytes
	}
	return &Client{
		opts:  o,
		meter: core.MeterOr(o.Meter),
		held:  &held{limit: o.HeldBytes},
		pools: make(map[core.InstanceID]*pool),
	}
}

// Send starts a call. done is called once, on another goroutine or before Send
// returns, and must not block.
func (c *Client) Send(t Target, r Request, done func(Result)) *Call {
	call := &Call{client: c, target: t, request: r, done: done, start: time.Now()}
	p := c.pool(t)
	conn, dial := p.take(call.start, r.Fresh)
	switch {
	case conn != nil:
		conn.run(call)
	case dial:
		go call.dial(p)
	default:
		call.finish(Result{Err: ErrBusy, NotRun: true})
	}
	return call
}

// Warm opens a connection to an instance if there is none.
func (c *Client) Warm(ctx context.Context, t Target) {
	p := c.pool(t)
	if !p.reserveFirst() {
		return
	}
	conn, err := c.open(ctx, t, p)
	if err != nil {
		p.release()
		return
	}
	p.put(conn)
}

// Drop closes the connections to an instance that is gone. Calls that run on
// them end first.
func (c *Client) Drop(id core.InstanceID) {
	c.mu.Lock()
	p := c.pools[id]
	delete(c.pools, id)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Reset closes the idle connections to an instance: they may be silent.
func (c *Client) Reset(id core.InstanceID) {
	c.mu.Lock()
	p := c.pools[id]
	c.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	pools := c.pools
	c.pools = make(map[core.InstanceID]*pool)
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		n += p.size()
	}
	return n
}

func (c *Client) pool(t Target) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[t.ID]
	if !ok {
		p = &pool{emptied: func() { c.opts.Emptied(t.ID) }}
		c.pools[t.ID] = p
	}
	p.setLimit(t.Connections)
	return p
}

func (c *Client) open(ctx context.Context, t Target, p *pool) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c.meter.Count("client_dials", 1)
	raw, err := c.opts.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%s: %v", t.Address, err)
	}
	return newConn(raw, p, &c.opts.Names), nil
}
