// Package edge assembles and runs one host that forwards callers' requests to
// replicas. The host follows a directory, serves callers and readiness checks,
// opens connections in advance, probes ejected replicas, and drains when it stops.
//
// # Usage
//
//	e, err := edge.New(options, directory, log)
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx)
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/member"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/place"
	"oriolebarrow/core/route"
	"oriolebarrow/core/warm"
	"oriolebarrow/io/client"
	"oriolebarrow/io/conns"
	"oriolebarrow/io/feed"
	"oriolebarrow/io/front"
	"oriolebarrow/io/mirror"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/relay"
	"oriolebarrow/io/swim"
	"oriolebarrow/io/tasks"
	"oriolebarrow/io/usage"
)

const (
	// warmTimeout bounds the opening of connections before the host becomes ready,
	// so that a replica that does not answer cannot keep it from serving.
	warmTimeout = 700 * time.Millisecond
	// prepareTimeout bounds the wait for other hosts and for replicas before the
	// host becomes ready. Entries that expired while the directory was unavailable
	// reappear about 2 s after it recovers.
	prepareTimeout = 3 * time.Second
	// warmConcurrency limits the connections that are opened at the same time
	// before the host becomes ready.
	warmConcurrency = 16
	// warmQueueSize is large enough for all replicas of a new set of shards.
	warmQueueSize = 1024
	// probeInterval is the time between two rounds of probes of ejected replicas.
	probeInterval = 100 * time.Millisecond
	// idleCheckInterval is the time between two searches for idle connections of
	// callers. A connection may exceed the idle timeout by this much.
	idleCheckInterval = time.Second
	// probeTimeout bounds one health check; pauses of a replica are shorter.
	probeTimeout = 300 * time.Millisecond
)

// Options holds the settings of one host.
type Options struct {
	Host          core.HostID
	DataCentre    core.DataCentre
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string   // where other hosts reach this host, TCP and UDP
	PeerSeeds     []string // peer addresses of some hosts
	TaskPort      int      // the same on all hosts
	Names         core.HeaderNames
	Extra         budget.ExtraLimits
	Warm          warm.Bounds   // on the requests to cold replicas
	DataCentres   int           // of the deployment
	Compete       bool          // requests compete for capacity by priority and caller
	Grace         time.Duration // from the stop request until the process is killed
	Meter         core.Meter    // may be nil
	BufferBytes   int64         // bound on the answers of replicas that are being read; 0 means the client's default
	Clients       *conns.Limits // of what clients may make the host hold; may be nil
	Listen        func(network, address string) (net.Listener, error)
	ListenPacket  func(network, address string) (net.PacketConn, error)
	Dial          client.Dial // to replicas and hosts
}

