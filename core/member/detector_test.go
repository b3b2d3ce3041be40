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
	latency = 10 * time.Millisecond // of each packet; also the step of the clock
	service = "tickets"
	groups  = 60
)

// cluster runs detectors over an in-memory network in which a test can block packets.
type cluster struct {
	t         *testing.T
	now       time.Time
	ids       []core.HostID
	hosts     map[core.HostID]core.Host
	detectors map[core.HostID]*member.Detector
	stopped   map[core.HostID]bool
	blocked   func(from, to core.HostID) bool
	inFlight  []member.Send
	sent      map[core.HostID]int
}

// newCluster starts n hosts, spread over three data centres, and publishes a list of all
// of them.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0),
		hosts: make(map[core.HostID]core.Host), detectors: make(map[core.HostID]*member.Detector),
		stopped: make(map[core.HostID]bool), sent: make(map[core.HostID]int),
		blocked: func(_, _ core.HostID) bool { return false },
	}
	for i := range n {
		dc := string(rune('a' + i%3))
		c.start(core.HostID(fmt.Sprintf("%s%02d", dc, i)), uint64(i+1))
	}
	c.publish(c.ids...)
	c.run(5 * time.Second)
	return c
}

func (c *cluster) start(id core.HostID, inc uint64) {
	h := core.NewHost(id, core.DataCentre(id[:1]), string(id)+":1")
	c.ids = append(c.ids, id)
	c.hosts[id] = h
	c.detectors[id] = member.New(h, core.Incarnation(inc), rand.New(rand.NewPCG(1, inc)))
	c.detectors[id].SetStatus(member.Status{Ready: true})
}

func (c *cluster) publish(ids ...core.HostID) {
	var entries []core.HostEntry
	for _, id := range ids {
		entries = append(entries, core.HostEntry{Host: c.hosts[id]})
	}
	for _, det := range c.detectors {
		det.SetHostList(c.now, entries)
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(latency)
		arrived := c.inFlight
		c.inFlight = nil
		for _, s := range arrived {
			if from, to := s.Packet.From.ID(), s.To.ID(); !c.stopped[to] && !c.blocked(from, to) {
				c.send(to, c.detectors[to].Receive(c.now, s.Packet))
			}
		}
		for i, id := range c.ids {
			if c.now.Add(time.Duration(i)*latency).UnixMilli()%100 == 0 && !c.stopped[id] {
				c.send(id, c.detectors[id].Tick(c.now))
			}
		}
	}
}

func (c *cluster) send(from core.HostID, sends []member.Send) {
	c.sent[from] += len(sends)
	c.inFlight = append(c.inFlight, sends...)
}

func (c *cluster) inView(id, other core.HostID) bool {
	_, ok := c.detectors[id].View(c.now).Lookup(other)
	return ok
}

// wantViews checks that the view of each running host has exactly the hosts for which
// visible returns true.
func (c *cluster) wantViews(visible func(by, other core.HostID) bool) {
	c.t.Helper()
	for _, by := range c.ids {
		for _, other := range c.ids {
			if c.stopped[by] || by == other {
				continue
			}
			if got, want := c.inView(by, other), visible(by, other); got != want {
				c.t.Errorf("%s sees %s: %v, want %v", by, other, got, want)
			}
		}
	}
}

func everyHost(_, _ core.HostID) bool { return true }

func (c *cluster) owners(by core.HostID) []core.HostID {
	var out []core.HostID
	view, p := c.detectors[by].View(c.now), place.New(place.DefaultSetSize)
	for g := range groups {
		owner, _ := p.Owner(view, service, core.GroupID(g))
		out = append(out, owner)
	}
	return out
}

// TestKilledHostLosesOnlyItsGroups guards against a killed host that keeps its groups,
// against groups of other hosts that move, and against healthy hosts that leave the view.
func TestKilledHostLosesOnlyItsGroups(t *testing.T) {
	c := newCluster(t, 9)
	before := c.owners("a00")
	c.stopped["b04"] = true
	for range 150 {
		c.run(100 * time.Millisecond)
		for i, owner := range c.owners("a00") {
			if owner != before[i] && before[i] != "b04" {
				t.Fatalf("group %d moved from %s to %s", i, before[i], owner)
			}
		}
	}
	c.wantViews(func(_, other core.HostID) bool { return other != "b04" })
	for i, owner := range c.owners("a00") {
		if owner == "b04" {
			t.Errorf("group %d still belongs to the killed host", i)
		}
	}
}

