package memnet_test

import (
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/memnet"
)

// readers returns the hosts of data centre a that read the next revision from the
// platform.
func (sim *simulation) readers() []*memnet.Host {
	h := sim.hosts[0]
	ids := sim.cluster.Placer.Readers(h.Detector.Reachable(time.Now()), "a", h.Ledger.Revision(), 0)
	var out []*memnet.Host
	for _, h := range sim.hosts {
		if slices.Contains(ids, h.Self.ID()) {
			out = append(out, h)
		}
	}
	return out
}

// Guards against the same two hosts reading every revision of the document, which can
// be 1 MB large, and against watches that return an unchanged document again.
func TestReadersRotate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer sim.stop(func(*memnet.Host) bool { return true })
		sim.publish()
		sim.start("a", 20)
		sim.run(30 * time.Second)
		before := make(map[core.HostID]uint64)
		for _, h := range sim.hosts {
			before[h.Self.ID()] = h.DocumentReads()
		}
		reads := sim.cluster.Platform.Reads()
		sim.run(time.Minute)
		for _, h := range sim.hosts {
			if got := h.DocumentReads() - before[h.Self.ID()]; got > 0 {
				t.Errorf("%s read %d documents in a minute without a change", h.Self.ID(), got)
			}
		}
		if got := sim.cluster.Platform.Reads() - reads; got > 60*5 {
			t.Errorf("%d reads of the platform in a minute by the readers of one data centre", got)
		}
		const changes = 30
		for range changes {
			sim.publish()
			sim.run(12 * time.Second)
		}
		total := uint64(0)
		for _, h := range sim.hosts {
			got := h.DocumentReads() - before[h.Self.ID()]
			if total += got; got > changes/2 {
				t.Errorf("%s read %d documents of %d revisions", h.Self.ID(), got, changes)
			}
		}
		if total > 6*changes {
			t.Errorf("%d documents read for %d revisions", total, changes)
		}
		t.Logf("%d documents read by %d hosts for %d revisions", total, len(sim.hosts), changes)
	})
}

// Guards against a revision that no host reads within 11 s because the hosts chosen
// to read it fail at that moment. All hosts are in one data centre.
func TestFailedReadersAreReplaced(t *testing.T) {
	tests := []struct {
		name string
		fail func(*memnet.Host)
		heal func(*memnet.Host)
	}{
		{"cut off from the platform", func(h *memnet.Host) { h.CutPlatform(true) }, func(h *memnet.Host) { h.CutPlatform(false) }},
		{"paused", (*memnet.Host).Pause, (*memnet.Host).Resume},
		{"dead", (*memnet.Host).Stop, func(*memnet.Host) {}},
	}
	for _, tc := range tests {
		synctest.Test(t, func(t *testing.T) {
			sim := &simulation{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
			defer sim.stop(func(*memnet.Host) bool { return true })
			sim.publish()
			sim.start("a", 20)
			sim.run(20 * time.Second)
			for range 5 {
				sim.publish()
				sim.run(3 * time.Second)
				failed := sim.readers()
				for _, h := range failed {
					tc.fail(h)
				}
				if tc.name == "dead" {
					sim.hosts = slices.DeleteFunc(sim.hosts, func(h *memnet.Host) bool { return slices.Contains(failed, h) })
				}
				sim.publish()
				sim.run(propagationBound)
				for _, h := range sim.hosts {
					if got := int(h.Ledger.Revision()); got != sim.edition && !slices.Contains(failed, h) {
						t.Errorf("%s: %s has revision %d after 11 s, want %d", tc.name, h.Self.ID(), got, sim.edition)
					}
				}
				for _, h := range failed {
					tc.heal(h)
				}
				sim.run(20 * time.Second)
			}
		})
	}
}
