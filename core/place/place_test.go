package place_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/place"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestLostHost guards against groups that move although neither their owner was
// lost nor the host that enters the owner set takes them over, and against an
// owner that is its own standby.
func TestLostHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []core.Host
		for i := range rapid.IntRange(2, 30).Draw(t, "hosts") {
			hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), "mixco", ""))
		}
		i := rapid.IntRange(0, len(hosts)-1).Draw(t, "lost")
		lost := hosts[i].ID()
		p := place.New(place.DefaultSetSize)
		before := core.NewView(1, hosts)
		after := core.NewView(2, slices.Delete(slices.Clone(hosts), i, i+1))
		old := p.OwnerSet(before, "s")
		for g := range core.GroupID(40) {
			was, standby := p.Owner(before, "s", g)
			is, _ := p.Owner(after, "s", g)
			if was == standby || was == "" {
				t.Fatalf("group %d: owner %q, standby %q", g, was, standby)
			}
			if is != was && was != lost && slices.Contains(old, is) {
				t.Fatalf("group %d moves from %s to %s when %s is lost", g, was, is, lost)
			}
			if is == lost || (was == lost && slices.Contains(old, is) && is != standby) {
				t.Fatalf("group %d of the lost host goes to %s, standby was %s", g, is, standby)
			}
		}
	})
}
