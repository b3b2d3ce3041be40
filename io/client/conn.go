package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

const (
	readBufferBytes = 4 << 10
	// smallRequestBytes is the largest request that is sent in one write, without a
	// separate goroutine: it fits into the send buffer of the socket.
	smallRequestBytes = 8 << 10
	// maxSkipped bounds the late responses to earlier requests that a call skips.
	maxSkipped = 2
	// maxFreshIdle is how long an idle connection is safe from the idle timeout of a
	// replica that states none.
	maxFreshIdle = 800 * time.Millisecond
)

// conn is one connection to an instance. Its read loop runs until it is closed.
type conn struct {
	raw    net.Conn
	pool   *pool
	names  *core.HeaderNames
	meter  core.Meter
	number uint64
	read   *bufio.Reader

	// writing is held from before a request becomes the running call until its write has
	// returned. It is locked before mu.
	writing sync.Mutex

	mu          sync.Mutex
	call        *Call // the running call, if any
	written     bool  // the whole request was written
	neverSent   bool  // the write of the running call failed before its first byte
	closed      bool
	lastUsed    time.Time
	idleTimeout time.Duration // stated by the replica; 0 when unknown
	headBuf     []byte        // reused for the heads of requests
}

func newConn(raw net.Conn, p *pool, cl *Client, number uint64) *conn {
	c := &conn{
		raw: raw, pool: p, names: &cl.opts.Names, meter: cl.meter, number: number,
		read: bufio.NewReaderSize(raw, readBufferBytes), lastUsed: time.Now(),
	}
	go c.readLoop()
	return c
}

// usable reports whether an idle connection may carry the next request. If fresh is
// set, its last use must be so recent that no idle timeout of the replica has closed it.
func (c *conn) usable(now time.Time, fresh bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.lastUsed)
	if c.closed || c.idleTimeout > 0 && idle > c.idleTimeout-idleMargin {
		return false
	}
	return !fresh || idle < maxFreshIdle
}

// usedAt returns when the connection was last used.
func (c *conn) usedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed
}

// unusedSince reports whether an idle connection was last used before a time.
func (c *conn) unusedSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed.Before(t)
}

// carriedAny reports whether the connection carried one of the calls.
func (c *conn) carriedAny(calls []*Call) bool {
	return slices.ContainsFunc(calls, func(call *Call) bool { return call.connNumber.Load() == c.number })
}

// run sends the request of a call.
func (c *conn) run(call *Call) {
	if by := call.request.SendBy; !by.IsZero() && time.Now().After(by) {
		c.pool.put(c)
		call.finish(Result{Err: ErrTooLate, NotRun: true})
		return
	}
	if !call.attach(c) {
		c.pool.put(c)
		call.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	c.writing.Lock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.writing.Unlock()
		c.pool.release()
		call.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	c.call = call
	// A small request is sent in one write and counts as written at once, since its
	// response may be read before the write returns. net.Conn then delays the write of
	// the next request until this one has returned.
	small := call.size <= smallRequestBytes
	c.written = small
	c.mu.Unlock()
	if small && call.request.Head == nil {
		c.write(append(c.head(call), call.request.Body...))
		return
	}
	head := call.request.Head
	if head == nil {
		head = call.client.Head(&call.request)
	}
	go c.writeLarge(head, appendCallFields(nil, c.names, call), call.request.Body)
}

// writeLarge sends the parts of a large request, which are not copied, within writeTimeout.
func (c *conn) writeLarge(parts ...[]byte) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = c.raw.SetWriteDeadline(time.Time{}) }()
	c.write(parts...)
}

