package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// firstConfiguration checks how many processes end by themselves while the whole system
// starts and gets its first configuration, before any traffic.
func firstConfiguration(l *lab) (broken bool, err error) {
	const (
		hosts, shards   = 24, 87
		routes, queries = 1400, 700
		// The hosts start up to 0.3 s apart, and traffic starts 10 s later.
		configAt, trafficAt = 6 * time.Second, 10 * time.Second
		restartDelay        = 200 * time.Millisecond // at most
		limit               = 40 * time.Second
		minMachines         = 2 // and a tenth of the machines
		minEnds             = 3
	)
	if l.store, err = startStore(l.ip(1) + ":8102"); err != nil {
		return false, err
	}
	for i := range shards {
		r := &replica{
			id: fmt.Sprintf("i-%08x", i), service: shardName(i), zone: []string{"a", "b"}[i%2],
			address: fmt.Sprintf("%s:%d", l.ip(100), 9000+i), slots: 2, queue: 12, log: l.runs, record: l.rec,
			work: func() time.Duration { return 11 * time.Millisecond },
		}
		if err := r.start(); err != nil {
			return false, err
		}
		l.store.put(r.key(), r.entry("ready"))
	}
	config := largeConfig(routes, queries, shards)
	text, err := json.Marshal(config)
	if err != nil {
		return false, err
	}
	if len(text) > valueBytes {
		return false, fmt.Errorf("the configuration has %d bytes, at most %d are allowed", len(text), valueBytes)
	}
	if !l.trouble {
		l.store.put("op/config", config)
	}
	begin := time.Now()
	zones := []string{"a", "b"}
	for i := range hosts {
		c := hostConfig{
			program: l.program, dir: l.dir, zone: zones[i%2], zones: zones,
			seeds: []string{l.ip(10), l.ip(11), l.ip(12)}, store: l.store.address, graceS: 6, minRetries: 54,
		}
		h, err := newHost(fmt.Sprintf("edge-%s-%d", c.zone, i), l.ip(10+i), c)
		if err != nil {
			return false, err
		}
		l.hosts = append(l.hosts, h)
	}
	l.rec.printf("%d hosts are started", hosts)
	ends := make(map[string]int)
	total := 0
	for ready := false; !ready || time.Since(begin) < trafficAt; {
		if time.Since(begin) > limit {
			return false, fmt.Errorf("not all hosts are ready after %v", limit)
		}
		if l.trouble && time.Since(begin) >= configAt {
			l.trouble = false
			l.store.put("op/config", config)
			l.rec.printf("the store acknowledges the first configuration: %d routes, %d bytes", routes, len(text))
		}
		ready = true
		for _, h := range l.hosts {
			select {
			case <-h.exited:
			default:
				ready = ready && h.ready()
				continue
			}
			ends[h.name]++
			total++
			l.rec.printf("%s ended by itself: %v", h.name, h.cmd.ProcessState)
			if err := h.start(hostConfig{program: l.program, dir: l.dir}); err != nil {
				return false, err
			}
			l.rec.printf("%s is started again", h.name)
			ready = false
		}
		time.Sleep(restartDelay)
	}
	summary := fmt.Sprintf("%d of %d hosts ended by themselves, %d times in all", len(ends), hosts, total)
	l.rec.printf("%s; then all were ready", summary)
	fmt.Println(summary)
	return len(ends) >= max(minMachines, (hosts+9)/10) && total >= minEnds, nil
}

// valueBytes is the largest value that the store accepts.
const valueBytes = 1 << 20

// largeConfig returns a configuration with many routes. The first ones are queries over all
// shards, and the others name one shard each.
func largeConfig(routes, queries, shards int) map[string]any {
	var list, services []map[string]any
	gather := make([]string, shards)
	for i := range shards {
		gather[i] = shardName(i)
		services = append(services, map[string]any{
			"name": gather[i], "health_path": healthPath, "max_connections": 120, "protocol": "h1", "tls": false,
		})
	}
	for i := range routes {
		route := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": orderHost, "prefix": fmt.Sprintf("/p%d/", i), "type": "safe", "timeout_ms": 600,
			"target_latency_ms": 100, "priority": 1, "max_attempts": 2,
		}
		if i < queries {
			route["gather"], route["top_k"], route["min_shard_ratio"] = gather, 20, 0.95
		} else {
			route["backend"] = gather[i%shards]
		}
		list = append(list, route)
	}
	return map[string]any{
		"version": 7, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func shardName(i int) string { return fmt.Sprintf("hu%dq", i) }
