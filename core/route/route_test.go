package route_test

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/route"
)

// TestMatchPrefersLongestPrefix guards against requests that get a route with a shorter
// prefix although a route with a longer one matches.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := route.New(core.Routing{Version: 3, Routes: []core.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "inner", Host: "a.example", Prefix: "/x/y/"},
		{Name: "outer", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "inner"},
		{"a.example", "/x/yz", "outer"},
		{"A.Example:80", "/x/", "outer"},
		{"a.example", "/x", "all"},
		{"b.example", "/x/q", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		switch {
		case !ok && c.want != "":
			t.Errorf("%s%s: no route, want %s", c.host, c.path, c.want)
		case ok && r.Name != c.want:
			t.Errorf("%s%s: got %s, want %q", c.host, c.path, r.Name, c.want)
		}
	}
}

// TestSplitFollowsWeights guards against services of a route that get more or fewer
// requests than their weights say, for any seed and from the first request on.
func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &core.Route{Name: "r", Split: []core.Share{
			{Service: "a", Weight: rapid.IntRange(0, 90).Draw(t, "a")},
			{Service: "b", Weight: rapid.IntRange(1, 90).Draw(t, "b")},
			{Service: "c", Weight: rapid.IntRange(0, 90).Draw(t, "c")},
		}}
		s := route.NewSplitter(rapid.Uint64().Draw(t, "seed"))
		total := 0
		for _, sh := range r.Split {
			total += sh.Weight
		}
		n := rapid.IntRange(1, 400).Draw(t, "requests")
		got := map[core.ServiceName]int{}
		for range n {
			service, ok := s.Pick(r)
			if !ok {
				t.Fatal("no service picked although a weight is positive")
			}
			got[service]++
		}
		for _, sh := range r.Split {
			want := float64(n) * float64(sh.Weight) / float64(total)
			if diff := math.Abs(float64(got[sh.Service]) - want); diff > float64(len(r.Split)) {
				t.Fatalf("%s: got %d of %d, want about %.1f", sh.Service, got[sh.Service], n, want)
			}
		}
	})
}

// TestSplitSeedsDiffer guards against hosts that all send their first request to the
// same service.
func TestSplitSeedsDiffer(t *testing.T) {
	r := &core.Route{Name: "r", Split: []core.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	first := map[core.ServiceName]bool{}
	for seed := range uint64(4) {
		service, _ := route.NewSplitter(seed).Pick(r)
		first[service] = true
	}
	if len(first) != 2 {
		t.Errorf("got first services %v, want a and b", first)
	}
}

// TestServable guards against two errors at the start of a host: waiting forever if a
// service in the document has no replica anywhere, and serving requests after the
// directory's entries of most replicas have expired.
func TestServable(t *testing.T) {
	table := route.New(core.Routing{Version: 1, Routes: []core.Route{
		{Name: "query", MinRatio: 0.75, Gather: []core.ServiceName{"s-0", "s-1", "s-2", "s-3"}},
		{Name: "order", Split: []core.Share{{Service: "orders", Weight: 9}, {Service: "orders-next", Weight: 1}}},
		{Name: "added", Split: []core.Share{{Service: "empty", Weight: 1}}},
		{Name: "view", Split: []core.Share{{Service: "views", Weight: 1}}},
	}})
	all := []core.ServiceName{"s-0", "s-1", "s-2", "s-3", "orders", "orders-next", "views"}
	for _, c := range []struct {
		name    string
		missing []core.ServiceName
		want    bool
	}{
		{"a service without replicas", nil, true},
		{"one shard missing", []core.ServiceName{"s-2"}, true},
		{"two shards missing", []core.ServiceName{"s-2", "s-0"}, false},
		{"half of the other services missing", []core.ServiceName{"orders-next"}, true},
		{"most of the other services missing", []core.ServiceName{"orders-next", "orders"}, false},
		{"no replica known", all, false},
	} {
		available := func(s core.ServiceName) bool { return slices.Contains(all, s) && !slices.Contains(c.missing, s) }
		if got := table.Servable(available); got != c.want {
			t.Errorf("%s: servable %v, want %v", c.name, got, c.want)
		}
	}
}
