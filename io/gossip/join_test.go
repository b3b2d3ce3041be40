package gossip

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
)

// Guards against a host that admits callers before it knows the snapshots of all groups.
// A host that joins ready hosts waits for them before it enters the view. In a cold start
// it enters the view first, since the owners that it asks are the hosts that have just
// joined.
func TestJoinWaitsUntilInformed(t *testing.T) {
	for _, c := range []struct {
		rule   member.ReadyRule
		inView bool // whether the host is in the view while it waits
	}{
		{member.Compared, false},
		{member.ColdStart, true},
		{member.Alone, true},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const delay = 300 * time.Millisecond
				begin := time.Now()
				self := core.NewHost("a", "x", "10.0.0.1:1")
				d := member.New(self, 1, nil)
				a, err := New(Deps{
					Self: self, Detector: d, Ledger: config.NewLedger(), Log: slog.New(slog.DiscardHandler),
					Informed: func() bool { return time.Since(begin) >= delay },
				})
				if err != nil {
					t.Fatal(err)
				}
				isInView := func() bool {
					_, ok := d.View(time.Now()).Lookup(self.ID())
					return ok
				}
				done := make(chan struct{})
				go func() {
					a.join(t.Context(), c.rule)
					close(done)
				}()
				<-time.After(delay / 2)
				a.setStatus() // as tickLoop does
				if a.Ready() || isInView() != c.inView {
					t.Errorf("not informed: ready %v, in the view %v, want false, %v", a.Ready(), isInView(), c.inView)
				}
				<-done
				if elapsed := time.Since(begin); !a.Ready() || !isInView() || elapsed >= informTimeout {
					t.Errorf("informed: ready %v, in the view %v after %v", a.Ready(), isInView(), elapsed)
				}
			})
		})
	}
}
