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

// Guards against a host that admits callers before it knows the owners of all
// groups: one that joins ready hosts waits outside the view, one of a cold start
// inside it, since the owners that it has to ask are those that just joined.
func TestJoinWaitsForKnowledge(t *testing.T) {
	for _, c := range []struct {
		rule   member.Rule
		inside bool // in the view while it waits
	}{
		{member.Compared, false},
		{member.ColdAll, true},
		{member.Alone, true},
	} {
		t.Run(string(c.rule), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const takes = 300 * time.Millisecond
				begin := time.Now()
				self := core.NewHost("a", "x", "10.0.0.1:1")
				d := member.New(self, 1, nil)
				a, err := New(Parts{
					Self: self, Detector: d, Ledger: config.NewLedger(), Log: slog.New(slog.DiscardHandler),
					Informed: func() bool { return time.Since(begin) >= takes },
				})
				if err != nil {
					t.Fatal(err)
				}
				listed := func() bool {
					_, ok := d.View(time.Now()).Lookup(self.ID())
					return ok
				}
				done := make(chan struct{})
				go func() {
					a.join(t.Context(), c.rule)
					close(done)
				}()
				<-time.After(takes / 2)
				a.setStatus() // as at every tick
				if a.Ready() || listed() != c.inside {
					t.Errorf("not informed: ready %v, in the view %v, want false, %v", a.Ready(), listed(), c.inside)
				}
				<-done
				if took := time.Since(begin); !a.Ready() || !listed() || took >= informBound {
					t.Errorf("informed: ready %v, in the view %v after %v", a.Ready(), listed(), took)
				}
			})
		})
	}
}
