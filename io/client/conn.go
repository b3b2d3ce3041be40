package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

const (
	readBufferBytes = 4 << 10
	// smallBody is sent with the head in one write on the caller's goroutine; it
	// fits into the socket's buffer.
	smallBody = 8 << 10
	// maxSkipped bounds the late answers to earlier requests that are skipped.
	maxSkipped = 2
	// freshFor is how long after its last use a connection is safe from the idle
	// timeout of a replica that states none.
	freshFor = 800 * time.Millisecond
)

// conn is one connection. Its read loop runs from the start to the end.
type conn struct {
	raw   net.Conn
	pool  *pool
	names *core.HeaderNames
	read  *bufio.Reader

	mu      sync.Mutex
	call    *Call
	written bool // the whole request was written
	dead    bool
	used    time.Time
	idleFor time.Duration // stated by the replica; 0 when unknown
	buffer  []byte
}

func newConn(raw net.Conn, p *pool, names *core.HeaderNames) *conn {
	c := &conn{raw: raw, pool: p, names: names, read: bufio.NewReaderSize(raw, readBufferBytes), used: time.Now()}
	go c.loop()
	return c
}

// usable reports whether an idle connection may carry the next request.
func (c *conn) usable(now time.Time, fresh bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.used)
	if c.dead || c.idleFor > 0 && idle > c.idleFor-idleMargin {
		return false
	}
	return !fresh || idle < freshFor
}

// run sends the request of a call.
func (c *conn) run(call *Call) {
	if !call.attach(c) {
		c.pool.put(c)
		call.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		c.pool.release()
		call.finish(Result{Err: ErrClosed, NotRun: true})
		return
	}
	c.call = call
	// A small request goes out in one write, and the next write waits for it: its
	// answer may be read before the write returns.
	c.written = len(call.request.Body) <= smallBody
	c.mu.Unlock()
	head := c.head(call)
	if len(call.request.Body) > smallBody {
		go c.write(head, call.request.Body)
		return
	}
	c.write(append(head, call.request.Body...), nil)
}

func (c *conn) write(head, body []byte) {
	if body != nil {
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		defer func() { _ = c.raw.SetWriteDeadline(time.Time{}) }()
	}
	_, err := c.raw.Write(head)
	if err == nil && body != nil {
		_, err = c.raw.Write(body)
	}
	if err != nil {
		// The read loop ends the call: an answer may have come already.
		c.abort()
		return
	}
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// head builds the request line and the fields.
func (c *conn) head(call *Call) []byte {
	r := &call.request
	b := c.buffer[:0]
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = field(b, "Host", r.Host)
	b = field(b, c.names.RequestID, string(r.ID))
	if call.target.ID != "" {
		b = field(b, c.names.Expect, string(call.target.ID))
	}
	if r.Left > 0 {
		b = field(b, c.names.Deadline, strconv.FormatInt(max(1, r.Left.Milliseconds()), 10))
	}
	for _, f := range r.Fields {
		b = field(b, f.Name, f.Value)
	}
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		b = field(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b = append(b, "\r\n"...)
	c.buffer = b
	return b
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// loop reads answers until the connection ends. Bytes that come while no call
// runs belong to no request and end it.
func (c *conn) loop() {
	for {
		_, err := c.read.Peek(1)
		call := c.current()
		if err != nil || call == nil {
			c.end(call, err)
			return
		}
		if !c.answer(call) {
			return
		}
	}
}

func (c *conn) current() *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// end closes the connection and the call that runs on it, if any.
func (c *conn) end(call *Call, err error) {
	c.mu.Lock()
	c.dead = true
	c.call = nil
	c.mu.Unlock()
	_ = c.raw.Close()
	if call == nil {
		c.pool.remove(c, errors.Is(err, io.EOF))
		return
	}
	c.pool.release()
	call.finish(Result{Err: errors.Wrapf(ErrClosed, "%s: %v", call.target.Address, err), Silent: true})
}

// answer reads the answer of a call and reports whether the connection stays.
func (c *conn) answer(call *Call) bool {
	a, err := c.readOne(call)
	for skipped := 0; err == nil && skipped < maxSkipped && c.foreign(a, call); skipped++ {
		if !a.keep {
			err = ErrMismatch
			break
		}
		a, err = c.readOne(call)
	}
	if err == nil && c.foreign(a, call) {
		err = ErrMismatch
	}
	call.detach()
	c.mu.Lock()
	keep := err == nil && a.keep && c.written && !c.dead && c.read.Buffered() == 0
	c.call = nil
	c.used = time.Now()
	c.dead = c.dead || !keep
	if err == nil {
		c.idleFor = a.idleFor
	}
	c.mu.Unlock()
	if keep {
		c.pool.put(c)
	} else {
		_ = c.raw.Close()
		c.pool.release()
	}
	if err != nil {
		call.finish(Result{Err: errors.Wrapf(ErrBroken, "%s: %v", call.target.Address, err)})
		return false
	}
	reply := c.reply(a, call.target.ID)
	call.finish(Result{Reply: reply, NotRun: reply.NotRun})
	return keep
}

func (c *conn) readOne(call *Call) (answer, error) {
	l := limits{body: call.client.opts.BodyBytes, held: call.client.held}
	if most := call.request.BodyBytes; most > 0 {
		l.body = min(l.body, most)
	}
	return readAnswer(c.read, call.request.Method, l, func() func() { return boundHead(c.raw, c.read) })
}

// foreign reports whether an answer belongs to another request.
func (c *conn) foreign(a answer, call *Call) bool {
	id, ok := a.get(c.names.RequestID)
	return ok && id != string(call.request.ID)
}

func (c *conn) reply(a answer, target core.InstanceID) Reply {
	r := Reply{Status: a.status, Fields: a.fields, Body: a.body}
	r.Stamp, _ = a.get(c.names.Stamp)
	_, r.NotRun = a.get(c.names.NotRun)
	id, named := a.get(c.names.Instance)
	r.Moved = a.status == http.StatusMisdirectedRequest || named && target != "" && id != string(target)
	r.NotRun = r.NotRun || a.status == http.StatusMisdirectedRequest
	if text, ok := a.get(c.names.Load); ok {
		r.Load = parseLoad(text)
	}
	return r
}

// abort closes the connection; the read loop ends the call.
func (c *conn) abort() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	_ = c.raw.Close()
}

// shut closes an idle connection that is no longer in its pool.
func (c *conn) shut() { c.abort() }

func hasToken(list, token string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(part), token) {
			return true
		}
	}
	return false
}
