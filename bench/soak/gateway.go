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
	"oriolebarrow/platform/stand"
)

const (
	healthPath = "/healthz"
	shardCount = 6
	topK       = 5
	minRatio   = 0.5
	attempts   = 2
	queryTime  = 800 * time.Millisecond
	orderTime  = 1500 * time.Millisecond
	queryAim   = 100 * time.Millisecond
	// slack is allowed past the time that a caller waits: several runs share a
	// machine, and proxies add to each way.
	slack = 500 * time.Millisecond
	// configBound is how long after its publication a document is in force.
	configBound = 3 * time.Second
	grace       = 6 * time.Second

	callerPort, checkPort, hostPort, firstPort, lastPort = 8000, 8001, 8002, 8010, 8020
)

// gateway is a world on the users' platform: a store, replicas of two sets of shards
// and of a service for orders, and a proxy on each way.
type gateway struct {
	opts     Options
	report   *Report
	names    core.HeaderNames
	store    *stand.Store
	server   *http.Server
	stores   []*proxy // the way of each host to the store
	fronts   []*proxy // the way of the callers to each host
	procs    []*process
	replicas []*replica
	journal  *journal
	callers  *http.Transport
	checks   sync.WaitGroup

	mu      sync.Mutex
	version uint64
	orders  []order
}

// order is one order of a caller and what it was told.
type order struct {
	id       string
	host     string
	status   int // 0 when the connection ended without an answer
	graceful bool
}

func newGateway(o Options, r *Report) (world, error) {
	g := &gateway{opts: o, report: r, names: platform.Names(), store: stand.New(), journal: newJournal()}
	g.callers = newTransport(g, func() []string { return addresses(g.fronts) })
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
		return errors.Wrap(err, "soak: store")
	}
	g.server = &http.Server{Handler: g.store, ReadHeaderTimeout: time.Second}
	go func() { _ = g.server.Serve(l) }() // ends by close
	services := []core.ServiceName{"orders", "orders"}
	for i := range 2 * shardCount {
		services = append(services, shard("a", i/2), shard("b", i/2))
	}
	for i, s := range services {
		in := core.Instance{
			ID: core.InstanceID(fmt.Sprint("i-", i)), Service: s, Slots: 8, Born: 1,
			Address: fmt.Sprintf("%s:%d", g.opts.ip(2), 9000+i), DataCentre: dataCentre(i),
		}
		rep, err := newReplica(in, fmt.Sprintf("%s:%d", g.opts.ip(3), 9000+i), g.names, g.journal)
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

func shard(set string, i int) core.ServiceName {
	return core.ServiceName(fmt.Sprint("shard-", set, "-", i))
}

func dataCentre(i int) core.DataCentre { return []core.DataCentre{"mixco", "villa"}[i/2%2] }

func (g *gateway) hostIP(i int) string { return g.opts.ip(10 + i) }

func (g *gateway) addHost(i int, storeAddress string) error {
	ip := g.hostIP(i)
	way, err := newProxy(fmt.Sprintf("%s:%d", g.opts.ip(1), 7001+i), storeAddress)
	if err != nil {
		return err
	}
	g.stores = append(g.stores, way)
	callers := fmt.Sprintf("%s:%d", ip, callerPort)
	front, err := newProxy(fmt.Sprintf("%s:%d", g.opts.ip(4), 8000+i), callers)
	if err != nil {
		return err
	}
	g.fronts = append(g.fronts, front)
	text := stand.Settings(stand.Process{
		Host: core.HostID(fmt.Sprint("host-", i)), DataCentre: dataCentre(2 * i), DataCentres: []core.DataCentre{"mixco", "villa"},
		IP: ip, Callers: callers, Checks: fmt.Sprintf("%s:%d", ip, checkPort), Hosts: fmt.Sprintf("%s:%d", ip, hostPort),
		Seeds: []string{fmt.Sprintf("%s:%d", g.hostIP(0), hostPort), fmt.Sprintf("%s:%d", g.hostIP(g.opts.Hosts-1), hostPort)},
		Ports: [2]int{firstPort, lastPort}, Store: way.listener.Addr().String(),
		Grace: grace, Ratio: 0.2, Window: 10 * time.Second, Minimum: 54,
	})
	path := filepath.Join(g.opts.Dir, fmt.Sprintf("host-%d.yaml", i))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "soak: settings")
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

// publish names a set of shards in a new version.
func (g *gateway) publish(set string) {
	g.mu.Lock()
	g.version++
	doc := core.Routing{Version: g.version, Routes: []core.Route{
		{Name: "query", Host: "soak", Prefix: "/q/", Idempotent: true, Timeout: queryTime, Target: queryAim, Attempts: attempts, TopK: topK, MinRatio: minRatio},
		{Name: "order", Host: "soak", Prefix: "/o/", Timeout: orderTime, Target: queryAim, Attempts: attempts, Split: []core.Share{{Service: "orders", Weight: 1}}},
		{Name: "version", Host: "soak", Prefix: fmt.Sprintf("/v%d/", g.version), Timeout: orderTime, Attempts: 1, Split: []core.Share{{Service: "orders", Weight: 1}}},
	}}
	g.mu.Unlock()
	for i := range shardCount {
		doc.Routes[0].Gather = append(doc.Routes[0].Gather, shard(set, i))
	}
	for _, s := range []string{"a", "b"} {
		for i := range shardCount {
			doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: shard(s, i), HealthPath: healthPath, Connections: 40})
		}
	}
	doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: "orders", HealthPath: healthPath, Connections: 40})
	g.store.PutRouting(doc)
}

