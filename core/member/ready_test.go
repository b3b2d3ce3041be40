package member_test

import (
	"strings"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/member"
)

// Guards against a starting host that serves an older configuration than the
// fleet, and against a fleet that never becomes ready after a cold start.
// Hosts are letters; capital letters are ready. The roster's hosts after a slash
// are held dead, as after a restart beside a host that the list still names.
func TestReadiness(t *testing.T) {
	for name, c := range map[string]struct {
		document, known            bool
		roster, compared, answered string
		want                       member.Rule
	}{
		"no document":                     {false, true, "", "", "", member.NotReady},
		"no host list":                    {true, false, "", "", "", member.NotReady},
		"alone":                           {true, true, "", "", "", member.Alone},
		"others are silent":               {true, true, "abc", "", "", member.NotReady},
		"three compared, one ready":       {true, true, "abcde", "abC", "", member.Compared},
		"three compared, none ready":      {true, true, "abcdefgh", "abc", "", member.NotReady},
		"two compared of many":            {true, true, "abcde", "aB", "", member.NotReady},
		"all of a small roster":           {true, true, "ab", "aB", "", member.Compared},
		"one other host, ready":           {true, true, "a", "A", "", member.Compared},
		"compared hosts left the roster":  {true, true, "cde", "ABC", "", member.NotReady},
		"stale list, a live host ready":   {true, true, "a/b", "A", "", member.Compared},
		"stale list, a live host is not":  {true, true, "a/b", "a", "", member.NotReady},
		"stale list, one live host left":  {true, true, "abc/def", "aB", "", member.NotReady},
		"stale list, all held dead":       {true, true, "/ab", "", "", member.NotReady},
		"cold start, half answered":       {true, true, "abcd", "", "ab", member.NotReady},
		"cold start, most answered":       {true, true, "abcd", "", "abc", member.ColdAll},
		"cold start, one of them ready":   {true, true, "abcd", "", "abC", member.NotReady},
		"cold start, two hosts":           {true, true, "a", "", "a", member.ColdAll},
		"cold start, service still down":  {false, true, "abcd", "abc", "abcd", member.NotReady},
		"stale service, ready ones apart": {true, true, "abcde", "ab", "ab", member.NotReady},
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
			live, dead, _ := strings.Cut(c.roster, "/")
			roster := each(live+dead, func(core.HostID, bool) {})
			if got := r.Check(c.document, c.known, roster, len(dead)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if got := r.Check(false, false, []core.HostID{"x", "y"}, 0); got != c.want {
				t.Errorf("isolated later: %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against two readers that replace each other's list for ever because
// one lags, and against a list that stays wrong when the reader that saw the
// right one is gone.
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
		t.Errorf("lagging reader holds %v", got)
	}
	now = now.Add(time.Minute)
	if !lagging.Fetched(now, list("a", "b")) {
		t.Error("a settled list does not replace another one")
	}
	sync(lagging, fresh)
	if fresh.Version() != lagging.Version() || fresh.Entries()[1].Host.ID() != "b" {
		t.Error("the lists did not converge")
	}
}
