package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
	"oriolebarrow/core/place"
)

const (
	step    = 10 * time.Millisecond // latency of a packet
	service = "tickets"
	groups  = 60
)

// fleet runs detectors over an in-memory network that a test can cut.
type fleet struct {
	t       *testing.T
	now     time.Time
	ids     []core.HostID
	hosts   map[core.HostID]core.Host
	nodes   map[core.HostID]*member.Detector
	stopped map[core.HostID]bool
	cut     func(from, to core.HostID) bool
	wire    []member.Send
	sent    map[core.HostID]int
}

// newFleet starts n hosts, named by data centre in turn, that are all listed.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_000_000, 0),
		hosts: make(map[core.HostID]core.Host), nodes: make(map[core.HostID]*member.Detector),
		stopped: make(map[core.HostID]bool), sent: make(map[core.HostID]int),
		cut: func(_, _ core.HostID) bool { return false },
	}
	for i := range n {
		dc := string(rune('a' + i%3))
		f.start(core.HostID(fmt.Sprintf("%s%02d", dc, i)), uint64(i+1))
	}
	f.publish(f.ids...)
	f.run(5 * time.Second)
	return f
}

func (f *fleet) start(id core.HostID, inc uint64) {
	h := core.NewHost(id, core.DataCentre(id[:1]), string(id)+":1")
	f.ids = append(f.ids, id)
	f.hosts[id] = h
	f.nodes[id] = member.New(h, core.Incarnation(inc), rand.New(rand.NewPCG(1, inc)))
	f.nodes[id].SetStatus(member.Status{Ready: true})
}

func (f *fleet) publish(ids ...core.HostID) {
	var entries []core.HostEntry
	for _, id := range ids {
		entries = append(entries, core.HostEntry{Host: f.hosts[id]})
	}
	for _, n := range f.nodes {
		n.Publish(f.now, entries)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		arrived := f.wire
		f.wire = nil
		for _, s := range arrived {
			if from, to := s.Packet.From.ID(), s.To.ID(); !f.stopped[to] && !f.cut(from, to) {
				f.send(to, f.nodes[to].Receive(f.now, s.Packet))
			}
		}
		for i, id := range f.ids {
			if f.now.Add(time.Duration(i)*step).UnixMilli()%100 == 0 && !f.stopped[id] {
				f.send(id, f.nodes[id].Tick(f.now))
			}
		}
	}
}

func (f *fleet) send(from core.HostID, sends []member.Send) {
	f.sent[from] += len(sends)
	f.wire = append(f.wire, sends...)
}

func (f *fleet) sees(id, other core.HostID) bool {
	_, ok := f.nodes[id].View(f.now).Lookup(other)
	return ok
}

// wantViews checks that every running host sees exactly what visible says.
func (f *fleet) wantViews(visible func(by, other core.HostID) bool) {
	f.t.Helper()
	for _, by := range f.ids {
		for _, other := range f.ids {
			if f.stopped[by] || by == other {
				continue
			}
			if got, want := f.sees(by, other), visible(by, other); got != want {
				f.t.Errorf("%s sees %s: %v, want %v", by, other, got, want)
			}
		}
	}
}

func all(_, _ core.HostID) bool { return true }

func (f *fleet) owners(by core.HostID) []core.HostID {
	var out []core.HostID
	view, p := f.nodes[by].View(f.now), place.New(place.DefaultSetSize)
	for g := range groups {
		owner, _ := p.Owner(view, service, core.GroupID(g))
		out = append(out, owner)
	}
	return out
}

// Guards against a lost host that keeps its groups, against groups that move
// without need, and against healthy hosts that leave the view meanwhile.
func TestKilledHostLosesOnlyItsGroups(t *testing.T) {
	f := newFleet(t, 9)
	before := f.owners("a00")
	f.stopped["b04"] = true
	for range 150 {
		f.run(100 * time.Millisecond)
		for i, owner := range f.owners("a00") {
			if owner != before[i] && before[i] != "b04" {
				t.Fatalf("group %d moved from %s to %s", i, before[i], owner)
			}
		}
	}
	f.wantViews(func(_, other core.HostID) bool { return other != "b04" })
	for i, owner := range f.owners("a00") {
		if owner == "b04" {
			t.Errorf("group %d stays with the lost host", i)
		}
	}
}

