package expt

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/bench/base"
	"oriolebarrow/bench/load"
	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/io/node"
	"oriolebarrow/io/owner"
	"oriolebarrow/io/remote"
	"oriolebarrow/standin/plat"
	"oriolebarrow/standin/server"
)

const (
	serviceName    = "weighbridge_dispatch"
	callerName     = "weighbridge"
	dataCentre     = "mixco"
	readyTimeout   = 15 * time.Second
	readyInterval  = 20 * time.Millisecond
	headerTimeout  = 5 * time.Second
	slowFactor     = 10   // slowdown of the calls that the stand-in servers make slow
	slowShare      = 0.01 // share of calls that are slow
	minNodeConns   = 5    // minimum of connections from a host to a replica: 2*slots + 1 for two slots
	tokenLifetime  = time.Minute
	configRevision = 1
)

// layout describes the size of a cluster and the behaviour of its backend service.
type layout struct {
	hosts       int
	groups      int
	replicas    int
	slots       int
	connections int
	connCost    time.Duration
	mean        time.Duration // mean service time of calls that are not slow
	slow        float64       // share of slow calls
	deadline    time.Duration
	concurrency int     // the caller's limit on each host; 0 means practically none
	rate        float64 // the caller's limit on each host, per second; 0 means practically none
	queue       int     // queue length; 0 means the default
	seed        uint64
	log         *slog.Logger
	owner       owner.Options // switches off mechanisms of the design
}

// design is the policy name of the product itself, next to the baselines.
const design base.Policy = "design"

// cluster runs hosts and stand-ins for backend servers and the platform in this
// process.
type cluster struct {
	layout
	fleet        *server.Fleet
	service      core.Service
	callers      []string    // caller address of each host
	hostNets     []*faultNet // by host, towards other hosts and backend servers
	callerNets   []*faultNet // by host, towards callers
	stop         context.CancelFunc
	hostStops    []context.CancelFunc // by host
	running      sync.WaitGroup
	peerBytes    atomic.Int64 // in both directions on connections between hosts
	backendBytes atomic.Int64 // in both directions on connections to backend servers
	failedHosts  atomic.Int64 // hosts that ended with an error
	kind         load.RequestKind
}

// hostIP returns the loopback address of a host; number 0 is for the stand-ins.
// The address depends on the process id, so that concurrent runs don't share it.
func hostIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/256%64, pid%256, 1+host)
}

// startCluster starts a cluster with the given policy and waits until it is ready.
func startCluster(ctx context.Context, l layout, p base.Policy) (*cluster, error) {
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{layout: l, stop: cancel}
	c.kind = load.RequestKind{Caller: callerName, Service: serviceName, Weight: 1, Deadline: l.deadline}
	if err := c.start(ctx, p); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, p base.Policy) error {
	text, err := c.startServers()
	if err != nil {
		return err
	}
	if p == design {
		err = c.startNodes(ctx, text)
	} else {
		err = c.startBaseline(ctx, text, p)
	}
	if err != nil {
		return err
	}
	return c.waitReady(ctx)
}

// startServers starts the backend servers and returns the configuration document.
// All listeners are opened first because the document contains their ports.
func (c *cluster) startServers() ([]byte, error) {
	listeners := make(map[string]net.Listener)
	groups := make([][]string, c.groups)
	for g := range groups {
		for range c.replicas {
			l, err := net.Listen("tcp", hostIP(0)+":0")
			if err != nil {
				return nil, errors.Wrap(err, "expt: listen for a backend server")
			}
			listeners[l.Addr().String()] = countingListener{Listener: l, bytes: &c.backendBytes}
			groups[g] = append(groups[g], l.Addr().String())
		}
	}
	text := c.document(groups)
	parts, err := config.Split(text)
	if err != nil {
		return nil, err
	}
	section, faults := config.Parse(parts[0])
	if len(faults) > 0 {
		return nil, faults[0]
	}
	c.service = section.Service()
	c.fleet = server.NewFleet(server.Options{
		MeanService: c.mean, SlowShare: c.slow, Seed: c.seed,
		Listen: func(_, address string) (net.Listener, error) { return listeners[address], nil },
	})
	return text, c.fleet.Start(c.service)
}

