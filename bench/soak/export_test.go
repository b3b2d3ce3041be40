package soak

import (
	"net"
	"net/http"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/platform"
	"oriolebarrow/standin/flood"
)

// Proxy exposes proxy to tests.
type Proxy struct{ p *proxy }

// StartProxy returns a proxy that forwards the connections of a listener to those that dial
// returns.
func StartProxy(l net.Listener, dial func() (net.Conn, error)) Proxy {
	return Proxy{startProxy(l, dial)}
}

// SetFault sets the fault of the proxy's connections.
func (p Proxy) SetFault(f Fault) { p.p.setFault(f) }

// Close closes the proxy and all of its connections.
func (p Proxy) Close() { p.p.close() }

// Checker compares the answers that callers got with executions that the test adds.
type Checker struct{ g *gateway }

// NewChecker returns a checker without executions. It counts one served query and one
// served order, since the final check fails without them.
func NewChecker() Checker {
	r := &Report{Requests: map[string]int{"query 200": 1, "order 200": 1}}
	return Checker{&gateway{report: r, names: platform.Names(), journal: newJournal()}}
}

// AddExecution records an execution of a request on a replica and returns its stamp.
func (c Checker) AddExecution(request string, s core.ServiceName, id core.InstanceID) string {
	return c.g.journal.add(request, core.Instance{ID: id, Service: s})
}

// AddOrder records the status that the caller of an order got, or 0 if the connection
// ended without an answer.
func (c Checker) AddOrder(id string, status int, undisturbed bool) {
	c.g.orders = append(c.g.orders, order{id: id, host: "host-0", status: status, undisturbed: undisturbed})
}

// BrokenPromises runs the final checks and returns the broken promises.
func (c Checker) BrokenPromises() []string {
	c.g.checkFinal()
	return c.g.report.BrokenPromises
}

// SendEndless makes a replica send an endless response, until a write takes longer than
// writeTimeout. It returns how many bytes were accepted.
func (c Checker) SendEndless(w http.ResponseWriter, writeTimeout time.Duration) int64 {
	r := &replica{instance: core.Instance{ID: "i-1"}}
	c.g.replicas = append(c.g.replicas, r)
	r.sendEndless(w, flood.Body("HTTP/1.1 200 OK\r\n\r\n", flood.Options{Max: maxEndlessBytes, Interval: endlessInterval, WriteTimeout: writeTimeout}))
	return r.maxAccepted.Load()
}

// AddColdRequests records requests that a cold replica gets at given times.
func (c Checker) AddColdRequests(at ...time.Time) {
	in := core.Instance{ID: "i-1", Warmup: coldWarmup}
	r := &replica{instance: in, lives: lifetimes{current: in}}
	c.g.replicas = append(c.g.replicas, r)
	for _, t := range at {
		r.lives.arrived(t, in.ID)
	}
}

// MaxColdRequests is the number of requests that a cold replica may get in one second.
func MaxColdRequests() int { return maxColdRequests() }

// CheckQuery returns what is wrong with an answer to a query, or an empty string.
func (c Checker) CheckQuery(id string, h http.Header, body []byte) string {
	return c.g.checkQuery(id, response{status: http.StatusOK, header: h, body: body, end: time.Now()})
}

// Records returns the records of a shard for a request.
func Records(s core.ServiceName, request string) [][]byte { return records(s, request) }

// ShardName returns the name of a shard of a set.
func ShardName(set string, i int) core.ServiceName { return shardName(set, i) }

// ShardCount is the number of shards of a query, TopK the number of records in its answer.
const (
	ShardCount = shardCount
	TopK       = topK
)

// EndedWithoutHandler exports endedWithoutHandler.
var EndedWithoutHandler = endedWithoutHandler
