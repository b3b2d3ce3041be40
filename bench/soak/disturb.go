package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// series of disturbances of one run: at least two overlap most of the time.
	minSeries, maxSeries = 6, 12
	// shortest and longest disturbance. Pauses above 2 s make the others take a
	// host for lost.
	shortest, longest = 150 * time.Millisecond, 2500 * time.Millisecond
	maxRepeats        = 3
	// signalShare of the series hit a process with a signal.
	signalShare = 0.45
)

// disturb plays the series of a seed and returns when all have ended.
func disturb(ctx context.Context, w world, o Options, r *Report) {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var work sync.WaitGroup
	for range minSeries + rng.IntN(maxSeries-minSeries+1) {
		s := newSeries(rng, w, o)
		r.Plan = append(r.Plan, s.String())
		work.Go(func() { s.play(ctx, r) })
	}
	pause(ctx, o.Duration)
	work.Wait()
}

// series is one kind of disturbance that comes once or several times.
type series struct {
	name    string
	at      time.Duration
	length  time.Duration
	gap     time.Duration
	repeats int
	once    func(ctx context.Context, length time.Duration, r *Report)
}

func newSeries(rng *rand.Rand, w world, o Options) series {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(rng.Int64N(int64(b-a))) }
	s := series{
		at:      between(0, o.Duration*3/4),
		length:  between(shortest, longest),
		gap:     between(shortest, longest/2),
		repeats: 1 + rng.IntN(maxRepeats),
	}
	if rng.Float64() < signalShare {
		p := w.hosts()[rng.IntN(len(w.hosts()))]
		kind := []string{"pause", "kill", "stop", "reload"}[rng.IntN(4)]
		s.name = p.name + " " + kind
		s.once = func(ctx context.Context, length time.Duration, r *Report) { hit(ctx, p, kind, length, r) }
		return s
	}
	targets := w.targets()
	t := targets[rng.IntN(len(targets))]
	trouble := t.troubles[rng.IntN(len(t.troubles))]
	s.name = t.name + " " + trouble
	s.once = func(ctx context.Context, length time.Duration, _ *Report) {
		if t.host != nil {
			defer t.host.disturb()()
		}
		t.set(trouble)
		pause(ctx, length)
		t.clear()
	}
	return s
}

func (s series) String() string {
	return fmt.Sprintf("%v %s for %v, %d times", s.at.Round(time.Millisecond), s.name, s.length.Round(time.Millisecond), s.repeats)
}

func (s series) play(ctx context.Context, r *Report) {
	pause(ctx, s.at)
	for range s.repeats {
		s.once(ctx, s.length, r)
		pause(ctx, s.gap)
	}
}

// hit sends signals to a process. A killed or stopped one is started again.
func hit(ctx context.Context, p *process, kind string, length time.Duration, r *Report) {
	switch kind {
	case "reload":
		p.signal(syscall.SIGHUP)
		return
	case "pause":
		defer p.paused()()
		p.signal(syscall.SIGSTOP)
		pause(ctx, length)
		p.signal(syscall.SIGCONT)
		return
	case "kill":
		defer p.disturb()()
		p.signal(syscall.SIGKILL)
		p.ended(stopBound)
	case "stop":
		p.signal(syscall.SIGTERM)
		if !p.ended(stopBound + length) { // another series may pause it meanwhile
			r.broke("%s still runs %v after SIGTERM", p.name, stopBound+length)
		}
		defer p.disturb()()
	}
	pause(ctx, length/2)
	if err := p.start(); err != nil {
		r.broke("%v", err)
	}
}
