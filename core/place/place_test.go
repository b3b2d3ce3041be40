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
		hosts := hosts(rapid.IntRange(2, 30).Draw(t, "hosts"))
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

// Guards against a cache that answers from another view or another service.
func TestCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain := place.New(3)
		cached := place.NewCache(plain)
		views := make([]core.View, 5)
		for i := range views {
			views[i] = core.NewView(uint64(i+1), hosts(rapid.IntRange(1, 12).Draw(t, "hosts")))
		}
		for range 30 {
			v := rapid.SampledFrom(views).Draw(t, "view")
			s := core.ServiceName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"))
			owner, standby := cached.Owner(v, s, 7)
			wantOwner, wantStandby := plain.Owner(v, s, 7)
			if owner != wantOwner || standby != wantStandby {
				t.Fatalf("view %d: got %s, %s, want %s, %s", v.Version(), owner, standby, wantOwner, wantStandby)
			}
		}
	})
}

func hosts(n int) []core.Host {
	out := make([]core.Host, 0, n)
	for i := range n {
		out = append(out, core.NewHost(core.HostID(fmt.Sprint("host-", i)), "mixco", ""))
	}
	return out
}

// BenchmarkPlan places the 130 shards of one query over 3,300 hosts.
func BenchmarkPlan(b *testing.B) {
	view := core.NewView(1, hosts(3300))
	plain := place.New(place.DefaultSetSize)
	for name, p := range map[string]core.Placer{"plain": plain, "cached": place.NewCache(plain)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				for g := range core.GroupID(130) {
					p.Owner(view, "tickets", g)
				}
			}
		})
	}
}
