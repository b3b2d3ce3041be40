// Command lab2 runs one case of the review: it starts gateway hosts as processes, with
// stand-ins of the store, the replicas and the clients, and checks one rule.
//
// # Usage
//
//	lab2 CASE RECORD TROUBLE
//
// TROUBLE is 1, or 0 to leave out the disruption. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil || args[2] != "0" && args[2] != "1" {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD TROUBLE, which is 0 or 1")
		return exitNotRun
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := args[2] == "1"
	w.note("case %s, disruption %v", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.note("not run: %v", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
