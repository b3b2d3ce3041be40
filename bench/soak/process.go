package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// signalsAfter a start, a program has told the system which signals it handles; until
// then any program is ended by SIGHUP.
const signalsAfter = 200 * time.Millisecond

// process is one host of the product as a process of its own. It is started again
// after its end; its log is appended to one file.
type process struct {
	name    string
	command func() *exec.Cmd
	log     *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	started  time.Time
	exited   chan struct{}
	asked    bool // to end, by a signal of the soak
	askedAt  time.Time
	killed   bool
	disturbs []span
	faults   []string
}

// span is a time in which a process could not answer as it should.
type span struct {
	begin, end time.Time
	paused     bool // by SIGSTOP
}

func newProcess(dir, name string, command func() *exec.Cmd) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: log")
	}
	return &process{name: name, command: command, log: log}, nil
}

// start runs the process unless it runs.
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
	p.cmd, p.exited, p.asked, p.killed = cmd, make(chan struct{}), false, false
	p.started = time.Now()
	go p.wait(cmd, p.exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.asked:
		p.faults = append(p.faults, p.name+" ended by itself: "+cmd.ProcessState.String())
	case p.killed, err == nil:
	case cmd.ProcessState.ExitCode() == 1 && p.overlaps(p.askedAt, time.Now(), span.wasPaused):
		// Paused beyond the bound of its shutdown, a host cuts requests and says so.
	default:
		p.faults = append(p.faults, p.name+" did not end well after SIGTERM: "+cmd.ProcessState.String())
	}
	p.cmd = nil
	close(exited)
}

// signal sends a signal to the process that this soak started, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGKILL:
		p.asked, p.killed = true, true
	case syscall.SIGTERM:
		if p.asked {
			return // a second one would mean to end at once
		}
		p.asked, p.askedAt = true, time.Now()
	case syscall.SIGHUP:
		if time.Since(p.started) < signalsAfter {
			return
		}
	}
	_ = p.cmd.Process.Signal(s) // it may have ended this moment, which wait notes
}

// ended waits until the process has ended; false at the bound.
func (p *process) ended(bound time.Duration) bool {
	p.mu.Lock()
	exited, runs := p.exited, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(bound):
		return false
	}
}

// disturb notes that the process cannot answer as it should from now on; the
// returned function ends that.
func (p *process) disturb() (over func()) { return p.note(span{begin: time.Now()}) }

// paused is disturb for a process that SIGSTOP stops.
func (p *process) paused() (over func()) { return p.note(span{begin: time.Now(), paused: true}) }

func (p *process) note(s span) (over func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbs = append(p.disturbs, s)
	i := len(p.disturbs) - 1
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.disturbs[i].end = time.Now()
	}
}

// disturbed reports whether a disturbance overlaps a time.
func (p *process) disturbed(begin, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overlaps(begin, end, func(span) bool { return true })
}

func (s span) wasPaused() bool { return s.paused }

func (p *process) overlaps(begin, end time.Time, counts func(span) bool) bool {
	for _, s := range p.disturbs {
		if counts(s) && s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin)) {
			return true
		}
	}
	return false
}

func (p *process) takeFaults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}
