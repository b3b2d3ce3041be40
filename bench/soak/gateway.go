package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/platform"
	"oriolebarrow/platform/fake"
)

const (
	healthPath   = "/healthz"
	shardCount   = 6
	topK         = 5
	minRatio     = 0.5
	attempts     = 2
	queryTimeout = 800 * time.Millisecond
	orderTimeout = 1500 * time.Millisecond
	queryTarget  = 100 * time.Millisecond
	// slack is how much later than its deadline an answer may arrive: several runs share a
	// machine, and each connection passes a proxy.
	slack = 500 * time.Millisecond
	// maxConfigDelay is the longest time until every host uses a published routing document.
	maxConfigDelay = 3 * time.Second
	// grace is the time between SIGTERM and SIGKILL that the settings state.
	grace = 6 * time.Second

	callerPort, readyPort, gatewayPeerPort, firstPort, lastPort = 8000, 8001, 8002, 8010, 8020
)

// gateway is the environment on the users' platform: a store, and replicas of two sets of
// shards and of a service for orders. Proxies forward the connections from the hosts to the
// store and the replicas, and from the callers to the hosts.
type gateway struct {
	opts          Options
	report        *Report
	names         core.HeaderNames
	store         *fake.Store
	server        *http.Server
	storeProxies  []*proxy // from each host to the store
	callerProxies []*proxy // from the callers to each host
	procs         []*process
	replicas      []*replica
	journal       *journal
	transport     *http.Transport
	checks        sync.WaitGroup

	mu      sync.Mutex
	version uint64
	orders  []order
}

// order is one order and the answer that its caller got.
type order struct {
	id          string
	host        string
	status      int  // 0 when the connection ended without an answer
	undisturbed bool // nothing disturbed the host during the order
}

func newGateway(o Options, r *Report) (environment, error) {
	g := &gateway{opts: o, report: r, names: platform.Names(), store: fake.New(), journal: newJournal()}
	g.transport = newTransport(g, func() []string { return addresses(g.callerProxies) })
	if err := g.build(); err != nil {
		g.close()
		return nil, err
	}
	return g, nil
}

func (g *gateway) build() error {
	storeAddress := g.opts.ip(1) + ":7000"
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return errors.Wrap(err, "soak: listen for the store")
	}
	g.server = &http.Server{Handler: g.store, ReadHeaderTimeout: time.Second}
	go func() { _ = g.server.Serve(l) }() // returns after close
	services := []core.ServiceName{"orders", "orders"}
	for i := range 2 * shardCount {
		services = append(services, shardName("a", i/2), shardName("b", i/2))
	}
	for i, s := range services {
		in := core.Instance{
			ID: core.InstanceID(fmt.Sprint("i-", i)), Service: s, Slots: 8, Born: 1,
			Address: fmt.Sprintf("%s:%d", g.opts.ip(2), 9000+i), DataCentre: dataCentre(i),
		}
		rep, err := newReplica(in, fmt.Sprintf("%s:%d", g.opts.ip(3), 9000+i), g.names, g.journal, g.store.PutInstance, g.store.RemoveInstance)
		if err != nil {
			return err
		}
		g.replicas = append(g.replicas, rep)
		g.store.PutInstance(in)
	}
	g.publish("a")
	for i := range g.opts.Hosts {
		if err := g.addHost(i, storeAddress); err != nil {
			return err
		}
	}
	return nil
}

func shardName(set string, i int) core.ServiceName {
	return core.ServiceName(fmt.Sprint("shard-", set, "-", i))
}

func dataCentre(i int) core.DataCentre { return []core.DataCentre{"mixco", "villa"}[i/2%2] }

func (g *gateway) hostIP(i int) string { return g.opts.ip(10 + i) }

