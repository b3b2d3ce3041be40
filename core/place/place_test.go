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

// TestLostHost guards against groups that move although their owner was not lost and
// their new owner was in the owner set before, and against groups of the lost host
// that do not go to their standby. It also guards against an owner that is its own
// standby.
func TestLostHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := hosts(rapid.IntRange(2, 30).Draw(t, "hosts"))
		i := rapid.IntRange(0, len(hosts)-1).Draw(t, "lost")
		lost := hosts[i].ID()
		p := place.New(place.DefaultSetSize)
		before := core.NewView(1, hosts)
		after := core.NewView(2, slices.Delete(slices.Clone(hosts), i, i+1))
		oldSet := p.OwnerSet(before, "s")
		for g := range core.GroupID(40) {
			oldOwner, standby := p.Owner(before, "s", g)
			newOwner, _ := p.Owner(after, "s", g)
			if oldOwner == standby || oldOwner == "" {
				t.Fatalf("group %d: owner %q, standby %q", g, oldOwner, standby)
			}
			if newOwner != oldOwner && oldOwner != lost && slices.Contains(oldSet, newOwner) {
				t.Fatalf("group %d moves from %s to %s when %s is lost", g, oldOwner, newOwner, lost)
			}
			if newOwner == lost || (oldOwner == lost && slices.Contains(oldSet, newOwner) && newOwner != standby) {
				t.Fatalf("group %d of the lost host goes to %s, standby was %s", g, newOwner, standby)
			}
		}
	})
}

// TestCache guards against a cache that returns the owners of another view or another
// service.
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

// BenchmarkOwner looks up the owners of the 130 shards of one query among 3,300 hosts.
func BenchmarkOwner(b *testing.B) {
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
