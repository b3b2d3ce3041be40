// Package edge assembles and runs one host that passes callers' requests on to
// replicas: it follows a directory, serves callers and readiness checks, keeps
// connections warm, probes ejected replicas, and drains on its end.
//
// # Usage
//
//	e := edge.New(options, directory, log)
//	err := e.Run(ctx)
package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/budget"
	"oriolebarrow/core/fleet"
	"oriolebarrow/core/member"
	"oriolebarrow/core/place"
	"oriolebarrow/core/route"
	"oriolebarrow/io/assist"
	"oriolebarrow/io/client"
	"oriolebarrow/io/crew"
	"oriolebarrow/io/feed"
	"oriolebarrow/io/front"
	"oriolebarrow/io/mirror"
	"oriolebarrow/io/peer"
	"oriolebarrow/io/relay"
)

const (
	// warmBound ends the wait for connections before readiness: a replica that
	// does not answer must not keep the host from serving.
	warmBound = 700 * time.Millisecond
	// coverBound ends the wait for replicas before readiness: entries that lapsed
	// while the directory was away are back about 2 s after its return.
	coverBound = 3 * time.Second
	// warmAtOnce limits the connections that are opened at the same time.
	warmAtOnce = 16
	// warmQueue holds the replicas of a new set of shards.
	warmQueue = 1024
	// tick is the interval of probes and checks.
	tick = 100 * time.Millisecond
	// idleCheck is the interval of looking for idle callers: by so much more than
	// the document's limit a connection may be idle.
	idleCheck = time.Second
	// probeTimeout bounds one health check; pauses of a replica are shorter.
	probeTimeout = 300 * time.Millisecond
	// notReadyFor is how long a leaving host still takes new connections: the
	// load balancer takes a host out after two checks, one each second.
	notReadyFor = 2500 * time.Millisecond
	// graceMargin before the kill, connections of requests that still run are cut;
	// answerTime earlier, these requests get their last answer.
	graceMargin = 700 * time.Millisecond
	answerTime  = 300 * time.Millisecond
)

// Options are the settings of one host.
type Options struct {
	Host          core.HostID
	DataCentre    core.DataCentre
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string   // other hosts reach this host here, TCP and UDP
	PeerSeeds     []string // peer addresses of some hosts
	TaskPort      int      // the same on all hosts
	Names         core.HeaderNames
	Extra         budget.ExtraLimits
	Grace         time.Duration // from the request to stop until the kill
	Meter         core.Meter    // may be nil
	HeldBytes     int64         // of replicas' answers that are being read; 0 means the client's default
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

// Reloadable are the settings that may change while a host runs.
type Reloadable struct {
	Extra budget.ExtraLimits
	Grace time.Duration
}

// Edge is one host. Its lock covers the roles; it is taken before those of the
// budget, the assigner and the fleet.
type Edge struct {
	mu      sync.Mutex
	roles   roles
	opts    Options
	extra   *budget.Extra
	grace   atomic.Int64 // nanoseconds
	sharing atomic.Int64 // hosts that share budget and connections
	log     *slog.Logger
	fleet   *fleet.Table
	client  *client.Client
	relay   *relay.Relay
	front   *front.Front
	mirror  *mirror.Mirror
	crew    *crew.Crew
	feeds   *feed.Feeds
	feed    *feed.Server
	peers   *peer.Client
	assist  *assist.Assistant
	tasks   *peer.Server
	ready   atomic.Bool
	leaving atomic.Bool
	warming chan core.Instance
}

// New returns a host that is not running yet.
func New(o Options, d core.Directory, log *slog.Logger) (*Edge, error) {
	o = o.withDefaults()
	self := core.NewHost(o.Host, o.DataCentre, o.PeerAddress)
	inc := core.Incarnation(time.Now().UnixNano())
	detector := member.New(self, inc, rand.New(rand.NewPCG(uint64(inc), seed(o.Host))))
	feeds, err := feed.New(feed.Parts{
		Self:   self,
		Views:  detector,
		Placer: place.New(place.DefaultSetSize),
		Dial:   feed.Dial(o.Dial),
	})
	if err != nil {
		return nil, err
	}
	e := &Edge{
		opts:    o,
		log:     log,
		fleet:   fleet.New(o.Host, o.DataCentre),
		crew:    crew.New(crew.Parts{Detector: detector, Seeds: o.PeerSeeds, Log: log, Meter: o.Meter}),
		feeds:   feeds,
		warming: make(chan core.Instance, warmQueue),
	}
	e.client = client.New(client.Options{Names: o.Names, Dial: o.Dial, Meter: o.Meter, Emptied: e.emptied, HeldBytes: o.HeldBytes})
	e.extra = budget.NewExtra(o.Extra, e.hosts())
	e.grace.Store(int64(o.Grace))
	e.peers = peer.NewClient(o.Host, inc, taskDial(o.Dial, o.TaskPort))
	e.assist = assist.New(assist.Parts{Self: self, Views: detector, Reach: detector, Near: e.fleet.Near, Peers: e.peers, Log: log})
	e.relay = relay.New(relay.Parts{
		Self:     o.Host,
		Helpers:  e.assist,
		Fleet:    e.fleet,
		Client:   e.client,
		Extra:    e.extra,
		Splitter: route.NewSplitter(seed(o.Host)),
		Log:      log,
		Meter:    o.Meter,
		Hosts:    e.hosts,
	})
	e.front = front.New(front.Parts{Relay: e.relay, Names: o.Names, Limits: e.limits})
	e.mirror = mirror.New(mirror.Parts{
		Directory: d,
		Feeds:     feeds,
		Fleet:     e.fleet,
		Install:   e.install,
		Appeared:  e.appeared,
		Gone:      e.client.Drop,
		Log:       log,
		Meter:     o.Meter,
	})
	if e.feed, err = feed.NewServer(e.mirror); err != nil {
		return nil, err
	}
	if e.tasks, err = peer.NewServer(assist.NewHandler(e.relay, log)); err != nil {
		return nil, err
	}
	return e, nil
}

// taskDial reaches the hosts at the port for tasks instead of the one that they
// announce.
func taskDial(dial client.Dial, port int) peer.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "edge: address of a host")
		}
		return dial(ctx, network, net.JoinHostPort(host, strconv.Itoa(port)))
	}
}

