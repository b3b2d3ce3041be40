package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// signalHandlerDelay is how long after its start a process may take to install its signal
// handlers. Without a handler, SIGHUP and SIGTERM end it.
const signalHandlerDelay = 200 * time.Millisecond

// process runs one host as a separate process, which can be started again after it has
// ended. All of its runs append to one log file.
type process struct {
	name    string
	command func() *exec.Cmd
	log     *os.File

	mu            sync.Mutex
	cmd           *exec.Cmd
	started       time.Time
	exited        chan struct{}
	stopping      bool // the soak has sent SIGTERM or SIGKILL
	stopRequested time.Time
	killed        bool // by SIGKILL
	disturbances  []span
	failures      []string
}

// span is a period in which a disturbance may keep a host from answering.
type span struct {
	begin, end time.Time // end is zero while the disturbance lasts
	paused     bool      // by SIGSTOP
}

func newProcess(dir, name string, command func() *exec.Cmd) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: create log")
	}
	return &process{name: name, command: command, log: log}, nil
}

// start starts the process unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "soak: start %s", p.name)
	}
	p.cmd, p.exited, p.stopping, p.killed = cmd, make(chan struct{}), false, false
	p.started = time.Now()
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.stopping:
		p.failures = append(p.failures, p.name+" ended by itself: "+cmd.ProcessState.String())
	case p.killed, err == nil:
	case endedWithoutHandler(cmd.ProcessState.Sys(), p.stopRequested.Sub(p.started)):
	case cmd.ProcessState.ExitCode() == 1 && p.overlaps(p.stopRequested, time.Now(), span.wasPaused):
		// A host that is paused beyond its shutdown bound cancels requests that still run and
		// exits with 1.
	default:
		p.failures = append(p.failures, fmt.Sprintf("%s did not end well after SIGTERM %v after its start: %v",
			p.name, p.stopRequested.Sub(p.started), cmd.ProcessState))
	}
	p.cmd = nil
	close(exited)
}

// endedWithoutHandler reports whether SIGTERM ended a process that had run for age and may not
// have installed its signal handlers yet. Such a process has accepted no request. This happens
// when one series of disturbances starts a host again at the moment at which another stops it.
func endedWithoutHandler(status any, age time.Duration) bool {
	s, ok := status.(syscall.WaitStatus)
	return ok && s.Signaled() && s.Signal() == syscall.SIGTERM && age < signalHandlerDelay
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.stopping, p.killed = true, true
	case syscall.SIGTERM:
		if p.stopping {
			return // a second SIGTERM cuts the shutdown of serve short
		}
		p.stopping, p.stopRequested = true, time.Now()
	case syscall.SIGHUP:
		if time.Since(p.started) < signalHandlerDelay {
			return
		}
	}
	_ = p.cmd.Process.Signal(s) // fails if the process has just ended, which wait handles
}

// awaitExit waits until the process has ended. It returns false on a timeout.
func (p *process) awaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited, running := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// markDisturbed records that a disturbance of the host begins now; the returned function
// records its end.
func (p *process) markDisturbed() (finish func()) { return p.addSpan(span{begin: time.Now()}) }

// markPaused is like markDisturbed, for a process that SIGSTOP pauses.
func (p *process) markPaused() (finish func()) {
	return p.addSpan(span{begin: time.Now(), paused: true})
}

func (p *process) addSpan(s span) (finish func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbances = append(p.disturbances, s)
	i := len(p.disturbances) - 1
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.disturbances[i].end = time.Now()
	}
}

// disturbed reports whether a disturbance overlaps the time from begin to end.
func (p *process) disturbed(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overlaps(begin, end, func(span) bool { return true })
}

func (s span) wasPaused() bool { return s.paused }

// overlaps reports whether a disturbance for which match returns true overlaps the time from
// begin to end. The caller must hold p.mu.
func (p *process) overlaps(begin, end time.Time, match func(span) bool) bool {
	for _, s := range p.disturbances {
		if match(s) && s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin)) {
			return true
		}
	}
	return false
}

func (p *process) exitFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures
}
