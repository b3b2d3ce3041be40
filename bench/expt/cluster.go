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
	slowFactor     = 10   // of the stand-in's slow calls
	slowShare      = 0.01 // of calls
	nodeConns      = 5    // 2 x slots + 1 with two slots
	tokenLifetime  = time.Minute
	configRevision = 1
)

// layout is the size and the behaviour of the services of one cluster.
type layout struct {
	hosts       int
	groups      int
	replicas    int
	slots       int
	connections int
	connCost    time.Duration
	mean        time.Duration
	slow        float64
	deadline    time.Duration
	concurrency int // of the caller on each host
	rate        float64
	queue       int
	seed        uint64
	log         *slog.Logger
	owner       owner.Options // mechanisms of the design taken out
}

// design names the product itself among the policies.
const design base.Policy = "design"

// cluster is a set of stand-ins and hosts in this process.
type cluster struct {
	layout
	fleet   *server.Fleet
	service core.Service
	callers []string // caller address of each host
	gates   []*gate  // by host
	fronts  []*gate  // by host, towards callers
	stop    context.CancelFunc
	stops   []context.CancelFunc // by host
	done    sync.WaitGroup
	peer    atomic.Int64 // bytes between hosts
	backend atomic.Int64 // bytes between hosts and backend servers
	faults  atomic.Int64 // hosts that ended with an error
	mix     load.Mix
}

// address returns the IP number of a host; 0 is for the stand-ins. The process
// id keeps two runs at the same time apart.
func address(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/256%64, pid%256, 1+host)
}

func startCluster(ctx context.Context, l layout, p base.Policy) (*cluster, error) {
	if l.log == nil {
		l.log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{layout: l, stop: cancel}
	c.mix = load.Mix{Caller: callerName, Service: serviceName, Weight: 1, Deadline: l.deadline}
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

// startServers opens all listeners first, because the document names their ports.
func (c *cluster) startServers() ([]byte, error) {
	opened := make(map[string]net.Listener)
	groups := make([][]string, c.groups)
	for g := range groups {
		for range c.replicas {
			l, err := net.Listen("tcp", address(0)+":0")
			if err != nil {
				return nil, errors.Wrap(err, "expt: listen for a backend server")
			}
			opened[l.Addr().String()] = counting{Listener: l, bytes: &c.backend}
			groups[g] = append(groups[g], l.Addr().String())
		}
	}
	text := c.document(groups)
	parts, err := config.Split(text)
	if err != nil {
		return nil, err
	}
	section, found := config.Parse(parts[0])
	if len(found) > 0 {
		return nil, found[0]
	}
	c.service = section.Service()
	c.fleet = server.NewFleet(server.Options{
		MeanService: c.mean, SlowShare: c.slow, Seed: c.seed,
		Listen: func(_, address string) (net.Listener, error) { return opened[address], nil },
	})
	return text, c.fleet.Start(c.service)
}

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
			lead := "  - - "
			if i > 0 {
				lead = "    - "
			}
			fmt.Fprintf(&b, "%s{address: %q, data_centre: %s}\n", lead, a, dataCentre)
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
	front, err := servePlatform(ctx, platform)
	if err != nil {
		return err
	}
	var entries []core.HostEntry
	var nodes []node.Options
	for h := range c.hosts {
		o, err := c.prepareNode(h+1, front)
		if err != nil {
			return err
		}
		entries = append(entries, core.HostEntry{Host: core.NewHost(o.ID, dataCentre, o.PeerAddress)})
		nodes = append(nodes, o)
	}
	platform.SetHosts(entries)
	return c.runNodes(ctx, nodes)
}

// prepareNode opens the listeners of a host, since the host list names their
// ports before any host runs.
func (c *cluster) prepareNode(number int, platform string) (node.Options, error) {
	peers, err := net.Listen("tcp", address(number)+":0")
	if err != nil {
		return node.Options{}, errors.Wrap(err, "expt: listen for hosts")
	}
	callers, err := net.Listen("tcp", address(number)+":0")
	if err != nil {
		return node.Options{}, errors.Wrap(err, "expt: listen for callers")
	}
	g := newGate()
	opened := map[string]net.Listener{
		peers.Addr().String():   gated{Listener: counting{Listener: peers, bytes: &c.peer}, gate: g},
		callers.Addr().String(): c.front(callers),
	}
	c.gates = append(c.gates, g)
	c.callers = append(c.callers, callers.Addr().String())
	return node.Options{
		ID: core.HostID(fmt.Sprintf("host-%d", number)), DataCentre: dataCentre,
		PeerAddress: peers.Addr().String(), CallerAddress: callers.Addr().String(),
		Platform:      "http://" + platform,
		TokenLifetime: tokenLifetime, TokenMax: 1000,
		Connections:  min(max(nodeConns, 2*c.slots+1), c.connections/2),
		Listen:       func(_, address string) (net.Listener, error) { return opened[address], nil },
		ListenPacket: g.listenPacket,
		Dial:         g.dial,
		Owner:        c.owner,
		// A stopped host stands for a killed one, so it isn't drained.
		ShutdownBound: time.Nanosecond,
	}, nil
}

func (c *cluster) runNodes(ctx context.Context, nodes []node.Options) error {
	for _, o := range nodes {
		n, err := node.New(o, c.log)
		if err != nil {
			return errors.Wrap(err, "expt: new host")
		}
		c.run(ctx, func(ctx context.Context) error {
			if err := n.Run(ctx); !errors.Is(err, node.ErrCut) {
				return err
			}
			return nil
		})
	}
	return nil
}

// servePlatform returns the address that serves the platform until ctx ends.
func servePlatform(ctx context.Context, platform http.Handler) (string, error) {
	l, err := net.Listen("tcp", address(0)+":0")
	if err != nil {
		return "", errors.Wrap(err, "expt: listen for the platform")
	}
	public := &http.Server{Handler: platform, ReadHeaderTimeout: headerTimeout}
	go func() { _ = public.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = public.Close() })
	return l.Addr().String(), nil
}

