// Package route finds the route of a request and chooses the service of a weighted
// route. A Table holds one version of the routing document and is immutable.
//
// # Usage
//
//	table := route.New(routing)
//	splitter := route.NewSplitter(seed) // used for all requests
//	if r, ok := table.Match("tickets.example", "/recent/2f"); ok {
//		service, ok := splitter.Pick(r)
//	}
package route

import (
	"maps"
	"net"
	"slices"
	"strings"

	"oriolebarrow/core"
)

// Table is an index of one version of the routing document.
type Table struct {
	version     uint64
	byHost      map[string][]*core.Route  // by host name in lower case; longest prefix first
	services    map[core.ServiceName]bool // services of all routes
	queryRoutes []*core.Route             // routes of queries over many shards
	upstreams   map[core.ServiceName]core.Upstream
	limits      core.CallerLimits
}

// New returns the table of a routing document.
func New(doc core.Routing) *Table {
	t := &Table{
		version:   doc.Version,
		byHost:    make(map[string][]*core.Route),
		services:  make(map[core.ServiceName]bool),
		upstreams: make(map[core.ServiceName]core.Upstream, len(doc.Upstreams)),
		limits:    doc.Limits,
	}
	for i := range doc.Routes {
		r := doc.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		for _, s := range r.Gather {
			t.services[s] = true
		}
		for _, s := range r.Split {
			t.services[s.Service] = true
		}
		if len(r.Gather) > 0 {
			t.queryRoutes = append(t.queryRoutes, &r)
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

// Limits returns the limits for requests and connections of callers.
func (t *Table) Limits() core.CallerLimits { return t.limits }

// Upstream returns the document's settings for a service.
func (t *Table) Upstream(s core.ServiceName) (core.Upstream, bool) {
	u, ok := t.upstreams[s]
	return u, ok
}

// Upstreams returns the settings of all services in the document, in no
// particular order.
func (t *Table) Upstreams() []core.Upstream { return slices.Collect(maps.Values(t.upstreams)) }

// Services returns the services that occur in any route, in no particular order.
func (t *Table) Services() []core.ServiceName { return slices.Collect(maps.Keys(t.services)) }

// HasService reports whether a service occurs in any route.
func (t *Table) HasService(s core.ServiceName) bool { return t.services[s] }

// QueryRoutes returns the routes of queries over many shards.
func (t *Table) QueryRoutes() []*core.Route { return t.queryRoutes }

// Servable reports whether a host has enough replicas to serve the document's routes;
// available reports whether a service has a replica. Each query must reach its minimum
// share of shards, and at least half of the services of other routes must be
// available: a service without any replica must not keep hosts from serving the others.
func (t *Table) Servable(available func(core.ServiceName) bool) bool {
	queryServices := make(map[core.ServiceName]bool)
	for _, r := range t.queryRoutes {
		n := 0
		for _, s := range r.Gather {
			queryServices[s] = true
			if available(s) {
				n++
			}
		}
		if n == 0 || float64(n) < r.MinRatio*float64(len(r.Gather)) {
			return false
		}
	}
	others, served := 0, 0
	for s := range t.services {
		if queryServices[s] {
			continue
		}
		others++
		if available(s) {
			served++
		}
	}
	return 2*served >= others
}

// Match returns the route for a host and a path: of the host's routes whose prefix
// matches the path, the one with the longest prefix. The port and the letter case of
// host are ignored.
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
