package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one execution of a request.
type run struct {
	replica string
	service string
	stamp   string
}

// runLog records the executions of all replicas by the id of the request.
type runLog struct {
	mu       sync.Mutex
	runs     map[string][]run
	arrivals map[string][]time.Time // of calls, rejected ones too
	next     int
}

// String returns the replica and the stamp of its answer.
func (r run) String() string { return fmt.Sprintf("%s (%s) gave %s", r.replica, r.service, r.stamp) }

func newRunLog() *runLog {
	return &runLog{runs: make(map[string][]run), arrivals: make(map[string][]time.Time)}
}

// add records an execution and returns its stamp.
func (l *runLog) add(id, replica, service string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	stamp := fmt.Sprintf("%s.%x.%s", replica, l.next, id)
	l.runs[id] = append(l.runs[id], run{replica: replica, service: service, stamp: stamp})
	return stamp
}

// arrived records the arrival of a call.
func (l *runLog) arrived(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// replica is a stand-in for a backend server on the platform. It runs slots requests at
// once, queues a few more, and rejects the others with X-Not-Executed.
type replica struct {
	id, service, zone, address string
	slots, queue               int
	work                       func() time.Duration
	log                        *runLog
	record                     *record
	// duplicate reports whether an answer is also sent a second time, at the point where
	// the next answer on the connection is expected.
	duplicate func() bool
	// sheds reports whether a request is rejected although there is room.
	sheds func() bool

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{} // closed and replaced when a slot becomes free
	conns    map[net.Conn]bool
	listener net.Listener
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener, r.free, r.conns = l, make(chan struct{}), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

// entry returns the value of the replica's key in the store.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1",
		"concurrency_limit": r.slots, "state": state, "warmup_left_ms": 0, "sequence": 1,
	}
}

func (r *replica) key() string { return "servers/" + r.id }

// serve serves one connection, one request at a time.
func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late []byte // a second copy of the last answer
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			_, err = c.Write(late)
			r.record.printf("replica %s sends its answer to %s a second time, after it received %s", r.id, lateID(late), req.Header.Get("X-Request-Id"))
			late = nil
			if err != nil {
				return
			}
		}
		gone := make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := in.Peek(1); err != nil {
				close(gone)
			}
		}()
		answer := r.answer(req, body, gone)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if r.duplicate != nil && req.URL.Path != healthPath && r.duplicate() {
			late = answer
		}
		<-peeked
	}
}

// lateID returns the request id of an answer.
func lateID(answer []byte) string {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return "?"
	}
	defer func() { _ = res.Body.Close() }()
	return fmt.Sprintf("%s (status %d)", res.Header.Get("X-Request-Id"), res.StatusCode)
}

// answer handles one request and returns the bytes of the answer, or nil if the host has
// closed the connection.
func (r *replica) answer(req *http.Request, body []byte, gone <-chan struct{}) []byte {
	id := req.Header.Get("X-Request-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		return r.response(http.StatusMisdirectedRequest, id, "", nil, false)
	}
	if req.URL.Path == healthPath {
		return r.response(http.StatusOK, id, "", nil, false)
	}
	if id == "" {
		return r.response(http.StatusBadRequest, id, "", nil, true)
	}
	r.log.arrived(id)
	var deadline <-chan time.Time
	if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil {
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		deadline = timer.C
	}
	if r.sheds != nil && r.sheds() {
		r.record.printf("replica %s sheds %s as not executed", r.id, id)
		return r.response(http.StatusServiceUnavailable, id, "", nil, true)
	}
	if !r.acquire(deadline, gone) {
		select {
		case <-gone:
			return nil
		default:
		}
		r.record.printf("replica %s rejects %s as not executed", r.id, id)
		return r.response(http.StatusServiceUnavailable, id, "", nil, true)
	}
	defer r.release()
	stamp := r.log.add(id, r.id, r.service)
	r.record.printf("replica %s runs %s", r.id, id)
	timer := time.NewTimer(r.work())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-deadline:
		return r.response(http.StatusGatewayTimeout, id, stamp, nil, false)
	case <-gone:
		return nil
	}
	if req.Method == http.MethodGet {
		return r.response(http.StatusOK, id, stamp, records(r.service, id), false)
	}
	return r.response(http.StatusOK, id, stamp, echo(id, req.RequestURI, body), false)
}

// acquire takes a slot, or waits for one if the queue has room. It returns false if the
// queue is full, the deadline passes or the connection is closed.
func (r *replica) acquire(deadline <-chan time.Time, gone <-chan struct{}) bool {
	r.mu.Lock()
	if r.running < r.slots && r.waiting == 0 {
		r.running++
		r.mu.Unlock()
		return true
	}
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	for {
		free := r.free
		r.mu.Unlock()
		ok := true
		select {
		case <-free:
		case <-deadline:
			ok = false
		case <-gone:
			ok = false
		}
		r.mu.Lock()
		if !ok {
			r.waiting--
			r.mu.Unlock()
			return false
		}
		if r.running < r.slots {
			r.waiting--
			r.running++
			r.mu.Unlock()
			return true
		}
	}
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	close(r.free)
	r.free = make(chan struct{})
}

// response returns the bytes of an answer.
func (r *replica) response(status int, id, stamp string, body []byte, notRun bool) []byte {
	r.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
	r.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Request-Id: %s\r\n", id)
	}
	if stamp != "" {
		fmt.Fprintf(&b, "X-Response-Stamp: %s\r\n", stamp)
	}
	if notRun {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	fmt.Fprintf(&b, "X-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: %d\r\n\r\n", r.id, load, len(body))
	b.Write(body)
	return b.Bytes()
}

// echo returns the answer to a request that one replica runs.
func echo(id, uri string, body []byte) []byte { return fmt.Appendf(nil, "%s %s %x", id, uri, body) }

// records returns the records of a shard for a request, the same at each replica.
func records(service, id string) []byte {
	var out []byte
	for i := range 4 {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s %s %d", service, id, i) // never fails
		out = h.Sum(out)
	}
	return out
}
