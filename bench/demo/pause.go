package demo

import (
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// pause is the time during which one host was stopped by a signal.
type pause struct {
	untimed atomic.Int64 // requests that the pause overlapped

	mu         sync.Mutex
	begin, end time.Time
}

// watch notes SIGUSR1 as the begin and SIGUSR2 as the end until it is stopped.
func (p *pause) watch() (stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-signals:
				p.note(s, time.Now())
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

func (p *pause) note(s os.Signal, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGUSR1 {
		p.begin = now
	} else {
		p.end = now
	}
}

// overlaps reports whether the host was paused at some time from started to now.
func (p *pause) overlaps(started, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.begin.IsZero() && now.After(p.begin) && (p.end.IsZero() || started.Before(p.end))
}

// took returns the duration of a request to host, or 0 when the host was paused
// meanwhile: it can't have answered in time, whatever it does.
func (d *driver) took(host string, started time.Time) time.Duration {
	now := time.Now()
	if host == d.paused && d.pause.overlaps(started, now) {
		d.pause.untimed.Add(1)
		return 0
	}
	return now.Sub(started)
}
