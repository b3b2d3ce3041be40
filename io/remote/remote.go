// Package remote calls backend servers over HTTP. Each replica has its own transport,
// which limits the number of connections to it.
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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/pause"
	"oriolebarrow/io/heads"
)

const (
	// ChecksumHeader carries the CRC-32C of a response body in hexadecimal.
	ChecksumHeader = "X-Crc32c"
	// CallIDHeader identifies one HTTP call of a client. The server echoes it, so that a late
	// copy of the response to an earlier call on the connection is not accepted.
	CallIDHeader = "X-Call-Id"
)

const (
	defaultMaxBytes = 1 << 20
	envelopeBytes   = 4 << 10 // allowance for the JSON fields around the rows
	dialTimeout     = time.Second
	idleTimeout     = 5 * time.Minute // long, since a reused connection saves the cost of a new one
	errorBodyBytes  = 4 << 10         // limit for the body of an error response
	firstBytes      = 4 << 10         // first size of the buffer for a response, which is not charged
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Options configures a client.
type Options struct {
	Connections int        // connection limit of a replica for which SetConnectionLimit was not called
	Meter       core.Meter // may be nil
	// Dial opens connections. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// limitedClient is the HTTP client of one replica, with its connection limit.
type limitedClient struct {
	*http.Client
	connections int
}

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	opts  Options
	meter core.Meter

	mu      sync.Mutex // guards clients
	clients map[string]limitedClient

	openConns connCounter
	lastCall  atomic.Uint64 // number of the last call, which is its CallIDHeader
}

var (
	_ core.Backend           = (*Client)(nil)
	_ core.ConnectionLimiter = (*Client)(nil)
)

// New returns a client without open connections.
func New(opts Options) *Client {
	return &Client{opts: opts, meter: core.MeterOr(opts.Meter), clients: make(map[string]limitedClient)}
}

// SetConnectionLimit sets the connection limit of one replica. If the limit changes,
// running calls finish on their existing connections, and new calls use new connections.
func (c *Client) SetConnectionLimit(address string, connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.clients[address]
	if ok && old.connections == connections {
		return
	}
	c.clients[address] = c.newLimitedClient(connections)
	if ok {
		old.CloseIdleConnections()
	}
}

// client returns the HTTP client of a replica. If there is none, it creates one with the
// limit Options.Connections.
func (c *Client) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	limited, ok := c.clients[address]
	if !ok {
		limited = c.newLimitedClient(c.opts.Connections)
		c.clients[address] = limited
	}
	return limited.Client
}

func (c *Client) newLimitedClient(connections int) limitedClient {
	connections = max(1, connections)
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:            c.dialer(connections),
			MaxConnsPerHost:        connections,
			MaxIdleConnsPerHost:    connections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: heads.MaxBytes, // 10 MiB in net/http
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return limitedClient{Client: client, connections: connections}
}

// dialer returns the dial function of one transport. The function waits for connections
// that are still being closed: http.Transport frees the slot of a connection shortly
// before it closes it, so the server could otherwise see one connection more than the
// limit.
func (c *Client) dialer(connections int) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := c.opts.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	slots := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			<-slots
		}
		return c.countConn(address, conn, err, func() { <-slots })
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.CloseIdleConnections()
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

// Status requests the state of a replica.
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
	CallID      string `json:"call_id"`
	RequestID   string `json:"request_id"`
	Service     string `json:"service"`
	Snapshot    uint64 `json:"snapshot"`
	Shard       int32  `json:"shard"`
	RemainingUS int64  `json:"remaining_us"`
}

type rowsBody struct {
	Snapshot uint64          `json:"snapshot"`
	Shard    int32           `json:"shard"`
	Rows     json.RawMessage `json:"rows"`
}

// Read reads one shard and returns its rows as a JSON array.
func (c *Client) Read(ctx context.Context, address string, call core.ReadCall) ([]byte, error) {
	var rows rowsBody
	err := c.do(ctx, request{
		op: "read", method: http.MethodPost, address: address, path: "/v1/read", out: &rows,
		maxBytes: call.MaxBytes, deadline: call.Deadline, checksum: true,
		newBody: func(remaining time.Duration) any {
			return readBody{
				CallID: call.CallID, RequestID: string(call.RequestID), Service: string(call.Service),
				Snapshot: uint64(call.Snapshot), Shard: int32(call.Shard),
				RemainingUS: remaining.Microseconds(),
			}
		},
		content: call.Body,
	})
	if err != nil {
		return nil, err
	}
	c.countMismatch(call, rows)
	if rows.Snapshot != uint64(call.Snapshot) || rows.Shard != int32(call.Shard) || !isArray(rows.Rows) {
		return nil, &core.CallError{
			Op: "read", Target: address, Reason: core.ReasonWrongAnswer,
			Cause: errors.Errorf("want a JSON array of rows of snapshot %d, shard %d; got a response for snapshot %d, shard %d", call.Snapshot, call.Shard, rows.Snapshot, rows.Shard),
		}
	}
	return rows.Rows, nil
}

