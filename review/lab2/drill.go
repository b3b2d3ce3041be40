package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"oriolebarrow/platform/fake"
)

func init() { cases["drill"] = drill }

const drainTime = 3 * time.Second // drain_ms

// drill lets a server leave whose entry is removed, and then lets the store return from a copy in
// which the entry is still there, and forget its history.
func drill(w *world, trouble bool) (bool, error) {
	if err := w.deployment([]string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}, 4*time.Millisecond); err != nil {
		return false, err
	}
	x := w.replicas[len(w.replicas)-3]
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	hostOf := make(map[string]int)
	leavingAt := make(map[int]time.Time)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, h := range w.hosts {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("order-%d-%d", i, n)
				mu.Lock()
				sentAt[id], hostOf[id] = time.Now(), i
				mu.Unlock()
				a := w.ask(h.front(), http.MethodPost, orderPrefix+"1f", id, queryDeadline, "x")
				if a.status == http.StatusOK && a.header.Get("Server-Leaving") == "1" {
					mu.Lock()
					if leavingAt[i].IsZero() {
						leavingAt[i] = time.Now()
						w.note("%s has passed on an answer with Server-Leaving", h.name)
					}
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	before := w.store.Revision()
	x.mu.Lock()
	x.headers = map[string]string{"Server-Leaving": "1"}
	x.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	w.store.RemoveInstance(x.in.ID)
	w.note("the entry of %s is removed", x.in.ID)
	time.Sleep(4 * time.Second)
	if trouble {
		w.store.ReturnFrom(before)
		w.note("the store has returned from an older copy, in the next era")
		if os.Getenv("LAB2_RETURN_ONLY") == "" { // for comparison
			time.Sleep(700 * time.Millisecond)
			w.store.SetMode(fake.Compacted)
			w.note("the store has discarded its history")
			time.Sleep(300 * time.Millisecond)
			w.store.SetMode(fake.Up)
		}
		time.Sleep(time.Second)
		w.store.RemoveInstance(x.in.ID)
		w.note("the entry of %s is removed again", x.in.ID)
	}
	time.Sleep(time.Second)
	close(stop)
	all.Wait()
	late := make(map[string]int)
	n := 0
	w.mu.Lock()
	for id, runs := range w.runs {
		for _, r := range runs {
			at := leavingAt[hostOf[id]]
			if r.replica == x.in.ID && !at.IsZero() && sentAt[id].Sub(at) > drainTime {
				late[w.hosts[hostOf[id]].name]++
				n++
			}
		}
	}
	w.mu.Unlock()
	w.note("%d requests reached %s later than %v after the machine had passed on an answer with Server-Leaving: %v", n, x.in.ID, drainTime, late)
	w.noteRuns()
	return n > 0, nil
}
