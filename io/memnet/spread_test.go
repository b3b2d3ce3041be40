package memnet_test

import (
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
