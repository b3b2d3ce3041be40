package memnet_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"oriolebarrow/core"
	"oriolebarrow/io/memnet"
)

// version identifies an accepted change of one section.
type version struct {
	edition  int
	revision core.Revision
}

// beats is the order of versions as the design states it.
func (v version) beats(o version) bool {
	return v.edition > o.edition || v.edition == o.edition && v.revision < o.revision
}

// access is one operation on the register of one section.
type access struct {
	section string
	version version
	write   bool
}

// register holds the newest accepted version; a change that does not beat it
// leaves it, and a read returns it.
var register = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		bySection := make(map[string][]porcupine.Operation)
		for _, o := range ops {
			s := o.Input.(access).section
			bySection[s] = append(bySection[s], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range bySection {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return version{} },
	Step: func(state, input, _ any) (bool, any) {
		s, a := state.(version), input.(access)
		if !a.write {
			return s == a.version, s
		}
		if a.version.beats(s) {
			return true, a.version
		}
		return true, s
	},
}

// operator edits its own copy of the document, which may be old.
type operator struct {
	editions map[string]int
	name     string
}

// race runs operators, hosts and one caller, and records what the caller sees.
type race struct {
	*world
	rng       *rand.Rand
	revision  core.Revision
	newest    map[string]int // editions of the last document
	operators []*operator
	paused    *memnet.Host
	turn      int
	ops       []porcupine.Operation
	accepted  map[access]bool
	last      map[core.HostID]map[string]version
}

func (r *race) publishBy(o *operator) {
	if r.rng.IntN(3) > 0 { // otherwise it edits an old copy
		for s, e := range r.newest {
			o.editions[s] = e
		}
	}
	edited := []string{o.name, "shared"}[r.rng.IntN(2)]
	o.editions[edited]++
	var doc strings.Builder
	r.newest = make(map[string]int)
	for _, s := range []string{"x", "y", "shared"} {
		if o.editions[s] > 0 {
			fmt.Fprintf(&doc, "kind: caller\nname: %s\nteam: t\nedition: %d\nservices: [%s]\n---\n", s, o.editions[s], o.name)
			r.newest[s] = o.editions[s]
		}
	}
	doc.WriteString("kind: end\n")
	r.revision++
	r.cluster.Platform.Publish(r.revision, []byte(doc.String()))
}

func versions(h *memnet.Host) map[string]version {
	out := make(map[string]version)
	for _, v := range h.Ledger.Versions() {
		out[v.Section().Key().Name] = version{int(v.Section().Edition()), v.Revision()}
	}
	return out
}

// observe notes new versions, checks that no host goes back, and lets the
// caller ask the next host. A change may take 11 s, so a read may return what
// was the newest at any time of the 11 s before it.
func (r *race) observe() {
	now := time.Now()
	for _, h := range r.hosts {
		held := versions(h)
		for s, old := range r.last[h.Self.ID()] {
			if old.beats(held[s]) {
				r.t.Errorf("%s went back from %v to %v in %s", h.Self.ID(), old, held[s], s)
			}
		}
		r.last[h.Self.ID()] = held
		for s, v := range held {
			if a := (access{s, v, true}); !r.accepted[a] {
				r.accepted[a] = true
				r.ops = append(r.ops, porcupine.Operation{ClientId: 0, Input: a, Call: now.UnixNano(), Return: now.UnixNano()})
			}
		}
	}
	r.turn++
	h := r.hosts[r.turn%len(r.hosts)]
	if r.turn%3 != 0 || h == r.paused || !h.Agent.Ready() || r.cutOff || time.Since(r.healed) < inForceWithin {
		return
	}
	for _, s := range []string{"x", "y", "shared"} {
		r.ops = append(r.ops, porcupine.Operation{
			ClientId: 1 + r.turn, Input: access{s, r.last[h.Self.ID()][s], false},
			Call: now.Add(-inForceWithin).UnixNano(), Return: now.UnixNano(),
		})
	}
}

func (r *race) run(d time.Duration, publish bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		r.observe()
		if publish && r.rng.IntN(20) == 0 {
			r.publishBy(r.operators[r.rng.IntN(len(r.operators))])
		}
	}
}

// checkReads reports reads of a version that had been replaced 11 s before, and
// returns the number of reads.
func (r *race) checkReads() int {
	reads := 0
	for _, o := range r.ops {
		read := o.Input.(access)
		if read.write {
			continue
		}
		reads++
		for _, w := range r.ops {
			a := w.Input.(access)
			if a.write && a.section == read.section && w.Call <= o.Call && a.version.beats(read.version) {
				r.t.Errorf("%v was read, %v was in force 11 s before", read, a.version)
				return reads
			}
		}
	}
	return reads
}

// Guards against a configuration that goes back: for a caller that asks hosts
// in turn, once 11 s have passed, and on each host at any time. Two operators
// publish from old copies, messages are lost and duplicated, one host is
// paused, and the data centres are cut off from each other.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
		})
	}
}

func runRace(t *testing.T, seed uint64) {
	w := &world{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
	defer w.stop(func(*memnet.Host) bool { return true })
	r := &race{
		world: w, rng: rand.New(rand.NewPCG(seed, 1)), newest: make(map[string]int),
		operators: []*operator{{make(map[string]int), "x"}, {make(map[string]int), "y"}},
		accepted:  make(map[access]bool), last: make(map[core.HostID]map[string]version),
	}
	r.publishBy(r.operators[0])
	for _, dc := range []core.DataCentre{"a", "b", "c"} {
		w.start(dc, 3)
	}
	r.run(5*time.Second, true)
	w.cluster.Disturb(memnet.Noise{Lose: 0.2, Duplicate: 0.3, Delay: 5 * time.Second})
	r.run(15*time.Second, true)
	r.paused = w.hosts[r.rng.IntN(len(w.hosts))]
	r.paused.Pause()
	r.run(15*time.Second, true)
	r.paused.Resume()
	// A resumed host compares its sections before it serves (see io/node).
	if err := r.paused.Agent.Refresh(t.Context()); err == nil {
		r.paused = nil
	}
	r.run(12*time.Second, true)
	w.cutOff = true
	w.cluster.Cut(func(from, to core.Host) bool { return from.DataCentre() != to.DataCentre() })
	r.run(15*time.Second, true)
	w.cutOff, w.healed = false, time.Now()
	w.cluster.Cut(nil)
	r.run(25*time.Second, true)
	r.run(inForceWithin, false)
	want := versions(w.hosts[0])
	for _, h := range w.hosts {
		if got := versions(h); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s ends with %v, the first host with %v", h.Self.ID(), got, want)
		}
	}
	reads := r.checkReads()
	// The search is exponential on a history that goes back, so the direct check
	// comes first.
	if t.Failed() {
		return
	}
	if result := porcupine.CheckOperationsTimeout(register, r.ops, time.Minute); result != porcupine.Ok {
		t.Errorf("what the caller saw goes back: %v", result)
	}
	if len(r.accepted) < 10 || reads < 300 {
		t.Errorf("only %d changes and %d reads", len(r.accepted), reads)
	}
	t.Logf("%d changes of sections, %d reads, %d revisions", len(r.accepted), reads, r.revision)
}
