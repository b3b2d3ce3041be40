// Package soak runs hosts as separate processes and disturbs them while callers send
// requests. Loopback proxies delay, reset or cut off connections, in one direction or in
// both; signals pause, kill, stop and reload hosts, and hosts that ended are restarted; and
// the stores and backend servers misbehave. Package soak compares what callers and backend
// servers see with the promises of the product, and reports each broken promise. The seed
// determines all disturbances.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{
//		Program: "target/oriolebarrow", Kind: soak.Gateway, Seed: 1, Dir: dir, Slot: 1,
//	})
//	if err == nil && len(report.BrokenPromises) > 0 { ... }
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

// Kind names the interface that the hosts of a run serve.
type Kind string

// Kinds of runs.
const (
	Gateway Kind = "gateway" // the interface of the users' platform
	Serve   Kind = "serve"   // the product's own interface
)

const (
	defaultDuration = 8 * time.Second
	defaultHosts    = 3
	// startTimeout is how long all hosts may take to become ready. A starting gateway waits
	// at most 3 s for other hosts and replicas, but several runs share a machine.
	startTimeout = 15 * time.Second
	// recoveryTimeout is how long all hosts may take to become ready again after the last
	// disturbance.
	recoveryTimeout = startTimeout
	// recoveryPause gives connections and ejected replicas time to recover: a gateway probes
	// an ejected replica at least every 2 s.
	recoveryPause = 3 * time.Second
	// quietTime is the length of the undisturbed end of a run, in which no request may fail.
	quietTime = 2 * time.Second
	// stopTimeout is how long a host may take to end after SIGTERM or SIGKILL. It is longer
	// than the longest shutdown that the settings of a run allow, 6 s for a gateway.
	stopTimeout = 8 * time.Second
	callerCount = 6
	// maxListed limits the broken promises that a report lists; it counts all of them.
	maxListed = 20
)

// Options configures one run.
type Options struct {
	Program  string // path of the built program
	Kind     Kind
	Seed     uint64
	Duration time.Duration // of the disturbances; 0 means defaultDuration
	Hosts    int           // 0 means defaultHosts
	Dir      string        // for settings and logs; created if missing
	Slot     int           // 1 to 200; simultaneous runs need different slots
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

// ip returns the n-th loopback address of this run.
func (o Options) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 20+o.Slot, os.Getpid()%250, n) }

// Report is the result of one run.
type Report struct {
	mu             sync.Mutex
	Requests       map[string]int // by outcome
	Plan           []string       // the disturbances, in the order of their creation
	BrokenPromises []string       // at most maxListed
	BrokenCount    int            // number of all broken promises
}

func (r *Report) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.BrokenCount++
	if len(r.BrokenPromises) < maxListed {
		r.BrokenPromises = append(r.BrokenPromises, fmt.Sprintf(format, args...))
	}
}

func (r *Report) outcome(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Requests[name]++
}

// environment is everything that the hosts of a run depend on.
type environment interface {
	hosts() []*process
	// ready reports whether the i-th host is ready.
	ready(i int) bool
	// targets returns what can be disturbed besides the processes of the hosts.
	targets() []target
	// clearFaults ends all faults that disturbances have set.
	clearFaults()
	// sendRequest sends one request of a caller and checks its answer.
	sendRequest(ctx context.Context, caller *caller)
	// checkFinal checks what is known only after all hosts have stopped.
	checkFinal()
	close()
}

// target is a part of the environment into which one of several faults can be injected.
type target struct {
	name   string
	faults []string
	host   *process // disturbed by the faults; may be nil
	set    func(fault string)
	clear  func()
}

// caller sends one request after the other and has its own source of random numbers.
type caller struct {
	id  int
	rng *rand.Rand
	n   int // number of the current request, from 1
	// strict is set in the undisturbed end of a run, in which every failure breaks a promise.
	strict bool
}

// Run runs one seed. It returns an error if the run could not be carried out; broken
// promises are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	r := &Report{Requests: make(map[string]int)}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "soak: create directory")
	}
	env, err := newEnvironment(o, r)
	if err != nil {
		return nil, err
	}
	defer env.close()
	defer stopAll(env)
	for _, p := range env.hosts() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if !awaitReady(ctx, env, startTimeout) {
		r.fail("start: not all hosts are ready after %v", startTimeout)
		return r, nil
	}
	sendLoad(ctx, env, o, 0, false, func(ctx context.Context) { disturb(ctx, env, o, r) })
	env.clearFaults()
	for _, p := range env.hosts() {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	if !awaitReady(ctx, env, recoveryTimeout) {
		r.fail("recovery: not all hosts are ready %v after the last disturbance", recoveryTimeout)
	} else {
		pause(ctx, recoveryPause)
		sendLoad(ctx, env, o, 1, true, func(ctx context.Context) { pause(ctx, quietTime) })
	}
	stopAll(env)
	env.checkFinal()
	for _, p := range env.hosts() {
		for _, failure := range p.exitFailures() {
			r.fail("%s", failure)
		}
	}
	return r, ctx.Err()
}

func newEnvironment(o Options, r *Report) (environment, error) {
	switch o.Kind {
	case Gateway:
		return newGateway(o, r)
	case Serve:
		return newServe(o, r)
	default:
		return nil, errors.Errorf("soak: kind %q, want %s or %s", o.Kind, Gateway, Serve)
	}
}

// errHostNotReady is the error of a connection that the modelled load balancer does not open
// because the host is not ready.
var errHostNotReady = errors.New("soak: host is not ready")

// newTransport returns the transport of the callers, which models a load balancer. It opens
// connections only to hosts that are ready, or that are disturbed, which the balancer would
// not have noticed yet. Open connections are used until the host closes them.
func newTransport(env environment, hosts func() []string) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 2 * callerCount, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			i := slices.Index(hosts(), address)
			now := time.Now()
			if i < 0 || !env.hosts()[i].disturbed(now, now) && !env.ready(i) {
				return nil, errHostNotReady
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	}
}

// addresses returns the addresses on which proxies listen.
func addresses(proxies []*proxy) []string {
	out := make([]string, len(proxies))
	for i, p := range proxies {
		out[i] = p.listener.Addr().String()
	}
	return out
}

// sendLoad sends the requests of callerCount callers until during returns. Each phase of a
// run has its own caller IDs and random numbers.
func sendLoad(ctx context.Context, env environment, o Options, phase uint64, strict bool, during func(context.Context)) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range callerCount {
		c := &caller{id: i + int(phase)*callerCount, rng: rand.New(rand.NewPCG(o.Seed, 100*phase+uint64(i)+1)), strict: strict}
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-ctx.Done():
					return
				default:
				}
				c.n++
				env.sendRequest(ctx, c)
			}
		})
	}
	during(ctx)
	close(stop)
	running.Wait()
}

func awaitReady(ctx context.Context, env environment, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for i := range env.hosts() {
		for !env.ready(i) {
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return true
}

func stopAll(env environment) {
	for _, p := range env.hosts() {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range env.hosts() {
		if !p.awaitExit(stopTimeout) {
			p.signal(syscall.SIGKILL)
			p.awaitExit(stopTimeout)
		}
	}
}

// answersOK reports whether a GET of url is answered with status 200.
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

// seedDir returns the directory for the settings and logs of one seed.
func seedDir(dir string, k Kind, seed uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s-%d", k, seed))
}
