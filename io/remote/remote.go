// Package remote calls backend servers over HTTP. Each replica has a transport
// of its own, so that its connections are bounded.
//
// # Usage
//
//	c := remote.New(remote.Options{Connections: 5})
//	rows, err := c.Read(ctx, "10.0.0.7:9000", call)
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
)

// ChecksumHeader carries the CRC-32C of a response body in hexadecimal.
const ChecksumHeader = "X-Crc32c"

const (
	defaultMaxBytes = 1 << 20
	envelopeBytes   = 4 << 10 // room for the fields around the rows
	dialTimeout     = time.Second
	idleTimeout     = 5 * time.Minute // warm connections save the set-up cost
	errorBodyBytes  = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Options configures a client.
type Options struct {
	Connections int        // open connections to a replica that Bound does not name
	Meter       core.Meter // may be nil
	// Dial opens connections; net.Dialer when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// bounded is the HTTP client of one replica and its connection limit.
type bounded struct {
	*http.Client
	connections int
}

// Client calls backend servers. It is safe for concurrent use; its lock guards
// only the table of transports.
type Client struct {
	opts  Options
	meter core.Meter

	mu      sync.Mutex
	clients map[string]bounded

	open openTable
}

var (
	_ core.Backend = (*Client)(nil)
	_ core.Bounder = (*Client)(nil)
)

// New returns a client without open connections.
func New(opts Options) *Client {
	return &Client{opts: opts, meter: core.MeterOr(opts.Meter), clients: make(map[string]bounded)}
}

// Bound sets the connection limit of one replica. If the limit changes, calls
// that run already end on their connections, and new calls use new ones.
func (c *Client) Bound(address string, connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.clients[address]
	if ok && old.connections == connections {
		return
	}
	c.clients[address] = c.newBounded(connections)
	if ok {
		old.CloseIdleConnections()
	}
}

func (c *Client) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.clients[address]
	if !ok {
		b = c.newBounded(c.opts.Connections)
		c.clients[address] = b
	}
	return b.Client
}

func (c *Client) newBounded(connections int) bounded {
	connections = max(1, connections)
	h := &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dialer(connections),
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return bounded{Client: h, connections: connections}
}

// dialer returns the dial function of one transport. It waits for a connection
// that is still being closed: http.Transport gives up its place a moment before
// it closes the connection, and the server would see one above the limit.
func (c *Client) dialer(connections int) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := c.opts.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	places := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			<-places
		}
		return c.counted(address, conn, err, func() { <-places })
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.clients {
		h.CloseIdleConnections()
	}
}

type statusBody struct {
	Incarnation uint64         `json:"incarnation"`
	State       string         `json:"state"`
	Load        int            `json:"load"`
	Snapshots   []snapshotBody `json:"snapshots"`
}

type snapshotBody struct {
	Snapshot   uint64  `json:"snapshot"`
	ShardCount int     `json:"shard_count"`
	Shards     []int32 `json:"shards"`
}

// Status asks a replica for its state.
func (c *Client) Status(ctx context.Context, address string) (core.ReplicaStatus, error) {
	var body statusBody
	if err := c.do(ctx, request{op: "status", method: http.MethodGet, address: address, path: "/v1/status", out: &body}); err != nil {
		return core.ReplicaStatus{}, err
	}
	status := core.ReplicaStatus{
		Incarnation: core.Incarnation(body.Incarnation),
		State:       core.ReplicaState(body.State),
		Load:        body.Load,
	}
	for _, s := range body.Snapshots {
		held := core.GroupSnapshot{Snapshot: core.SnapshotID(s.Snapshot), ShardCount: s.ShardCount}
		for _, shard := range s.Shards {
			held.Shards = append(held.Shards, core.ShardID(shard))
		}
		status.Snapshots = append(status.Snapshots, held)
	}
	return status, nil
}