func (g *gateway) hosts() []*process { return g.procs }

// ready asks the process itself, not through a proxy.
func (g *gateway) ready(i int) bool {
	return answersOK(fmt.Sprintf("http://%s:%d/v1/readyz", g.hostIP(i), checkPort))
}

func (g *gateway) targets() []target {
	targets := []target{{
		name:     "store",
		troubles: []string{string(stand.Down), string(stand.Slow), string(stand.Compacted), "repartition"},
		set: func(trouble string) {
			if trouble == "repartition" {
				g.publish("b")
				return
			}
			g.store.SetMode(stand.Mode(trouble))
		},
		clear: func() {
			g.store.SetMode(stand.Up)
			g.publish("a")
		},
	}}
	for i, p := range g.stores {
		targets = append(targets, proxyTarget(fmt.Sprint("store for host-", i), p, nil))
	}
	for i, p := range g.fronts {
		targets = append(targets, proxyTarget(fmt.Sprint("callers of host-", i), p, g.procs[i]))
	}
	for _, r := range g.replicas {
		targets = append(targets, r.target())
	}
	return targets
}

func troubleNames() []string {
	return []string{string(Delay), string(Reset), string(CutTo), string(CutFrom), string(Silent)}
}

func proxyTarget(name string, p *proxy, host *process) target {
	return target{
		name: name, troubles: troubleNames(), host: host,
		set:   func(trouble string) { p.set(Trouble(trouble)) },
		clear: func() { p.set(Clear) },
	}
}

func (g *gateway) calm() {
	g.store.SetMode(stand.Up)
	for _, p := range slices.Concat(g.stores, g.fronts) {
		p.set(Clear)
	}
	for _, r := range g.replicas {
		r.calm()
	}
	g.publish("b")
	g.checks.Go(g.checkVersion)
}

// checkVersion asks each host for the newest version, once it is due.
func (g *gateway) checkVersion() {
	g.mu.Lock()
	path := fmt.Sprintf("/v%d/x", g.version)
	g.mu.Unlock()
	time.Sleep(max(configBound, healPause))
	for i := range g.procs {
		if !g.ready(i) {
			continue // told by the recovery
		}
		id := fmt.Sprintf("version-%d", i)
		a := g.send(context.Background(), i, http.MethodPost, path, id, orderTime, nil)
		switch {
		case errors.Is(a.err, errNoHost): // told by the recovery
		case a.err != nil:
			g.report.broke("host-%d: %s in the calm end: %v", i, path, a.err)
		case a.status == http.StatusNotFound:
			g.report.broke("host-%d: %s is not in force %v after its publication", i, path, configBound)
		}
	}
}

// answered is what a caller saw.
type answered struct {
	status     int
	header     http.Header
	body       []byte
	err        error
	begin, end time.Time
}