// write sends the parts of a request and unlocks writing.
func (c *conn) write(parts ...[]byte) {
	defer c.writing.Unlock()
	n, err := c.raw.Write(parts[0])
	if err != nil && n == 0 {
		c.mu.Lock()
		c.neverSent = true
		c.mu.Unlock()
	}
	for _, part := range parts[1:] {
		if err == nil && len(part) > 0 {
			_, err = c.raw.Write(part)
		}
	}
	if err != nil {
		// The read loop ends the call, since a response may have arrived already.
		c.abort()
		return
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// head returns the whole head of a request, in a buffer that the next request on the
// connection reuses.
func (c *conn) head(call *Call) []byte {
	b := appendCallFields(appendHead(c.headBuf[:0], c.names, &call.request), c.names, call)
	c.headBuf = nil
	if cap(b) <= keptHeadBytes {
		c.headBuf = b
	}
	return b
}

// Head returns the part of the head of a request that is the same for all calls.
func (c *Client) Head(r *Request) []byte {
	const estimated = 256 // bytes of what is not counted by size
	return appendHead(make([]byte, 0, r.size()-len(r.Body)+len(r.Host)+len(r.ID)+estimated), &c.opts.Names, r)
}

func appendHead(b []byte, names *core.HeaderNames, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	h := core.Header(b).Append("Host", r.Host).Append(names.RequestID, string(r.ID))
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		h = h.Append("Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(h, r.Header...)
}

// appendCallFields adds the fields that differ from call to call, and the end of the head.
func appendCallFields(b []byte, names *core.HeaderNames, call *Call) []byte {
	h := core.Header(b)
	if call.target.ID != "" {
		h = h.Append(names.Expect, string(call.target.ID))
	}
	if r := &call.request; r.Remaining > 0 {
		h = h.Append(names.Deadline, strconv.FormatInt(max(1, r.Remaining.Milliseconds()), 10))
	}
	return append(h, "\r\n"...)
}

// readLoop reads responses until the connection ends. Bytes that arrive while no call
// runs belong to no request, so the connection is closed.
func (c *conn) readLoop() {
	for {
		_, err := c.read.Peek(1)
		call := c.current()
		if err != nil || call == nil {
			c.end(call, err)
			return
		}
		if !c.receive(call) {
			return
		}
	}
}

// current returns the running call, or nil.
func (c *conn) current() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// end closes the connection, and fails the call that runs on it, if any.
func (c *conn) end(call *Call, err error) {
	c.mu.Lock()
	c.closed = true
	c.call = nil
	c.mu.Unlock()
	_ = c.raw.Close()
	if call == nil {
		c.pool.remove(c, errors.Is(err, io.EOF))
		return
	}
	c.pool.release()
	c.writing.Lock() // the close ends the write
	c.mu.Lock()
	neverSent := c.neverSent
	c.mu.Unlock()
	c.writing.Unlock()
	call.finish(Result{Err: errors.Wrapf(ErrClosed, "%s: %v", call.target.Address, err), NotRun: neverSent, NoResponse: true})
}

// receive reads the response to a call and reports whether the connection stays open.
func (c *conn) receive(call *Call) bool {
	res, err := c.readNext(call)
	for skipped := 0; err == nil && skipped < maxSkipped && c.answersOther(res, call); skipped++ {
		c.meter.Count("client_late_responses", 1)
		if !res.reuse {
			err = ErrMismatch
			break
		}
		res, err = c.readNext(call)
	}
	if err == nil && !c.answers(res, call) {
		err = ErrMismatch
	}
	call.detach()
	c.mu.Lock()
	reuse := err == nil && res.reuse && c.written && !c.closed && c.read.Buffered() == 0
	c.call = nil
	c.lastUsed = time.Now()
	c.closed = c.closed || !reuse
	if err == nil {
		c.idleTimeout = res.idleTimeout
	}
	c.mu.Unlock()
	if reuse {
		c.pool.put(c)
	} else {
		_ = c.raw.Close()
		c.pool.release()
	}
	if err != nil {
		call.finish(Result{Err: errors.Wrapf(ErrBadResponse, "%s: %v", call.target.Address, err)})
		return false
	}
	reply := c.reply(res, call.target.ID)
	call.finish(Result{Reply: reply, NotRun: reply.NotRun})
	return reuse
}

// readNext reads the next response on the connection.
func (c *conn) readNext(call *Call) (response, error) {
	l := limits{bodyBytes: call.client.opts.BodyBytes, memory: call.client.memory}
	if limit := call.request.BodyBytes; limit > 0 {
		l.bodyBytes = min(l.bodyBytes, limit)
	}
	return readResponse(c.read, call.request.Method, l, func() func() { return startHeadTimeout(c.raw, c.read) })
}

// answers reports whether a response has the request ID of a call. A response without an ID
// answers only a call without one: it may be a late copy of the response to a health probe.
func (c *conn) answers(res response, call *Call) bool {
	id, _ := res.get(c.names.RequestID)
	return id == string(call.request.ID)
}

// answersOther reports whether a response names another request.
func (c *conn) answersOther(res response, call *Call) bool {
	_, ok := res.get(c.names.RequestID)
	return ok && !c.answers(res, call)
}

// reply returns the reply that a response represents.
func (c *conn) reply(res response, target core.InstanceID) Reply {
	r := Reply{Status: res.status, Fields: res.fields, Body: res.body}
	r.Stamp, _ = res.get(c.names.Stamp)
	_, r.NotRun = res.get(c.names.NotRun)
	id, hasID := res.get(c.names.Instance)
	r.AddressReused = res.status == http.StatusMisdirectedRequest || hasID && target != "" && id != string(target)
	r.NotRun = r.NotRun || res.status == http.StatusMisdirectedRequest
	if text, ok := res.get(c.names.Load); ok {
		r.Load = parseLoad(text)
	}
	if text, ok := res.get(c.names.Leaving); ok {
		r.Leaving = text == "1"
	}
	if text, ok := res.get(c.names.Warmup); ok && !r.AddressReused {
		r.Warmup = parseWarmup(text)
	}
	if res.status == http.StatusServiceUnavailable {
		r.Wait, r.InvalidWait = c.wait(res)
	}
	return r
}

// wait returns the longest valid time that the Retry-After fields of a response state, and
// whether one of them is invalid.
func (c *conn) wait(res response) (longest time.Duration, invalid bool) {
	for _, f := range res.fields {
		if !strings.EqualFold(f.Name, c.names.RetryAfter) {
			continue
		}
		d, ok := parseWait(f.Value)
		longest, invalid = max(longest, d), invalid || !ok
	}
	return longest, invalid
}

// abort closes the connection. The read loop then ends the call.
func (c *conn) abort() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.raw.Close()
}

// close closes an idle connection that was removed from its pool, or not added to it.
func (c *conn) close() { c.abort() }
