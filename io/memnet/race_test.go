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

// version identifies an accepted version of one section.
type version struct {
	edition  int
	revision core.Revision
}

// supersedes reports whether a host that has o accepts v: the higher edition wins,
// and for equal editions the lower revision.
func (v version) supersedes(o version) bool {
	return v.edition > o.edition || v.edition == o.edition && v.revision < o.revision
}

// registerOp is a read or a write of the register of one section.
type registerOp struct {
	section string
	version version
	write   bool
}

// register models the newest accepted version of each section. A write of a version
// that doesn't supersede it has no effect, and a read returns it.
var register = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		bySection := make(map[string][]porcupine.Operation)
		for _, o := range ops {
			s := o.Input.(registerOp).section
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
		latest, op := state.(version), input.(registerOp)
		if !op.write {
			return latest == op.version, latest
		}
		if op.version.supersedes(latest) {
			return true, op.version
		}
		return true, latest
	},
}

// operator edits its own copy of the document, which may be outdated.
type operator struct {
	editions map[string]int // by section
	name     string
}

// race runs operators that publish and one caller that reads from the hosts in turn. It
// records these reads and the versions that hosts accept.
type race struct {
	*simulation
	rng       *rand.Rand
	revision  core.Revision
	newest    map[string]int // editions by section in the last document
	operators []*operator
	paused    *memnet.Host
	rounds    int // number of observe calls
	ops       []porcupine.Operation
	accepted  map[registerOp]bool
	last      map[core.HostID]map[string]version // by host and section, at the last observe call
}

// publishBy publishes a document in which an operator raised the edition of its
// own section or of the shared one.
func (r *race) publishBy(o *operator) {
	if r.rng.IntN(3) > 0 { // otherwise the operator edits an outdated copy
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

// observe records new versions and checks that no host goes back to an older one.
// Every third time the caller also reads from one host. A change may take
// propagationBound to arrive, so a read may return any version that was the newest
// within that time before it.
func (r *race) observe() {
	now := time.Now()
	for _, h := range r.hosts {
		current := versions(h)
		for s, old := range r.last[h.Self.ID()] {
			if old.supersedes(current[s]) {
				r.t.Errorf("%s went back from %v to %v in %s", h.Self.ID(), old, current[s], s)
			}
		}
		r.last[h.Self.ID()] = current
		for s, v := range current {
			if op := (registerOp{s, v, true}); !r.accepted[op] {
				r.accepted[op] = true
				r.ops = append(r.ops, porcupine.Operation{ClientId: 0, Input: op, Call: now.UnixNano(), Return: now.UnixNano()})
			}
		}
	}
	r.rounds++
	h := r.hosts[r.rounds%len(r.hosts)]
	if r.rounds%3 != 0 || h == r.paused || !h.Agent.Ready() || r.cutOff || time.Since(r.healedAt) < propagationBound {
		return
	}
	for _, s := range []string{"x", "y", "shared"} {
		r.ops = append(r.ops, porcupine.Operation{
			ClientId: 1 + r.rounds, Input: registerOp{s, r.last[h.Self.ID()][s], false},
			Call: now.Add(-propagationBound).UnixNano(), Return: now.UnixNano(),
		})
	}
}

// run lets the cluster run for d and calls observe each 100 ms. With publish set,
// an operator publishes at random times, on average every two seconds.
func (r *race) run(d time.Duration, publish bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		r.observe()
		if publish && r.rng.IntN(20) == 0 {
			r.publishBy(r.operators[r.rng.IntN(len(r.operators))])
		}
	}
}

// checkReads reports the first read of a version that had been superseded
// propagationBound earlier, and returns the number of reads that it checked.
func (r *race) checkReads() int {
	reads := 0
	for _, o := range r.ops {
		read := o.Input.(registerOp)
		if read.write {
			continue
		}
		reads++
		for _, other := range r.ops {
			op := other.Input.(registerOp)
			if op.write && op.section == read.section && other.Call <= o.Call && op.version.supersedes(read.version) {
				r.t.Errorf("%v was read, but %v was active 11 s earlier", read, op.version)
				return reads
			}
		}
	}
	return reads
}

// Guards against a configuration that goes back to an older version: on one host at
// any time, and for a caller that reads from one host after the other once 11 s
// have passed since a change. Two operators publish from outdated copies, packets
// are lost and duplicated, one host is paused, and the data centres are cut off
// from each other.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
		})
	}
}

func runRace(t *testing.T, seed uint64) {
	sim := &simulation{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
	defer sim.stop(func(*memnet.Host) bool { return true })
	r := &race{
		simulation: sim, rng: rand.New(rand.NewPCG(seed, 1)), newest: make(map[string]int),
		operators: []*operator{{make(map[string]int), "x"}, {make(map[string]int), "y"}},
		accepted:  make(map[registerOp]bool), last: make(map[core.HostID]map[string]version),
	}
	r.publishBy(r.operators[0])
	for _, dc := range []core.DataCentre{"a", "b", "c"} {
		sim.start(dc, 3)
	}
	r.run(5*time.Second, true)
	sim.cluster.SetFaults(memnet.Faults{LossRate: 0.2, DuplicateRate: 0.3, MaxDelay: 5 * time.Second})
	r.run(15*time.Second, true)
	r.paused = sim.hosts[r.rng.IntN(len(sim.hosts))]
	r.paused.Pause()
	r.run(15*time.Second, true)
	r.paused.Resume()
	// A resumed host compares its sections with another host before it serves, see io/node.
	if err := r.paused.Agent.Refresh(t.Context()); err == nil {
		r.paused = nil
	}
	r.run(12*time.Second, true)
	sim.cutOff = true
	sim.cluster.Cut(func(from, to core.Host) bool { return from.DataCentre() != to.DataCentre() })
	r.run(15*time.Second, true)
	sim.cutOff, sim.healedAt = false, time.Now()
	sim.cluster.Cut(nil)
	r.run(25*time.Second, true)
	r.run(propagationBound, false)
	want := versions(sim.hosts[0])
	for _, h := range sim.hosts {
		if got := versions(h); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s ends with %v, the first host with %v", h.Self.ID(), got, want)
		}
	}
	reads := r.checkReads()
	// The search of porcupine takes exponential time on a history that isn't
	// linearizable, so checkReads runs first.
	if t.Failed() {
		return
	}
	if result := porcupine.CheckOperationsTimeout(register, r.ops, time.Minute); result != porcupine.Ok {
		t.Errorf("the reads of the caller are not linearizable: %v", result)
	}
	if len(r.accepted) < 10 || reads < 300 {
		t.Errorf("only %d section versions and %d reads, want at least 10 and 300", len(r.accepted), reads)
	}
	t.Logf("%d section versions, %d reads, %d revisions", len(r.accepted), reads, r.revision)
}
