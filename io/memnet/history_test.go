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

// propagationBound bounds the time from the publication of a configuration change
// until every ready host that the network reaches uses it (requirement R8).
const propagationBound = 11 * time.Second

// observation is the configuration that was active on one host at one time.
type observation struct {
	host    core.HostID
	at      time.Time
	edition int
	ready   bool
	cutOff  bool // the network was cut within the last propagationBound
}

// simulation runs a cluster and records which configuration each host uses over time.
type simulation struct {
	t        *testing.T
	cluster  *memnet.Cluster
	hosts    []*memnet.Host
	started  int // number of hosts started so far
	edition  int
	cutOff   bool
	healedAt time.Time
	history  []observation
}

func (sim *simulation) start(dc core.DataCentre, n int) {
	for range n {
		sim.started++
		h, err := sim.cluster.Start(core.HostID(fmt.Sprintf("%s%d", dc, sim.started)), dc)
		if err != nil {
			sim.t.Fatal(err)
		}
		sim.hosts = append(sim.hosts, h)
	}
	sim.cluster.Platform.SetHosts(sim.cluster.HostList())
}

func (sim *simulation) stop(match func(*memnet.Host) bool) {
	var remaining []*memnet.Host
	for _, h := range sim.hosts {
		if match(h) {
			h.Stop()
		} else {
			remaining = append(remaining, h)
		}
	}
	sim.hosts = remaining
}

// publish publishes a document with the next edition, which is also its revision.
func (sim *simulation) publish() {
	sim.edition++
	text := fmt.Sprintf("kind: caller\nname: a\nteam: t\nedition: %d\nservices: [s]\n---\nkind: end\n", sim.edition)
	sim.cluster.Platform.Publish(core.Revision(sim.edition), []byte(text))
}

// run lets the cluster run for d and records an observation of every host each
// 100 ms.
func (sim *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		for _, h := range sim.hosts {
			o := observation{host: h.Self.ID(), at: time.Now(), ready: h.Agent.Ready()}
			o.cutOff = sim.cutOff || time.Since(sim.healedAt) < propagationBound
			for _, v := range h.Ledger.Versions() {
				o.edition = int(v.Section().Edition())
			}
			sim.history = append(sim.history, o)
		}
	}
}

// cut cuts the network as Cluster.Cut does and records the time; a nil function ends the
// cut.
func (sim *simulation) cut(f func(from, to core.Host) bool) {
	sim.cutOff, sim.healedAt = f != nil, time.Now()
	sim.cluster.Cut(f)
}

// firstViolation returns a description of the first violation of two rules, or an empty
// string: the edition of a host never decreases, and a ready host that isn't cut off has
// at least the highest edition that any ready host had propagationBound ago.
func firstViolation(history []observation) string {
	last := make(map[core.HostID]int)
	firstUses := []observation{{}} // the first ready host with each new highest edition
	for _, o := range history {
		if o.edition < last[o.host] {
			return fmt.Sprintf("%s went back from edition %d to %d", o.host, last[o.host], o.edition)
		}
		last[o.host] = o.edition
		if !o.ready {
			continue
		}
		for _, s := range firstUses {
			if !o.cutOff && o.edition < s.edition && o.at.Sub(s.at) >= propagationBound {
				return fmt.Sprintf("%s uses edition %d, %s after %s used %d", o.host, o.edition, o.at.Sub(s.at), s.host, s.edition)
			}
		}
		if o.edition > firstUses[len(firstUses)-1].edition {
			firstUses = append(firstUses, o)
		}
	}
	return ""
}

func inDC(dc core.DataCentre) func(*memnet.Host) bool {
	return func(h *memnet.Host) bool { return h.Self.DataCentre() == dc }
}

// Guards against a configuration change that reaches a host too late or that a host
// reverts, and against a new host that becomes ready without it.
func TestConfigurationHistory(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(sim *simulation)
		ready int // hosts that must be ready at the end; -1 for all
	}{
		"consecutive changes": {func(sim *simulation) {
			for range 5 {
				sim.publish()
				sim.run(2 * time.Second)
			}
		}, -1},
		"platform down, hosts replaced": {func(sim *simulation) {
			sim.publish()
			sim.run(propagationBound)
			sim.start("a", 2)
			sim.run(3 * time.Second)
			sim.cluster.Platform.SetDown(true)
			sim.stop(inDC("b"))
			sim.run(20 * time.Second)
			sim.publish()
			sim.cluster.Platform.SetDown(false)
		}, -1},
		"platform stale, data centre replaced": {func(sim *simulation) {
			sim.publish()
			sim.run(propagationBound)
			sim.cluster.Platform.SetStale(1)
			sim.stop(inDC("b"))
			sim.start("b", 3)
			sim.run(20 * time.Second)
			sim.cluster.Platform.SetStale(0)
		}, -1},
		"platform flapping": {func(sim *simulation) {
			for i := range 12 {
				if i%3 == 0 {
					sim.publish()
				}
				sim.cluster.Platform.SetStale(core.Revision(i % 2))
				sim.cluster.Platform.SetDown(i%4 == 3)
				sim.run(1500 * time.Millisecond)
			}
			sim.cluster.Platform.SetStale(0)
			sim.cluster.Platform.SetDown(false)
		}, -1},
		"data centres cut off from each other": {func(sim *simulation) {
			sim.cut(func(from, to core.Host) bool { return from.DataCentre() != to.DataCentre() })
			sim.publish()
			sim.run(15 * time.Second)
			sim.cut(nil)
		}, -1},
		"new host cut off from ready hosts": {func(sim *simulation) {
			sim.publish()
			sim.run(propagationBound)
			sim.cluster.Platform.SetStale(1)
			sim.cut(func(from, to core.Host) bool { return (from.DataCentre() == "d") != (to.DataCentre() == "d") })
			sim.start("d", 1)
			sim.run(15 * time.Second)
		}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				sim := &simulation{t: t, cluster: memnet.New(log, 500*time.Microsecond)}
				defer sim.stop(func(*memnet.Host) bool { return true })
				sim.publish()
				for _, dc := range []core.DataCentre{"a", "b", "c"} {
					sim.start(dc, 3)
				}
				sim.run(15 * time.Second)
				c.run(sim)
				sim.run(2 * propagationBound)
				if violation := firstViolation(sim.history); violation != "" {
					t.Error(violation)
				}
				ready := 0
				for _, h := range sim.hosts {
					if h.Agent.Ready() {
						ready++
						if got := int(h.Ledger.Revision()); got != sim.edition {
							t.Errorf("%s ends with revision %d, want %d", h.Self.ID(), got, sim.edition)
						}
					}
				}
				if want := c.ready; ready != want && (want >= 0 || ready != len(sim.hosts)) {
					t.Errorf("%d of %d hosts are ready, want %d", ready, len(sim.hosts), want)
				}
			})
		})
	}
}
