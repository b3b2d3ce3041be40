package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/bench/load"
	"oriolebarrow/bench/verify"
	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/standin/plat"
	"oriolebarrow/standin/server"
)

const (
	serveGroups   = 6
	serveReplicas = 2
	serveDeadline = 800 * time.Millisecond
	orderAttempts = 3
	lbLag         = 500 * time.Millisecond
	// hostListLag is the delay until the platform's host list shows a change.
	hostListLag         = 500 * time.Millisecond
	adminPort, peerPort = 8003, 8004
)

// serve is the environment for the product's own interface: stand-ins for the platform and
// for the backend servers. Proxies forward the connections from the hosts to both, and from
// the callers to the hosts.
type serve struct {
	opts            Options
	report          *Report
	platform        *plat.Platform
	server          *http.Server
	backends        *server.Fleet
	serverProxies   []*proxy // from the hosts to the backend servers
	serverAddresses []string // addresses of the backend servers behind them
	platformProxies []*proxy // from each host to the platform
	callerProxies   []*proxy // from the callers to each host
	procs           []*process
	transport       *http.Transport

	mu      sync.Mutex
	queries []verify.Query
	orders  []verify.Order
}

func newServe(o Options, r *Report) (environment, error) {
	s := &serve{
		opts: o, report: r, platform: plat.New(hostListLag),
		backends: server.NewFleet(server.Options{MeanService: normalServiceTime, Seed: o.Seed}),
	}
	s.transport = newTransport(s, func() []string { return addresses(s.callerProxies) })
	if err := s.build(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *serve) build() error {
	if err := s.startServers(); err != nil {
		return err
	}
	address := s.opts.ip(1) + ":7000"
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "soak: listen for the platform")
	}
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // returns after close
	var list []core.HostEntry
	for i := range s.opts.Hosts {
		if err := s.addHost(i, address); err != nil {
			return err
		}
		list = append(list, core.HostEntry{Host: core.NewHost(core.HostID(s.procs[i].name), "mixco", s.address(i, peerPort))})
	}
	s.platform.SetHosts(list)
	return nil
}

// startServers starts the backend servers and publishes the addresses of the proxies in
// front of them.
func (s *serve) startServers() error {
	doc := s.document(s.opts.ip(3))
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: doc}); err != nil {
		return errors.Wrap(err, "soak: apply document")
	}
	service, ok := ledger.Service("kiln")
	if !ok {
		return errors.Errorf("soak: configuration sections refused: %v", ledger.Refused())
	}
	if err := s.backends.Start(service); err != nil {
		return errors.Wrap(err, "soak: start backend servers")
	}
	for i := range serveGroups * serveReplicas {
		serverAddress := fmt.Sprintf("%s:%d", s.opts.ip(3), 9000+i)
		p, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(2), 9000+i), serverAddress)
		if err != nil {
			return err
		}
		s.serverProxies, s.serverAddresses = append(s.serverProxies, p), append(s.serverAddresses, serverAddress)
	}
	s.platform.Publish(1, s.document(s.opts.ip(2)))
	return nil
}

// document returns configuration sections in which the backend servers have the given IP.
func (s *serve) document(ip string) []byte {
	var b strings.Builder
	b.WriteString("kind: backend\nname: kiln\nteam: a\nedition: 1\nslots: 8\nconnections: 40\ngroups:\n")
	for g := range serveGroups {
		for r := range serveReplicas {
			indent := "    "
			if r == 0 {
				indent = "  - "
			}
			fmt.Fprintf(&b, "%s- {address: \"%s:%d\", data_centre: mixco}\n", indent, ip, 9000+g*serveReplicas+r)
		}
	}
	fmt.Fprintf(&b, "---\nkind: caller\nname: dispatch\nteam: b\nedition: 1\ndeadline: %s\nmin_coverage: 0.5\npriority: 7\nservices: [kiln]\n---\nkind: end\n", serveDeadline)
	return []byte(b.String())
}

func (s *serve) address(i, port int) string { return fmt.Sprintf("%s:%d", s.opts.ip(10+i), port) }

