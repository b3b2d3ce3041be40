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

// inForceWithin is the bound of R8.
const inForceWithin = 11 * time.Second

// observation is what one host had in force at one time.
type observation struct {
	host    core.HostID
	at      time.Time
	edition int
	ready   bool
	cutOff  bool // the fleet is or was just divided
}

// world runs a cluster and records its history.
type world struct {
	t       *testing.T
	cluster *memnet.Cluster
	hosts   []*memnet.Host
	next    int
	edition int
	cutOff  bool
	healed  time.Time
	history []observation
}

func (w *world) start(dc core.DataCentre, n int) {
	for range n {
		w.next++
		h, err := w.cluster.Start(core.HostID(fmt.Sprintf("%s%d", dc, w.next)), dc)
		if err != nil {
			w.t.Fatal(err)
		}
		w.hosts = append(w.hosts, h)
	}
	w.cluster.Platform.SetHosts(w.cluster.Entries())
}

func (w *world) stop(match func(*memnet.Host) bool) {
	var left []*memnet.Host
	for _, h := range w.hosts {
		if match(h) {
			h.Stop()
		} else {
			left = append(left, h)
		}
	}
	w.hosts = left
}

// publish stores the next edition; the revision equals the edition.
func (w *world) publish() {
	w.edition++
	text := fmt.Sprintf("kind: caller\nname: a\nteam: t\nedition: %d\nservices: [s]\n---\nkind: end\n", w.edition)
	w.cluster.Platform.Publish(core.Revision(w.edition), []byte(text))
}

func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		for _, h := range w.hosts {
			o := observation{host: h.Self.ID(), at: time.Now(), ready: h.Agent.Ready()}
			o.cutOff = w.cutOff || time.Since(w.healed) < inForceWithin
			for _, v := range h.Ledger.Versions() {
				o.edition = int(v.Section().Edition())
			}
			w.history = append(w.history, o)
		}
	}
}

func (w *world) cut(f func(from, to core.Host) bool) {
	w.cutOff, w.healed = f != nil, time.Now()
	w.cluster.Cut(f)
}

// check reads the history as a register that never goes back: not on one host,
// and on a ready host that is not cut off never below what any ready host
// served 11 s before. It returns the first violation.
func check(history []observation) string {
	last := make(map[core.HostID]int)
	served := []observation{{}} // ready observations that raised the maximum
	for _, o := range history {
		if o.edition < last[o.host] {
			return fmt.Sprintf("%s went back from %d to %d", o.host, last[o.host], o.edition)
		}
		last[o.host] = o.edition
		if !o.ready {
			continue
		}
		for _, s := range served {
			if !o.cutOff && o.edition < s.edition && o.at.Sub(s.at) >= inForceWithin {
				return fmt.Sprintf("%s serves %d, %s after %s served %d", o.host, o.edition, o.at.Sub(s.at), s.host, s.edition)
			}
		}
		if o.edition > served[len(served)-1].edition {
			served = append(served, o)
		}
	}
	return ""
}

func inDC(dc core.DataCentre) func(*memnet.Host) bool {
	return func(h *memnet.Host) bool { return h.Self.DataCentre() == dc }
}

// Guards against a change that does not reach a host in time, that is taken
// back, or that a host which just started does not know.
func TestConfigurationHistory(t *testing.T) {
	for name, c := range map[string]struct {
		run   func(w *world)
		ready int // hosts that must be ready at the end; -1 for all
	}{
		"changes in a row": {func(w *world) {
			for range 5 {
				w.publish()
				w.run(2 * time.Second)
			}
		}, -1},
		"service down, hosts replaced": {func(w *world) {
			w.publish()
			w.run(inForceWithin)
			w.start("a", 2)
			w.run(3 * time.Second)
			w.cluster.Platform.SetDown(true)
			w.stop(inDC("b"))
			w.run(20 * time.Second)
			w.publish()
			w.cluster.Platform.SetDown(false)
		}, -1},
		"service stale, data centre replaced": {func(w *world) {
			w.publish()
			w.run(inForceWithin)
			w.cluster.Platform.SetStale(1)
			w.stop(inDC("b"))
			w.start("b", 3)
			w.run(20 * time.Second)
			w.cluster.Platform.SetStale(0)
		}, -1},
		"service flapping": {func(w *world) {
			for i := range 12 {
				if i%3 == 0 {
					w.publish()
				}
				w.cluster.Platform.SetStale(core.Revision(i % 2))
				w.cluster.Platform.SetDown(i%4 == 3)
				w.run(1500 * time.Millisecond)
			}
			w.cluster.Platform.SetStale(0)
			w.cluster.Platform.SetDown(false)
		}, -1},
		"cut between data centres": {func(w *world) {
			w.cut(func(from, to core.Host) bool { return from.DataCentre() != to.DataCentre() })
			w.publish()
			w.run(15 * time.Second)
			w.cut(nil)
		}, -1},
		"joins cut off from ready hosts": {func(w *world) {
			w.publish()
			w.run(inForceWithin)
			w.cluster.Platform.SetStale(1)
			w.cut(func(from, to core.Host) bool { return (from.DataCentre() == "d") != (to.DataCentre() == "d") })
			w.start("d", 1)
			w.run(15 * time.Second)
		}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				w := &world{t: t, cluster: memnet.New(log, 500*time.Microsecond)}
				defer w.stop(func(*memnet.Host) bool { return true })
				w.publish()
				for _, dc := range []core.DataCentre{"a", "b", "c"} {
					w.start(dc, 3)
				}
				w.run(15 * time.Second)
				c.run(w)
				w.run(2 * inForceWithin)
				if fault := check(w.history); fault != "" {
					t.Error(fault)
				}
				ready := 0
				for _, h := range w.hosts {
					if h.Agent.Ready() {
						ready++
						if got := int(h.Ledger.Revision()); got != w.edition {
							t.Errorf("%s ends with revision %d, want %d", h.Self.ID(), got, w.edition)
						}
					}
				}
				if want := c.ready; ready != want && (want >= 0 || ready != len(w.hosts)) {
					t.Errorf("%d of %d hosts are ready, want %d", ready, len(w.hosts), want)
				}
			})
		})
	}
}