func (g *gateway) send(ctx context.Context, host int, method, path, id string, left time.Duration, body []byte) answered {
	ctx, cancel := context.WithTimeout(ctx, left+4*slack)
	defer cancel()
	a := answered{begin: time.Now()}
	address := g.fronts[host].listener.Addr().String()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "soak"
	req.GetBody = nil // the transport must not send an order twice
	req.Header.Set(g.names.RequestID, id)
	req.Header.Set(g.names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	res, err := g.callers.RoundTrip(req)
	if err == nil {
		a.status, a.header = res.StatusCode, res.Header
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.err, a.end = err, time.Now()
	return a
}

func (g *gateway) request(ctx context.Context, c *caller) {
	host := c.rng.IntN(len(g.procs))
	id := fmt.Sprintf("r%d-%d-%d", g.opts.Seed, c.id, c.n)
	if c.rng.IntN(3) == 0 {
		g.order(ctx, c, host, id)
	} else {
		g.query(ctx, c, host, id)
	}
	pause(ctx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
}

func (g *gateway) order(ctx context.Context, c *caller, host int, id string) {
	p := g.procs[host]
	body := []byte("order of " + id)
	a := g.send(ctx, host, http.MethodPost, "/o/"+id, id, orderTime, body)
	if !g.note("order", p, c, a, orderTime) {
		return
	}
	o := order{id: id, host: p.name, status: a.status, graceful: !p.disturbed(a.begin, a.end)}
	if a.err != nil {
		o.status = 0
	}
	g.mu.Lock()
	g.orders = append(g.orders, o)
	g.mu.Unlock()
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	if want := echo(id, "/o/"+id, body); !bytes.Equal(a.body, want) {
		g.report.broke("order %s at %s: body %q, want %q", id, p.name, a.body, want)
	}
	runs := g.journal.of(id)
	if len(runs) != 1 || a.header.Get(g.names.Stamp) != runs[0].stamp {
		g.report.broke("order %s at %s: stamp %q, runs %v", id, p.name, a.header.Get(g.names.Stamp), runs)
	}
}

func (g *gateway) query(ctx context.Context, c *caller, host int, id string) {
	p := g.procs[host]
	a := g.send(ctx, host, http.MethodGet, "/q/"+id, id, queryTime, nil)
	if !g.note("query", p, c, a, queryTime) {
		return
	}
	if a.err != nil && !p.disturbed(a.begin, a.end) {
		g.report.broke("query %s at %s: no answer although nothing disturbed the host: %v", id, p.name, a.err)
	}
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	if fault := g.checkQuery(id, a); fault != "" {
		g.report.broke("query %s at %s: %s", id, p.name, fault)
	}
}

// checkQuery compares an answer with what ran.
func (g *gateway) checkQuery(id string, a answered) string {
	stamps := strings.Split(strings.Join(a.header.Values(g.names.Parts), ","), ",")
	missing, err := strconv.Atoi(cmp.Or(a.header.Get(g.names.Missing), "0"))
	if err != nil || missing+len(stamps) != shardCount || float64(len(stamps)) < minRatio*shardCount {
		return fmt.Sprintf("%d stamps, %q missing", len(stamps), a.header.Get(g.names.Missing))
	}
	runs := g.journal.of(id)
	var all [][]byte
	seen := make(map[core.ServiceName]bool)
	sets := make(map[string]bool)
	for _, stamp := range stamps {
		i := slices.IndexFunc(runs, func(r run) bool { return r.stamp == strings.TrimSpace(stamp) })
		if i < 0 {
			return fmt.Sprintf("no replica gave stamp %q", stamp)
		}
		s := runs[i].service
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
	if want := bytes.Join(all[:topK], nil); !bytes.Equal(a.body, want) {
		return fmt.Sprintf("records %x, want %x", a.body, want)
	}
	return ""
}

// note checks what holds for all answers. It reports whether the request was sent.
func (g *gateway) note(kind string, p *process, c *caller, a answered, left time.Duration) bool {
	if errors.Is(a.err, errNoHost) && !c.strict {
		return false
	}
	outcome := strconv.Itoa(a.status)
	if a.err != nil {
		outcome = "no answer"
	}
	g.report.outcome(kind + " " + outcome)
	took := a.end.Sub(a.begin)
	if p.disturbed(a.begin, a.end) {
		return true
	}
	if took > left+slack && !errors.Is(a.err, context.Canceled) {
		g.report.broke("%s at %s: %v after %v, the caller waits for %v", kind, p.name, outcome, took, left)
	}
	if c.strict && (a.err != nil || a.status != http.StatusOK) {
		g.report.broke("%s at %s in the calm end: %s, %v", kind, p.name, outcome, a.err)
	}
	return true
}

// final checks how often each order ran, and what each query may have used.
func (g *gateway) final() {
	g.checks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range g.orders {
		runs := g.journal.of(o.id)
		switch {
		case len(runs) > 1:
			g.report.broke("order %s at %s ran %d times: %v", o.id, o.host, len(runs), runs)
		case len(runs) > 0 && promisesNotRun(o.status):
			g.report.broke("order %s at %s: told %d and ran: %v", o.id, o.host, o.status, runs)
		case len(runs) > 0 && o.status == 0 && o.graceful:
			g.report.broke("order %s at %s ran, and its connection ended without an answer although nothing disturbed the host", o.id, o.host)
		}
	}
	g.journal.mu.Lock()
	defer g.journal.mu.Unlock()
	for id, runs := range g.journal.runs {
		replicas := make(map[core.ServiceName]map[core.InstanceID]bool)
		for _, r := range runs {
			if replicas[r.service] == nil {
				replicas[r.service] = make(map[core.InstanceID]bool)
			}
			replicas[r.service][r.replica] = true
			if n := len(replicas[r.service]); n > attempts {
				g.report.broke("request %s ran on %d replicas of %s", id, n, r.service)
			}
		}
	}
	for _, r := range g.replicas {
		if n := r.babbled.Load(); n > babbleMost {
			g.report.broke("%s sent %d bytes without end, and its caller did not close", r.instance.ID, n)
		}
	}
	if g.report.Requests["query 200"] == 0 || g.report.Requests["order 200"] == 0 {
		g.report.broke("no query or no order was served: %v", g.report.Requests)
	}
}

func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

func (g *gateway) close() {
	for _, p := range slices.Concat(g.stores, g.fronts) {
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
	g.callers.CloseIdleConnections()
}