// TestHealedPartition guards against a partition whose sides do not find each other again
// when it heals after the suspicion timeout.
func TestHealedPartition(t *testing.T) {
	for name, inside := range map[string]func(core.HostID) bool{
		"host":        func(id core.HostID) bool { return id == "c02" },
		"rack":        func(id core.HostID) bool { return id == "a00" || id == "a03" },
		"data centre": func(id core.HostID) bool { return id[0] == 'b' },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 9)
			before := c.owners("a06")
			c.blocked = func(from, to core.HostID) bool { return inside(from) != inside(to) }
			c.run(20 * time.Second)
			c.wantViews(func(by, other core.HostID) bool { return inside(by) == inside(other) })
			c.blocked = func(_, _ core.HostID) bool { return false }
			c.run(20 * time.Second)
			c.wantViews(everyHost)
			for i, owner := range c.owners("a06") {
				if owner != before[i] {
					t.Errorf("group %d did not return: owner %s, before the partition %s", i, owner, before[i])
				}
			}
		})
	}
}

// TestPartiallyReachableHost guards against a host that leaves the views of all others
// because one host cannot reach it, and against that one host still using it.
func TestPartiallyReachableHost(t *testing.T) {
	for name, blocked := range map[string]func(from, to core.HostID) bool{
		"both ways": func(from, to core.HostID) bool { return from == "a00" && to == "b01" || from == "b01" && to == "a00" },
		"one way":   func(from, to core.HostID) bool { return from == "a00" && to == "b01" },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6)
			c.blocked = blocked
			c.run(10 * time.Second)
			for range 200 {
				c.run(100 * time.Millisecond)
				for _, by := range c.ids {
					if by != "a00" && by != "b01" && !c.inView(by, "b01") {
						t.Fatalf("b01 left the view of %s, which can reach it", by)
					}
				}
			}
			if c.inView("a00", "b01") {
				t.Error("b01 is in the view of a00, which cannot reach it")
			}
			// The relays reached b01, so it never had to refute a suspicion.
			for _, u := range c.detectors["b01"].Updates()[:1] {
				if u.Incarnation != 2 {
					t.Errorf("b01 refuted a suspicion: incarnation %d, want 2", u.Incarnation)
				}
			}
		})
	}
}

// TestFalseClaimIsRefuted guards against a healthy host that stays out of the views
// because another host claims that it is suspect, dead or leaving.
func TestFalseClaimIsRefuted(t *testing.T) {
	for _, state := range []core.PeerState{core.PeerSuspect, core.PeerDead, core.PeerLeaving} {
		t.Run(state.String(), func(t *testing.T) {
			c := newCluster(t, 6)
			claim := member.Update{Host: c.hosts["b01"], Incarnation: 2, State: state}
			c.detectors["a00"].Merge(c.now, []member.Update{claim})
			c.run(15 * time.Second)
			c.wantViews(everyHost)
			for _, u := range c.detectors["c05"].Updates() {
				if u.Host.ID() == "b01" && (u.Incarnation <= 2 || u.State != core.PeerAlive) {
					t.Errorf("claim was not refuted: %+v", u)
				}
			}
		})
	}
}

// TestFailedDial guards against one failed dial that removes a healthy host from the view
// for long, and against a lost host that stays in the view until its next regular ping.
func TestFailedDial(t *testing.T) {
	c := newCluster(t, 9)
	c.stopped["b04"] = true
	c.detectors["a00"].MarkDown(c.now, "b01")
	c.detectors["a00"].MarkDown(c.now, "b04")
	if c.inView("a00", "b01") || c.inView("a00", "b04") {
		t.Error("MarkDown did not remove the host from the view")
	}
	c.run(300 * time.Millisecond)
	if !c.inView("a00", "b01") || c.inView("a00", "b04") {
		t.Errorf("after the probe: healthy host in the view: %v, want true; lost host in the view: %v, want false", c.inView("a00", "b01"), c.inView("a00", "b04"))
	}
	c.run(2 * time.Second)
	if c.inView("a00", "b04") {
		t.Error("the lost host is in the view again")
	}
}

// TestPausedProcessRefreshesFirst guards against a resumed process that declares other
// hosts dead because of suspicions and probes from before the pause.
func TestPausedProcessRefreshesFirst(t *testing.T) {
	c := newCluster(t, 9)
	c.detectors["a00"].MarkDown(c.now, "b01")
	c.blocked = func(from, to core.HostID) bool { return from == "b01" && to == "a00" }
	c.run(1500 * time.Millisecond) // a suspicion timeout runs and probes are in flight
	c.stopped["a00"] = true
	c.run(20 * time.Second)
	c.blocked = func(_, _ core.HostID) bool { return false }
	c.stopped["a00"] = false
	if c.detectors["a00"].Fresh(c.now) {
		t.Error("a view from before the pause counts as fresh")
	}
	for range 50 {
		c.run(100 * time.Millisecond)
		for _, u := range c.detectors["a00"].Updates() {
			if u.State == core.PeerDead {
				t.Fatalf("declared %s dead", u.Host.ID())
			}
		}
	}
	if !c.detectors["a00"].Fresh(c.now) {
		t.Error("the view is not fresh 5 s after the pause")
	}
	c.run(10 * time.Second)
	c.wantViews(everyHost)
}

