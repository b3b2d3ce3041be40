// Command lab runs the cases of the review. It starts hosts with the command of the
// deploy file, and stand-ins of the platform's store, of replicas and of callers, and
// checks one rule from what these see.
//
// # Usage
//
//	lab -case duplicate -record review/1/record.txt
package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2 // the case could not run
)

const healthPath = "/healthz"

// record is the protocol of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// lab is the environment of a case.
type lab struct {
	trouble bool
	program string
	dir     string // temporary folder
	net     int    // second and third byte of the loopback addresses
	rec     *record
	runs    *runLog
	store   *store
	hosts   []*host
}

// ip returns a loopback address that no other run uses.
func (l *lab) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 1+l.net/250, 1+l.net%250, n) }

func main() { os.Exit(runMain()) }

func runMain() int {
	name := flag.String("case", "", "case to run")
	path := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/oriolebarrow", "program under test")
	keep := flag.Bool("keep", false, "keep the logs of the hosts")
	flag.Parse()
	cases := map[string]func(*lab) (broken bool, err error){
		"duplicate":   duplicateRejections,
		"forged":      forgedEntries,
		"firstconfig": firstConfiguration,
		"shifted":     shiftedCallers,
	}
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "lab: unknown case %q\n", *name)
		return exitNotRun
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	rec := &record{out: bufio.NewWriter(file), start: time.Now()}
	defer func() { _ = rec.out.Flush() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		return exitNotRun
	}
	if *keep {
		fmt.Fprintln(os.Stderr, "lab: logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	abs, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintf(os.Stderr, "lab: %v\n", err)
		return exitNotRun
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", program: abs, dir: dir, net: rand.IntN(250 * 250), rec: rec, runs: newRunLog()}
	defer func() {
		for _, h := range l.hosts {
			h.kill()
		}
	}()
	broken, err := c(l)
	switch {
	case err != nil:
		fmt.Fprintf(os.Stderr, "lab: the case could not run: %v\n", err)
		rec.printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken; see", *path)
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// startHosts starts hosts in two data centres and waits until all are ready.
func (l *lab) startHosts(n int) error {
	zones := []string{"a", "b"}
	seeds := []string{l.ip(10), l.ip(11), l.ip(12)}
	for i := range n {
		c := hostConfig{
			program: l.program, dir: l.dir, zone: zones[i%2], zones: zones, seeds: seeds[:min(n, len(seeds))],
			store: l.store.address, graceS: 6, minRetries: 54,
		}
		h, err := newHost(fmt.Sprintf("edge-%s-%d", c.zone, i), l.ip(10+i), c)
		if err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
	}
	return l.awaitReady(25 * time.Second)
}

// awaitReady waits until all hosts are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range l.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// promisesNotRun reports whether a status promises that the request has not run and never
// will.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
