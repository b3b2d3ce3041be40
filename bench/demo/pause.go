package demo

import (
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// span is the period in which the demo script disturbs a host.
type span struct {
	mu         sync.Mutex
	begin, end time.Time // begin is zero before start, end until stop
}

func (s *span) start(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin, s.end = now, time.Time{}
}

func (s *span) stop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = now
}

// overlaps reports whether the span overlaps the time from started to ended.
func (s *span) overlaps(started, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.begin.IsZero() && ended.After(s.begin) && (s.end.IsZero() || started.Before(s.end))
}

// contains reports whether the time from started to ended is within the span.
func (s *span) contains(started, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.begin.IsZero() && started.After(s.begin) && (s.end.IsZero() || ended.Before(s.end))
}

// pause is the period in which one host is paused by SIGSTOP.
type pause struct {
	span
	host    string
	untimed atomic.Int64 // number of requests that overlapped the pause
}

// elapsed returns the duration of a request to host, or 0 if the host was paused during the
// request: a paused host can't answer in time.
func (p *pause) elapsed(host string, started, ended time.Time) time.Duration {
	if host == p.host && p.overlaps(started, ended) {
		p.untimed.Add(1)
		return 0
	}
	return ended.Sub(started)
}

// watchSignals calls handle for each signal of the demo script until stop is called.
func watchSignals(handle func(os.Signal, time.Time)) (stop func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-signals:
				handle(s, time.Now())
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// handleSignal starts or ends the span to which a signal belongs.
func (d *driver) handleSignal(s os.Signal, now time.Time) {
	switch s {
	case syscall.SIGUSR1:
		d.pause.start(now)
	case syscall.SIGUSR2:
		d.pause.stop(now)
	case syscall.SIGHUP:
		d.gracefulStop.toggle(now)
	}
}