// TestLeavingHost guards against a leaving host that gets work, and against one that
// cannot return after a restart.
func TestLeavingHost(t *testing.T) {
	c := newCluster(t, 9)
	c.detectors["b01"].Leave()
	c.send("b01", c.detectors["b01"].Announce())
	c.run(3 * time.Second)
	c.wantViews(func(_, other core.HostID) bool { return other != "b01" })
	c.stopped["b01"] = true
	c.run(time.Second)
	c.ids = c.ids[:len(c.ids):len(c.ids)]
	c.start("b01", 100)
	c.ids = c.ids[:len(c.ids)-1]
	c.stopped["b01"] = false
	c.publish(c.ids...)
	c.run(10 * time.Second)
	c.wantViews(everyHost)
}

// TestStaleHostList guards against a stale or empty host list that removes hosts which
// answer, against a new host that is not used until it is listed, and against an
// unlisted, stopped host that is never forgotten.
func TestStaleHostList(t *testing.T) {
	c := newCluster(t, 6)
	c.start("c99", 50)
	c.detectors["c99"].SetHostList(c.now, []core.HostEntry{{Host: c.hosts["a00"]}})
	c.run(8 * time.Second)
	c.publish("a00", "b01")
	c.publish()
	for _, i := range c.detectors["c02"].Peers() {
		if want := i.Host.ID() == "a00" || i.Host.ID() == "b01"; i.Listed != want {
			t.Errorf("after an empty list, Listed of %s is %v", i.Host.ID(), i.Listed)
		}
	}
	c.run(15 * time.Second)
	c.wantViews(everyHost)
	c.stopped["c02"] = true
	c.run(30 * time.Second)
	known := func(id core.HostID) bool {
		for _, i := range c.detectors["a00"].Peers() {
			if i.Host.ID() == id {
				return true
			}
		}
		return false
	}
	if !known("c02") {
		t.Error("a dead host was forgotten while stale updates about it may still be spread")
	}
	c.run(2 * time.Minute)
	if known("c02") {
		t.Error("a host that is not listed and does not answer is still known")
	}
}

// TestPacketRateIndependentOfFleetSize guards against a packet rate that grows with the
// fleet. Half of the larger fleet is stopped, which causes the most probes, relays and
// updates.
func TestPacketRateIndependentOfFleetSize(t *testing.T) {
	const seconds = 20
	for _, n := range []int{9, 90} {
		c := newCluster(t, n)
		for i, id := range c.ids {
			c.stopped[id] = n == 90 && i%2 == 1
		}
		clear(c.sent)
		c.run(seconds * time.Second)
		for id, sent := range c.sent {
			// A ping and its ack, four probes with three relays and a second ping
			// each, and as many packets on behalf of other hosts.
			if perSecond := float64(sent) / seconds; perSecond > 40 {
				t.Errorf("%d hosts: %s sends %.1f packets a second, want at most 40", n, id, perSecond)
			}
		}
	}
}

// TestJoiningHost guards against groups that are placed on a host which is not ready,
// against a joining host that nobody pings, and against one that stays out of the views
// when it is ready. This must also hold for hosts that know its state only by gossip.
func TestJoiningHost(t *testing.T) {
	c := newCluster(t, 9)
	c.stopped["b01"] = true
	c.ids = c.ids[:len(c.ids):len(c.ids)]
	c.start("b01", 100)
	c.ids = c.ids[:len(c.ids)-1]
	c.detectors["b01"].SetStatus(member.Status{})
	c.stopped["b01"] = false
	c.publish(c.ids...)
	// Only a00 exchanges packets with the joining host.
	c.blocked = func(from, to core.HostID) bool { return from == "b01" && to != "a00" || to == "b01" && from != "a00" }
	c.run(5 * time.Second)
	for _, u := range c.detectors["c05"].Updates() {
		if u.Host.ID() == "b01" && (u.Incarnation < 100 || u.State == core.PeerAlive) {
			t.Errorf("gossip spread the joining host as %s, incarnation %d, want a state other than alive, incarnation 100", u.State, u.Incarnation)
		}
	}
	if _, ok := c.detectors["a00"].Reachable(c.now).Lookup("b01"); !ok {
		t.Error("a joining host is not reachable")
	}
	c.blocked = func(_, _ core.HostID) bool { return false }
	c.run(10 * time.Second)
	c.wantViews(func(by, other core.HostID) bool { return other != "b01" })
	for _, u := range c.detectors["c05"].Updates() {
		if u.Host.ID() == "b01" && u.State != core.PeerJoining {
			t.Errorf("a joining host that answers has the state %s", u.State)
		}
	}
	c.detectors["b01"].SetStatus(member.Status{Ready: true})
	c.send("b01", c.detectors["b01"].Announce())
	c.run(2 * time.Second)
	c.wantViews(everyHost)
	c.stopped["b01"] = true
	c.run(15 * time.Second)
	c.wantViews(func(by, other core.HostID) bool { return other != "b01" })
}