// Guards against parts of a healed partition that stay apart: a rack, a data
// centre, for longer than the suspicion timeout.
func TestCutAndHealed(t *testing.T) {
	for name, inside := range map[string]func(core.HostID) bool{
		"host":        func(id core.HostID) bool { return id == "c02" },
		"rack":        func(id core.HostID) bool { return id == "a00" || id == "a03" },
		"data centre": func(id core.HostID) bool { return id[0] == 'b' },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 9)
			before := f.owners("a06")
			f.cut = func(from, to core.HostID) bool { return inside(from) != inside(to) }
			f.run(20 * time.Second)
			f.wantViews(func(by, other core.HostID) bool { return inside(by) == inside(other) })
			f.cut = func(_, _ core.HostID) bool { return false }
			f.run(20 * time.Second)
			f.wantViews(all)
			for i, owner := range f.owners("a06") {
				if owner != before[i] {
					t.Errorf("group %d did not return: %s, before %s", i, owner, before[i])
				}
			}
		})
	}
}

// Guards against a host that is lost for all because one host cannot reach it,
// and against that one host sending to it.
func TestHostThatOnlySomeReach(t *testing.T) {
	for name, cut := range map[string]func(from, to core.HostID) bool{
		"both ways": func(from, to core.HostID) bool { return from == "a00" && to == "b01" || from == "b01" && to == "a00" },
		"one way":   func(from, to core.HostID) bool { return from == "a00" && to == "b01" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.cut = cut
			f.run(10 * time.Second)
			for range 200 {
				f.run(100 * time.Millisecond)
				for _, by := range f.ids {
					if by != "a00" && by != "b01" && !f.sees(by, "b01") {
						t.Fatalf("%s lost b01, which it reaches", by)
					}
				}
			}
			if f.sees("a00", "b01") {
				t.Error("a00 uses b01, which it cannot reach")
			}
			// The relays answer for b01, so nobody had to refute a suspicion.
			for _, u := range f.nodes["b01"].Updates()[:1] {
				if u.Incarnation != 2 {
					t.Errorf("b01 was suspected: incarnation %d", u.Incarnation)
				}
			}
		})
	}
}

// Guards against a false suspicion that ends in a death: one host claims that
// another is dead or suspect.
func TestFalseClaimIsRefuted(t *testing.T) {
	for _, state := range []core.PeerState{core.PeerSuspect, core.PeerDead, core.PeerLeaving} {
		t.Run(state.String(), func(t *testing.T) {
			f := newFleet(t, 6)
			claim := member.Update{Host: f.hosts["b01"], Incarnation: 2, State: state}
			f.nodes["a00"].Merge(f.now, []member.Update{claim})
			f.run(15 * time.Second)
			f.wantViews(all)
			for _, u := range f.nodes["c05"].Updates() {
				if u.Host.ID() == "b01" && (u.Incarnation <= 2 || u.State != core.PeerAlive) {
					t.Errorf("claim was not refuted: %+v", u)
				}
			}
		})
	}
}

// Guards against one failed dial that removes a healthy host for long, and
// against a lost host that stays in the view until the ping round reaches it.
func TestFailedDial(t *testing.T) {
	f := newFleet(t, 9)
	f.stopped["b04"] = true
	f.nodes["a00"].MarkDown(f.now, "b01")
	f.nodes["a00"].MarkDown(f.now, "b04")
	if f.sees("a00", "b01") || f.sees("a00", "b04") {
		t.Error("the hint has no effect")
	}
	f.run(300 * time.Millisecond)
	if !f.sees("a00", "b01") || f.sees("a00", "b04") {
		t.Errorf("after the probe: healthy %v, lost %v", f.sees("a00", "b01"), f.sees("a00", "b04"))
	}
	f.run(2 * time.Second)
	if f.sees("a00", "b04") {
		t.Error("the lost host came back")
	}
}

// Guards against a resumed process that declares others dead on its old view.
func TestPausedProcessRefreshesFirst(t *testing.T) {
	f := newFleet(t, 9)
	f.nodes["a00"].MarkDown(f.now, "b01")
	f.cut = func(from, to core.HostID) bool { return from == "b01" && to == "a00" }
	f.run(1500 * time.Millisecond) // a suspicion is running and probes are out
	f.stopped["a00"] = true
	f.run(20 * time.Second)
	f.cut = func(_, _ core.HostID) bool { return false }
	f.stopped["a00"] = false
	if f.nodes["a00"].Fresh(f.now) {
		t.Error("an old view counts as fresh")
	}
	for range 50 {
		f.run(100 * time.Millisecond)
		for _, u := range f.nodes["a00"].Updates() {
			if u.State == core.PeerDead {
				t.Fatalf("declared %s dead", u.Host.ID())
			}
		}
	}
	if !f.nodes["a00"].Fresh(f.now) {
		t.Error("view is not fresh after 5 s")
	}
	f.run(10 * time.Second)
	f.wantViews(all)
}

