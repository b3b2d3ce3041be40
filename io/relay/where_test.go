package relay_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/core/route"
	"oriolebarrow/io/relay"
)

func whereRequest(path string) relay.Request {
	return relay.Request{ID: "where", Method: "GET", URI: path, Path: path, Host: "h"}
}

// TestWhereIsWhatHappens guards against an answer that differs from what the next request meets,
// and against a question that has an effect: asked any number of times, the requests go where
// they go without it.
func TestWhereIsWhatHappens(t *testing.T) {
	served := func(ask bool) (replicas []string) {
		synctest.Test(t, func(t *testing.T) {
			b := newBackends()
			r, _ := newRelay(t, b, 2, nil)
			r.SetTable(route.New(core.Routing{Version: 2, Routes: []core.Route{{
				Name: "view", Host: "h", Prefix: "/v/", Idempotent: true, Timeout: 2 * time.Second, Target: 400 * time.Millisecond, Attempts: 2,
				Split: []core.Share{{Service: service(0), Weight: 1}, {Service: service(1), Weight: 2}},
			}}}))
			b.setMode("slow", address(0, 0))
			for i := range 40 {
				first := ""
				if ask {
					for range 3 {
						w, err := r.Where(whereRequest("/v/"))
						if err != nil {
							t.Fatal(err)
						}
						next := slices.IndexFunc(w.Services, func(s core.WhereService) bool { return s.Next })
						if next < 0 || len(w.Services) != 2 || !w.Admission.Admitted {
							t.Fatalf("answer %+v, want two services of which one is next", w)
						}
						first = string(w.Services[next].Candidates[0].ID)
					}
				}
				reply, _ := do(r, "/v/", i)
				replicas = append(replicas, strings.TrimSpace(string(reply.Body)))
				if ask && first != replicas[i] && first != address(0, 0) { // the slow one may be hedged
					t.Errorf("request %d was answered by %s, want %s", i, replicas[i], first)
				}
			}
			awaitCalls()
		})
		return replicas
	}
	if diff := cmp.Diff(served(false), served(true)); diff != "" {
		t.Errorf("replicas that answered, without and with questions (-without +with):\n%s", diff)
	}
}

// TestWhereOfQueries guards against shards that are left out, an owner that is not asked, and
// an admission that is not that of the shedder.
func TestWhereOfQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, table := newRelay(t, b, 20, nil)
		warmUp(r)
		w, err := r.Where(whereRequest("/q/"))
		if err != nil || len(w.Services) != 20 || !w.Admission.Admitted || w.Route != "query" || w.RoutingVersion != 1 {
			t.Errorf("answer %+v, %v; want an admitted query of 20 shards", w, err)
		}
		for i, s := range w.Services {
			if s.Service != service(i) || s.Owner != "host-0" || len(s.Candidates) != 2 || s.Candidates[0].Order != 1 {
				t.Errorf("shard %d: %+v", i, s)
			}
		}
		for s := range 9 {
			for n := range 2 {
				table.Remove(time.Now(), core.InstanceID(address(s, n)), false)
			}
		}
		w, err = r.Where(whereRequest("/q/"))
		if err != nil || w.Admission.Admitted || w.Admission.Reason != string(core.ReasonNoReplica) {
			t.Errorf("answer %+v, %v; want a rejection: nine shards have no replica", w.Admission, err)
		}
		if _, err := r.Where(whereRequest("/none/")); !errors.Is(err, relay.ErrNoRoute) {
			t.Errorf("error %v for a path without a route", err)
		}
		awaitCalls()
	})
}

// TestWhereWhileAllSlotsAreUsed guards against an answer that says a request starts at once
// although all slots are in use, or that it is rejected although it may wait.
func TestWhereWhileAllSlotsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackends()
		r, table := newRelay(t, b, 1, nil)
		warmUp(r)
		for i := range 60 {
			do(r, "/v/", i)
		}
		for {
			replica, _ := table.Pick(time.Now(), service(0), serviceTime, nil)
			if replica == nil {
				break
			}
			table.Start(time.Now(), replica)
			defer table.Ended(time.Now(), replica, picker.CallEnd{Abandoned: true})
		}
		w, err := r.Where(whereRequest("/v/"))
		if err != nil || !w.Admission.Admitted {
			t.Errorf("answer %+v, %v; want that the request may wait", w.Admission, err)
		}
		for _, c := range w.Services[0].Candidates {
			if c.Order != 0 || c.Reason != "no free slot" {
				t.Errorf("candidate %+v, want none with a free slot", c)
			}
		}
		if n := fmt.Sprint(w.Services[0].Waiting); n != "0" {
			t.Errorf("%s calls wait, want 0", n)
		}
		awaitCalls()
	})
}
