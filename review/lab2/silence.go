package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

const (
	recovery      = 12 * time.Second // recovery_s
	silenceAt     = 5 * time.Second  // after the machines are back
	measureTime   = 25 * time.Second
	queryInterval = 120 * time.Millisecond
	servedShare   = 0.25
)

// silence kills all processes, which start again, and then makes the open connections between
// the hosts silent. Later than recovery after the start, a quarter of the queries must be served.
func silence(w *world, trouble bool) (bool, error) {
	w.spreadPorts = true
	if err := w.deployment([]string{zones[0], zones[0], zones[0], zones[0], zones[0], zones[0], zones[0]}, 4*time.Millisecond); err != nil {
		return false, err
	}
	var proxies []*proxy
	for _, from := range w.hosts {
		for _, to := range w.hosts {
			if from == to {
				continue
			}
			p, err := newProxy(fmt.Sprintf("%s:%d", to.ip, from.ports[0]), fmt.Sprintf("%s:%d", to.ip, to.ports[0]))
			if err != nil {
				return false, err
			}
			defer p.close()
			proxies = append(proxies, p)
		}
	}
	time.Sleep(3 * time.Second)
	before := w.served("before", 8*time.Second)
	w.note("all processes are killed")
	for _, h := range w.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range w.hosts {
		h.stop(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		if err := h.run(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	w.served("starting", silenceAt)
	if trouble {
		n := 0
		for _, p := range proxies {
			n += p.silence()
		}
		w.note("%d open connections between hosts are silent from now on", n)
	}
	w.served("recovering", time.Until(back.Add(recovery)))
	after := w.served("after", measureTime)
	w.noteRuns()
	return before >= servedShare && after < servedShare, nil
}

// served sends queries to the hosts for a time as the platform forwards them, and returns the
// share that is served. A requester repeats a failed query once at another host, in the time
// that is left.
func (w *world) served(when string, d time.Duration) float64 {
	var mu sync.Mutex
	sent, ok := 0, 0
	first := make(map[int]int)
	var all sync.WaitGroup
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(queryInterval) {
		n++
		all.Go(func() {
			id := fmt.Sprintf("%s-%d", when, n)
			a := w.ask(w.hosts[n%len(w.hosts)].front(), http.MethodGet, queryPrefix+"1f", id, queryDeadline, "")
			status := a.status
			if left := queryDeadline - a.took; status != http.StatusOK && left > 20*time.Millisecond {
				a = w.ask(w.hosts[(n+1)%len(w.hosts)].front(), http.MethodGet, queryPrefix+"1f", id+"-again", left, "")
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			first[status]++
			if a.status == http.StatusOK {
				ok++
			}
		})
	}
	all.Wait()
	w.note("%s: %d queries, %d served; first attempts by status: %v", when, sent, ok, first)
	return float64(ok) / float64(sent)
}
