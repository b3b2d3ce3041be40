package main

import (
	"fmt"
	"net/http"
	"time"

	"oriolebarrow/core"
)

func init() { cases["stray"] = stray }

const (
	configApply = 3 * time.Second
	strayTime   = 3 * time.Second
	strayPause  = 60 * time.Millisecond
	newPrefix   = "/bapu561/"
	newQueries  = 5
)

// stray lets another writer write an entry without an ID for a while. Meanwhile the operator
// adds a route. Later than configApply after that, each host must serve the route.
func stray(w *world, trouble bool) (bool, error) {
	if err := w.deployment([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, 4*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	written := make(chan int, 1)
	go func() {
		n := 0
		for ; trouble; n++ {
			w.store.PutRaw("servers/", fmt.Sprintf("written by another program, %d", n))
			select {
			case <-stop:
				written <- n + 1
				return
			case <-time.After(strayPause):
			}
		}
		written <- n
	}()
	time.Sleep(strayTime/2 + strayPause)
	w.publishRoutes(8, core.Route{Name: "boleta-reciente", Host: httpHost, Prefix: newPrefix, Idempotent: true, Timeout: 2 * time.Second, Target: 400 * time.Millisecond, Attempts: 2, Split: []core.Share{{Service: "portal", Weight: 1}}})
	w.note("the store has accepted version 8 with the route %s", newPrefix)
	time.Sleep(strayTime / 2)
	close(stop)
	w.note("another writer has written the key servers/ %d times", <-written)
	time.Sleep(configApply)
	late := 0
	for i, h := range w.hosts {
		statuses := make(map[int]int)
		for n := range newQueries {
			a := w.ask(h.front(), http.MethodGet, newPrefix+"1f", fmt.Sprintf("new-%d-%d", i, n), queryDeadline, "")
			statuses[a.status]++
		}
		old := w.ask(h.front(), http.MethodGet, queryPrefix+"1f", fmt.Sprint("old-", i), queryDeadline, "")
		w.note("%s: ready %v; answers on the new route: %v; on the old one: %v", h.name, h.ready(), statuses, old)
		late += statuses[http.StatusNotFound]
	}
	w.note("%d requests were refused with 404 though the route is there", late)
	w.noteRuns()
	return late > 0, nil
}
