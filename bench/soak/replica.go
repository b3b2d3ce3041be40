package soak

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

const (
	recordBytes     = 16
	recordsPerShard = 4
	usualWork       = 4 * time.Millisecond
	slowWork        = 250 * time.Millisecond
)

// run is one execution of a request.
type run struct {
	service core.ServiceName
	replica core.InstanceID
	stamp   string // of its answer
}

// journal holds every execution, by request.
type journal struct {
	mu   sync.Mutex
	runs map[string][]run
	next atomic.Int64
}

func newJournal() *journal { return &journal{runs: make(map[string][]run)} }

// add notes an execution and returns the stamp of its answer.
func (j *journal) add(request string, in core.Instance) string {
	stamp := fmt.Sprintf("%s.%s.%d", in.ID, request, j.next.Add(1))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[request] = append(j.runs[request], run{service: in.Service, replica: in.ID, stamp: stamp})
	return stamp
}

func (j *journal) of(request string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs[request])
}

// records returns what a shard answers to a request, the same on each replica.
func records(service core.ServiceName, request string) [][]byte {
	var out [][]byte
	for i := range recordsPerShard {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s %s %d", service, request, i) // never fails
		out = append(out, h.Sum(nil)[:recordBytes])
	}
	return out
}

// echo is what a replica answers to an order.
func echo(request, uri string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %x", request, uri, body)
}

// Troubles of a replica.
const (
	replicaSlow  = "slow"
	replicaSheds = "sheds"
	replicaFails = "fails"
	replicaLoses = "loses_answers"
	replicaExtra = "extra_bytes"
	// These send what is no answer until the caller closes.
	replicaEndlessHead = "endless_head"
	replicaEndlessBody = "endless_body"
)

const (
	// babbleBytes are sent at a time, babbleGap apart: fast enough to reach every bound of a
	// host in a second.
	babbleBytes = 16 << 10
	babbleGap   = time.Millisecond
	// babbleStall ends a write to a caller that is stopped.
	babbleStall = 30 * time.Second
	// babbleMost is what a caller may take of one answer: its bound of a body, and what the
	// sockets on the way hold.
	babbleMost = 16 << 20
)

// replica is a backend server that speaks as the platform's do. It is reached
// through a proxy at its published address.
type replica struct {
	instance core.Instance
	names    core.HeaderNames
	journal  *journal
	server   *http.Server
	proxy    *proxy
	trouble  atomic.Value // string
	babbled  atomic.Int64 // most bytes that were taken of one answer without end
}

func newReplica(in core.Instance, own string, names core.HeaderNames, j *journal) (*replica, error) {
	r := &replica{instance: in, names: names, journal: j}
	r.trouble.Store("")
	l, err := net.Listen("tcp", own)
	if err != nil {
		return nil, errors.Wrap(err, "soak: replica")
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(l) }() // ends by close
	if r.proxy, err = newProxy(in.Address, own); err != nil {
		_ = r.server.Close()
		return nil, err
	}
	return r, nil
}

func (r *replica) close() {
	r.proxy.close()
	_ = r.server.Close()
}

// target lets the replica and the way to it be disturbed.
func (r *replica) target() target {
	own := []string{replicaSlow, replicaSheds, replicaFails, replicaLoses, replicaExtra, replicaEndlessHead, replicaEndlessBody}
	way := troubleNames()
	return target{
		name:     "replica " + string(r.instance.ID),
		troubles: append(slices.Clone(own), way...),
		set: func(trouble string) {
			if slices.Contains(own, trouble) {
				r.trouble.Store(trouble)
				return
			}
			r.proxy.set(Trouble(trouble))
		},
		clear: r.calm,
	}
}

func (r *replica) calm() {
	r.trouble.Store("")
	r.proxy.set(Clear)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set(r.names.Instance, string(r.instance.ID))
	id := req.Header.Get(r.names.RequestID)
	h.Set(r.names.RequestID, id)
	refuse := func(status int) {
		h.Set(r.names.NotRun, "1")
		w.WriteHeader(status)
	}
	body, err := io.ReadAll(req.Body)
	trouble := r.trouble.Load().(string)
	switch expected := req.Header.Get(r.names.Expect); {
	case err != nil:
		return // the caller left
	case req.URL.Path == healthPath:
		if trouble == replicaSheds {
			refuse(http.StatusServiceUnavailable)
		}
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != string(r.instance.ID):
		refuse(http.StatusMisdirectedRequest)
		return
	case trouble == replicaSheds:
		refuse(http.StatusServiceUnavailable)
		return
	}
	work := usualWork
	if trouble == replicaSlow {
		work = slowWork
	}
	select {
	case <-time.After(work):
	case <-req.Context().Done():
	}
	h.Set(r.names.Stamp, r.journal.add(id, r.instance))
	switch trouble {
	case replicaEndlessHead:
		r.babble(w, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", babbleBytes)+"\r\n")
		return
	case replicaEndlessBody:
		r.babble(w, "HTTP/1.1 200 OK\r\n"+r.names.RequestID+": "+id+"\r\n\r\n", strings.Repeat("x", babbleBytes))
		return
	case replicaFails:
		w.WriteHeader(http.StatusInternalServerError)
	case replicaLoses:
		panic(http.ErrAbortHandler) // ends the connection
	}
	answer := echo(id, req.RequestURI, body)
	if req.Method == http.MethodGet {
		answer = bytes.Join(records(r.instance.Service, id), nil)
	}
	_, _ = w.Write(answer) // a caller that left is noticed by the next read
	if trouble == replicaExtra {
		if c, rw, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			_ = rw.Flush()
			_ = c.Close()
		}
	}
}

// babble sends bytes until the caller closes.
func (r *replica) babble(w http.ResponseWriter, first, next string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the caller left
	}
	defer func() { _ = c.Close() }()
	sent := int64(0)
	for text := first; sent <= babbleMost; text = next {
		_ = c.SetWriteDeadline(time.Now().Add(babbleStall)) // the write says so
		n, err := io.WriteString(c, text)
		sent += int64(n)
		if err != nil {
			break
		}
		time.Sleep(babbleGap)
	}
	for {
		most := r.babbled.Load()
		if sent <= most || r.babbled.CompareAndSwap(most, sent) {
			return
		}
	}
}
