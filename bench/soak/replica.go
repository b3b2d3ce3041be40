package soak

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/standin/flood"
)

const (
	recordBytes       = 16
	recordsPerShard   = 4
	normalServiceTime = 4 * time.Millisecond
	slowServiceTime   = 250 * time.Millisecond
)

// execution is one execution of a request on a replica.
type execution struct {
	service core.ServiceName
	replica core.InstanceID
	stamp   string // identifies its answer
}

// journal records every execution by its request ID.
type journal struct {
	mu        sync.Mutex
	byRequest map[string][]execution
	next      atomic.Int64
}

func newJournal() *journal { return &journal{byRequest: make(map[string][]execution)} }

// add records an execution and returns the stamp of its answer.
func (j *journal) add(request string, in core.Instance) string {
	stamp := fmt.Sprintf("%s.%s.%d", in.ID, request, j.next.Add(1))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byRequest[request] = append(j.byRequest[request], execution{service: in.Service, replica: in.ID, stamp: stamp})
	return stamp
}

func (j *journal) executions(request string) []execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.byRequest[request])
}

// records returns the records of a shard for a request. They are the same on each replica.
func records(service core.ServiceName, request string) [][]byte {
	var out [][]byte
	for i := range recordsPerShard {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s %s %d", service, request, i) // never fails
		out = append(out, h.Sum(nil)[:recordBytes])
	}
	return out
}

// echo returns the answer of a replica to an order.
func echo(request, uri string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %x", request, uri, body)
}

// Faults of a replica. The backend servers of a serve run support some of them too.
const (
	replicaSlow  = "slow"
	replicaSheds = "sheds"
	replicaFails = "fails"
	replicaLoses = "loses_answers"
	replicaExtra = "extra_bytes" // sends a second response that no request asked for
	// Rejects the first call of each request, and sends the rejection a second time when the
	// next request arrives on the connection.
	replicaRepeats = "repeats_rejections"
	replicaWaits   = "asks_to_wait" // rejects all requests and asks for none for waitSeconds
	replicaLeaves  = "leaves"       // says that it leaves, and starts a new lifetime at the end of the fault
	// With these, the replica sends an endless header or body until the host closes the
	// connection.
	replicaEndlessHead = "endless_head"
	replicaEndlessBody = "endless_body"
)

// waitSeconds is the time for which replicaWaits asks for no requests.
const waitSeconds = "0.8"

const (
	// maxEndlessBytes is how much of one response a host may accept: its limit on a body, plus
	// what the sockets between replica and host buffer.
	maxEndlessBytes = 16 << 20
	// endlessInterval is short enough to exceed each of a host's limits within a second.
	endlessInterval = time.Millisecond
)

// replica is a stand-in for a backend server on the users' platform. Hosts reach it through a
// proxy at its published address.
type replica struct {
	instance    core.Instance
	names       core.HeaderNames
	journal     *journal
	server      *http.Server
	proxy       *proxy
	fault       atomic.Value // string
	maxAccepted atomic.Int64 // most bytes of one endless response that a host accepted
	rejected    sync.Map     // ids of requests that replicaRepeats has rejected
	publish     func(core.Instance)
	retire      func(core.InstanceID) // removes an entry
	lifetime    atomic.Int64
	lives       lifetimes
	left        atomic.Bool   // it has said in this lifetime that it leaves
	spoilt      atomic.Uint64 // responses with a spoilt head
}

func newReplica(in core.Instance, listenAddress string, names core.HeaderNames, j *journal, publish func(core.Instance), retire func(core.InstanceID)) (*replica, error) {
	r := &replica{instance: in, names: names, journal: j, publish: publish, retire: retire, lives: lifetimes{current: in}}
	r.fault.Store("")
	r.lifetime.Store(in.Born)
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "soak: listen for a replica")
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnContext: withLateCopy}
	go func() { _ = r.server.Serve(l) }() // returns after close
	if r.proxy, err = newProxy(in.Address, listenAddress); err != nil {
		_ = r.server.Close()
		return nil, err
	}
	return r, nil
}

func (r *replica) close() {
	r.proxy.close()
	_ = r.server.Close()
}

// target returns the replica, with its proxy, as a target of disturbances.
func (r *replica) target() target {
	ownFaults := []string{replicaSlow, replicaSheds, replicaFails, replicaLoses, replicaExtra, replicaEndlessHead, replicaEndlessBody, replicaRepeats, replicaWaits, replicaLeaves, replicaCold, replicaSpoils}
	proxyFaults := proxyFaultNames()
	return target{
		name:   "replica " + string(r.instance.ID),
		faults: append(slices.Clone(ownFaults), proxyFaults...),
		set: func(fault string) {
			if slices.Contains(ownFaults, fault) {
				r.setFault(fault)
			} else {
				r.lives.hold(time.Now().Add(time.Hour))
				r.proxy.setFault(Fault(fault))
			}
		},
		clear: r.clearFaults,
	}
}