func (s *serve) addHost(i int, platform string) error {
	platformProxy, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(1), 7001+i), platform)
	if err != nil {
		return err
	}
	s.platformProxies = append(s.platformProxies, platformProxy)
	callerProxy, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(4), 8000+i), s.address(i, callerPort))
	if err != nil {
		return err
	}
	s.callerProxies = append(s.callerProxies, callerProxy)
	name := fmt.Sprint("host-", i)
	p, err := newProcess(s.opts.Dir, name, func() *exec.Cmd {
		return exec.Command(s.opts.Program, "serve", "-id", name, "-data-centre", "mixco",
			"-peer-address", s.address(i, peerPort), "-caller-address", s.address(i, callerPort),
			"-admin-address", "127.0.0.1:"+fmt.Sprint(s.adminPort(i)), "-platform", "http://"+platformProxy.listener.Addr().String(),
			"-lb-lag", lbLag.String())
	})
	if err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// adminPort returns a port that no other host of a simultaneous run uses, since an admin
// interface without a token has to listen on 127.0.0.1.
func (s *serve) adminPort(i int) int { return 20000 + s.opts.Slot*200 + i }

func (s *serve) hosts() []*process { return s.procs }

func (s *serve) ready(i int) bool {
	return answersOK(fmt.Sprintf("http://127.0.0.1:%d/readyz", s.adminPort(i)))
}

func (s *serve) targets() []target {
	targets := []target{{
		name:   "platform",
		faults: []string{string(plat.Down), string(plat.Stale), string(plat.Empty), string(plat.Truncated)},
		set:    func(fault string) { s.platform.SetMode(plat.Mode(fault), 1) },
		clear:  func() { s.platform.SetMode(plat.Up, 0) },
	}}
	for i, p := range s.platformProxies {
		targets = append(targets, proxyTarget(fmt.Sprint("platform for host-", i), p, nil))
	}
	for i, p := range s.callerProxies {
		targets = append(targets, proxyTarget(fmt.Sprint("callers of host-", i), p, s.procs[i]))
	}
	for i := range s.serverProxies {
		targets = append(targets, s.serverTarget(i))
	}
	return targets
}

func (s *serve) serverTarget(i int) target {
	serverFaults := map[string]func(*server.Faults){
		replicaSlow:  func(f *server.Faults) { f.SlowFactor = float64(slowServiceTime / normalServiceTime) },
		replicaSheds: func(f *server.Faults) { f.Shed = 1 },
		replicaLoses: func(f *server.Faults) { f.Reset = 1 },
		"truncates":  func(f *server.Faults) { f.Truncate = 0.5 },
		"corrupts":   func(f *server.Faults) { f.Corrupt = 0.5 },
		"hangs":      func(f *server.Faults) { f.Stuck = true },

		replicaEndlessHead: func(f *server.Faults) { f.EndlessHead = 0.5 },
		replicaEndlessBody: func(f *server.Faults) { f.EndlessBody = 0.5 },
	}
	names := proxyFaultNames()
	for name := range serverFaults {
		names = append(names, name)
	}
	slices.Sort(names) // the choice must depend on the seed alone, not on the map's order
	return target{
		name: fmt.Sprint("server ", i), faults: names,
		set: func(fault string) {
			if apply, ok := serverFaults[fault]; ok {
				s.backends.UpdateFaults(s.serverAddresses[i], apply)
				return
			}
			s.serverProxies[i].setFault(Fault(fault))
		},
		clear: func() { s.clearServerFaults(i) },
	}
}

func (s *serve) clearServerFaults(i int) {
	s.backends.UpdateFaults(s.serverAddresses[i], func(f *server.Faults) {
		f.SlowFactor, f.Shed, f.Reset, f.Truncate, f.Corrupt, f.Stuck = 1, 0, 0, 0, 0, false
		f.EndlessHead, f.EndlessBody = 0, 0
	})
	s.serverProxies[i].setFault(NoFault)
}

func (s *serve) clearFaults() {
	s.platform.SetMode(plat.Up, 0)
	for i := range s.serverProxies {
		s.clearServerFaults(i)
	}
	for _, p := range slices.Concat(s.platformProxies, s.callerProxies) {
		p.setFault(NoFault)
	}
}

