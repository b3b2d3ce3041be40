package memnet_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/memnet"
)

// Guards against a cold start in which every host takes the whole document from
// the platform because it doesn't know the other hosts yet.
func TestColdStartReadsFewDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, cluster: memnet.New(slog.New(slog.DiscardHandler), 500*time.Microsecond)}
		defer w.stop(func(*memnet.Host) bool { return true })
		w.publish()
		for _, dc := range []core.DataCentre{"a", "b", "c"} {
			w.start(dc, 20)
		}
		time.Sleep(10 * time.Second)
		documents := uint64(0)
		for _, h := range w.hosts {
			documents += h.Documents()
			if !h.Agent.Ready() || int(h.Ledger.Revision()) != w.edition {
				t.Errorf("%s: ready %v, revision %d after 10 s", h.Self.ID(), h.Agent.Ready(), h.Ledger.Revision())
			}
		}
		t.Logf("%d documents", documents)
		if documents > 3*6 {
			t.Errorf("%d documents taken from the platform by %d hosts of three data centres", documents, len(w.hosts))
		}
	})
}
