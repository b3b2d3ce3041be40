package memnet_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/memnet"
)

// Guards against a cold start in which every host reads the complete document from
// the platform because it doesn't know the other hosts yet.
func TestColdStartReadsFewDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer sim.stop(func(*memnet.Host) bool { return true })
		sim.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			sim.start(dc, 20)
		}
		time.Sleep(10 * time.Second)
		documents := uint64(0)
		for _, h := range sim.hosts {
			documents += h.DocumentReads()
			if !h.Agent.Ready() || int(h.Ledger.Revision()) != sim.edition {
				t.Errorf("%s: ready %v, revision %d after 10 s", h.Self.ID(), h.Agent.Ready(), h.Ledger.Revision())
			}
		}
		t.Logf("%d documents read", documents)
		if documents > 3*6 {
			t.Errorf("%d documents read from the platform by %d hosts of three data centres, want 18 or fewer", documents, len(sim.hosts))
		}
	})
}
