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

// Guards against a change that travels by the pings of every second only: 60
// hosts need about six rounds of them. It also bounds the reads of the platform
// (two readers in each of three data centres) and the bytes of each host.
func TestChangeSpreadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		w := &world{t: t, cluster: memnet.New(log, 500*time.Microsecond)}
		defer w.stop(func(*memnet.Host) bool { return true })
		w.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			w.start(dc, 20)
		}
		w.run(20 * time.Second)
		reads, bytes := w.cluster.Platform.Reads(), w.hosts[7].Agent.Stats().SentBytes
		w.publish()
		w.run(2 * time.Second)
		for _, h := range w.hosts {
			if got := int(h.Ledger.Revision()); got != w.edition {
				t.Errorf("%s holds revision %d after 2 s, want %d", h.Self.ID(), got, w.edition)
			}
		}
		w.run(8 * time.Second)
		if got := w.cluster.Platform.Reads() - reads; got > 150 {
			t.Errorf("%d reads of the platform in 10 s by six readers", got)
		}
		if got := w.hosts[7].Agent.Stats().SentBytes - bytes; got > 10*22<<10 {
			t.Errorf("%d bytes of gossip in 10 s", got)
		}
		t.Logf("in 10 s: %d reads, %d bytes", w.cluster.Platform.Reads()-reads, w.hosts[7].Agent.Stats().SentBytes-bytes)
	})
}

// Guards against a starting host that learns of lost hosts only by its own
// probes, which takes several seconds: with a list that still names two of
// them, its first view must be that of the fleet.
func TestStartingHostKnowsTheLostOnes(t *testing.T) {
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
		stale := c.Entries()
		c.Platform.SetHosts(stale)
		time.Sleep(5 * time.Second)
		hosts[1].Stop()
		hosts[2].Stop()
		time.Sleep(20 * time.Second)
		joined := start("h9")
		for !joined.Agent.Ready() {
			// It would own every group of a nearly empty view and poll all replicas.
			if _, own := joined.Detector.View(time.Now()).Lookup("h9"); own {
				t.Fatal("a host that isn't ready is in its own view")
			}
			time.Sleep(10 * time.Millisecond)
		}
		lost := 0
		for _, i := range joined.Detector.Peers() {
			if i.State == core.PeerDead {
				lost++
			}
		}
		if view := joined.Detector.View(time.Now()).Hosts(); lost != 2 || len(view) != 8 {
			t.Errorf("ready with %d hosts in view and %d held dead, want 8 and 2", len(view), lost)
		}
		for i, h := range append(hosts, joined) {
			if i != 1 && i != 2 {
				h.Stop()
			}
		}
	})
}

// Guards against a cold start in which no host becomes ready or some stay out
// of the views, and against a host that is ready and gets no work for long.
func TestReadyHostsAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer w.stop(func(*memnet.Host) bool { return true })
		w.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			w.start(dc, 20)
		}
		want := func() {
			t.Helper()
			for _, h := range w.hosts {
				if got := len(h.Detector.View(time.Now()).Hosts()); !h.Agent.Ready() || got != len(w.hosts) {
					t.Errorf("%s: ready %v, %d hosts in view, want %d", h.Self.ID(), h.Agent.Ready(), got, len(w.hosts))
				}
			}
		}
		time.Sleep(20 * time.Second)
		want()
		w.start("a", 1)
		for !w.hosts[60].Agent.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		want()
	})
}
