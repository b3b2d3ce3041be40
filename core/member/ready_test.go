package member_test

import (
	"strings"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
)

// TestReadiness guards against a starting host that serves an older configuration than
// the fleet, and against a fleet that never becomes ready after a cold start.
// Each letter is a host; a capital letter is a ready host. Hosts after the slash in live
// are declared dead although the lagging host list still contains them.
func TestReadiness(t *testing.T) {
	for name, c := range map[string]struct {
		document, list           bool
		live, compared, answered string
		want                     member.ReadyRule
	}{
		"no document":                     {false, true, "", "", "", member.NotReady},
		"no host list":                    {true, false, "", "", "", member.NotReady},
		"alone":                           {true, true, "", "", "", member.Alone},
		"no other host answers":           {true, true, "abc", "", "", member.NotReady},
		"three compared, one ready":       {true, true, "abcde", "abC", "", member.Compared},
		"three compared, none ready":      {true, true, "abcdefgh", "abc", "", member.NotReady},
		"two of five compared":            {true, true, "abcde", "aB", "", member.NotReady},
		"both of two hosts compared":      {true, true, "ab", "aB", "", member.Compared},
		"one other host, ready":           {true, true, "a", "A", "", member.Compared},
		"compared hosts no longer listed": {true, true, "cde", "ABC", "", member.NotReady},
		"stale list, live host ready":     {true, true, "a/b", "A", "", member.Compared},
		"stale list, live host not ready": {true, true, "a/b", "a", "", member.NotReady},
		"stale list, one not compared":    {true, true, "abc/def", "aB", "", member.NotReady},
		"stale list, all declared dead":   {true, true, "/ab", "", "", member.NotReady},
		"cold start, half answered":       {true, true, "abcd", "", "ab", member.NotReady},
		"cold start, most answered":       {true, true, "abcd", "", "abc", member.ColdStart},
		"cold start, one host ready":      {true, true, "abcd", "", "abC", member.NotReady},
		"cold start, two hosts":           {true, true, "a", "", "a", member.ColdStart},
		"cold start, no document":         {false, true, "abcd", "abc", "abcd", member.NotReady},
		"no answer from ready hosts":      {true, true, "abcde", "ab", "ab", member.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			r := member.NewReadiness()
			each := func(hosts string, f func(core.HostID, bool)) []core.HostID {
				var ids []core.HostID
				for _, h := range hosts {
					id := core.HostID(h | 0x20)
					ids = append(ids, id)
					f(id, h < 'a')
				}
				return ids
			}
			each(c.answered, r.Answered)
			each(c.compared, r.Compared)
			live, dead, _ := strings.Cut(c.live, "/")
			listed := each(live+dead, func(core.HostID, bool) {})
			if got := r.Check(c.document, c.list, listed, len(dead)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if got := r.Check(false, false, []core.HostID{"x", "y"}, 0); got != c.want {
				t.Errorf("when isolated later: got %q, want %q", got, c.want)
			}
		})
	}
}

// TestHostListOfLaggingReaders guards against two readers that replace each other's list
// for ever because one of them lags, and against an outdated list that stays active
// because the reader with the current one has stopped.
func TestHostListOfLaggingReaders(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list := func(ids ...string) (out []core.HostEntry) {
		for _, id := range ids {
			out = append(out, core.HostEntry{Host: core.NewHost(core.HostID(id), "x", id+":1")})
		}
		return out
	}
	fresh, lagging := member.NewHostList(), member.NewHostList()
	sync := func(from, to *member.HostList) { to.Merge(now, from.Version(), from.Differing(to.Digests())) }
	fresh.Fetched(now, list("a", "b"))
	lagging.Fetched(now, list("a", "b"))
	if fresh.Version() != lagging.Version() {
		t.Error("equal lists have different versions")
	}
	now = now.Add(time.Minute)
	fresh.Fetched(now, list("a", "c"))
	sync(fresh, lagging)
	for range 9 {
		now = now.Add(time.Second)
		if lagging.Fetched(now, list("a", "b")) || lagging.Fetched(now, nil) {
			t.Fatal("the lagging reader replaced the newer list")
		}
	}
	if got := lagging.Entries(); len(got) != 2 || got[1].Host.ID() != "c" {
		t.Errorf("the lagging reader has the list %v, want the newer one", got)
	}
	now = now.Add(time.Minute)
	if !lagging.Fetched(now, list("a", "b")) {
		t.Error("a settled list did not replace a different one")
	}
	sync(lagging, fresh)
	if fresh.Version() != lagging.Version() || fresh.Entries()[1].Host.ID() != "b" {
		t.Error("the lists of the readers did not converge")
	}
}