func (s *serve) post(ctx context.Context, host int, path string, in, out any) (begin, end time.Time, err error) {
	begin = time.Now()
	ctx, cancel := context.WithTimeout(ctx, serveDeadline+4*slack)
	defer cancel()
	raw, err := json.Marshal(in)
	if err != nil {
		return begin, time.Now(), err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callerProxies[host].listener.Addr().String()+path, bytes.NewReader(raw))
	if err != nil {
		return begin, time.Now(), err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.transport.RoundTrip(req)
	if err != nil {
		return begin, time.Now(), err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(out)
	return begin, time.Now(), err
}

func (s *serve) sendRequest(ctx context.Context, c *caller) {
	host := c.rng.IntN(len(s.procs))
	if c.rng.IntN(3) == 0 {
		s.sendOrder(ctx, c, host)
	} else {
		s.sendQuery(ctx, c, host)
	}
	pause(ctx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
}

// elapsed returns the duration of a request, or 0 if the host was disturbed during it.
func (s *serve) elapsed(host int, begin, end time.Time) time.Duration {
	if s.procs[host].disturbed(begin, end) {
		return 0
	}
	return end.Sub(begin)
}

func (s *serve) sendQuery(ctx context.Context, c *caller, host int) {
	var reply load.Reply
	begin, end, err := s.post(ctx, host, "/v1/query", map[string]any{"caller": "dispatch", "service": "kiln"}, &reply)
	if errors.Is(err, errHostNotReady) && !c.strict {
		return
	}
	if err != nil && !s.procs[host].disturbed(begin, end) {
		s.report.fail("query at host-%d: no answer although nothing disturbed the host: %v", host, err)
	}
	q := verify.Query{Elapsed: s.elapsed(host, begin, end), Deadline: serveDeadline + slack}
	if err == nil {
		q.RequestID, q.Outcome, q.Snapshot = reply.RequestID, reply.Outcome, reply.Snapshot
		q.Answered, q.Total, q.Rows = reply.Coverage.Answered, reply.Coverage.Total, reply.Rows
		for _, m := range reply.Coverage.Missing {
			q.Missing = append(q.Missing, m.Shard)
		}
	}
	s.report.outcome("query " + outcomeText(q.Outcome))
	if c.strict && q.Outcome != "complete" {
		s.report.fail("query %s at host-%d in the calm end: %s %s, %d of %d, missing %v, %v",
			q.RequestID, host, q.Outcome, reply.Reason, q.Answered, q.Total, reply.Coverage.Missing, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries = append(s.queries, q)
}

// sendOrder gets a token from one host and sends the order first to it and then to random
// hosts, until the outcome is final or orderAttempts are used up.
func (s *serve) sendOrder(ctx context.Context, c *caller, host int) {
	var token struct {
		Token string `json:"token"`
	}
	if _, _, err := s.post(ctx, host, "/v1/tokens", map[string]any{}, &token); err != nil || token.Token == "" {
		s.report.outcome("token none")
		if c.strict {
			s.report.fail("token at host-%d in the calm end: none, %v", host, err)
		}
		return
	}
	o := verify.Order{Token: token.Token, Deadline: serveDeadline + slack}
	for range orderAttempts {
		var reply load.Reply
		begin, end, err := s.post(ctx, host, "/v1/orders", map[string]any{
			"caller": "dispatch", "service": "kiln", "token": o.Token, "key": fmt.Sprint(c.id, "-", c.n),
		}, &reply)
		if errors.Is(err, errHostNotReady) && !c.strict {
			host = c.rng.IntN(len(s.procs))
			continue
		}
		if err != nil {
			reply.Outcome = ""
		}
		o.Outcomes = append(o.Outcomes, reply.Outcome)
		o.Elapsed = append(o.Elapsed, s.elapsed(host, begin, end))
		s.report.outcome("order " + outcomeText(reply.Outcome))
		if c.strict && reply.Outcome != "complete" {
			s.report.fail("order %s at host-%d in the calm end: %s %s, %v", o.Token, host, reply.Outcome, reply.Reason, err)
		}
		if reply.Outcome == "complete" || reply.Outcome == "not_run" {
			break
		}
		host = c.rng.IntN(len(s.procs))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
}

func outcomeText(outcome string) string {
	if outcome == "" {
		return "no answer"
	}
	return outcome
}

func (s *serve) checkFinal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := verify.Check(s.queries, s.orders, s.backends.Journal())
	for _, violation := range r.Violations {
		s.report.fail("%s", violation)
	}
	if r.QueryResults["complete"] == 0 || r.OrderResults["complete"] == 0 {
		s.report.fail("no query or no order was complete: %v, %v", r.QueryResults, r.OrderResults)
	}
}

func (s *serve) close() {
	for _, p := range slices.Concat(s.platformProxies, s.callerProxies, s.serverProxies) {
		p.close()
	}
	s.backends.Close()
	if s.server != nil {
		_ = s.server.Close()
	}
	for _, p := range s.procs {
		_ = p.log.Close()
	}
	s.transport.CloseIdleConnections()
}
