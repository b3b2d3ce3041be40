// Package route finds the route of a request and the service of a weighted
// route. A Table is one version of the routing document and never changes.
//
// # Usage
//
//	table := route.New(routing)
//	r, ok := table.Match("tickets.example", "/recent/2f")
//	service := splitter.Pick(r)
package route

import (
	"maps"
	"net"
	"slices"
	"strings"

	"oriolebarrow/core"
)

// Table is one version of the routing document.
type Table struct {
	version   uint64
	byHost    map[string][]*core.Route  // longest prefix first
	named     map[core.ServiceName]bool // by some route
	queries   []*core.Route             // those that gather
	upstreams map[core.ServiceName]core.Upstream
	limits    core.CallerLimits
}

// New returns the table of a routing document.
func New(doc core.Routing) *Table {
	t := &Table{
		version:   doc.Version,
		byHost:    make(map[string][]*core.Route),
		named:     make(map[core.ServiceName]bool),
		upstreams: make(map[core.ServiceName]core.Upstream, len(doc.Upstreams)),
		limits:    doc.Limits,
	}
	for i := range doc.Routes {
		r := doc.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		for _, s := range r.Gather {
			t.named[s] = true
		}
		for _, s := range r.Split {
			t.named[s.Service] = true
		}
		if len(r.Gather) > 0 {
			t.queries = append(t.queries, &r)
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *core.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, u := range doc.Upstreams {
		t.upstreams[u.Name] = u
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() core.CallerLimits { return t.limits }

// Upstream returns what the document says of a service.
func (t *Table) Upstream(s core.ServiceName) (core.Upstream, bool) {
	u, ok := t.upstreams[s]
	return u, ok
}

// Upstreams returns all services of the document, in no order.
func (t *Table) Upstreams() []core.Upstream { return slices.Collect(maps.Values(t.upstreams)) }

// Services returns the services that some route names, without order.
func (t *Table) Services() []core.ServiceName { return slices.Collect(maps.Keys(t.named)) }

// Names reports whether some route names a service.
func (t *Table) Names(s core.ServiceName) bool { return t.named[s] }

// Queries returns the routes that gather.
func (t *Table) Queries() []*core.Route { return t.queries }

// Covered reports whether a host can serve what the document routes, if available
// tells which services have a replica: each query reaches its minimum, and most of
// the other services have one. A service without any replica must not keep hosts from
// serving the others.
func (t *Table) Covered(available func(core.ServiceName) bool) bool {
	gathered := make(map[core.ServiceName]bool)
	for _, r := range t.queries {
		n := 0
		for _, s := range r.Gather {
			gathered[s] = true
			if available(s) {
				n++
			}
		}
		if n == 0 || float64(n) < r.MinRatio*float64(len(r.Gather)) {
			return false
		}
	}
	others, served := 0, 0
	for s := range t.named {
		if gathered[s] {
			continue
		}
		others++
		if available(s) {
			served++
		}
	}
	return 2*served >= others
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*core.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes, ok := t.byHost[host]
	if !ok {
		routes = t.byHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
