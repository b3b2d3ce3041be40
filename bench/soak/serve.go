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
	orderTries    = 3
	lbLag         = 500 * time.Millisecond
	// listLag is how late the platform's host list is.
	listLag             = 500 * time.Millisecond
	adminPort, peerPort = 8003, 8004
)

// serve is a world of the product's own interface: the stand-ins of the platform and
// of the backend servers, and a proxy on each way.
type serve struct {
	opts     Options
	report   *Report
	platform *plat.Platform
	server   *http.Server
	fleet    *server.Fleet
	ways     []*proxy // to the backend servers
	behind   []string // their own addresses
	stores   []*proxy // the way of each host to the platform
	fronts   []*proxy // the way of the callers to each host
	procs    []*process
	callers  *http.Transport

	mu      sync.Mutex
	queries []verify.Query
	orders  []verify.Order
}

func newServe(o Options, r *Report) (world, error) {
	s := &serve{
		opts: o, report: r, platform: plat.New(listLag),
		fleet: server.NewFleet(server.Options{MeanService: usualWork, Seed: o.Seed}),
	}
	s.callers = newTransport(s, func() []string { return addresses(s.fronts) })
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
		return errors.Wrap(err, "soak: platform")
	}
	s.server = &http.Server{Handler: s.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends by close
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

// startServers starts the backend servers at their own addresses and publishes the
// proxies before them.
func (s *serve) startServers() error {
	own := s.document(s.opts.ip(3))
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: own}); err != nil {
		return errors.Wrap(err, "soak: document")
	}
	service, ok := ledger.Service("kiln")
	if !ok {
		return errors.Errorf("soak: section refused: %v", ledger.Refused())
	}
	if err := s.fleet.Start(service); err != nil {
		return errors.Wrap(err, "soak: backend servers")
	}
	for i := range serveGroups * serveReplicas {
		behind := fmt.Sprintf("%s:%d", s.opts.ip(3), 9000+i)
		p, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(2), 9000+i), behind)
		if err != nil {
			return err
		}
		s.ways, s.behind = append(s.ways, p), append(s.behind, behind)
	}
	s.platform.Publish(1, s.document(s.opts.ip(2)))
	return nil
}

func (s *serve) document(ip string) []byte {
	var b strings.Builder
	b.WriteString("kind: backend\nname: kiln\nteam: a\nedition: 1\nslots: 8\nconnections: 40\ngroups:\n")
	for g := range serveGroups {
		for r := range serveReplicas {
			lead := "    "
			if r == 0 {
				lead = "  - "
			}
			fmt.Fprintf(&b, "%s- {address: \"%s:%d\", data_centre: mixco}\n", lead, ip, 9000+g*serveReplicas+r)
		}
	}
	fmt.Fprintf(&b, "---\nkind: caller\nname: dispatch\nteam: b\nedition: 1\ndeadline: %s\nmin_coverage: 0.5\npriority: 7\nservices: [kiln]\n---\nkind: end\n", serveDeadline)
	return []byte(b.String())
}

func (s *serve) address(i, port int) string { return fmt.Sprintf("%s:%d", s.opts.ip(10+i), port) }

func (s *serve) addHost(i int, platform string) error {
	way, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(1), 7001+i), platform)
	if err != nil {
		return err
	}
	s.stores = append(s.stores, way)
	front, err := newProxy(fmt.Sprintf("%s:%d", s.opts.ip(4), 8000+i), s.address(i, callerPort))
	if err != nil {
		return err
	}
	s.fronts = append(s.fronts, front)
	name := fmt.Sprint("host-", i)
	p, err := newProcess(s.opts.Dir, name, func() *exec.Cmd {
		return exec.Command(s.opts.Program, "serve", "-id", name, "-data-centre", "mixco",
			"-peer-address", s.address(i, peerPort), "-caller-address", s.address(i, callerPort),
			"-admin-address", "127.0.0.1:"+fmt.Sprint(s.adminPort(i)), "-platform", "http://"+way.listener.Addr().String(),
			"-lb-lag", lbLag.String())
	})
	if err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// adminPort differs between all hosts of all runs: operators' interfaces without a
// token are at 127.0.0.1.
func (s *serve) adminPort(i int) int { return 20000 + s.opts.Slot*200 + i }

func (s *serve) hosts() []*process { return s.procs }

func (s *serve) ready(i int) bool {
	return answersOK(fmt.Sprintf("http://127.0.0.1:%d/readyz", s.adminPort(i)))
}

func (s *serve) targets() []target {
	targets := []target{{
		name:     "platform",
		troubles: []string{string(plat.Down), string(plat.Stale), string(plat.Empty), string(plat.Short)},
		set:      func(trouble string) { s.platform.SetMode(plat.Mode(trouble), 1) },
		clear:    func() { s.platform.SetMode(plat.Up, 0) },
	}}
	for i, p := range s.stores {
		targets = append(targets, proxyTarget(fmt.Sprint("platform for host-", i), p, nil))
	}
	for i, p := range s.fronts {
		targets = append(targets, proxyTarget(fmt.Sprint("callers of host-", i), p, s.procs[i]))
	}
	for i := range s.ways {
		targets = append(targets, s.serverTarget(i))
	}
	return targets
}