type readBody struct {
	CallID      string          `json:"call_id"`
	RequestID   string          `json:"request_id"`
	Service     string          `json:"service"`
	Snapshot    uint64          `json:"snapshot"`
	Shard       int32           `json:"shard"`
	RemainingUS int64           `json:"remaining_us"`
	Body        json.RawMessage `json:"body,omitempty"`
}

type rowsBody struct {
	Snapshot uint64          `json:"snapshot"`
	Shard    int32           `json:"shard"`
	Rows     json.RawMessage `json:"rows"`
}

// Read calls one shard and returns its rows as a JSON array.
func (c *Client) Read(ctx context.Context, address string, call core.ReadCall) ([]byte, error) {
	var rows rowsBody
	err := c.do(ctx, request{
		op: "read", method: http.MethodPost, address: address, path: "/v1/read", out: &rows,
		maxBytes: call.MaxBytes, deadline: call.Deadline, checksum: true,
		in: func(remaining time.Duration) any {
			return readBody{
				CallID: call.CallID, RequestID: string(call.RequestID), Service: string(call.Service),
				Snapshot: uint64(call.Snapshot), Shard: int32(call.Shard),
				RemainingUS: remaining.Microseconds(), Body: call.Body,
			}
		},
	})
	if err != nil {
		return nil, err
	}
	c.countWrong(call, rows)
	if rows.Snapshot != uint64(call.Snapshot) || rows.Shard != int32(call.Shard) || !isArray(rows.Rows) {
		return nil, &core.CallError{
			Op: "read", Target: address, Reason: core.ReasonWrongAnswer,
			Cause: errors.Errorf("asked for snapshot %d shard %d, got snapshot %d shard %d", call.Snapshot, call.Shard, rows.Snapshot, rows.Shard),
		}
	}
	return rows.Rows, nil
}

func isArray(raw json.RawMessage) bool {
	raw = bytes.TrimLeft(raw, " \t\r\n")
	return len(raw) > 0 && raw[0] == '['
}

// Cancel asks the server to end a call.
func (c *Client) Cancel(ctx context.Context, address, callID string) error {
	return c.do(ctx, request{
		op: "cancel", method: http.MethodPost, address: address, path: "/v1/cancel",
		in: func(time.Duration) any { return map[string]string{"call_id": callID} },
	})
}

type orderBody struct {
	OrderID     string          `json:"order_id"`
	RequestID   string          `json:"request_id"`
	Service     string          `json:"service"`
	Key         string          `json:"key"`
	RemainingUS int64           `json:"remaining_us"`
	Body        json.RawMessage `json:"body,omitempty"`
}

// Order runs an order on one server. It is sent at most once: the request is a
// POST without idempotency headers and its body can't be rewound, so that
// net/http resends it only when it wrote none of it.
func (c *Client) Order(ctx context.Context, address string, o core.OrderRun) ([]byte, error) {
	var out struct {
		OrderID string          `json:"order_id"`
		Result  json.RawMessage `json:"result"`
	}
	err := c.do(ctx, request{
		op: "order", method: http.MethodPost, address: address, path: "/v1/order", out: &out,
		maxBytes: o.MaxBytes, deadline: o.Deadline, checksum: true,
		in: func(remaining time.Duration) any {
			return orderBody{
				OrderID: o.OrderID, RequestID: string(o.RequestID), Service: string(o.Service),
				Key: o.Key, RemainingUS: remaining.Microseconds(), Body: o.Body,
			}
		},
	})
	if err != nil {
		return nil, err
	}
	if out.OrderID != o.OrderID {
		return nil, &core.CallError{Op: "order", Target: address, Reason: core.ReasonWrongAnswer}
	}
	return out.Result, nil
}

type request struct {
	op       string
	method   string
	address  string
	path     string
	in       func(remaining time.Duration) any
	out      any
	maxBytes int
	deadline time.Time
	checksum bool
}

// States of a oneShot.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyWithdrawn
)

var (
	errPastDeadline = errors.New("remote: deadline passed before sending")
	errWithdrawn    = errors.New("remote: request was given up")
	errChecksum     = errors.New("checksum differs")
)

