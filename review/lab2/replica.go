package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
)

const (
	httpHost   = "pupu76.example"
	healthPath = "/healthz"
	partBytes  = 400
)

// replica is a stand-in for a server.
type replica struct {
	w     *world
	in    core.Instance
	slots chan struct{}
	queue atomic.Int64
	work  atomic.Int64 // nanoseconds

	mu       sync.Mutex
	headers  map[string]string // added to each answer
	override http.HandlerFunc  // answers requests instead, if not nil
}

const queueLength = 12

// addReplica starts a replica and publishes its entry.
func (w *world) addReplica(n int, service, zone string, slots int, work time.Duration) (*replica, error) {
	r := &replica{w: w, slots: make(chan struct{}, slots), in: core.Instance{
		ID: core.InstanceID(fmt.Sprintf("i-%04x", 0x7f00+n)), Service: core.ServiceName(service), DataCentre: core.DataCentre(zone),
		Address: w.address(100, replicaPort+n), Slots: slots, Born: time.Now().UnixMilli(),
	}}
	r.work.Store(int64(work))
	if err := w.serve(r.in.Address, r); err != nil {
		return nil, err
	}
	w.store.PutInstance(r.in)
	w.replicas = append(w.replicas, r)
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", string(r.in.ID))
	h.Set("Content-Type", "application/octet-stream")
	r.mu.Lock()
	for k, v := range r.headers {
		h.Set(k, v)
	}
	override := r.override
	r.mu.Unlock()
	id := req.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if req.URL.Path == healthPath {
		return
	}
	body, err := io.ReadAll(req.Body)
	refuse := func(status int) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	expected := req.Header.Get("X-Expect-Instance")
	switch {
	case err != nil:
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != string(r.in.ID):
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if override != nil {
		override(w, req)
		return
	}
	if r.queue.Add(1) > int64(cap(r.slots)+queueLength) {
		r.queue.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer r.queue.Add(-1)
	left := time.Minute
	if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-deadline.C:
		refuse(http.StatusServiceUnavailable)
		return
	case <-req.Context().Done():
		return
	}
	stamp := r.ran(id, req, len(body), expected)
	select {
	case <-time.After(time.Duration(r.work.Load())):
	case <-req.Context().Done():
		return
	case <-deadline.C:
		h.Set("X-Response-Stamp", stamp)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	h.Set("X-Response-Stamp", stamp)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), max(0, r.queue.Load()-int64(len(r.slots))), cap(r.slots)))
	part := records(string(r.in.ID), id, partBytes)
	h.Set("Content-Length", strconv.Itoa(len(part)))
	_, _ = w.Write(part)
}

// ran records an execution and returns its stamp.
func (r *replica) ran(id string, req *http.Request, body int, expected string) string {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	r.w.runs[id] = append(r.w.runs[id], execution{at: time.Now(), replica: r.in.ID, method: req.Method, uri: req.RequestURI, body: body, expected: expected})
	return fmt.Sprintf("%s.%s.%d", r.in.ID, id, len(r.w.runs[id]))
}

// records returns n bytes of records that depend on the replica and the request.
func records(replica, id string, n int) []byte {
	var out []byte
	for i := 0; len(out) < n; i++ {
		h := fnv.New128a()
		_, _ = fmt.Fprintf(h, "%s %s %d", replica, id, i)
		out = append(out, h.Sum(nil)...)
	}
	return out[:n]
}

// noteRuns notes how many requests the replicas have run.
func (w *world) noteRuns() {
	w.mu.Lock()
	requests, n := len(w.runs), 0
	for _, runs := range w.runs {
		n += len(runs)
	}
	w.mu.Unlock()
	w.note("the replicas ran parts of %d requests, %d runs in all", requests, n)
}
