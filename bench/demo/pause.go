package demo

import (
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// span is a time during which the script disturbs a host.
type span struct {
	mu         sync.Mutex
	begin, end time.Time
}

func (s *span) open(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin, s.end = now, time.Time{}
}

func (s *span) close(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = now
}

// overlaps reports whether the span and the time from started to ended share an
// instant.
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

// pause is the time during which one host was stopped by a signal.
type pause struct {
	span
	host    string
	untimed atomic.Int64 // requests that the pause overlapped
}

// took returns the duration of a request to host, or 0 when the host was paused
// meanwhile: it can't have answered in time, whatever it does.
func (p *pause) took(host string, started, ended time.Time) time.Duration {
	if host == p.host && p.overlaps(started, ended) {
		p.untimed.Add(1)
		return 0
	}
	return ended.Sub(started)
}

// watch passes each signal of the script to note until it is stopped.
func watch(note func(os.Signal, time.Time)) (stop func()) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-signals:
				note(s, time.Now())
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

// note opens or closes the span that a signal stands for.
func (d *driver) note(s os.Signal, now time.Time) {
	switch s {
	case syscall.SIGUSR1:
		d.pause.open(now)
	case syscall.SIGUSR2:
		d.pause.close(now)
	case syscall.SIGHUP:
		d.graceful.toggle(now)
	}
}
