package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/io/node"
	platform "oriolebarrow/standin/plat"
	"oriolebarrow/standin/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	loopback    = "127.0.0.14"
	hostCount   = 3
	clientCount = 8
	// lbLag is above the 1 s interval at which hosts read the host list.
	lbLag = 1500 * time.Millisecond
	// sectionDeadline is the deadline in the caller section.
	sectionDeadline = 2 * time.Second
	// sectionRate is far above the rate at which the clients can send. A fast machine
	// exceeds the default of 1000 requests per second on each host, which then rejects
	// requests.
	sectionRate = 1_000_000
)

// logEvents is a log handler that reports some events of one host on channels.
type logEvents struct {
	slog.Handler
	host       int
	ready, cut chan struct{}      // the host is ready; its shutdown cut requests short
	bound      chan time.Duration // shutdown bound that the host logs
	called     chan int           // index of a host that started a call; shared by all hosts
}

func (e logEvents) Enabled(context.Context, slog.Level) bool { return true }

func (e logEvents) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "owner: call starts" {
		select {
		case e.called <- e.host:
		default: // an earlier call has been reported
		}
	}
	ids := 0
	r.Attrs(func(a slog.Attr) bool {
		switch v := a.Value.Any().(type) {
		case []core.RequestID:
			ids = len(v)
		case time.Duration:
			if a.Key == "bound" {
				e.bound <- v
			}
		}
		return true
	})
	if r.Message == "node: shutdown cut requests short" && ids == 0 {
		return nil // no request id was logged: the test then waits for the event until it times out
	}
	event := map[string]chan struct{}{
		"node: host is ready":               e.ready,
		"node: shutdown cut requests short": e.cut,
	}[r.Message]
	select {
	case event <- struct{}{}:
	default: // another message, or the event has been reported
	}
	return nil
}

// cluster is a set of hosts in one process with a platform and a simulated load
// balancer.
type cluster struct {
	t        *testing.T
	platform *platform.Platform
	url      string
	peers    []string
	callers  []string
	called   chan int      // index of a host that started a call
	bound    time.Duration // Options.ShutdownBound of the hosts

	mu    sync.Mutex
	nodes []*node.Node
	stops []func() error // stop a host and return the error of its Run
	last  int            // host that pick returned last
}

// freeAddresses returns n different unused addresses. It keeps all listeners open
// until the end, since the system may choose an address again as soon as its listener
// is closed.
func freeAddresses(t *testing.T, n int) []string {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out
}

// newCluster starts the backend servers and a platform that publishes the
// configuration and the host list. It starts no host.
func newCluster(t *testing.T, hosts int) (*cluster, *server.Fleet) {
	const groups, replicas = 4, 2
	free := freeAddresses(t, groups*replicas+2*hosts)
	var doc strings.Builder
	doc.WriteString("kind: backend\nname: kiln\nteam: a\nedition: 1\nslots: 64\nconnections: 200\ngroups:\n")
	for range groups {
		fmt.Fprintf(&doc, "  - - {address: %q, data_centre: mixco}\n    - {address: %q, data_centre: mixco}\n", free[0], free[1])
		free = free[replicas:]
	}
	fmt.Fprintf(&doc, "---\nkind: caller\nname: dispatch\nteam: b\nedition: 1\ndeadline: %s\nmin_coverage: 1\npriority: 7\nrate: %d\nservices: [kiln]\n---\nkind: end\n", sectionDeadline, sectionRate)
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: 1, Text: []byte(doc.String())}); err != nil {
		t.Fatal(err)
	}
	service, ok := ledger.Service("kiln")
	if !ok {
		t.Fatalf("section is not active: %v", ledger.Refused())
	}
	servers := server.NewFleet(server.Options{MeanService: 2 * time.Millisecond, Seed: 1})
	if err := servers.Start(service); err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, platform: platform.New(0), called: make(chan int, 1)}
	c.platform.Publish(1, []byte(doc.String()))
	platformServer := httptest.NewServer(c.platform)
	t.Cleanup(platformServer.Close)
	t.Cleanup(servers.Close)
	c.url = platformServer.URL
	c.peers, c.callers = free[:hosts], free[hosts:]
	c.nodes = make([]*node.Node, hostCount)
	c.stops = make([]func() error, hostCount)
	c.publishHosts()
	return c, servers
}

