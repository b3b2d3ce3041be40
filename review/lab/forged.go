package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// forgedEntries checks ROUTE while the store also holds entries from another writer, which
// lack fields or have fields of another type. They name servers of a service that no
// configuration names.
func forgedEntries(l *lab) (broken bool, err error) {
	const (
		hosts, replicas = 3, 3
		callers         = 12
		duration        = 12 * time.Second
		troubleAt       = 3 * time.Second
		service         = "huvo11a"
		foreignService  = "kapi07z" // in no configuration
	)
	if l.store, err = startStore(l.ip(1) + ":8102"); err != nil {
		return false, err
	}
	newReplica := func(n int, service string) *replica {
		return &replica{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: []string{"a", "b"}[n%2],
			address: fmt.Sprintf("%s:8080", l.ip(100+n)), slots: 6, queue: 4, log: l.runs, record: l.rec,
			work: func() time.Duration { return time.Duration(45+rand.IntN(90)) * time.Millisecond },
		}
	}
	for i := range replicas {
		r := newReplica(i, service)
		if err := r.start(); err != nil {
			return false, err
		}
		l.store.put(r.key(), r.entry("ready"))
	}
	l.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-s4qmv29", "host": orderHost, "prefix": orderPrefix, "type": "unsafe", "timeout_ms": orderLimit.Milliseconds(),
			"target_latency_ms": 400, "priority": 2, "backend": service, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "health_path": healthPath, "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	// The entries of the other writer: what it changes in an entry that is otherwise whole.
	forgeries := []struct {
		what  string
		forge func(entry map[string]any)
	}{
		{"concurrency_limit, sequence, version and warmup_left_ms are missing", func(e map[string]any) {
			for _, field := range []string{"concurrency_limit", "sequence", "version", "warmup_left_ms"} {
				delete(e, field)
			}
		}},
		{"sequence is missing", func(e map[string]any) { delete(e, "sequence") }},
		{"sequence is a text", func(e map[string]any) { e["sequence"] = "one" }},
		{"version is a number", func(e map[string]any) { e["version"] = 1 }},
	}
	foreign := make(map[string]string) // what is wrong with the entry, by the id of the server
	var servers []*replica
	for i, f := range forgeries {
		r := newReplica(replicas+i, foreignService)
		if err := r.start(); err != nil {
			return false, err
		}
		foreign[r.id] = f.what
		servers = append(servers, r)
	}
	if err := l.startHosts(hosts); err != nil {
		return false, err
	}
	begin := time.Now()
	var (
		mu      sync.Mutex
		answers []answer
		group   sync.WaitGroup
	)
	if l.trouble {
		group.Go(func() {
			time.Sleep(troubleAt)
			for i, f := range forgeries {
				entry := servers[i].entry("ready")
				entry["backend"] = service
				f.forge(entry)
				l.store.put(servers[i].key(), entry)
				l.rec.printf("another writer writes %s: %v (%s)", servers[i].key(), entry, f.what)
			}
		})
	}
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
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	byForgery := make(map[string]int)
	misrouted := 0
	for _, a := range answers {
		for _, r := range l.runs.of(a.id) {
			if what, ok := foreign[r.replica]; ok {
				misrouted++
				byForgery[what]++
				l.rec.printf("ROUTE: %s was run by service %s, which no configuration names, and answered %d; entry: %s", a.id, r.service, a.status, what)
			}
		}
	}
	for what, n := range byForgery {
		fmt.Printf("%d requests run where %s\n", n, what)
	}
	summary := fmt.Sprintf("%d requests, %d of them run by another service", len(answers), misrouted)
	l.rec.printf("%s", summary)
	fmt.Println(summary)
	return misrouted > 0, nil
}