func (o Options) withDefaults() Options {
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	if o.ListenPacket == nil {
		o.ListenPacket = net.ListenPacket
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	return o
}

// Reloadable holds the settings that may change while a host runs.
type Reloadable struct {
	Extra budget.ExtraLimits
	Grace time.Duration
	Warm  warm.Bounds
}

// Edge is one host. Lock order: mu is taken before the locks of the extra-call
// budget, the assigner and the replica table.
type Edge struct {
	mu           sync.Mutex
	cache        shareCache // guarded by mu
	opts         Options
	extra        *budget.Extra
	grace        atomic.Int64                             // nanoseconds
	sharingHosts atomic.Int64                             // hosts that share the budget and the connections
	ownedCallers atomic.Pointer[map[core.ServiceName]int] // see callers; for the services that this host owns
	log          *slog.Logger
	replicas     *picker.Table
	traffic      *usage.Counter
	client       *client.Client
	relay        *relay.Relay
	front        *front.Front
	mirror       *mirror.Mirror
	members      *swim.Membership
	feeds        *feed.Client
	feedServer   *feed.Server
	peers        *peer.Client
	taskClient   *tasks.Client
	taskServer   *peer.Server
	ready        atomic.Bool
	leaving      atomic.Bool
	warming      chan core.Instance // replicas to connect to
	withheld     int64              // requests to cold replicas that were withheld; used by probeEjected only
}

// New returns a host. Run starts it.
func New(o Options, d core.Directory, log *slog.Logger) (*Edge, error) {
	o = o.withDefaults()
	self := core.NewHost(o.Host, o.DataCentre, o.PeerAddress)
	inc := core.Incarnation(time.Now().UnixNano())
	detector := member.New(self, inc, rand.New(rand.NewPCG(uint64(inc), seed(o.Host))))
	replicas := picker.New(o.Host, o.DataCentre)
	traffic := usage.New(o.Meter, o.DataCentre, locator(replicas, detector))
	feeds, err := feed.New(feed.Deps{
		Self:         self,
		Reachability: detector,
		Placer:       place.New(place.DefaultSetSize),
		Dial:         traffic.Dial(usage.Feed, o.Dial),
	})
	if err != nil {
		return nil, err
	}
	e := &Edge{
		opts:     o,
		log:      log,
		replicas: replicas,
		traffic:  traffic,
		members:  swim.New(swim.Deps{Detector: detector, Seeds: o.PeerSeeds, Log: log, Meter: o.Meter}),
		feeds:    feeds,
		warming:  make(chan core.Instance, warmQueueSize),
	}
	e.client = client.New(client.Options{
		Names: o.Names, Dial: traffic.Dial(usage.Replicas, o.Dial), Meter: o.Meter, LastConnClosed: e.reconnect,
		BufferBytes: o.BufferBytes, Connections: o.Clients.ReplicaConnections(),
	})
	e.extra = budget.NewExtra(o.Extra, e.hostCount())
	e.grace.Store(int64(o.Grace))
	e.replicas.SetWarmBounds(time.Now(), o.Warm)
	e.peers = peer.NewClient(o.Host, inc, taskDial(traffic.Dial(usage.Tasks, o.Dial), o.TaskPort))
	e.taskClient = tasks.New(tasks.Deps{Self: self, Views: detector, Reachability: detector, Near: e.availableIn, Peers: e.peers, Log: log})
	e.relay = relay.New(relay.Deps{
		Self:     o.Host,
		Tasks:    e.taskClient,
		Replicas: e.replicas,
		Client:   e.client,
		Extra:    e.extra,
		Splitter: route.NewSplitter(seed(o.Host)),
		Log:      log,
		Meter:    o.Meter,
		Callers:  e.callers,
		Compete:  o.Compete,
	})
	callers := front.Deps{Relay: e.relay, Names: o.Names, Limits: e.callerLimits}
	if o.Clients != nil {
		callers.Connections, callers.Budget, callers.Refusals = o.Clients.Shares.Callers, o.Clients.Budget, o.Clients.Refusals
	}
	e.front = front.New(callers)
	e.mirror = mirror.New(mirror.Deps{
		Directory:     d,
		Feeds:         feeds,
		Replicas:      e.replicas,
		OnRouting:     e.installRouting,
		OnAvailable:   e.queueWarming,
		OnUnavailable: e.client.CloseInstance,
		OnEvacuation:  e.applyEvacuation,
		Log:           log,
		Meter:         o.Meter,
	})
	if e.feedServer, err = feed.NewServer(e.mirror); err != nil {
		return nil, err
	}
	if e.taskServer, err = peer.NewServer(tasks.NewHandler(e.relay, log)); err != nil {
		return nil, err
	}
	e.taskServer.SetLimits("tasks", o.Clients)
	return e, nil
}

// locator returns a function that finds the data centre of an address: that of a replica, or
// of the host with the same IP address, since hosts use several ports.
func locator(replicas *picker.Table, hosts core.Reachability) usage.Locate {
	return func(address string) core.DataCentre {
		if dc, ok := replicas.Locate(address); ok {
			return dc
		}
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return ""
		}
		for _, h := range hosts.Reachable(time.Now()).Hosts() {
			if strings.HasPrefix(h.Address(), ip+":") {
				return h.DataCentre()
			}
		}
		return ""
	}
}

// taskDial returns a dial function that replaces the port a host announces by
// the port for tasks.
func taskDial(dial client.Dial, port int) peer.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "edge: invalid address of a host")
		}
		return dial(ctx, network, net.JoinHostPort(host, strconv.Itoa(port)))
	}
}

// availableIn reports whether a service has a usable replica in a data centre.
func (e *Edge) availableIn(s core.ServiceName, dc core.DataCentre) bool {
	return e.replicas.AvailableIn(time.Now(), s, dc)
}

// hostCount returns the number of hosts that share limits, this one included. The
// number is assumed until the other hosts are known.
func (e *Edge) hostCount() int { return e.members.HostCount(time.Now()) }

// seed returns the FNV-1a hash of a host's ID, so that rotations and random
// numbers start differently on each host.
func seed(h core.HostID) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(h) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}

// callerLimits returns the limits of the active routing document.
func (e *Edge) callerLimits() core.CallerLimits {
	if t := e.relay.Table(); t != nil {
		return t.Limits()
	}
	return core.CallerLimits{}
}

// installRouting makes a routing document the active one.
func (e *Edge) installRouting(doc core.Routing) {
	t := route.New(doc)
	e.relay.SetTable(t)
	e.setHostLimits(t)
	e.replicas.SetWarmRates(time.Now(), t.Upstreams())
}

// setHostLimits sets this host's share of the connections to the replicas of each
// service.
func (e *Edge) setHostLimits(t *route.Table) {
	for _, u := range t.Upstreams() {
		e.replicas.SetHostLimits(u.Name, e.relay.HostLimits(t, u.Name))
	}
}

// queueWarming queues the opening of a connection to a replica. If the queue is
// full, the first call to the replica opens the connection.
func (e *Edge) queueWarming(in core.Instance) {
	select {
	case e.warming <- in:
	default:
	}
}

