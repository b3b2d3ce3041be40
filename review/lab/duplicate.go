package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	orderHost   = "pupu76.example"
	orderPrefix = "/timi402/"
	orderLimit  = 2000 * time.Millisecond
)

// duplicateRejections checks TWICE and REFUSED for requests that may run once, while
// replicas send some of their answers twice. Callers keep the replicas busy, so that
// these reject requests that don't fit into their queues.
func duplicateRejections(l *lab) (broken bool, err error) {
	const (
		hosts, replicas          = 4, 4
		callers                  = 34
		troubleBegin             = 2 * time.Second
		troubleFor, troubleEvery = 5 * time.Second, 8 * time.Second
		duration                 = 40 * time.Second
		share, perAnswer         = 0.5, 0.04 // of the replicas; of their answers
		settle                   = 4 * time.Second
		meanWorkMS, spread       = 20, 0.5
	)
	if l.store, err = startStore(l.ip(1) + ":8102"); err != nil {
		return false, err
	}
	var begin time.Time // of the traffic; written before the callers start
	for i := range replicas {
		r := &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "huvo11a", zone: []string{"a", "b"}[i%2],
			address: fmt.Sprintf("%s:8080", l.ip(100+i)), slots: 6, queue: 2, log: l.runs, record: l.rec,
			work: func() time.Duration {
				return time.Duration(meanWorkMS*(1-spread+2*spread*rand.Float64())) * time.Millisecond
			},
		}
		if l.trouble && float64(i+1) <= share*replicas {
			r.duplicate = func() bool {
				t := time.Since(begin)
				return t > troubleBegin && (t-troubleBegin)%troubleEvery < troubleFor && rand.Float64() < perAnswer
			}
		}
		if err := r.start(); err != nil {
			return false, err
		}
		l.store.put(r.key(), r.entry("ready"))
	}
	l.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-s4qmv29", "host": orderHost, "prefix": orderPrefix, "type": "unsafe", "timeout_ms": orderLimit.Milliseconds(),
			"target_latency_ms": 400, "priority": 2, "backend": "huvo11a", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "huvo11a", "health_path": healthPath, "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := l.startHosts(hosts); err != nil {
		return false, err
	}
	begin = time.Now()
	var (
		mu      sync.Mutex
		answers []answer
		group   sync.WaitGroup
	)
	for i := range callers {
		group.Go(func() {
			c := &caller{host: l.hosts[i%hosts].callers()}
			defer c.close()
			for n := 0; time.Since(begin) < duration; n++ {
				id := fmt.Sprintf("%04x%04x", i, n)
				a := c.send(http.MethodPost, orderHost, orderPrefix+id, id, orderLimit, []byte("order "+id))
				l.rec.printf("caller %d got status %d for %s after %v (%v)", i, a.status, id, a.took.Round(time.Millisecond), a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if promisesNotRun(a.status) {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	time.Sleep(settle)
	return l.checkOrders(answers), nil
}

// checkOrders checks TWICE and REFUSED.
func (l *lab) checkOrders(answers []answer) (broken bool) {
	byStatus := make(map[int]int)
	twice, refused := 0, 0
	for _, a := range answers {
		byStatus[a.status]++
		runs := l.runs.of(a.id)
		if len(runs) > 1 {
			twice++
			l.rec.printf("TWICE: %s ran %d times, answered %d: %v", a.id, len(runs), a.status, runs)
		}
		if len(runs) > 0 && promisesNotRun(a.status) {
			refused++
			l.rec.printf("REFUSED: %s was answered %d and ran: %v", a.id, a.status, runs)
		}
	}
	summary := fmt.Sprintf("requests by status %v; TWICE %d, REFUSED %d", byStatus, twice, refused)
	l.rec.printf("%s", summary)
	fmt.Println(summary)
	return twice+refused > 0
}
