// Package soak runs hosts of the product as processes of their own and disturbs them
// from outside while callers use them: connections are delayed, reset, cut one way or
// silenced by loopback proxies; processes are stopped, paused, killed and restarted by
// signals; stores and backend servers misbehave. It checks what callers and backend
// servers see. The seed decides on all disturbances.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Program: "target/oriolebarrow", Kind: soak.Gateway, Seed: 1})
//	if len(report.Broken) > 0 { ... }
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Kind names the interface that a run speaks.
type Kind string

// Kinds of runs.
const (
	Gateway Kind = "gateway" // the users' platform
	Serve   Kind = "serve"   // the product's own
)

const (
	defaultDuration = 8 * time.Second
	defaultHosts    = 3
	// startBound is how long all hosts may take to be ready: the longest wait of a
	// starting host is 3 s, and several runs share a machine.
	startBound = 15 * time.Second
	// healBound is how long after the last disturbance all hosts are ready again: as
	// long as after a start.
	healBound = startBound
	// healPause lets connections and learnt state recover: probes of ejected replicas
	// are 2 s apart at most.
	healPause = 3 * time.Second
	// calmTime is the undisturbed end, in which no request may fail.
	calmTime = 2 * time.Second
	// stopBound is the longest shutdown that the settings allow.
	stopBound = 8 * time.Second
	callers   = 6
	// maxBroken bounds the report; all are counted.
	maxBroken = 20
)

// Options configure one run.
type Options struct {
	Program  string // the built program
	Kind     Kind
	Seed     uint64
	Duration time.Duration // of the disturbances; 0 for the default
	Hosts    int           // 0 for the default
	Dir      string        // for settings and logs
	Slot     int           // 1 to 200; runs at the same time need different ones
}

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Hosts <= 0 {
		o.Hosts = defaultHosts
	}
	return o
}

// ip returns a loopback address of this run.
func (o Options) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 20+o.Slot, os.Getpid()%250, n) }

// Report is the result of one run.
type Report struct {
	mu       sync.Mutex
	Requests map[string]int // by outcome
	Plan     []string       // the disturbances in order
	Broken   []string       // promises, at most maxBroken
	Count    int            // of broken promises
}

func (r *Report) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Count++
	if len(r.Broken) < maxBroken {
		r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
	}
}

func (r *Report) outcome(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests[name]++
}

// world is what surrounds the hosts.
type world interface {
	// hosts returns the processes; ready tells whether one is.
	hosts() []*process
	ready(i int) bool
	// targets returns what can be disturbed besides processes.
	targets() []target
	// calm ends what disturbances may have left behind.
	calm()
	// request sends one request of a caller and checks its answer.
	request(ctx context.Context, caller *caller)
	// final checks what can be told only at the end.
	final()
	close()
}

// target is something that can be disturbed in several ways.
type target struct {
	name     string
	troubles []string
	host     *process // that cannot answer as it should meanwhile; may be nil
	set      func(trouble string)
	clear    func()
}

// caller sends requests one after the other.
type caller struct {
	id  int
	rng *rand.Rand
	n   int
	// strict is set at the calm end: every failure breaks a promise.
	strict bool
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	r := &Report{Requests: make(map[string]int)}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "soak: directory")
	}
	w, err := newWorld(o, r)
	if err != nil {
		return nil, err
	}
	defer w.close()
	defer stopAll(w)
	for _, p := range w.hosts() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if !awaitReady(ctx, w, startBound) {
		r.broke("start: not all hosts are ready after %v", startBound)
		return r, nil
	}
	drive(ctx, w, o, 0, false, func(ctx context.Context) { disturb(ctx, w, o, r) })
	w.calm()
	for _, p := range w.hosts() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if !awaitReady(ctx, w, healBound) {
		r.broke("recovery: not all hosts are ready %v after the last disturbance", healBound)
	} else {
		pause(ctx, healPause)
		drive(ctx, w, o, 1, true, func(ctx context.Context) { pause(ctx, calmTime) })
	}
	stopAll(w)
	w.final()
	for _, p := range w.hosts() {
		for _, fault := range p.takeFaults() {
			r.broke("%s", fault)
		}
	}
	return r, ctx.Err()
}

func newWorld(o Options, r *Report) (world, error) {
	switch o.Kind {
	case Gateway:
		return newGateway(o, r)
	case Serve:
		return newServe(o, r)
	default:
		return nil, errors.Errorf("soak: kind %q, want %s or %s", o.Kind, Gateway, Serve)
	}
}

// errNoHost is the error of a caller whom the load balancer gives no connection.
var errNoHost = errors.New("soak: host is not ready")

// newTransport returns the connections of the callers. As behind a load balancer, new
// ones go to hosts that are ready, or disturbed without the balancer's knowledge; open
// ones are used until the host closes them.
func newTransport(w world, hosts func() []string) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 2 * callers, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			i := slices.Index(hosts(), address)
			now := time.Now()
			if i < 0 || !w.hosts()[i].disturbed(now, now) && !w.ready(i) {
				return nil, errNoHost
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}
}

// addresses returns where proxies listen.
func addresses(proxies []*proxy) []string {
	out := make([]string, len(proxies))
	for i, p := range proxies {
		out[i] = p.listener.Addr().String()
	}
	return out
}

// drive has callers send requests while something else goes on.
func drive(ctx context.Context, w world, o Options, phase uint64, strict bool, meanwhile func(context.Context)) {
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range callers {
		c := &caller{id: i + int(phase)*callers, rng: rand.New(rand.NewPCG(o.Seed, 100*phase+uint64(i)+1)), strict: strict}
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-ctx.Done():
					return
				default:
				}
				c.n++
				w.request(ctx, c)
			}
		})
	}
	meanwhile(ctx)
	close(stop)
	work.Wait()
}

func awaitReady(ctx context.Context, w world, bound time.Duration) bool {
	end := time.Now().Add(bound)
	for i := range w.hosts() {
		for !w.ready(i) {
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return true
}

func stopAll(w world) {
	for _, p := range w.hosts() {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range w.hosts() {
		if !p.ended(stopBound) {
			p.signal(syscall.SIGKILL)
			p.ended(stopBound)
		}
	}
}

// answersOK reports whether a readiness check is answered with 200.
func answersOK(url string) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// dirFor returns the directory of one seed's logs.
func dirFor(dir string, k Kind, seed uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s-%d", k, seed))
}