// Status describes the current state of a host.
type Status struct {
	Ready        bool
	Version      uint64        // of the active routing document, 0 when there is none
	DirectoryAge time.Duration // since the directory was last read, by this host or by the host that it follows
	Hosts        int           // that share limits, this one included
	Replicas     int
	Connections  int // to replicas
	Evacuated    []core.DataCentre
	Era          core.Era // of the directory
}

// Status returns the current state of the host.
func (e *Edge) Status() Status {
	s := Status{
		Ready:        e.ready.Load() && !e.leaving.Load(),
		DirectoryAge: e.mirror.Age(),
		Hosts:        e.hostCount(),
		Replicas:     e.replicas.Size(),
		Connections:  e.client.Connections(),
		Evacuated:    e.mirror.Evacuated(),
		Era:          e.mirror.Era(),
	}
	if t := e.relay.Table(); t != nil {
		s.Version = t.Version()
	}
	return s
}

// Reload replaces the settings that may change while the host runs.
func (e *Edge) Reload(s Reloadable) {
	e.extra.SetLimits(time.Now(), s.Extra)
	e.grace.Store(int64(s.Grace))
	e.replicas.SetWarmBounds(time.Now(), s.Warm)
	e.log.Info("node: settings reloaded", "host", e.opts.Host, "extra_ratio", s.Extra.Ratio,
		"extra_minimum", s.Extra.Minimum, "grace", s.Grace)
}

// listeners holds the sockets of a host.
type listeners struct {
	callers, checks, hosts, tasks net.Listener

	packets net.PacketConn
}

func (e *Edge) listen() (l listeners, err error) {
	if l.callers, err = e.opts.Listen("tcp", e.opts.CallerAddress); err != nil {
		return l, errors.Wrap(err, "edge: listen for callers")
	}
	if l.checks, err = e.opts.Listen("tcp", e.opts.ReadyAddress); err != nil {
		return l, errors.Wrap(err, "edge: listen for readiness checks")
	}
	if l.hosts, err = e.opts.Listen("tcp", e.opts.PeerAddress); err != nil {
		return l, errors.Wrap(err, "edge: listen for connections from hosts")
	}
	host, _, err := net.SplitHostPort(e.opts.PeerAddress)
	if err != nil {
		return l, errors.Wrap(err, "edge: invalid peer address")
	}
	if l.tasks, err = e.opts.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(e.opts.TaskPort))); err != nil {
		return l, errors.Wrap(err, "edge: listen for tasks")
	}
	if l.packets, err = e.opts.ListenPacket("udp", e.opts.PeerAddress); err != nil {
		return l, errors.Wrap(err, "edge: listen for packets from hosts")
	}
	return l, nil
}

// Run serves until ctx ends or a component fails, then drains.
func (e *Edge) Run(ctx context.Context) error {
	l, err := e.listen()
	if err != nil {
		return err
	}
	e.log.Info("node: host starts", "host", e.opts.Host, "data_centre", e.opts.DataCentre,
		"callers", l.callers.Addr().String(), "checks", l.checks.Addr().String(), "peers", l.hosts.Addr().String())
	defer e.client.Close()
	defer e.feeds.Close()
	defer e.peers.Close()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	server, checker := e.front.Server(), &http.Server{Handler: http.HandlerFunc(e.serveReadiness), ReadHeaderTimeout: time.Second}
	var shares conns.Shares
	if e.opts.Clients != nil {
		shares = e.opts.Clients.Shares
	}
	hosts, taskers := e.opts.Clients.Guard("hosts", l.hosts, shares.Hosts), e.opts.Clients.Guard("tasks", l.tasks, shares.Tasks)
	group.Go(func() error { return e.front.Serve(server, l.callers) })
	// A check without an answer at the end fails, like one that finds the host not ready.
	group.Go(func() error { return e.opts.Clients.ServeSmall(work, "readiness", checker, l.checks) })
	group.Go(func() error { return e.feedServer.Serve(work, hosts) })
	group.Go(func() error { return e.taskServer.Serve(work, taskers) })
	group.Go(func() error { return e.members.Run(work, e.traffic.Packets(usage.Membership, l.packets)) })
	group.Go(func() error { return e.mirror.Run(work) })
	group.Go(func() error { return e.becomeReady(work) })
	group.Go(func() error { return e.warmQueued(work) })
	group.Go(func() error { return e.probeEjected(work) })
	group.Go(func() error { return e.closeIdle(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		e.drain(server, l.callers)
		stop()
		return nil
	})
	err = group.Wait()
	e.log.Info("node: host stopped", "host", e.opts.Host)
	return err
}

// closeIdle closes callers' connections that exceed the idle timeout of the active
// routing document, until ctx ends.
func (e *Edge) closeIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.front.CloseIdle(now)
		}
	}
}

// serveReadiness answers a readiness check.
func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.ready.Load() && !e.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