func (g *gateway) addHost(i int, storeAddress string) error {
	ip := g.hostIP(i)
	storeProxy, err := newProxy(fmt.Sprintf("%s:%d", g.opts.ip(1), 7001+i), storeAddress)
	if err != nil {
		return err
	}
	g.storeProxies = append(g.storeProxies, storeProxy)
	callerAddress := fmt.Sprintf("%s:%d", ip, callerPort)
	callerProxy, err := newProxy(fmt.Sprintf("%s:%d", g.opts.ip(4), 8000+i), callerAddress)
	if err != nil {
		return err
	}
	g.callerProxies = append(g.callerProxies, callerProxy)
	text := fake.SettingsFile(fake.Process{
		Host: core.HostID(fmt.Sprint("host-", i)), DataCentre: dataCentre(2 * i), DataCentres: []core.DataCentre{"mixco", "villa"},
		IP: ip, CallerAddress: callerAddress, ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort), PeerAddress: fmt.Sprintf("%s:%d", ip, gatewayPeerPort),
		Seeds: []string{fmt.Sprintf("%s:%d", g.hostIP(0), gatewayPeerPort), fmt.Sprintf("%s:%d", g.hostIP(g.opts.Hosts-1), gatewayPeerPort)},
		Ports: [2]int{firstPort, lastPort}, StoreAddress: storeProxy.listener.Addr().String(),
		Grace: grace, ExtraRatio: 0.2, ExtraWindow: 10 * time.Second, ExtraMinimum: 54, Warm: coldBounds,
		MemoryMB: soakMemoryMB, MaxFDs: soakMaxFDs,
	})
	path := filepath.Join(g.opts.Dir, fmt.Sprintf("host-%d.yaml", i))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "soak: write settings")
	}
	p, err := newProcess(g.opts.Dir, fmt.Sprint("host-", i), func() *exec.Cmd {
		return exec.Command(g.opts.Program, "gateway", "-settings", path)
	})
	if err != nil {
		return err
	}
	g.procs = append(g.procs, p)
	return nil
}

// publish publishes a routing document with the next version, in which queries go to the
// given set of shards. The prefix of its route "version" is new, so that a request shows
// whether a host uses this document.
func (g *gateway) publish(set string) {
	g.mu.Lock()
	g.version++
	doc := core.Routing{Version: g.version, Routes: []core.Route{
		{Name: "query", Host: "soak", Prefix: "/q/", Idempotent: true, Timeout: queryTimeout, Target: queryTarget, Attempts: attempts, TopK: topK, MinRatio: minRatio},
		{Name: "order", Host: "soak", Prefix: "/o/", Timeout: orderTimeout, Target: queryTarget, Attempts: attempts, Split: []core.Share{{Service: "orders", Weight: 1}}},
		{Name: "version", Host: "soak", Prefix: fmt.Sprintf("/v%d/", g.version), Timeout: orderTimeout, Attempts: 1, Split: []core.Share{{Service: "orders", Weight: 1}}},
	}}
	g.mu.Unlock()
	for i := range shardCount {
		doc.Routes[0].Gather = append(doc.Routes[0].Gather, shardName(set, i))
	}
	for _, s := range []string{"a", "b"} {
		for i := range shardCount {
			doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: shardName(s, i), HealthPath: healthPath, Connections: 40, WarmupRate: coldRate})
		}
	}
	doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: "orders", HealthPath: healthPath, Connections: 40, WarmupRate: coldRate})
	g.store.PutRouting(doc)
}

func (g *gateway) hosts() []*process { return g.procs }

// ready asks the host directly, not through its proxy.
func (g *gateway) ready(i int) bool {
	return answersOK(fmt.Sprintf("http://%s:%d/v1/readyz", g.hostIP(i), readyPort))
}

func (g *gateway) targets() []target {
	targets := []target{{
		name:   "store",
		faults: []string{string(fake.Down), string(fake.Slow), string(fake.Compacted), "repartition"},
		set: func(fault string) {
			if fault == "repartition" {
				g.publish("b")
				return
			}
			g.store.SetMode(fake.Mode(fault))
		},
		clear: func() {
			g.store.SetMode(fake.Up)
			g.publish("a")
		},
	}}
	targets = append(targets, oddEntryTarget(g.store), g.ordersTarget())
	for i, p := range g.storeProxies {
		targets = append(targets, proxyTarget(fmt.Sprint("store for host-", i), p, nil))
	}
	for i, p := range g.callerProxies {
		targets = append(targets, proxyTarget(fmt.Sprint("callers of host-", i), p, g.procs[i]), misuseTarget(fmt.Sprint("clients of host-", i), fmt.Sprintf("%s:%d", g.hostIP(i), callerPort)))
	}
	for _, r := range g.replicas {
		targets = append(targets, r.target())
	}
	return targets
}

// ordersTarget returns the replicas of the service for orders as one target, for faults that
// show only when no other replica is left to try.
func (g *gateway) ordersTarget() target {
	var replicas []*replica
	for _, r := range g.replicas {
		if r.instance.Service == "orders" {
			replicas = append(replicas, r)
		}
	}
	return target{
		name:   "all replicas of orders",
		faults: []string{replicaRepeats, replicaWaits, replicaLeaves, replicaCold, replicaSpoils},
		set: func(fault string) {
			for _, r := range replicas {
				r.setFault(fault)
			}
		},
		clear: func() {
			for _, r := range replicas {
				r.clearFaults()
			}
		},
	}
}