// publishHosts publishes all hosts, so that they know each other from the start.
func (c *cluster) publishHosts() {
	var entries []core.HostEntry
	for i, address := range c.peers {
		entries = append(entries, core.HostEntry{Host: core.NewHost(hostID(i), "mixco", address)})
	}
	c.platform.SetHosts(entries)
}

func hostID(i int) core.HostID { return core.HostID(fmt.Sprintf("h%d", i)) }

// start starts a host. awaitReady waits until the host is ready.
func (c *cluster) start(i int, abort <-chan struct{}) (events logEvents, awaitReady func()) {
	events = logEvents{slog.DiscardHandler, i, make(chan struct{}, 1), make(chan struct{}, 1), make(chan time.Duration, 1), c.called}
	n, err := node.New(node.Options{
		ID: hostID(i), DataCentre: "mixco", PeerAddress: c.peers[i], CallerAddress: c.callers[i],
		Platform: c.url, TokenLifetime: time.Hour, TokenMax: 100_000, Connections: 60,
		LBLag: lbLag, ShutdownBound: c.bound, Abort: abort,
	}, slog.New(events))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	return events, func() {
		select {
		case <-events.ready:
		case err := <-ended:
			c.t.Fatalf("host %d: %v", i, err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.nodes[i] = n
		c.stops[i] = func() error {
			stop()
			return <-ended
		}
	}
}

// startAll starts all hosts and then waits until they are ready, since each host
// becomes ready only after it has received messages from the others.
func (c *cluster) startAll() {
	var waits []func()
	for i := range c.peers {
		_, awaitReady := c.start(i, nil)
		waits = append(waits, awaitReady)
	}
	for _, awaitReady := range waits {
		awaitReady()
	}
}

// pick returns the address for callers of the next host that is ready, as a load
// balancer does.
func (c *cluster) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.last = (c.last + 1) % hostCount
		if n := c.nodes[c.last]; n != nil && n.Ready() {
			return c.callers[c.last]
		}
	}
}

type reply struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Token   string `json:"token"`
	// Coverage lists the missing shards and the reasons; used in failure messages.
	Coverage json.RawMessage `json:"coverage"`
}

func (c *cluster) post(client *http.Client, path string, body map[string]any) (reply, error) {
	return c.postTo(client, c.pick(), path, body)
}

func (c *cluster) postTo(client *http.Client, host, path string, body map[string]any) (reply, error) {
	raw, _ := json.Marshal(body)
	res, err := client.Post("http://"+host+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var out reply
	err = json.NewDecoder(res.Body).Decode(&out)
	return out, err
}

// runClient sends rounds of a query, a token request and an order until stop is set.
// It adds the rounds in which it sent an order to rounds and reports each failed
// request to failed.
func (c *cluster) runClient(id int, stop *atomic.Bool, rounds *atomic.Int64, failed func(string, ...any)) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; !stop.Load(); i++ {
		r, err := c.post(client, "/v1/query", map[string]any{"caller": "dispatch", "service": "kiln"})
		if err != nil || r.Outcome != "complete" {
			failed("query: %s %s %s %v", r.Outcome, r.Reason, r.Coverage, err)
		}
		token, err := c.post(client, "/v1/tokens", nil)
		if err != nil || token.Token == "" {
			failed("token: %+v %v", token, err)
			continue
		}
		r, err = c.post(client, "/v1/orders", map[string]any{
			"caller": "dispatch", "service": "kiln", "token": token.Token, "key": fmt.Sprintf("%d-%d", id, i),
		})
		if err != nil || r.Outcome != "complete" {
			failed("order: %+v %v", r, err)
		}
		rounds.Add(1)
	}
}

