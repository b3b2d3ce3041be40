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
	// minSeries and maxSeries limit the number of series in a run. There are enough for at
	// least two to overlap most of the time.
	minSeries, maxSeries = 6, 12
	// minLength and maxLength limit the length of one disturbance. The other hosts remove a
	// host that is paused for more than 2 s from their views.
	minLength, maxLength = 150 * time.Millisecond, 2500 * time.Millisecond
	maxRepeats           = 3
	// signalShare is the share of the series that send signals to a host.
	signalShare = 0.45
)

// disturb runs the series of disturbances that the seed determines and returns when all
// have ended.
func disturb(ctx context.Context, env environment, opts Options, r *Report) {
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	var running sync.WaitGroup
	for range minSeries + rng.IntN(maxSeries-minSeries+1) {
		s := newSeries(rng, env, opts)
		r.Plan = append(r.Plan, s.String())
		running.Go(func() { s.run(ctx, r) })
	}
	pause(ctx, opts.Duration)
	running.Wait()
}

// series is one kind of disturbance that is applied one or more times.
type series struct {
	name       string
	startAfter time.Duration
	length     time.Duration
	gap        time.Duration
	repeats    int
	apply      func(ctx context.Context, length time.Duration, r *Report)
}

func newSeries(rng *rand.Rand, env environment, opts Options) series {
	between := func(a, b time.Duration) time.Duration { return a + time.Duration(rng.Int64N(int64(b-a))) }
	s := series{
		startAfter: between(0, opts.Duration*3/4),
		length:     between(minLength, maxLength),
		gap:        between(minLength, maxLength/2),
		repeats:    1 + rng.IntN(maxRepeats),
	}
	if rng.Float64() < signalShare {
		p := env.hosts()[rng.IntN(len(env.hosts()))]
		kind := []string{"pause", "kill", "stop", "reload"}[rng.IntN(4)]
		s.name = p.name + " " + kind
		s.apply = func(ctx context.Context, length time.Duration, r *Report) { disturbProcess(ctx, p, kind, length, r) }
		return s
	}
	targets := env.targets()
	t := targets[rng.IntN(len(targets))]
	fault := t.faults[rng.IntN(len(t.faults))]
	s.name = t.name + " " + fault
	s.apply = func(ctx context.Context, length time.Duration, _ *Report) {
		if t.host != nil {
			defer t.host.markDisturbed()()
		}
		t.set(fault)
		pause(ctx, length)
		t.clear()
	}
	return s
}

func (s series) String() string {
	return fmt.Sprintf("%v %s for %v, %d times", s.startAfter.Round(time.Millisecond), s.name, s.length.Round(time.Millisecond), s.repeats)
}

func (s series) run(ctx context.Context, r *Report) {
	pause(ctx, s.startAfter)
	for range s.repeats {
		s.apply(ctx, s.length, r)
		pause(ctx, s.gap)
	}
}

// disturbProcess sends signals to a process and restarts a process that they ended.
func disturbProcess(ctx context.Context, p *process, kind string, length time.Duration, r *Report) {
	switch kind {
	case "reload":
		p.signal(syscall.SIGHUP)
		return
	case "pause":
		defer p.markPaused()()
		p.signal(syscall.SIGSTOP)
		pause(ctx, length)
		p.signal(syscall.SIGCONT)
		return
	case "kill":
		defer p.markDisturbed()()
		p.signal(syscall.SIGKILL)
		p.awaitExit(stopTimeout)
	case "stop":
		p.signal(syscall.SIGTERM)
		if !p.awaitExit(stopTimeout + length) { // another series may have paused the process in the meantime
			r.fail("%s still runs %v after SIGTERM", p.name, stopTimeout+length)
		}
		defer p.markDisturbed()()
	}
	pause(ctx, length/2)
	if err := p.start(); err != nil {
		r.fail("%v", err)
	}
}
