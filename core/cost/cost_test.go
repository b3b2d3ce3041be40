package cost_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"oriolebarrow/core/budget"
	"oriolebarrow/core/cost"
)

const target = 200 * ms

// workload feeds a model with calls of one route, 20 a second.
type workload struct {
	rng   *rand.Rand
	now   time.Time
	model *cost.Model
}

func newWorkload() *workload {
	return &workload{rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0), cost.New()}
}

// observe observes n calls of a class whose usual time is given.
func (w *workload) observe(c cost.Class, usual time.Duration, n int) {
	for range n {
		w.now = w.now.Add(50 * ms)
		w.model.Observe(w.now, c, cost.Sample{Took: w.vary(usual)})
	}
}

// mix observes n calls each of two classes in turn.
func (w *workload) mix(a, b cost.Class, usualA, usualB time.Duration, n int) {
	for range n {
		w.observe(a, usualA, 1)
		w.observe(b, usualB, 1)
	}
}

func (w *workload) vary(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * math.Exp(0.35*w.rng.NormFloat64()))
}

func (w *workload) estimate(c cost.Class) cost.Estimate {
	return w.model.Estimate(w.now, c, target)
}

func near(got, want time.Duration) bool { return got > want*3/4 && got < want*4/3 }

var (
	item   = cost.ClassOf("r", "GET", "/shop/item/1", 0)
	report = cost.ClassOf("r", "GET", "/shop/report/1?full", 0)
)

// TestColdStart guards against an estimate that rests on a handful of calls.
func TestColdStart(t *testing.T) {
	w := newWorkload()
	want := cost.Estimate{Usual: target / 5, Late: target / 3, Basis: cost.BasisTarget}
	w.observe(item, 4*ms, 49)
	if got := w.estimate(item); got != want {
		t.Errorf("estimate %+v after 49 calls, want %+v", got, want)
	}
	w.observe(report, 80*ms, 23)
	if got := w.estimate(report).Basis; got != cost.BasisRoute {
		t.Errorf("the estimate of a class with 23 calls rests on %q", got)
	}
}

// TestAlikeRequests guards against requests that are alike but get other estimates than their
// route's usual time and tail, by which they were served before there were classes. Now and
// then a pause slows all of them down.
func TestAlikeRequests(t *testing.T) {
	for _, sigma := range []float64{0.35, 1.2} { // a heavy tail
		w := newWorkload()
		var times budget.Times
		for i := range 20000 {
			took := time.Duration(float64(20*ms) * math.Exp(sigma*w.rng.NormFloat64()))
			if i%1000 < 50 {
				took += 200 * ms
			}
			uri := fmt.Sprintf("/shop/%c/%d", 'a'+i%7, i)
			c := cost.ClassOf("r", []string{"GET", "POST"}[i%2], uri, 1<<(i%11))
			w.now = w.now.Add(50 * ms)
			w.model.Observe(w.now, c, cost.Sample{Took: took})
			times.Observe(took)
			if i < 50 {
				continue
			}
			want := cost.Estimate{Usual: times.Median(), Late: min(times.Tail(), 2*times.Median()), Basis: cost.BasisRoute}
			if got := w.estimate(c); got != want {
				t.Fatalf("deviation %.2f, call %d: estimate %+v, want %+v", sigma, i, got, want)
			}
		}
	}
}