// oneShot is a request body that net/http can read once and can't rewind. The
// first read checks the deadline: it comes after the dial and the wait for a
// connection, right before the first byte is written.
type oneShot struct {
	data     io.Reader
	deadline time.Time
	state    atomic.Int32
}

// Read implements io.Reader.
func (b *oneShot) Read(p []byte) (int, error) {
	if b.state.Load() == bodyUnread {
		if !b.deadline.IsZero() && pause.Left(time.Now(), b.deadline) <= 0 {
			return 0, errPastDeadline
		}
		b.state.CompareAndSwap(bodyUnread, bodyRead)
	}
	if b.state.Load() == bodyWithdrawn {
		return 0, errWithdrawn
	}
	return b.data.Read(p)
}

// withdraw forbids later reads. It returns true when nothing was ever read,
// which proves that the request did not run.
func (b *oneShot) withdraw() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyWithdrawn)
}

func (c *Client) do(ctx context.Context, r request) error {
	remaining := time.Duration(0)
	if !r.deadline.IsZero() {
		// Read just before sending, since the process may have been stopped.
		remaining = pause.Left(time.Now(), r.deadline)
		if remaining <= 0 {
			return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonDeadline, NotRun: true}
		}
	}
	var body *oneShot
	var reader io.Reader
	size := int64(0)
	if r.in != nil {
		raw, err := json.Marshal(r.in(remaining))
		if err != nil {
			return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonBackendError, NotRun: true, Cause: err}
		}
		body = &oneShot{data: bytes.NewReader(raw), deadline: r.deadline}
		reader = body
		size = int64(len(raw))
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, reader)
	if err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonBackendError, NotRun: true, Cause: err}
	}
	req.ContentLength = size
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client(r.address).Do(req)
	if err != nil {
		// Nothing ran without a connection, nor when no byte of the body was
		// handed to one: the server can't start a call that it can't read.
		notRun := !connected.Load()
		if body != nil {
			notRun = body.withdraw()
		}
		reason := reasonOf(ctx)
		if errors.Is(err, errPastDeadline) {
			reason = core.ReasonDeadline
		}
		return &core.CallError{Op: r.op, Target: r.address, Reason: reason, NotRun: notRun, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return refusal(r, res)
	}
	return c.countChecksum(decode(ctx, r, res))
}

func reasonOf(ctx context.Context) core.Reason {
	if ctx.Err() != nil {
		return core.ReasonDeadline
	}
	return core.ReasonBackendError
}

// refusal turns an error status into a CallError. Only an explicit "ran": false
// proves that the request did not run.
func refusal(r request, res *http.Response) error {
	var body struct {
		Refused string `json:"refused"`
		Ran     *bool  `json:"ran"`
	}
	raw, _ := io.ReadAll(io.LimitReader(res.Body, errorBodyBytes))
	_ = json.Unmarshal(raw, &body)
	reason := core.Reason(body.Refused)
	if reason == "" {
		reason = core.ReasonBackendError
	}
	return &core.CallError{
		Op: r.op, Target: r.address, Reason: reason,
		NotRun: body.Ran != nil && !*body.Ran,
		Cause:  errors.Errorf("status %d", res.StatusCode),
	}
}

func decode(ctx context.Context, r request, res *http.Response) error {
	limit := r.maxBytes
	if limit == 0 {
		limit = defaultMaxBytes
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, int64(limit+envelopeBytes+1)))
	if err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: reasonOf(ctx), Cause: err}
	}
	if len(raw) > limit+envelopeBytes {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonTooLarge, Cause: errors.Errorf("more than %d bytes", limit)}
	}
	if r.checksum && res.Header.Get(ChecksumHeader) != Checksum(raw) {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonWrongAnswer, Cause: errChecksum}
	}
	if r.out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, r.out); err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonWrongAnswer, Cause: err}
	}
	return nil
}

// Checksum returns the value of ChecksumHeader for a body.
func Checksum(body []byte) string {
	return fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli))
}