// rollingRestart restarts every host once while clients send requests. It returns
// the failed requests and the number of rounds that the clients made.
func rollingRestart(t *testing.T) (failures []string, rounds int64) {
	c, servers := newCluster(t, hostCount)
	c.startAll()
	var stop atomic.Bool
	var done atomic.Int64
	var mu sync.Mutex
	var load sync.WaitGroup
	for id := range clientCount {
		load.Go(func() {
			c.runClient(id, &stop, &done, func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf(format, args...))
			})
		})
	}
	for i := range hostCount {
		if err := c.stops[i](); err != nil {
			t.Errorf("host %d: %v", i, err)
		}
		_, awaitReady := c.start(i, nil)
		awaitReady()
	}
	stop.Store(true)
	load.Wait()
	for i := range hostCount {
		_ = c.stops[i]()
	}
	runs := map[string]int{}
	for _, e := range servers.Journal() {
		if e.Kind == "order" {
			runs[e.ID]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("order %s ran %d times", id, n)
		}
	}
	return failures, done.Load()
}

// Guards against a shutdown that fails a request, because a connection is closed
// while a caller uses it, the issuer of a token or the owner of a group has stopped
// before an order, or a shard has no owner.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	failures, rounds := rollingRestart(t)
	if len(failures) > 0 || rounds == 0 {
		t.Fatalf("%d failed requests in %d rounds, first ones %q", len(failures), rounds, failures[:min(len(failures), 5)])
	}
	t.Logf("%d rounds of a query, a token and an order", rounds)
}

// Guards against a shutdown that waits for an unused token until the token expires
// or the shutdown bound has passed. Both take an hour here, so that the test would
// time out.
func TestUnusedTokenDoesNotBlockShutdown(t *testing.T) {
	c, _ := newCluster(t, 1)
	c.bound = time.Hour
	_, awaitReady := c.start(0, nil)
	awaitReady()
	client := &http.Client{Transport: &http.Transport{}}
	token, err := c.postTo(client, c.callers[0], "/v1/tokens", nil)
	if err != nil || token.Token == "" {
		t.Fatalf("token: %+v %v", token, err)
	}
	client.CloseIdleConnections()
	if err := c.stops[0](); err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against a shutdown that continues after a second signal, which closes
// Options.Abort, while calls run on the host or on another host for it. Also guards
// against a cut request whose id is not logged, a shutdown bound that ignores the
// active sections, calls of the aborted host that delay the shutdown of the others,
// and goroutines that never end.
func TestSecondSignalEndsShutdown(t *testing.T) {
	t.Run("one host", func(t *testing.T) { testSecondSignal(t, 1, false) })
	t.Run("entry host of three", func(t *testing.T) { testSecondSignal(t, hostCount, false) })
	t.Run("owner of three", func(t *testing.T) { testSecondSignal(t, hostCount, true) })
}

// testSecondSignal aborts the shutdown of the host that received a query or, if owner
// is set, of the owner that runs one of the query's calls.
func testSecondSignal(t *testing.T, hosts int, owner bool) {
	c, servers := newCluster(t, hosts)
	var aborts []chan struct{}
	var events []logEvents
	var waits []func()
	for i := range hosts {
		aborts = append(aborts, make(chan struct{}))
		e, awaitReady := c.start(i, aborts[i])
		events, waits = append(events, e), append(waits, awaitReady)
	}
	for _, awaitReady := range waits {
		awaitReady()
	}
	servers.UpdateFaults("", func(faults *server.Faults) { faults.Stuck = true })
	var load sync.WaitGroup
	load.Go(func() {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		_, _ = c.postTo(client, c.callers[0], "/v1/query", map[string]any{"caller": "dispatch", "service": "kiln"})
	})
	aborted := <-c.called // any host may own the groups
	if !owner {
		aborted = 0
	}
	close(aborts[aborted])
	if err := c.stops[aborted](); !errors.Is(err, node.ErrRequestsCut) {
		t.Fatalf("host %d: error %v, want %v", aborted, err, node.ErrRequestsCut)
	}
	<-events[aborted].cut
	if got := <-events[aborted].bound; got != lbLag+sectionDeadline {
		t.Errorf("bound %v, want the section's deadline plus the load balancer's lag", got)
	}
	load.Wait()
	for i, stop := range c.stops[:hosts] {
		if i == aborted {
			continue
		}
		if err := stop(); err != nil {
			t.Errorf("host %d: %v, want no running call of the aborted host", i, err)
		}
	}
}