func (s *serve) serverTarget(i int) target {
	own := map[string]func(*server.Faults){
		replicaSlow:  func(f *server.Faults) { f.SlowFactor = float64(slowWork / usualWork) },
		replicaSheds: func(f *server.Faults) { f.Shed = 1 },
		replicaLoses: func(f *server.Faults) { f.Reset = 1 },
		"truncates":  func(f *server.Faults) { f.Truncate = 0.5 },
		"corrupts":   func(f *server.Faults) { f.Corrupt = 0.5 },
		"hangs":      func(f *server.Faults) { f.Stuck = true },
	}
	names := troubleNames()
	for name := range own {
		names = append(names, name)
	}
	slices.Sort(names) // the seed decides, not the order of the map
	return target{
		name: fmt.Sprint("server ", i), troubles: names,
		set: func(trouble string) {
			if change, ok := own[trouble]; ok {
				s.fleet.Update(s.behind[i], change)
				return
			}
			s.ways[i].set(Trouble(trouble))
		},
		clear: func() { s.calmServer(i) },
	}
}

func (s *serve) calmServer(i int) {
	s.fleet.Update(s.behind[i], func(f *server.Faults) {
		f.SlowFactor, f.Shed, f.Reset, f.Truncate, f.Corrupt, f.Stuck = 1, 0, 0, 0, 0, false
	})
	s.ways[i].set(Clear)
}

func (s *serve) calm() {
	s.platform.SetMode(plat.Up, 0)
	for i := range s.ways {
		s.calmServer(i)
	}
	for _, p := range slices.Concat(s.stores, s.fronts) {
		p.set(Clear)
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fronts[host].listener.Addr().String()+path, bytes.NewReader(raw))
	if err != nil {
		return begin, time.Now(), err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := s.callers.RoundTrip(req)
	if err != nil {
		return begin, time.Now(), err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(out)
	return begin, time.Now(), err
}

func (s *serve) request(ctx context.Context, c *caller) {
	host := c.rng.IntN(len(s.procs))
	if c.rng.IntN(3) == 0 {
		s.order(ctx, c, host)
	} else {
		s.query(ctx, c, host)
	}
	pause(ctx, time.Duration(5+c.rng.IntN(20))*time.Millisecond)
}

// took returns the time that an answer took, or 0 if the host was disturbed.
func (s *serve) took(host int, begin, end time.Time) time.Duration {
	if s.procs[host].disturbed(begin, end) {
		return 0
	}
	return end.Sub(begin)
}

func (s *serve) query(ctx context.Context, c *caller, host int) {
	var reply load.Reply
	begin, end, err := s.post(ctx, host, "/v1/query", map[string]any{"caller": "dispatch", "service": "kiln"}, &reply)
	if errors.Is(err, errNoHost) && !c.strict {
		return
	}
	if err != nil && !s.procs[host].disturbed(begin, end) {
		s.report.broke("query at host-%d: no answer although nothing disturbed the host: %v", host, err)
	}
	q := verify.Query{Took: s.took(host, begin, end), Deadline: serveDeadline + slack}
	if err == nil {
		q.RequestID, q.Outcome, q.Snapshot = reply.RequestID, reply.Outcome, reply.Snapshot
		q.Answered, q.Total, q.Rows = reply.Coverage.Answered, reply.Coverage.Total, reply.Rows
		for _, m := range reply.Coverage.Missing {
			q.Missing = append(q.Missing, m.Shard)
		}
	}
	s.report.outcome("query " + orLost(q.Outcome))
	if c.strict && q.Outcome != "complete" {
		s.report.broke("query %s at host-%d in the calm end: %s %s, %d of %d, missing %v, %v",
			q.RequestID, host, q.Outcome, reply.Reason, q.Answered, q.Total, reply.Coverage.Missing, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries = append(s.queries, q)
}

// order gets a token from one host and sends the order to it and to others, until the
// outcome is final.
func (s *serve) order(ctx context.Context, c *caller, host int) {
	var token struct {
		Token string `json:"token"`
	}
	if _, _, err := s.post(ctx, host, "/v1/tokens", map[string]any{}, &token); err != nil || token.Token == "" {
		s.report.outcome("token none")
		if c.strict {
			s.report.broke("token at host-%d in the calm end: none, %v", host, err)
		}
		return
	}
	o := verify.Order{Token: token.Token, Deadline: serveDeadline + slack}
	for range orderTries {
		var reply load.Reply
		begin, end, err := s.post(ctx, host, "/v1/orders", map[string]any{
			"caller": "dispatch", "service": "kiln", "token": o.Token, "key": fmt.Sprint(c.id, "-", c.n),
		}, &reply)
		if errors.Is(err, errNoHost) && !c.strict {
			host = c.rng.IntN(len(s.procs))
			continue
		}
		if err != nil {
			reply.Outcome = ""
		}
		o.Outcomes = append(o.Outcomes, reply.Outcome)
		o.Took = append(o.Took, s.took(host, begin, end))
		s.report.outcome("order " + orLost(reply.Outcome))
		if c.strict && reply.Outcome != "complete" {
			s.report.broke("order %s at host-%d in the calm end: %s %s, %v", o.Token, host, reply.Outcome, reply.Reason, err)
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

func orLost(outcome string) string {
	if outcome == "" {
		return "no answer"
	}
	return outcome
}

func (s *serve) final() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := verify.Check(s.queries, s.orders, s.fleet.Journal())
	for _, fault := range r.Faults {
		s.report.broke("%s", fault)
	}
	if r.QueryResults["complete"] == 0 || r.OrderResults["complete"] == 0 {
		s.report.broke("no query or no order was complete: %v, %v", r.QueryResults, r.OrderResults)
	}
}

func (s *serve) close() {
	for _, p := range slices.Concat(s.stores, s.fronts, s.ways) {
		p.close()
	}
	s.fleet.Close()
	if s.server != nil {
		_ = s.server.Close()
	}
	for _, p := range s.procs {
		_ = p.log.Close()
	}
	s.callers.CloseIdleConnections()
}