func (c *cluster) startBaseline(ctx context.Context, text []byte, p base.Policy) error {
	ledger := config.NewLedger()
	if _, err := ledger.Apply(core.Document{Revision: configRevision, Text: text}); err != nil {
		return err
	}
	for h := range c.hosts {
		l, err := net.Listen("tcp", address(h+1)+":0")
		if err != nil {
			return errors.Wrap(err, "expt: listen for callers")
		}
		g := newGate()
		// Every host dials every replica, so the limit is shared equally.
		backend := remote.New(remote.Options{Connections: max(1, c.connections/c.hosts), Dial: g.dial})
		owner := base.NewOwner(base.Options{Policy: p, Hosts: c.hosts, Seed: c.seed + uint64(h)}, ledger, backend)
		host := base.NewHost(core.HostID(fmt.Sprintf("host-%d", h+1)), ledger, owner)
		c.gates = append(c.gates, g)
		c.callers = append(c.callers, l.Addr().String())
		front := c.front(l)
		c.run(ctx, func(ctx context.Context) error {
			defer backend.Close()
			return host.Run(ctx, front)
		})
	}
	return nil
}

func (c *cluster) run(ctx context.Context, f func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	c.stops = append(c.stops, stop)
	c.done.Go(func() {
		if f(ctx) != nil {
			c.faults.Add(1)
		}
	})
}

// waitReady queries every host until it answers completely.
func (c *cluster) waitReady(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	end := time.Now().Add(readyTimeout)
	for _, host := range c.callers {
		for {
			q, err := load.Query(ctx, client, host, c.mix)
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

// load sends an open-loop load to all hosts.
func (c *cluster) load(ctx context.Context, rate float64, length time.Duration, seed uint64, faults ...load.Fault) (*load.Result, error) {
	return load.Run(ctx, load.Options{
		Hosts: c.callers, Mix: []load.Mix{c.mix}, Rate: rate, Length: length, Seed: seed, Faults: faults, Keep: true,
	})
}

// front puts a gate between callers and the next host.
func (c *cluster) front(l net.Listener) net.Listener {
	g := newGate()
	c.fronts = append(c.fronts, g)
	return gated{Listener: l, gate: g}
}

// setMode changes what a host can reach. A host that is cut off still has its
// callers; a paused one reads nothing from them either, since its timers would
// otherwise expire requests that a paused process wouldn't have seen.
func (c *cluster) setMode(host int, m gateMode) {
	c.gates[host].set(m)
	if m == cut {
		m = open
	}
	c.fronts[host].set(m)
}

func (c *cluster) close() {
	for h := range c.gates {
		c.setMode(h, open)
	}
	c.stop()
	c.done.Wait()
	if c.fleet != nil {
		c.fleet.Close()
	}
}

// capacity returns the queries a second that the slots of a group with the
// given slowdown of its replicas can serve.
func (l layout) capacity(slowdowns ...float64) float64 {
	mean := l.mean.Seconds() * (1 + (slowFactor-1)*l.slow)
	total := 0.0
	for _, s := range slowdowns {
		total += float64(l.slots) / (mean * s)
	}
	return total
}