// document returns the configuration with the backend servers of each group.
func (c *cluster) document(groups [][]string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: backend\nname: %s\nteam: yard\nedition: 1\nslots: %d\nconnections: %d\n", serviceName, c.slots, c.connections)
	fmt.Fprintf(&b, "new_connection_cost: %s\n", c.connCost)
	if c.queue > 0 {
		fmt.Fprintf(&b, "queue_length: %d\n", c.queue)
	}
	fmt.Fprintf(&b, "groups:\n")
	for _, replicas := range groups {
		for i, a := range replicas {
			prefix := "  - - "
			if i > 0 {
				prefix = "    - "
			}
			fmt.Fprintf(&b, "%s{address: %q, data_centre: %s}\n", prefix, a, dataCentre)
		}
	}
	rate, concurrency := c.rate, c.concurrency
	if rate == 0 {
		rate = 100_000
	}
	if concurrency == 0 {
		concurrency = 100_000
	}
	fmt.Fprintf(&b, "---\nkind: caller\nname: %s\nteam: clerks\nedition: 1\ndeadline: %s\nrate: %g\nburst: %d\nconcurrency: %d\nservices: [%s]\n",
		callerName, c.deadline, rate, max(1, int(rate/10)), concurrency, serviceName)
	b.WriteString("---\nkind: end\n")
	return []byte(b.String())
}

func (c *cluster) startNodes(ctx context.Context, text []byte) error {
	platform := plat.New(0)
	platform.Publish(configRevision, text)
	platformAddr, err := servePlatform(ctx, platform)
	if err != nil {
		return err
	}
	var entries []core.HostEntry
	var nodes []node.Options
	for h := range c.hosts {
		o, err := c.prepareNode(h+1, platformAddr)
		if err != nil {
			return err
		}
		entries = append(entries, core.HostEntry{Host: core.NewHost(o.ID, dataCentre, o.PeerAddress)})
		nodes = append(nodes, o)
	}
	platform.SetHosts(entries)
	return c.runNodes(ctx, nodes)
}

// prepareNode opens the listeners of a host and returns its options. The listeners
// are opened before any host runs because the host list contains their ports.
func (c *cluster) prepareNode(number int, platformAddr string) (node.Options, error) {
	peers, err := net.Listen("tcp", hostIP(number)+":0")
	if err != nil {
		return node.Options{}, errors.Wrap(err, "expt: listen for hosts")
	}
	callers, err := net.Listen("tcp", hostIP(number)+":0")
	if err != nil {
		return node.Options{}, errors.Wrap(err, "expt: listen for callers")
	}
	hostNet := newFaultNet()
	listeners := map[string]net.Listener{
		peers.Addr().String():   faultListener{Listener: countingListener{Listener: peers, bytes: &c.peerBytes}, faults: hostNet},
		callers.Addr().String(): c.callerListener(callers),
	}
	c.hostNets = append(c.hostNets, hostNet)
	c.callers = append(c.callers, callers.Addr().String())
	return node.Options{
		ID: core.HostID(fmt.Sprintf("host-%d", number)), DataCentre: dataCentre,
		PeerAddress: peers.Addr().String(), CallerAddress: callers.Addr().String(),
		Platform:      "http://" + platformAddr,
		TokenLifetime: tokenLifetime, TokenMax: 1000,
		Connections:  min(max(minNodeConns, 2*c.slots+1), c.connections/2),
		Listen:       func(_, address string) (net.Listener, error) { return listeners[address], nil },
		ListenPacket: hostNet.listenPacket,
		Dial:         hostNet.dial,
		Owner:        c.owner,
		// Stopping a host simulates a kill, so requests are cut off rather than drained.
		ShutdownBound: time.Nanosecond,
	}, nil
}

// runNodes starts the hosts. Requests that are cut off when a host stops don't
// count as a failure of the host.
func (c *cluster) runNodes(ctx context.Context, nodes []node.Options) error {
	for _, o := range nodes {
		n, err := node.New(o, c.log)
		if err != nil {
			return errors.Wrap(err, "expt: create host")
		}
		c.run(ctx, func(ctx context.Context) error {
			if err := n.Run(ctx); !errors.Is(err, node.ErrRequestsCut) {
				return err
			}
			return nil
		})
	}
	return nil
}