// clearFaults ends all faults, publishes a document with the other set of shards, and starts
// the check that all hosts use it.
func (g *gateway) clearFaults() {
	g.store.SetMode(fake.Up)
	for _, p := range slices.Concat(g.storeProxies, g.callerProxies) {
		p.setFault(NoFault)
	}
	for _, r := range g.replicas {
		r.clearFaults()
	}
	g.publish("b")
	g.checks.Go(g.checkVersion)
}

// checkVersion waits until every host must use the newest routing document, and then checks
// that each ready host does.
func (g *gateway) checkVersion() {
	g.mu.Lock()
	path := fmt.Sprintf("/v%d/x", g.version)
	g.mu.Unlock()
	time.Sleep(max(maxConfigDelay, recoveryPause))
	for i := range g.procs {
		if !g.ready(i) {
			continue // reported by the check of the recovery
		}
		id := fmt.Sprintf("version-%d", i)
		resp := g.send(context.Background(), i, http.MethodPost, path, id, orderTimeout, nil)
		switch {
		case errors.Is(resp.err, errHostNotReady): // reported by the check of the recovery
		case resp.err != nil:
			g.report.fail("host-%d: %s in the calm end: %v", i, path, resp.err)
		case resp.status == http.StatusNotFound:
			g.report.fail("host-%d: %s is not in force %v after its publication", i, path, maxConfigDelay)
		}
	}
}

// response is the result of a request as its caller saw it.
type response struct {
	status     int
	header     http.Header
	body       []byte
	err        error
	begin, end time.Time
}

