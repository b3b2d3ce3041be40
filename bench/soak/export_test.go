package soak

import (
	"net/http"
	"strings"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/platform"
)

// Proxy is a proxy for tests.
type Proxy struct{ p *proxy }

// NewProxy returns a proxy before a target.
func NewProxy(target string) (Proxy, error) {
	p, err := newProxy("127.0.0.1:0", target)
	return Proxy{p}, err
}

// Address returns where the proxy listens.
func (p Proxy) Address() string { return p.p.listener.Addr().String() }

// Set changes the trouble.
func (p Proxy) Set(t Trouble) { p.p.set(t) }

// Close ends the proxy.
func (p Proxy) Close() { p.p.close() }

// Checker checks what a caller was told against planted runs.
type Checker struct{ g *gateway }

// NewChecker returns a checker without runs, of a day on which something was served.
func NewChecker() Checker {
	r := &Report{Requests: map[string]int{"query 200": 1, "order 200": 1}}
	return Checker{&gateway{report: r, names: platform.Names(), journal: newJournal()}}
}

// Ran plants an execution and returns its stamp.
func (c Checker) Ran(request string, s core.ServiceName, id core.InstanceID) string {
	return c.g.journal.add(request, core.Instance{ID: id, Service: s})
}

// Told plants what an order's caller was told; 0 when its connection ended.
func (c Checker) Told(id string, status int, graceful bool) {
	c.g.orders = append(c.g.orders, order{id: id, host: "host-0", status: status, graceful: graceful})
}

// Final returns the promises that the orders broke.
func (c Checker) Final() []string {
	c.g.final()
	return c.g.report.Broken
}

// Babble lets a replica send without end to a caller.
func (c Checker) Babble(w http.ResponseWriter) {
	r := &replica{instance: core.Instance{ID: "i-1"}}
	c.g.replicas = append(c.g.replicas, r)
	r.babble(w, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", babbleBytes))
}

// Query checks an answer to a query.
func (c Checker) Query(id string, h http.Header, body []byte) string {
	return c.g.checkQuery(id, answered{status: http.StatusOK, header: h, body: body, end: time.Now()})
}

// Records returns the records of a shard.
func Records(s core.ServiceName, request string) [][]byte { return records(s, request) }

// Shard returns the name of a shard.
func Shard(set string, i int) core.ServiceName { return shard(set, i) }

// Sizes of the checked queries.
const (
	ShardCount = shardCount
	TopK       = topK
)
