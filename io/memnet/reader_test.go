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

// readers returns the hosts on duty for the next revision.
func (w *world) readers() []*memnet.Host {
	h := w.hosts[0]
	ids := w.cluster.Placer.Readers(h.Detector.Reachable(time.Now()), "a", h.Ledger.Revision(), 0)
	var out []*memnet.Host
	for _, h := range w.hosts {
		if slices.Contains(ids, h.Self.ID()) {
			out = append(out, h)
		}
	}
	return out
}

// Guards against two hosts that read every revision of a document of up to 1 MB,
// and against watches that send it again although nothing changed.
func TestReadersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer w.stop(func(*memnet.Host) bool { return true })
		w.publish()
		w.start("a", 20)
		w.run(30 * time.Second)
		before := make(map[core.HostID]uint64)
		for _, h := range w.hosts {
			before[h.Self.ID()] = h.Documents()
		}
		reads := w.cluster.Platform.Reads()
		w.run(time.Minute)
		for _, h := range w.hosts {
			if got := h.Documents() - before[h.Self.ID()]; got > 0 {
				t.Errorf("%s took %d documents in a minute without a change", h.Self.ID(), got)
			}
		}
		if got := w.cluster.Platform.Reads() - reads; got > 60*5 {
			t.Errorf("%d reads of the platform in a minute by the readers of one data centre", got)
		}
		const changes = 30
		for range changes {
			w.publish()
			w.run(12 * time.Second)
		}
		total := uint64(0)
		for _, h := range w.hosts {
			got := h.Documents() - before[h.Self.ID()]
			if total += got; got > changes/2 {
				t.Errorf("%s took %d documents of %d revisions", h.Self.ID(), got, changes)
			}
		}
		if total > 6*changes {
			t.Errorf("%d documents taken for %d revisions", total, changes)
		}
		t.Logf("%d documents by %d hosts for %d revisions", total, len(w.hosts), changes)
	})
}

// Guards against a revision that nobody reads for more than 11 s because the
// hosts chosen for it fail at that moment, in a fleet of one data centre.
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
			w := &world{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
			defer w.stop(func(*memnet.Host) bool { return true })
			w.publish()
			w.start("a", 20)
			w.run(20 * time.Second)
			for range 5 {
				w.publish()
				w.run(3 * time.Second)
				failed := w.readers()
				for _, h := range failed {
					tc.fail(h)
				}
				if tc.name == "dead" {
					w.hosts = slices.DeleteFunc(w.hosts, func(h *memnet.Host) bool { return slices.Contains(failed, h) })
				}
				w.publish()
				w.run(inForceWithin)
				for _, h := range w.hosts {
					if got := int(h.Ledger.Revision()); got != w.edition && !slices.Contains(failed, h) {
						t.Errorf("%s: %s holds revision %d after 11 s, want %d", tc.name, h.Self.ID(), got, w.edition)
					}
				}
				for _, h := range failed {
					tc.heal(h)
				}
				w.run(20 * time.Second)
			}
		})
	}
}