// TestUnequalClasses guards against requests whose work shows in the path, the size of the
// body or the method, but that get the usual time of their route.
func TestUnequalClasses(t *testing.T) {
	for _, c := range []struct {
		name             string
		cheap, expensive func(i int) cost.Class
		basis            cost.Basis
	}{
		{"path", func(i int) cost.Class { return cost.ClassOf("r", "GET", fmt.Sprint("/shop/item/", i), 0) },
			func(i int) cost.Class { return cost.ClassOf("r", "GET", fmt.Sprint("/shop/report/", i), 0) }, cost.BasisAll},
		{"body", func(i int) cost.Class { return cost.ClassOf("r", "POST", "/find", 200+i%50) },
			func(i int) cost.Class { return cost.ClassOf("r", "POST", "/find", 60000+i) }, cost.BasisAll},
		{"method", func(i int) cost.Class { return cost.ClassOf("r", "GET", "/find", 0) },
			func(i int) cost.Class { return cost.ClassOf("r", "PUT", "/find", 0) }, cost.BasisAll},
		{"first segments of many paths", func(i int) cost.Class { return cost.ClassOf("r", "GET", "/shop/item/"+word(i), 0) },
			func(i int) cost.Class { return cost.ClassOf("r", "GET", "/shop/report/"+word(i), 0) }, cost.BasisPrefix},
		{"body size of many paths", func(i int) cost.Class { return cost.ClassOf("r", "POST", "/"+word(i), 200) },
			func(i int) cost.Class { return cost.ClassOf("r", "POST", "/"+word(i), 60000) }, cost.BasisSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorkload()
			for i := range 200 {
				w.mix(c.cheap(i), c.expensive(i), 4*ms, 80*ms, 1)
			}
			cheap, expensive := w.estimate(c.cheap(1000)), w.estimate(c.expensive(1000))
			if !near(cheap.Usual, 4*ms) || !near(expensive.Usual, 80*ms) || expensive.Basis != c.basis {
				t.Errorf("estimates %+v and %+v, want 4 ms and 80 ms by %s", cheap, expensive, c.basis)
			}
			if cheap.Late < cheap.Usual || cheap.Late > 2*cheap.Usual || expensive.Late < expensive.Usual || expensive.Late > 2*expensive.Usual {
				t.Errorf("late after %v and %v, want one to two times the usual %v and %v", cheap.Late, expensive.Late, cheap.Usual, expensive.Usual)
			}
		})
	}
}

// word returns a path segment that doesn't look like an identifier.
func word(i int) string {
	b := []byte("abc")
	for ; i > 0; i /= 26 {
		b = append(b, byte('a'+i%26))
	}
	return string(b)
}

// TestManyPaths guards against callers that use up memory with new paths, methods and sizes,
// or that displace what is known of the paths in use.
func TestManyPaths(t *testing.T) {
	w := newWorkload()
	w.mix(item, report, 4*ms, 80*ms, 50)
	for i := range 20000 {
		w.observe(cost.ClassOf("r", "GET", fmt.Sprintf("/%s/%s", word(i), word(3*i)), i%262144), 4*ms, 1)
		if i%100 == 0 {
			w.observe(report, 80*ms, 1)
		}
	}
	if _, classes := w.model.Size(); classes > 64 {
		t.Errorf("%d classes of one route", classes)
	}
	if got := w.estimate(report); !near(got.Usual, 80*ms) {
		t.Errorf("estimate of the expensive path %+v, want 80 ms", got)
	}
	for i := range 2000 {
		w.observe(cost.ClassOf(fmt.Sprint("r", i), "GET", "/", 0), 4*ms, 1)
	}
	if routes, _ := w.model.Size(); routes > 512 {
		t.Errorf("%d routes", routes)
	}
}

// TestChangedWorkload guards against estimates that stay at what a class once took.
func TestChangedWorkload(t *testing.T) {
	w := newWorkload()
	w.mix(item, report, 4*ms, 80*ms, 600)
	w.mix(item, report, 80*ms, 4*ms, 600)
	if a, b := w.estimate(item), w.estimate(report); !near(a.Usual, 80*ms) || !near(b.Usual, 4*ms) {
		t.Errorf("estimates %+v and %+v a minute after the classes have swapped, want 80 ms and 4 ms", a, b)
	}
	w.mix(item, report, 20*ms, 20*ms, 2000)
	if a, b := w.estimate(item), w.estimate(report); a.Basis != cost.BasisRoute || b.Basis != cost.BasisRoute {
		t.Errorf("estimates %+v and %+v long after the classes have become alike", a, b)
	}
}