func (g *gateway) send(ctx context.Context, host int, method, path, id string, timeout time.Duration, body []byte) response {
	ctx, cancel := context.WithTimeout(ctx, timeout+4*slack)
	defer cancel()
	resp := response{begin: time.Now()}
	address := g.callerProxies[host].listener.Addr().String()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		resp.err = err
		return resp
	}
	req.Host = "soak"
	req.GetBody = nil // without it, the transport can't send an order twice
	req.Header.Set(g.names.RequestID, id)
	req.Header.Set(g.names.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	res, err := g.transport.RoundTrip(req)
	if err == nil {
		resp.status, resp.header = res.StatusCode, res.Header
		resp.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	resp.err, resp.end = err, time.Now()
	return resp
}

func (g *gateway) sendRequest(ctx context.Context, c *caller) {
	host := c.rng.IntN(len(g.procs))
	id := fmt.Sprintf("r%d-%d-%d", g.opts.Seed, c.id, c.n)
	if c.rng.IntN(3) == 0 {
		g.sendOrder(ctx, c, host, id)
	} else {
		g.sendQuery(ctx, c, host, id)
	}
	pause(ctx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
}

func (g *gateway) sendOrder(ctx context.Context, c *caller, host int, id string) {
	p := g.procs[host]
	body := []byte("order of " + id)
	resp := g.send(ctx, host, http.MethodPost, "/o/"+id, id, orderTimeout, body)
	if !g.checkResponse("order", p, c, resp, orderTimeout) {
		return
	}
	o := order{id: id, host: p.name, status: resp.status, undisturbed: !p.disturbed(resp.begin, resp.end)}
	if resp.err != nil {
		o.status = 0
	}
	g.mu.Lock()
	g.orders = append(g.orders, o)
	g.mu.Unlock()
	if resp.err != nil || resp.status != http.StatusOK {
		return
	}
	if want := echo(id, "/o/"+id, body); !bytes.Equal(resp.body, want) {
		g.report.fail("order %s at %s: body %q, want %q", id, p.name, resp.body, want)
	}
	executions := g.journal.executions(id)
	if len(executions) != 1 || resp.header.Get(g.names.Stamp) != executions[0].stamp {
		g.report.fail("order %s at %s: stamp %q, runs %v", id, p.name, resp.header.Get(g.names.Stamp), executions)
	}
}

func (g *gateway) sendQuery(ctx context.Context, c *caller, host int, id string) {
	p := g.procs[host]
	resp := g.send(ctx, host, http.MethodGet, "/q/"+id, id, queryTimeout, nil)
	if !g.checkResponse("query", p, c, resp, queryTimeout) {
		return
	}
	if resp.err != nil && !p.disturbed(resp.begin, resp.end) {
		g.report.fail("query %s at %s: no answer although nothing disturbed the host: %v", id, p.name, resp.err)
	}
	if resp.err != nil || resp.status != http.StatusOK {
		return
	}
	if problem := g.checkQuery(id, resp); problem != "" {
		g.report.fail("query %s at %s: %s", id, p.name, problem)
	}
}

// checkQuery compares an answer with the executions of its query. It returns what is wrong
// with the answer, or an empty string.
func (g *gateway) checkQuery(id string, resp response) string {
	stamps := strings.Split(strings.Join(resp.header.Values(g.names.Parts), ","), ",")
	missing, err := strconv.Atoi(cmp.Or(resp.header.Get(g.names.Missing), "0"))
	if err != nil || missing+len(stamps) != shardCount || float64(len(stamps)) < minRatio*shardCount {
		return fmt.Sprintf("%d stamps, %q missing", len(stamps), resp.header.Get(g.names.Missing))
	}
	executions := g.journal.executions(id)
	var all [][]byte
	seen := make(map[core.ServiceName]bool)
	sets := make(map[string]bool)
	for _, stamp := range stamps {
		i := slices.IndexFunc(executions, func(r execution) bool { return r.stamp == strings.TrimSpace(stamp) })
		if i < 0 {
			return fmt.Sprintf("no replica gave stamp %q", stamp)
		}
		s := executions[i].service
		if seen[s] {
			return fmt.Sprintf("two parts of %s", s)
		}
		seen[s] = true
		sets[strings.Split(string(s), "-")[1]] = true
		all = append(all, records(s, id)...)
	}
	if len(sets) != 1 {
		return fmt.Sprintf("parts of %d sets of shards", len(sets))
	}
	slices.SortFunc(all, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := bytes.Join(all[:topK], nil); !bytes.Equal(resp.body, want) {
		return fmt.Sprintf("records %x, want %x", resp.body, want)
	}
	return ""
}

// checkResponse checks the rules that apply to every response. It reports whether the
// request was sent.
func (g *gateway) checkResponse(kind string, p *process, c *caller, resp response, timeout time.Duration) bool {
	if errors.Is(resp.err, errHostNotReady) && !c.strict {
		return false
	}
	outcome := strconv.Itoa(resp.status)
	if resp.err != nil {
		outcome = "no answer"
	}
	g.report.outcome(kind + " " + outcome)
	elapsed := resp.end.Sub(resp.begin)
	if p.disturbed(resp.begin, resp.end) {
		return true
	}
	if elapsed > timeout+slack && !errors.Is(resp.err, context.Canceled) {
		g.report.fail("%s at %s: %v after %v, the caller waits for %v", kind, p.name, outcome, elapsed, timeout)
	}
	if c.strict && (resp.err != nil || resp.status != http.StatusOK) {
		g.report.fail("%s at %s in the calm end: %s, %v", kind, p.name, outcome, resp.err)
	}
	return true
}

// checkFinal checks how often each order ran, on how many replicas each request ran, and
// that no host read an endless response without a limit.
func (g *gateway) checkFinal() {
	g.checks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.orders {
		executions := g.journal.executions(o.id)
		switch {
		case len(executions) > 1:
			g.report.fail("order %s at %s ran %d times: %v", o.id, o.host, len(executions), executions)
		case len(executions) > 0 && promisesNotRun(o.status):
			g.report.fail("order %s at %s: told %d and ran: %v", o.id, o.host, o.status, executions)
		case len(executions) > 0 && o.status == 0 && o.undisturbed:
			g.report.fail("order %s at %s ran, and its connection ended without an answer although nothing disturbed the host", o.id, o.host)
		}
	}
	g.journal.mu.Lock()
	defer g.journal.mu.Unlock()
	for id, executions := range g.journal.byRequest {
		replicas := make(map[core.ServiceName]map[core.InstanceID]bool)
		for _, r := range executions {
			if replicas[r.service] == nil {
				replicas[r.service] = make(map[core.InstanceID]bool)
			}
			replicas[r.service][r.replica] = true
			if n := len(replicas[r.service]); n > attempts {
				g.report.fail("request %s ran on %d replicas of %s", id, n, r.service)
			}
		}
	}
	for _, r := range g.replicas {
		if n := r.maxAccepted.Load(); n > maxEndlessBytes {
			g.report.fail("%s sent %d bytes without end, and its caller did not close", r.instance.ID, n)
		}
	}
	g.checkCold()
	if g.report.Requests["query 200"] == 0 || g.report.Requests["order 200"] == 0 {
		g.report.fail("no query or no order was served: %v", g.report.Requests)
	}
}

// promisesNotRun reports whether a status promises that the order was not executed.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

func (g *gateway) close() {
	for _, p := range slices.Concat(g.storeProxies, g.callerProxies) {
		p.close()
	}
	for _, r := range g.replicas {
		r.close()
	}
	if g.server != nil {
		_ = g.server.Close()
	}
	for _, p := range g.procs {
		_ = p.log.Close()
	}
	g.transport.CloseIdleConnections()
}
