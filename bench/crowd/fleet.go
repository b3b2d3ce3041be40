package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/gather"
	"oriolebarrow/platform"
	"oriolebarrow/platform/fake"
	"oriolebarrow/standin/plat"
	"oriolebarrow/standin/server"
)

const (
	// fleetHosts is the number of hosts. A query over fleetShards shards is divided among all
	// of them.
	fleetHosts  = 4
	fleetShards = 48
	fleetTopK   = 5

	// QueryPath is the path of queries over all shards. For a query to StalledPath, one of the
	// two replicas of each shard reads no body and does not answer for stallTime.
	QueryPath   = "/q/small"
	StalledPath = "/q/stalled"
	stallTime   = time.Second
	replicaWork = 20 * time.Millisecond

	// serveGroups is the number of replica groups of the service of StartServeFleet, and
	// ServeCaller and ServeService are the names of its sections.
	serveGroups   = 6
	serveReplicas = 2
	ServeCaller   = "dispatch"
	ServeService  = "kiln"
)

// Fleet is several hosts as processes, with their stand-ins.
type Fleet struct {
	hosts    []*Host
	servers  []*http.Server
	backends *server.Fleet // nil for gateway hosts
}

// StartFleet starts gateway hosts with a route over many shards, and waits until each of them
// answers a query.
func StartFleet(o Options) (*Fleet, error) {
	f := new(Fleet)
	if err := f.startGateways(o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startGateways(o Options) error {
	store := fake.New()
	storeAddress := address(standInIP, 7000)
	if err := f.serve(storeAddress, store); err != nil {
		return err
	}
	doc := core.Routing{
		Version: 1,
		Routes: []core.Route{{
			Name: "query", Host: HTTPHost, Prefix: "/q/", Idempotent: true, Timeout: 5 * time.Second, Target: time.Second,
			Attempts: 2, TopK: fleetTopK, MinRatio: 0.75,
		}},
		Limits: core.CallerLimits{HeaderBytes: HeadBytes, BodyBytes: BodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for i := range fleetShards {
		s := core.ServiceName(fmt.Sprint("shard-", i))
		doc.Routes[0].Gather = append(doc.Routes[0].Gather, s)
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: s, HealthPath: "/healthz", Connections: 40})
		for j := range 2 {
			r := part{names: platform.Names(), id: fmt.Sprintf("i-%d-%d", i, j), faulty: j == 0}
			a := address(standInIP, 9000+2*i+j)
			if err := f.serve(a, r); err != nil {
				return err
			}
			store.PutInstance(core.Instance{ID: core.InstanceID(r.id), Service: s, Address: a, DataCentre: "mixco", Slots: 8, Born: 1})
		}
	}
	store.PutRouting(doc)
	for i := range fleetHosts {
		h := newHost(i)
		h.newRequest = func() (*http.Request, error) { return h.gatewayRequest(http.MethodGet, QueryPath, nil) }
		h.isAnswer = func(body string) bool { return len(body) == fleetTopK*gather.RecordBytes }
		f.hosts = append(f.hosts, h)
		if err := h.runGateway(o, storeAddress, []string{f.hosts[0].PeerAddress()}); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// part is a stand-in of a replica of a shard.
type part struct {
	names  core.HeaderNames
	id     string
	faulty bool // does not serve queries to StalledPath, HeadQueryPath and BodyQueryPath
}

// ServeHTTP implements http.Handler.
func (p part) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.faulty && r.URL.Path == StalledPath {
		time.Sleep(stallTime)
	}
	_, _ = io.Copy(io.Discard, r.Body) // fails only if the host has left
	if p.faulty && answerEndless(w, r, p.names) {
		return
	}
	time.Sleep(replicaWork)
	h := w.Header()
	h.Set(p.names.Instance, p.id)
	h.Set(p.names.RequestID, r.Header.Get(p.names.RequestID))
	h.Set(p.names.Stamp, "stamp-"+p.id)
	body := bytes.Repeat([]byte("r"), fleetTopK*gather.RecordBytes)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// StartServeFleet starts hosts of the product's own interface, and waits until each of them
// answers a query. The rows of each shard have about rowBytes bytes.
func StartServeFleet(o Options, rowBytes int) (*Fleet, error) {
	f := &Fleet{backends: server.NewFleet(server.Options{MeanService: replicaWork, Seed: 1, RowBytes: rowBytes})}
	if err := f.startServes(o); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startServes(o Options) error {
	document := serveDocument()
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: document}); err != nil {
		return errors.Wrap(err, "crowd: apply document")
	}
	service, ok := ledger.Service(ServeService)
	if !ok {
		return errors.Errorf("crowd: configuration sections refused: %v", ledger.Refused())
	}
	if err := f.backends.Start(service); err != nil {
		return errors.Wrap(err, "crowd: start backend servers")
	}
	platform := plat.New(0)
	platform.Publish(1, document)
	platformAddress := address(standInIP, 7000)
	if err := f.serve(platformAddress, platform); err != nil {
		return err
	}
	var list []core.HostEntry
	for i := range fleetHosts {
		h := newHost(i)
		h.newRequest = func() (*http.Request, error) {
			body := fmt.Sprintf(`{"caller":%q,"service":%q,"body":{}}`, ServeCaller, ServeService)
			return http.NewRequest(http.MethodPost, "http://"+h.CallerAddress()+"/v1/query", strings.NewReader(body))
		}
		h.isAnswer = func(body string) bool { return strings.Contains(body, `"rows":[[`) }
		f.hosts = append(f.hosts, h)
		list = append(list, core.HostEntry{Host: core.NewHost(core.HostID(h.name()), "mixco", h.PeerAddress())})
	}
	platform.SetHosts(list)
	for _, h := range f.hosts {
		if err := h.runServe(o, platformAddress); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// serveDocument returns configuration sections of a service with its backend servers and of
// its caller.
func serveDocument() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: backend\nname: %s\nteam: a\nedition: 1\nslots: 8\nconnections: 40\ngroups:\n", ServeService)
	for g := range serveGroups {
		indent := "  - "
		for r := range serveReplicas {
			fmt.Fprintf(&b, "%s- {address: %q, data_centre: mixco}\n", indent, address(standInIP, 9000+g*serveReplicas+r))
			indent = "    "
		}
	}
	fmt.Fprintf(&b, "---\nkind: caller\nname: %s\nteam: b\nedition: 1\ndeadline: 4s\nmin_coverage: 0.5\nservices: [%s]\n---\nkind: end\n", ServeCaller, ServeService)
	return []byte(b.String())
}

func address(last, port int) string { return fmt.Sprintf("%s:%d", ip(last), port) }

// serve starts a stand-in that is closed with the fleet.
func (f *Fleet) serve(address string, handler http.Handler) error {
	s, err := serve(address, handler)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return nil
}

func (f *Fleet) awaitReady() error {
	for _, h := range f.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Hosts returns the hosts.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Close ends the processes and the stand-ins.
func (f *Fleet) Close() {
	for _, h := range f.hosts {
		h.Close()
	}
	if f.backends != nil {
		f.backends.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