// TestClockJump guards against a clock that jumps: estimates must be those of the route or of
// the class, not others.
func TestClockJump(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour, 1000 * time.Hour} {
		w := newWorkload()
		w.mix(item, report, 4*ms, 80*ms, 300)
		w.now = w.now.Add(jump)
		got := w.estimate(report)
		if got.Basis == cost.BasisRoute != (jump > 0) || got.Usual <= 0 || got.Usual > 100*ms {
			t.Errorf("estimate %+v after a jump of %v", got, jump)
		}
		w.mix(item, report, 4*ms, 80*ms, 300)
		if got := w.estimate(report); !near(got.Usual, 80*ms) {
			t.Errorf("estimate %+v of a class of 80 ms some time after a jump of %v", got, jump)
		}
	}
}

// TestRejectedRequests guards against the quick rejections of a class that count as cheap work.
func TestRejectedRequests(t *testing.T) {
	w := newWorkload()
	w.mix(item, report, 4*ms, 80*ms, 300)
	for range 300 {
		w.now = w.now.Add(50 * ms)
		w.model.Observe(w.now, report, cost.Sample{Took: ms, RouteOnly: true})
		w.observe(item, 4*ms, 1)
		w.observe(report, 80*ms, 1)
	}
	if got := w.estimate(report); !near(got.Usual, 80*ms) {
		t.Errorf("estimate %+v, want 80 ms", got)
	}
}

// TestReplicaSpeed guards against the speed of replicas that is taken for the work of requests.
func TestReplicaSpeed(t *testing.T) {
	w := newWorkload()
	for range 600 {
		w.now = w.now.Add(50 * ms)
		w.model.Observe(w.now, item, cost.Sample{Took: w.vary(12 * ms), Slowness: 0.6})
		w.model.Observe(w.now, report, cost.Sample{Took: w.vary(28 * ms), Slowness: 1.4})
	}
	if a, b := w.estimate(item), w.estimate(report); a.Basis != cost.BasisRoute || a != b {
		t.Errorf("estimates %+v and %+v of requests that differ only by their replicas", a, b)
	}
}

// TestPartsOfQueries guards against the parts of one query, which are alike, that count as
// evidence like independent requests.
func TestPartsOfQueries(t *testing.T) {
	const shards = 90
	w := newWorkload()
	w.observe(item, 20*ms, 100)
	query := func(c cost.Class, usual time.Duration) {
		w.now = w.now.Add(50 * ms)
		for range shards {
			w.model.Observe(w.now, c, cost.Sample{Took: w.vary(usual), Weight: 1.0 / shards})
		}
	}
	for range 5 {
		query(report, 60*ms)
	}
	if got := w.estimate(report); got.Basis != cost.BasisRoute {
		t.Errorf("estimate %+v after five queries", got)
	}
	for range 30 {
		query(item, 20*ms)
		query(report, 60*ms)
	}
	if got := w.estimate(report); !near(got.Usual, 60*ms) {
		t.Errorf("estimate %+v after 35 queries, want 60 ms", got)
	}
}

// TestPattern guards against a pattern for each identifier, and against one pattern for
// different paths.
func TestPattern(t *testing.T) {
	for path, want := range map[string][2]string{
		"":                                    {"", ""},
		"/":                                   {"", ""},
		"/a":                                  {"/a", "/a"},
		"/shop/17/lines":                      {"/shop/*/lines", "/shop/*"},
		"/shop//x":                            {"/shop//x", "/shop/"},
		"/a/b/c/d/e/f":                        {"/a/b/c/d", "/a/b"},
		"/a/b%20c":                            {"/a/*", "/a/*"},
		"/tickets/abcdefghijklmnopqrstuvwxyz": {"/tickets/*", "/tickets/*"},
		"*":                                   {"/*", "/*"},
	} {
		if pattern, prefix := cost.Pattern(path); pattern != want[0] || prefix != want[1] {
			t.Errorf("%q: pattern %q, prefix %q, want %q", path, pattern, prefix, want)
		}
	}
}
