package memnet_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/memnet"
)

// Guards against a change that spreads only with the pings that hosts send each second,
// which would take about six rounds with 60 hosts. It also bounds the reads of the
// platform (two readers in each of three data centres) and the bytes that one host
// sends.
func TestChangeReachesAllHostsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		sim := &simulation{t: t, cluster: memnet.New(log, 500*time.Microsecond)}
		defer sim.stop(func(*memnet.Host) bool { return true })
		sim.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			sim.start(dc, 20)
		}
		sim.run(20 * time.Second)
		reads, bytes := sim.cluster.Platform.Reads(), sim.hosts[7].Agent.Stats().SentBytes
		sim.publish()
		sim.run(2 * time.Second)
		for _, h := range sim.hosts {
			if got := int(h.Ledger.Revision()); got != sim.edition {
				t.Errorf("%s has revision %d after 2 s, want %d", h.Self.ID(), got, sim.edition)
			}
		}
		sim.run(8 * time.Second)
		if got := sim.cluster.Platform.Reads() - reads; got > 150 {
			t.Errorf("%d reads of the platform in 10 s by six readers", got)
		}
		if got := sim.hosts[7].Agent.Stats().SentBytes - bytes; got > 10*22<<10 {
			t.Errorf("one host sent %d bytes of gossip in 10 s", got)
		}
		t.Logf("in 10 s: %d reads of the platform, %d bytes sent by one host", sim.cluster.Platform.Reads()-reads, sim.hosts[7].Agent.Stats().SentBytes-bytes)
	})
}

// Guards against a starting host that detects dead hosts only by its own probes,
// which takes several seconds. The host list still names two dead hosts; when the
// new host becomes ready, its view must match that of the other hosts.
func TestStartingHostLearnsDeadHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := memnet.New(slog.New(slog.DiscardHandler), time.Millisecond)
		c.Platform.Publish(1, []byte("kind: caller\nname: a\nteam: t\nedition: 1\nservices: [s]\n---\nkind: end\n"))
		var hosts []*memnet.Host
		start := func(id core.HostID) *memnet.Host {
			h, err := c.Start(id, "a")
			if err != nil {
				t.Fatal(err)
			}
			return h
		}
		for i := range 9 {
			hosts = append(hosts, start(core.HostID(fmt.Sprintf("h%d", i))))
		}
		stale := c.HostList()
		c.Platform.SetHosts(stale)
		time.Sleep(5 * time.Second)
		hosts[1].Stop()
		hosts[2].Stop()
		time.Sleep(20 * time.Second)
		joined := start("h9")
		for !joined.Agent.Ready() {
			// With an almost empty view it would own every replica group and poll all replicas.
			if _, found := joined.Detector.View(time.Now()).Lookup("h9"); found {
				t.Fatal("a host that is not ready is in its own view")
			}
			time.Sleep(10 * time.Millisecond)
		}
		dead := 0
		for _, p := range joined.Detector.Peers() {
			if p.State == core.PeerDead {
				dead++
			}
		}
		if view := joined.Detector.View(time.Now()).Hosts(); dead != 2 || len(view) != 8 {
			t.Errorf("ready with %d hosts in view and %d known as dead, want 8 and 2", len(view), dead)
		}
		for i, h := range append(hosts, joined) {
			if i != 1 && i != 2 {
				h.Stop()
			}
		}
	})
}

// Guards against a cold start in which no host becomes ready or some hosts stay
// missing from the views, and against a host that is ready but isn't in the views
// of the others, so that it gets no work.
func TestReadyHostsEnterViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer sim.stop(func(*memnet.Host) bool { return true })
		sim.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			sim.start(dc, 20)
		}
		checkViews := func() {
			t.Helper()
			for _, h := range sim.hosts {
				if got := len(h.Detector.View(time.Now()).Hosts()); !h.Agent.Ready() || got != len(sim.hosts) {
					t.Errorf("%s: ready %v, %d hosts in view, want %d", h.Self.ID(), h.Agent.Ready(), got, len(sim.hosts))
				}
			}
		}
		time.Sleep(20 * time.Second)
		checkViews()
		sim.start("a", 1)
		for !sim.hosts[60].Agent.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		checkViews()
	})
}
