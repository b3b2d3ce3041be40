package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

// shiftedCallers checks BUDGET for a service whose replicas are shedding, while most of
// the callers of one zone move to the other one for some seconds.
func shiftedCallers(l *lab) (broken bool, err error) {
	const (
		hosts, replicas = 4, 5
		callers         = 76
		period          = 250 * time.Millisecond                // between two requests of a caller
		shedAt, shedFor = 15 * time.Second, 2 * 9 * time.Second // two spells, one after the other
		shedCount       = 4                                     // 0.8 of the replicas
		shedShare       = 0.6
		shiftAt         = 17 * time.Second
		shiftFor        = 2 * 6500 * time.Millisecond // two spells, one after the other
		shiftShare      = 0.892                       // two shifts of 0.672 at once: 1 - 0.328 * 0.328
		duration        = 27 * time.Second
		service         = "huvo11a"
	)
	if l.store, err = startStore(l.ip(1) + ":8102"); err != nil {
		return false, err
	}
	var begin time.Time // of the traffic; written before the callers start
	for i := range replicas {
		r := &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: []string{"a", "b"}[i%2],
			address: fmt.Sprintf("%s:8080", l.ip(100+i)), slots: 6, queue: 24, log: l.runs, record: l.rec,
		}
		r.work = func() time.Duration { return time.Duration(80+rand.IntN(20)) * time.Millisecond }
		if l.trouble && i < shedCount {
			r.sheds = func() bool {
				t := time.Since(begin)
				return t > shedAt && t < shedAt+shedFor && rand.Float64() < shedShare
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
			"name": "r-s4qmv29", "host": orderHost, "prefix": orderPrefix, "type": "safe", "timeout_ms": orderLimit.Milliseconds(),
			"target_latency_ms": 400, "priority": 2, "backend": service, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "health_path": healthPath, "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := l.startHosts(hosts); err != nil {
		return false, err
	}
	zoneA, zoneB := []*host{l.hosts[0], l.hosts[2]}, []*host{l.hosts[1], l.hosts[3]}
	begin = time.Now()
	var (
		mu    sync.Mutex
		sent  []time.Duration
		group sync.WaitGroup
	)
	for i := range callers {
		group.Go(func() {
			moves := l.trouble && float64(i) < shiftShare*callers
			home, away := &caller{host: zoneA[i%2].callers()}, &caller{host: zoneB[i%2].callers()}
			defer home.close()
			defer away.close()
			next := begin.Add(time.Duration(rand.Int64N(int64(period))))
			for n := 0; ; n++ {
				time.Sleep(time.Until(next))
				next = next.Add(period)
				t := time.Since(begin)
				if t > duration {
					return
				}
				c := home
				if moves && t > shiftAt && t < shiftAt+shiftFor {
					c = away
				}
				id := fmt.Sprintf("%04x%04x", i, n)
				a := c.send(http.MethodGet, orderHost, orderPrefix+id, id, orderLimit, nil)
				l.rec.printf("caller %d got status %d for %s from %s after %v (%v)", i, a.status, id, c.host, a.took.Round(time.Millisecond), a.err)
				mu.Lock()
				sent = append(sent, a.sent.Sub(begin))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	var extra []time.Duration
	runs := 0
	l.runs.mu.Lock()
	for _, at := range l.runs.arrivals {
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		for _, t := range at[1:] {
			extra = append(extra, t.Sub(begin))
		}
	}
	for _, r := range l.runs.runs {
		runs += len(r) - 1
	}
	l.runs.mu.Unlock()
	return l.checkBudget(sent, extra, runs), nil
}

// checkBudget checks BUDGET: in each window, the arrivals beyond the first of each request
// must not exceed the ratio of the requests plus the minimum.
func (l *lab) checkBudget(sent, extra []time.Duration, repeated int) (broken bool) {
	const (
		window  = 10 * time.Second
		ratio   = 0.2
		minimum = 54
		step    = 50 * time.Millisecond
	)
	count := func(at []time.Duration, from time.Duration) (n int) {
		for _, t := range at {
			if t >= from && t < from+window {
				n++
			}
		}
		return n
	}
	worst, where, atWorst, allowedAtWorst := 0.0, time.Duration(0), 0, 0.0
	for from := -window; from < 40*time.Second; from += step {
		requests := max(count(sent, from), count(sent, from-window), count(sent, from-window/2))
		allowed := ratio*float64(requests) + minimum
		n := count(extra, from)
		if over := float64(n) / allowed; over > worst {
			worst, where, atWorst, allowedAtWorst = over, from, n, allowed
		}
	}
	summary := fmt.Sprintf("%d requests, %d arrivals beyond the first (%d of them ran); worst window from %v: %d arrivals beyond the first, %.1f allowed",
		len(sent), len(extra), repeated, where, atWorst, allowedAtWorst)
	l.rec.printf("%s", summary)
	fmt.Println(summary)
	return float64(atWorst) > allowedAtWorst
}