// servePlatform serves the platform until ctx ends and returns its address.
func servePlatform(ctx context.Context, platform http.Handler) (string, error) {
	l, err := net.Listen("tcp", hostIP(0)+":0")
	if err != nil {
		return "", errors.Wrap(err, "expt: listen for the platform")
	}
	srv := &http.Server{Handler: platform, ReadHeaderTimeout: headerTimeout}
	go func() { _ = srv.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

func (c *cluster) startBaseline(ctx context.Context, text []byte, p base.Policy) error {
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: configRevision, Text: text}); err != nil {
		return err
	}
	for h := range c.hosts {
		l, err := net.Listen("tcp", hostIP(h+1)+":0")
		if err != nil {
			return errors.Wrap(err, "expt: listen for callers")
		}
		hostNet := newFaultNet()
		// Every host dials every replica, so each gets an equal share of the connection limit.
		backend := remote.New(remote.Options{Connections: max(1, c.connections/c.hosts), Dial: hostNet.dial})
		owner := base.NewOwner(base.Options{Policy: p, Hosts: c.hosts, Seed: c.seed + uint64(h)}, ledger, backend)
		host := base.NewHost(core.HostID(fmt.Sprintf("host-%d", h+1)), ledger, owner)
		c.hostNets = append(c.hostNets, hostNet)
		c.callers = append(c.callers, l.Addr().String())
		callers := c.callerListener(l)
		c.run(ctx, func(ctx context.Context) error {
			defer backend.Close()
			return host.Run(ctx, callers)
		})
	}
	return nil
}

// run calls f in a goroutine as the next host.
func (c *cluster) run(ctx context.Context, f func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	c.hostStops = append(c.hostStops, stop)
	c.running.Go(func() {
		if f(ctx) != nil {
			c.failedHosts.Add(1)
		}
	})
}

// waitReady queries each host until it returns a complete answer.
func (c *cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	end := time.Now().Add(readyTimeout)
	for _, host := range c.callers {
		for {
			q, err := load.Query(ctx, client, host, c.kind)
			if err == nil && q.Outcome == string(core.Complete) {
				break
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("expt: host %s is not ready: outcome %q, %v", host, q.Outcome, err)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

// load sends an open-loop load, spread over all hosts.
func (c *cluster) load(ctx context.Context, rate float64, length time.Duration, seed uint64, faults ...load.Fault) (*load.Result, error) {
	return load.Run(ctx, load.Options{
		Hosts: c.callers, Kinds: []load.RequestKind{c.kind}, Rate: rate, Length: length, Seed: seed, Faults: faults, KeepQueries: true,
	})
}

// callerListener returns a listener for callers of the next host, on which
// setMode can inject faults.
func (c *cluster) callerListener(l net.Listener) net.Listener {
	callerNet := newFaultNet()
	c.callerNets = append(c.callerNets, callerNet)
	return faultListener{Listener: l, faults: callerNet}
}

// setMode sets the state of a host's network. A host that is cut off can still be
// reached by its callers. A paused host gets no data from callers either: its
// timers keep running and would expire requests that a paused process would not
// have read yet.
func (c *cluster) setMode(host int, m netMode) {
	c.hostNets[host].set(m)
	if m == cut {
		m = open
	}
	c.callerNets[host].set(m)
}

func (c *cluster) close() {
	for h := range c.hostNets {
		c.setMode(h, open)
	}
	c.stop()
	c.running.Wait()
	if c.fleet != nil {
		c.fleet.Close()
	}
}

// capacity returns the number of queries a second that one group can serve with
// all its slots. The slowdowns are the factors by which its replicas are slowed.
func (l layout) capacity(slowdowns ...float64) float64 {
	mean := l.mean.Seconds() * (1 + (slowFactor-1)*l.slow)
	total := 0.0
	for _, s := range slowdowns {
		total += float64(l.slots) / (mean * s)
	}
	return total
}
