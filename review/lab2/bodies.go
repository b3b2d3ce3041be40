package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oriolebarrow/core"
)

func init() { cases["bodies"] = bodies }

const (
	shards        = 45
	memoryMB      = 284
	maxBodyBytes  = 256 << 10
	queryPrefix   = "/ziti980/"
	orderPrefix   = "/timi402/"
	queryDeadline = 600 * time.Millisecond
)

var zones = []string{"gt-central-mixco", "gt-central-villa", "gt-central-amatitlan"}

// deployment publishes a configuration with one gather route and one unsafe route, and starts
// its replicas, two for each shard in the first two zones, and hosts in the given zones.
func (w *world) deployment(hostZones []string, work time.Duration) error {
	doc := core.Routing{Limits: core.CallerLimits{
		HeaderBytes: 16 << 10, BodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	var gather []core.ServiceName
	for i := range shards {
		s := fmt.Sprintf("bascula-%02d", i)
		gather = append(gather, core.ServiceName(s))
		doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: core.ServiceName(s), HealthPath: healthPath, Connections: 26})
		for z := range 2 {
			if _, err := w.addReplica(2*i+z, s, zones[z], 2, work); err != nil {
				return err
			}
		}
	}
	doc.Upstreams = append(doc.Upstreams, core.Upstream{Name: "portal", HealthPath: healthPath, Connections: 100})
	for z := range 3 {
		if _, err := w.addReplica(2*shards+z, "portal", zones[z], 6, work); err != nil {
			return err
		}
	}
	doc.Routes = []core.Route{
		{Name: "lote-cruce", Host: httpHost, Prefix: queryPrefix, Idempotent: true, Timeout: 2 * time.Second, Target: 100 * time.Millisecond, Priority: 1, Attempts: 2, Gather: gather, TopK: 20, MinRatio: 0.89},
		{Name: "liquidacion", Host: httpHost, Prefix: orderPrefix, Timeout: 2 * time.Second, Target: 400 * time.Millisecond, Priority: 2, Attempts: 2, Split: []core.Share{{Service: "portal", Weight: 1}}},
	}
	w.doc = doc
	w.publishRoutes(7)
	for i, z := range hostZones {
		if _, err := w.addHost(i+1, z, zones, []int{1, 2, 3}, memoryMB); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// publishRoutes publishes a version of the configuration with more routes.
func (w *world) publishRoutes(version uint64, more ...core.Route) {
	w.doc.Version = version
	w.doc.Routes = append(w.doc.Routes, more...)
	w.store.PutRouting(w.doc)
}

// A crowd of clients keeps sending for crowdTime to the hosts of the third zone.
const (
	crowdTime    = 70 * time.Second
	crowdClients = 400
	crowdPause   = 2 * time.Second
	// Ordinary queries go to each host all the while.
	ordinaryPause = 50 * time.Millisecond
	restartDelay  = time.Second
	// The rule allows fewer ends of processes than endsPerHost, or on fewer hosts than endedHosts.
	endsPerHost = 3
	endedHosts  = 2
)

// bodies lets a crowd of clients send many large bodies of legal size at once. As the platform
// does, it kills a process that exceeds the memory of its machine, and starts it again. It
// counts the ends.
func bodies(w *world, trouble bool) (bool, error) {
	hostZones := []string{zones[0], zones[0], zones[0], zones[0], zones[0], zones[1]}
	if err := w.deployment(hostZones, 11*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	w.askAll("before")
	stop := make(chan struct{})
	var all sync.WaitGroup
	watches := make([]*watch, len(w.hosts))
	for i, h := range w.hosts {
		watches[i] = &watch{host: h}
		all.Go(func() { watches[i].run(stop) })
	}
	if trouble {
		path := queryPrefix
		if os.Getenv("LAB2_ROUTE") == "single" {
			path = orderPrefix // for comparison
		}
		for i, h := range w.hosts[:5] {
			all.Go(func() {
				time.Sleep(time.Duration(i) * crowdPause / 4)
				w.crowd(h, path, stop)
			})
		}
	}
	for i, h := range w.hosts {
		all.Go(func() { w.ordinary(h, i, stop) })
	}
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !broken(watches); {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	all.Wait()
	time.Sleep(5 * time.Second)
	w.askAll("after")
	for _, a := range watches {
		w.note("%s: largest memory %d MB of %d MB, killed %d times", a.host.name, a.peak, a.host.memoryMB, a.ends.Load())
	}
	w.noteRuns()
	return broken(watches), nil
}

// ordinary sends ordinary queries to one host until stop is closed.
func (w *world) ordinary(h *host, number int, stop <-chan struct{}) {
	answers := make(map[int]int)
	for i := 0; ; i++ {
		select {
		case <-stop:
			w.note("%s: answers to ordinary queries by status, 0 for none: %v", h.name, answers)
			return
		case <-time.After(ordinaryPause):
			a := w.ask(h.front(), http.MethodGet, queryPrefix+"1f", fmt.Sprint("ordinary-", number, "-", i), queryDeadline, "")
			answers[a.status]++
		}
	}
}

// askAll sends an ordinary query to each host and notes the answers.
func (w *world) askAll(when string) {
	for i, h := range w.hosts {
		a := w.ask(h.front(), http.MethodGet, queryPrefix+"1f", fmt.Sprint(when, "-", i), queryDeadline, "")
		w.note("%s: ordinary query: %v, memory %d MB", h.name, a, h.memory("VmRSS"))
	}
}

// watch enforces the memory of one machine.
type watch struct {
	host *host
	peak int
	ends atomic.Int64
}

func broken(watches []*watch) bool {
	hosts := 0
	for _, a := range watches {
		if a.ends.Load() >= endsPerHost {
			hosts++
		}
	}
	return hosts >= endedHosts
}

// run kills the process when its memory exceeds that of the machine, and starts it again.
func (a *watch) run(stop <-chan struct{}) {
	h := a.host
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		rss := h.memory("VmRSS")
		a.peak = max(a.peak, rss)
		if rss <= h.memoryMB && h.alive() {
			continue
		}
		h.w.note("%s: memory %d MB of %d MB; the process ends", h.name, rss, h.memoryMB)
		a.ends.Add(1)
		h.stop(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := h.run(); err != nil {
			h.w.note("%s: %v", h.name, err)
			return
		}
	}
}

// crowd lets many clients send bodies of legal size to one host at the same time, again and
// again until stop is closed.
func (w *world) crowd(h *host, path string, stop <-chan struct{}) {
	var mu sync.Mutex
	answers := make(map[string]int)
	for wave := 0; ; wave++ {
		select {
		case <-stop:
			w.note("%s: answers to the crowd after %d waves: %v", h.name, wave, answers)
			return
		default:
		}
		var conns []net.Conn
		for range crowdClients {
			if c, err := net.DialTimeout("tcp", h.front(), time.Second); err == nil {
				conns = append(conns, c)
			}
		}
		var all sync.WaitGroup
		for i, c := range conns {
			all.Go(func() {
				result := sendBody(c, path, fmt.Sprintf("%s-%d-%d", h.name, wave, i))
				mu.Lock()
				defer mu.Unlock()
				answers[result]++
			})
		}
		all.Wait()
		select {
		case <-stop:
		case <-time.After(crowdPause):
		}
	}
}

var largestBody = strings.Repeat("x", maxBodyBytes)

// sendBody sends a request with the largest legal body and returns the status of the answer.
func sendBody(c net.Conn, path, id string) string {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	request := fmt.Sprintf("POST %s3f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", path, httpHost, id, len(largestBody))
	if _, err := io.WriteString(c, request+largestBody); err != nil {
		return "closed while sending"
	}
	b := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, b); err != nil {
		return "no answer"
	}
	return string(b[len("HTTP/1.1 "):])
}