func (e *Edge) hosts() int { return e.crew.Hosts(time.Now()) }

// seed lets hosts begin at different places of a rotation.
func seed(h core.HostID) uint64 {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(h) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return sum
}

func (e *Edge) limits() core.CallerLimits {
	if t := e.relay.Table(); t != nil {
		return t.Limits()
	}
	return core.CallerLimits{}
}

func (e *Edge) install(doc core.Routing) {
	t := route.New(doc)
	e.relay.SetTable(t)
	e.setCaps(t)
}

func (e *Edge) setCaps(t *route.Table) {
	for _, u := range t.Upstreams() {
		e.fleet.SetCap(u.Name, e.relay.Share(t, u.Name))
	}
}

// appeared queues a connection to a new replica; if too many are queued, the
// first call opens it.
func (e *Edge) appeared(in core.Instance) {
	select {
	case e.warming <- in:
	default:
	}
}

// Status is what a host knows now.
type Status struct {
	Ready        bool
	Version      uint64        // of the routing document in force
	DirectoryAge time.Duration // since the directory was read, here or by the host that is followed
	Hosts        int           // that share limits
	Replicas     int
	Connections  int // to replicas
}

// Status returns what the host knows now.
func (e *Edge) Status() Status {
	s := Status{
		Ready:        e.ready.Load() && !e.leaving.Load(),
		DirectoryAge: e.mirror.Age(),
		Hosts:        e.hosts(),
		Replicas:     e.fleet.Size(),
		Connections:  e.client.Connections(),
	}
	if t := e.relay.Table(); t != nil {
		s.Version = t.Version()
	}
	return s
}

// Reload applies changed settings.
func (e *Edge) Reload(s Reloadable) {
	e.extra.SetLimits(s.Extra)
	e.grace.Store(int64(s.Grace))
	e.log.Info("node: settings reloaded", "host", e.opts.Host, "extra_ratio", s.Extra.Ratio,
		"extra_minimum", s.Extra.Minimum, "grace", s.Grace)
}

// listeners are the sockets of a host.
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
		return l, errors.Wrap(err, "edge: listen for hosts")
	}
	host, _, err := net.SplitHostPort(e.opts.PeerAddress)
	if err != nil {
		return l, errors.Wrap(err, "edge: peer address")
	}
	if l.tasks, err = e.opts.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(e.opts.TaskPort))); err != nil {
		return l, errors.Wrap(err, "edge: listen for tasks")
	}
	if l.packets, err = e.opts.ListenPacket("udp", e.opts.PeerAddress); err != nil {
		return l, errors.Wrap(err, "edge: listen for packets of hosts")
	}
	return l, nil
}

// Run serves until ctx ends, then drains.
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
	server, checker := e.front.Server(), &http.Server{Handler: http.HandlerFunc(e.check), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return e.front.Serve(server, l.callers) })
	group.Go(func() error { return serve(checker, l.checks) })
	group.Go(func() error { return e.feed.Serve(work, l.hosts) })
	group.Go(func() error { return e.tasks.Serve(work, l.tasks) })
	group.Go(func() error { return e.crew.Run(work, l.packets) })
	group.Go(func() error { return e.mirror.Run(work) })
	group.Go(func() error { return e.becomeReady(work) })
	group.Go(func() error { return e.warm(work) })
	group.Go(func() error { return e.probe(work) })
	group.Go(func() error { return e.closeIdle(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		e.drain(server, l.callers)
		stop()
		_ = checker.Close() // checks that run get no answer, which says the same
		return nil
	})
	err = group.Wait()
	e.log.Info("node: host stopped", "host", e.opts.Host)
	return err
}

// closeIdle closes callers' connections at the limit of the document in force.
func (e *Edge) closeIdle(ctx context.Context) error {
	ticker := time.NewTicker(idleCheck)
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

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "edge: serve")
	}
	return nil
}

// check answers a readiness check.
func (e *Edge) check(w http.ResponseWriter, _ *http.Request) {
	if e.ready.Load() && !e.leaving.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// drain stops taking callers and lets the requests end that run.
func (e *Edge) drain(server *http.Server, callers net.Listener) {
	begin := time.Now()
	e.leaving.Store(true)
	e.front.Leave()
	e.crew.Leave()
	e.log.Info("node: host leaves", "host", e.opts.Host)
	grace := time.Duration(e.grace.Load())
	wait := min(notReadyFor, grace/2)
	timer := time.NewTimer(wait)
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), grace-graceMargin-time.Since(begin))
	defer cancel()
	finish := time.AfterFunc(grace-graceMargin-answerTime-time.Since(begin), func() {
		e.log.Warn("node: requests that still run are given up")
		e.relay.Finish()
	})
	defer finish.Stop()
	if err := e.front.Shutdown(ctx, server, callers); err != nil {
		e.log.Warn("node: requests still run at the end of the drain", "cause", err)
		_ = server.Close() // cuts what still runs, as logged
	}
	if open := e.tasks.Drain(ctx); open > 0 {
		e.log.Warn("node: tasks of other hosts still run at the end of the drain", "tasks", open)
	}
}
