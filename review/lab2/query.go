package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["query"] = query }

const queryTries = 10

// query sends queries whose query string has a byte beyond ASCII, as old clients send text in
// Latin-1, and compares what the replicas run with what was sent.
func query(w *world, trouble bool) (bool, error) {
	if err := w.deployment([]string{zones[0], zones[0], zones[0], zones[0], zones[1], zones[1], zones[2]}, 4*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	uri := queryPrefix + "1f?q=b%FAsqueda"
	if trouble {
		uri = queryPrefix + "1f?q=b\xfasqueda"
	}
	changed := 0
	for i, h := range w.hosts {
		for n := range queryTries {
			id := fmt.Sprintf("query-%d-%d", i, n)
			status, err := sendRaw(h.front(), uri, id)
			w.mu.Lock()
			runs := w.runs[id]
			other := make(map[string]int)
			for _, r := range runs {
				if r.uri != uri {
					other[fmt.Sprintf("%q", r.uri)]++
				}
			}
			w.mu.Unlock()
			if n == 0 || len(other) > 0 {
				w.note("%s: sent %q as %s, answer %d, error %v; %d runs, of which with another URI: %v", h.name, uri, id, status, err, len(runs), other)
			}
			for _, n := range other {
				changed += n
			}
		}
	}
	w.note("%d runs with a query that nobody sent", changed)
	return changed > 0, nil
}

// sendRaw sends a GET request with the URI as it is.
func sendRaw(address, uri, id string) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 600\r\nConnection: close\r\n\r\n", uri, httpHost, id); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}