func isArray(raw json.RawMessage) bool {
	raw = bytes.TrimLeft(raw, " \t\r\n")
	return len(raw) > 0 && raw[0] == '['
}

// Cancel asks the server to cancel a call.
func (c *Client) Cancel(ctx context.Context, address, callID string) error {
	return c.do(ctx, request{
		op: "cancel", method: http.MethodPost, address: address, path: "/v1/cancel",
		newBody: func(time.Duration) any { return map[string]string{"call_id": callID} },
	})
}

type orderBody struct {
	OrderID     string `json:"order_id"`
	RequestID   string `json:"request_id"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	RemainingUS int64  `json:"remaining_us"`
}

// Order runs an order on one server. It sends the order at most once: the request is a
// POST without idempotency headers and its body can't be rewound, so net/http resends it
// only if none of it was written.
func (c *Client) Order(ctx context.Context, address string, o core.OrderCall) ([]byte, error) {
	var out struct {
		OrderID string          `json:"order_id"`
		Result  json.RawMessage `json:"result"`
	}
	err := c.do(ctx, request{
		op: "order", method: http.MethodPost, address: address, path: "/v1/order", out: &out,
		maxBytes: o.MaxBytes, deadline: o.Deadline, checksum: true,
		newBody: func(remaining time.Duration) any {
			return orderBody{
				OrderID: o.OrderID, RequestID: string(o.RequestID), Service: string(o.Service),
				Key: o.Key, RemainingUS: remaining.Microseconds(),
			}
		},
		content: o.Body,
	})
	if err != nil {
		return nil, err
	}
	if out.OrderID != o.OrderID {
		return nil, &core.CallError{Op: "order", Target: address, Reason: core.ReasonWrongAnswer}
	}
	return out.Result, nil
}

// request describes one HTTP call to a backend server.
type request struct {
	op       string
	method   string
	address  string
	path     string
	newBody  func(remaining time.Duration) any // returns the body, which is sent as JSON; nil for none
	content  json.RawMessage                   // sent as the last key of the body, "body", without a copy; may be empty
	out      any                               // receives the decoded response; nil to ignore it
	maxBytes int                               // limit of the response; 0 for defaultMaxBytes
	deadline time.Time                         // zero for none
	checksum bool                              // whether the response must have a valid checksum
}

// States of a oneShotBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyAbandoned
)

var (
	errPastDeadline = errors.New("remote: deadline passed before sending")
	errAbandoned    = errors.New("remote: request was abandoned before it was sent")
	errChecksum     = errors.New("remote: checksum does not match the response body")
	errOtherCall    = errors.New("remote: response to another call")
	errContent      = errors.New("remote: body of the request is not valid JSON")
	errNoMemory     = errors.New("remote: no memory for the response")
)

// oneShotBody is a request body that net/http can read once and can't rewind. Its first
// read checks the deadline. This read takes place after the dial and the wait for a
// connection, right before the first byte is written.
type oneShotBody struct {
	data     io.Reader
	deadline time.Time
	state    atomic.Int32
}

// Read implements io.Reader.
func (b *oneShotBody) Read(p []byte) (int, error) {
	if b.state.Load() == bodyUnread {
		if !b.deadline.IsZero() && pause.Remaining(time.Now(), b.deadline) <= 0 {
			return 0, errPastDeadline
		}
		b.state.CompareAndSwap(bodyUnread, bodyRead)
	}
	if b.state.Load() == bodyAbandoned {
		return 0, errAbandoned
	}
	return b.data.Read(p)
}

// abandon makes all reads fail if nothing has been read so far. It then returns true,
// which proves that the request did not run.
func (b *oneShotBody) abandon() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyAbandoned)
}

// do sends a request and decodes the response into r.out. Its errors are of type
// *core.CallError.
func (c *Client) do(ctx context.Context, r request) error {
	remaining := time.Duration(0)
	if !r.deadline.IsZero() {
		// Computed here, just before sending, since the process may have been
		// suspended after the caller checked the deadline.
		remaining = pause.Remaining(time.Now(), r.deadline)
		if remaining <= 0 {
			return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonDeadline, NotRun: true}
		}
	}
	var body *oneShotBody
	var reader io.Reader
	size := int64(0)
	if r.newBody != nil {
		data, n, err := r.encode(remaining)
		if err != nil {
			return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonBackendError, NotRun: true, Cause: err}
		}
		body = &oneShotBody{data: data, deadline: r.deadline}
		reader = body
		size = n
	}
	var conn atomic.Pointer[countedConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			got := info.Conn.(*countedConn) // what dialer returns
			got.expectResponse(r.method)
			conn.Store(got)
		},
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, reader)
	if err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonBackendError, NotRun: true, Cause: err}
	}
	req.ContentLength = size
	req.Header.Set("Content-Type", "application/json")
	callID := strconv.FormatUint(c.lastCall.Add(1), 10)
	req.Header.Set(CallIDHeader, callID)
	resp, err := c.client(r.address).Do(req)
	if err != nil {
		// The request did not run if there was no connection, or if no byte of
		// its body was passed to one: the server can't start a call that it
		// can't read.
		notRun := conn.Load() == nil
		if body != nil {
			notRun = body.abandon()
		}
		reason := failureReason(ctx)
		if errors.Is(err, errPastDeadline) {
			reason = core.ReasonDeadline
		}
		return &core.CallError{Op: r.op, Target: r.address, Reason: reason, NotRun: notRun, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(CallIDHeader) != callID {
		c.meter.Count("remote_wrong_call", 1)
		// The response to this call may still come, so no other call can use the connection.
		_ = conn.Load().Close()
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonWrongAnswer, Cause: errOtherCall}
	}
	if resp.StatusCode != http.StatusOK {
		return refusalError(r, resp)
	}
	return c.countChecksumError(decode(ctx, r, resp))
}

// failureReason returns the reason of a call that failed without a complete response.
func failureReason(ctx context.Context) core.Reason {
	if ctx.Err() != nil {
		return core.ReasonDeadline
	}
	return core.ReasonBackendError
}

// Statuses that HTTP defines; net/http accepts others.
const lowestStatus, highestStatus = 100, 599

// refusalError converts a response with an error status to a CallError. Only an explicit
// "ran": false proves that the request did not run, and only with a status that HTTP defines.
func refusalError(r request, resp *http.Response) error {
	var body struct {
		Refused string `json:"refused"`
		Ran     *bool  `json:"ran"`
	}
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, errorBodyBytes))
	_ = json.Unmarshal(raw, &body)
	reason := core.Reason(body.Refused)
	if reason == "" {
		reason = core.ReasonBackendError
	}
	return &core.CallError{
		Op: r.op, Target: r.address, Reason: reason,
		NotRun: body.Ran != nil && !*body.Ran && resp.StatusCode >= lowestStatus && resp.StatusCode <= highestStatus,
		Cause:  errors.Errorf("status %d", resp.StatusCode),
	}
}

// decode reads a response, checks its size and checksum, and decodes it into r.out.
func decode(ctx context.Context, r request, resp *http.Response) error {
	limit := r.maxBytes
	if limit == 0 {
		limit = defaultMaxBytes
	}
	lease := core.LeaseOf(ctx)
	raw, charged, err := readAll(lease, resp.Body, limit+envelopeBytes+1)
	defer func() { lease.Refund(charged) }() // what is decoded from raw is a copy
	if errors.Is(err, errNoMemory) {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonOverload, Cause: err}
	}
	if err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: failureReason(ctx), Cause: err}
	}
	if len(raw) > limit+envelopeBytes {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonTooLarge, Cause: errors.Errorf("response body of more than %d bytes", limit)}
	}
	if r.checksum && resp.Header.Get(ChecksumHeader) != Checksum(raw) {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonWrongAnswer, Cause: errChecksum}
	}
	if r.out == nil {
		return nil
	}
	if !lease.Charge(len(raw)) {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonOverload, Cause: errNoMemory}
	}
	if err := json.Unmarshal(raw, r.out); err != nil {
		return &core.CallError{Op: r.op, Target: r.address, Reason: core.ReasonWrongAnswer, Cause: err}
	}
	return nil
}

// Checksum returns the value of ChecksumHeader for a response body.
func Checksum(body []byte) string {
	return fmt.Sprintf("%08x", crc32.Checksum(body, castagnoli))
}