// setFault sets a fault of the replica itself.
func (r *replica) setFault(fault string) {
	if fault == replicaCold {
		r.startLifetime(coldWarmup)
		return
	}
	r.fault.Store(fault)
}

func (r *replica) clearFaults() {
	r.fault.Store("")
	r.proxy.setFault(NoFault)
	r.lives.hold(time.Now().Add(heldTime))
	switch left := r.left.Swap(false); {
	case r.lives.instance().Warmup > 0:
		r.startLifetime(0)
	case left:
		r.publish(r.lives.reborn(r.lifetime.Add(1)))
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	in := r.lives.instance()
	h.Set(r.names.Instance, string(in.ID))
	if in.Warmup > 0 {
		h.Set(r.names.Warmup, strconv.FormatInt(in.Warmup.Milliseconds(), 10))
	}
	id := req.Header.Get(r.names.RequestID)
	h.Set(r.names.RequestID, id)
	refuse := func(status int) {
		h.Set(r.names.NotRun, "1")
		w.WriteHeader(status)
	}
	body, err := io.ReadAll(req.Body)
	fault := r.fault.Load().(string)
	switch expected := req.Header.Get(r.names.Expect); {
	case err != nil:
		return // the host closed the connection
	case req.URL.Path == healthPath:
		if fault == replicaSheds {
			refuse(http.StatusServiceUnavailable)
		}
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != string(in.ID):
		refuse(http.StatusMisdirectedRequest)
		return
	}
	r.lives.arrived(time.Now(), in.ID)
	switch {
	case fault == replicaWaits:
		h.Set(r.names.RetryAfter, waitSeconds)
		fallthrough
	case fault == replicaSheds:
		refuse(http.StatusServiceUnavailable)
		return
	}
	late := req.Context().Value(lateCopyKey{}).(*lateCopy)
	late.send()
	if _, known := r.rejected.LoadOrStore(id, true); fault == replicaRepeats && !known {
		late.text = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", r.names.RequestID, id, r.names.NotRun)
		refuse(http.StatusServiceUnavailable)
		return
	}
	if fault == replicaLeaves {
		r.left.Store(true)
		h.Set(r.names.Leaving, "1")
	}
	serviceTime := normalServiceTime
	if fault == replicaSlow {
		serviceTime = slowServiceTime
	}
	select {
	case <-time.After(serviceTime):
	case <-req.Context().Done():
	}
	h.Set(r.names.Stamp, r.journal.add(id, r.instance))
	endless := flood.Options{Max: maxEndlessBytes, Interval: endlessInterval}
	switch fault {
	case replicaEndlessHead:
		r.sendEndless(w, flood.Head("HTTP/1.1 200 OK\r\n", endless))
		return
	case replicaEndlessBody:
		r.sendEndless(w, flood.Body("HTTP/1.1 200 OK\r\n"+r.names.RequestID+": "+id+"\r\n\r\n", endless))
		return
	case replicaFails:
		w.WriteHeader(http.StatusInternalServerError)
	case replicaLoses:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer := echo(id, req.RequestURI, body)
	if req.Method == http.MethodGet {
		answer = bytes.Join(records(r.instance.Service, id), nil)
	}
	if fault == replicaSpoils {
		r.sendSpoilt(w, answer)
		return
	}
	_, _ = w.Write(answer) // the server's next read reports a closed connection
	if fault == replicaExtra {
		if c, rw, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			_ = rw.Flush()
			_ = c.Close()
		}
	}
}

// lateCopy is the second copy of a response on one connection.
type lateCopy struct {
	conn net.Conn
	text string
}

type lateCopyKey struct{}

// withLateCopy gives each connection a lateCopy. Its requests are served one by one.
func withLateCopy(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, lateCopyKey{}, &lateCopy{conn: c})
}

// send sends the copy, if there is one, before the response to the request that is being
// served, which net/http writes later.
func (l *lateCopy) send() {
	if l.text != "" {
		_, _ = io.WriteString(l.conn, l.text) // the server's next write reports a closed connection
		l.text = ""
	}
}

// sendEndless sends an endless response and records how much of it a host accepted.
func (r *replica) sendEndless(w http.ResponseWriter, endless flood.Response) {
	sent := endless.Send(w)
	for {
		largest := r.maxAccepted.Load()
		if sent <= largest || r.maxAccepted.CompareAndSwap(largest, sent) {
			return
		}
	}
}