// Guards against a leaving host that gets work, and one that cannot return.
func TestLeavingHost(t *testing.T) {
	f := newFleet(t, 9)
	f.nodes["b01"].Leave()
	f.send("b01", f.nodes["b01"].Announce())
	f.run(3 * time.Second)
	f.wantViews(func(_, other core.HostID) bool { return other != "b01" })
	f.stopped["b01"] = true
	f.run(time.Second)
	f.ids = f.ids[:len(f.ids):len(f.ids)]
	f.start("b01", 100)
	f.ids = f.ids[:len(f.ids)-1]
	f.stopped["b01"] = false
	f.publish(f.ids...)
	f.run(10 * time.Second)
	f.wantViews(all)
}

// Guards against a stale or empty host list that removes hosts that answer,
// against a new host that waits for the list, and against a host that is kept
// for ever after it left the list and stopped.
func TestStaleHostList(t *testing.T) {
	f := newFleet(t, 6)
	f.start("c99", 50)
	f.nodes["c99"].Publish(f.now, []core.HostEntry{{Host: f.hosts["a00"]}})
	f.run(8 * time.Second)
	f.publish("a00", "b01")
	f.publish()
	for _, i := range f.nodes["c02"].Peers() {
		if want := i.Host.ID() == "a00" || i.Host.ID() == "b01"; i.Listed != want {
			t.Errorf("after an empty list %s is listed: %v", i.Host.ID(), i.Listed)
		}
	}
	f.run(15 * time.Second)
	f.wantViews(all)
	f.stopped["c02"] = true
	f.run(30 * time.Second)
	known := func(id core.HostID) bool {
		for _, i := range f.nodes["a00"].Peers() {
			if i.Host.ID() == id {
				return true
			}
		}
		return false
	}
	if !known("c02") {
		t.Error("forgotten before stale updates about it are gone")
	}
	f.run(2 * time.Minute)
	if known("c02") {
		t.Error("a host that left the list and does not answer is kept")
	}
}

// Guards against a cost that grows with the fleet. Half of the larger fleet is
// lost, which is the worst case for probes, relays and updates.
func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
	const seconds = 20
	for _, n := range []int{9, 90} {
		f := newFleet(t, n)
		for i, id := range f.ids {
			f.stopped[id] = n == 90 && i%2 == 1
		}
		clear(f.sent)
		f.run(seconds * time.Second)
		for id, sent := range f.sent {
			// One ping and its ack, four probes with three relays and a second
			// ping each, and the same again on behalf of others.
			if perSecond := float64(sent) / seconds; perSecond > 40 {
				t.Errorf("%d hosts: %s sends %.1f packets a second", n, id, perSecond)
			}
		}
	}
}

// Guards against groups that are placed on a host that is not ready, against a
// joining host that nobody pings, and against one that stays out when it is
// ready. A host that hears of another only by gossip must see the same.
func TestJoiningHost(t *testing.T) {
	f := newFleet(t, 9)
	f.stopped["b01"] = true
	f.ids = f.ids[:len(f.ids):len(f.ids)]
	f.start("b01", 100)
	f.ids = f.ids[:len(f.ids)-1]
	f.nodes["b01"].SetStatus(member.Status{})
	f.stopped["b01"] = false
	f.publish(f.ids...)
	// Only a00 hears from the joining host itself.
	f.cut = func(from, to core.HostID) bool { return from == "b01" && to != "a00" || to == "b01" && from != "a00" }
	f.run(5 * time.Second)
	for _, u := range f.nodes["c05"].Updates() {
		if u.Host.ID() == "b01" && (u.Incarnation < 100 || u.State == core.PeerAlive) {
			t.Errorf("a joining host is known by gossip as %s, incarnation %d", u.State, u.Incarnation)
		}
	}
	if _, ok := f.nodes["a00"].Reachable(f.now).Lookup("b01"); !ok {
		t.Error("a joining host is not reachable")
	}
	f.cut = func(_, _ core.HostID) bool { return false }
	f.run(10 * time.Second)
	f.wantViews(func(by, other core.HostID) bool { return other != "b01" })
	for _, u := range f.nodes["c05"].Updates() {
		if u.Host.ID() == "b01" && u.State != core.PeerJoining {
			t.Errorf("a joining host that answers is held %s", u.State)
		}
	}
	f.nodes["b01"].SetStatus(member.Status{Ready: true})
	f.send("b01", f.nodes["b01"].Announce())
	f.run(2 * time.Second)
	f.wantViews(all)
	f.stopped["b01"] = true
	f.run(15 * time.Second)
	f.wantViews(func(by, other core.HostID) bool { return other != "b01" })
}
