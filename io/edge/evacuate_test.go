package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
)

func (d *deployment) evacuate(dc core.DataCentre, ended bool) {
	d.directory.publish(core.EvacuationItem(0, core.Evacuation{DataCentre: dc, Ended: ended}))
}

func (d *deployment) reachedIn(dc core.DataCentre) int {
	d.runsMu.Lock()
	defer d.runsMu.Unlock()
	return d.reached[dc]
}

// dialsIn returns the number of attempts to connect to replicas in a data centre.
func (d *deployment) dialsIn(dc core.DataCentre) (n int) {
	for _, item := range d.directory.content.Items {
		if item.Instance != nil && item.Instance.DataCentre == dc {
			n += d.network.dialCount(item.Instance.Address)
		}
	}
	return n
}

// TestEvacuatedDataCentre guards against requests, health probes or new connections to replicas
// in an evacuated data centre from any host, one that starts meanwhile included; against
// answers that lack parts although the other data centre has all shards; and against replicas
// that get nothing after the end.
func TestEvacuatedDataCentre(t *testing.T) {
	for _, shards := range []int{shards, manyShards} {
		t.Run(fmt.Sprint(shards, " shards"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkEvacuation(t, shards) })
		})
	}
}

func checkEvacuation(t *testing.T, shards int) {
	const hosts = 4
	d := newDeployment(t, shards)
	for s := range shards { // a second replica in the other data centre
		in := core.Instance{
			ID: core.InstanceID(fmt.Sprint("j-", s)), Service: core.ServiceName(fmt.Sprint("shard-", s)),
			Address: fmt.Sprintf("10.0.2.%d:80", s), DataCentre: core.DataCentre([]string{"b", "a"}[s%2]), Slots: 2,
		}
		d.addReplica(in)
		d.directory.publish(core.DirectoryItem{ID: in.ID, Instance: &in})
	}
	for i := range hosts {
		d.start(i)
	}
	<-time.After(4 * time.Second)
	c := d.client()
	ask := func(when string, hosts int) {
		t.Helper()
		for n := range 5 * hosts {
			res, _ := d.get(c, callerAddress(n%hosts), "/q/1")
			if res == nil || res.StatusCode != http.StatusOK || res.Header.Get(names.Missing) != "0" || len(strings.Split(res.Header.Get(names.Parts), ",")) != shards {
				t.Errorf("%s: got %+v", when, res)
			}
			<-time.After(100 * time.Millisecond)
		}
	}
	ask("before", hosts)
	if d.reachedIn("a") == 0 || d.reachedIn("b") == 0 {
		t.Fatal("one data centre got no request before its evacuation")
	}
	d.evacuate("a", false)
	<-time.After(time.Second)
	before, dials := d.reachedIn("a"), d.dialsIn("a")
	d.start(hosts)
	added := core.Instance{ID: "k-1", Service: "shard-1", Address: "10.0.3.1:80", DataCentre: "a", Slots: 2}
	d.addReplica(added)
	d.directory.publish(core.DirectoryItem{ID: added.ID, Instance: &added})
	ask("evacuated", hosts)
	<-time.After(3 * time.Second)
	ask("evacuated, with another host", hosts+1)
	if n := d.reachedIn("a") - before; n != 0 {
		t.Errorf("%d requests and probes reached the evacuated data centre", n)
	}
	if n := d.dialsIn("a") - dials; n != 0 {
		t.Errorf("%d connections to the evacuated data centre", n)
	}
	d.evacuate("a", true)
	<-time.After(time.Second)
	ask("after", hosts+1)
	if n := d.reachedIn("a") - before; n == 0 {
		t.Error("no request reached the data centre after its evacuation")
	}
}

// TestAllDataCentresEvacuated guards against requests that wait, or lack a Retry-After, when no
// replica may be used, and against hosts that are then not ready, which would close the way back.
func TestAllDataCentresEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, shards)
		for i := range 2 {
			d.start(i)
		}
		<-time.After(4 * time.Second)
		d.evacuate("a", false)
		d.evacuate("b", false)
		<-time.After(time.Second)
		d.start(2)
		<-time.After(4 * time.Second)
		c := d.client()
		for i := range 3 {
			begin := time.Now()
			res, _ := d.get(c, callerAddress(i), "/q/1")
			if res == nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(names.RetryAfter) == "" || time.Since(begin) > 10*time.Millisecond {
				t.Errorf("%s: got %+v after %v", host(i), res, time.Since(begin))
			}
			if res, _ := d.get(c, readyAddress(i), "/"); res == nil || res.StatusCode != http.StatusOK {
				t.Errorf("%s is not ready", host(i))
			}
		}
		d.evacuate("a", true)
		d.evacuate("b", true)
		<-time.After(time.Second)
		for i := range 3 {
			if res, _ := d.get(c, callerAddress(i), "/q/1"); res == nil || res.StatusCode != http.StatusOK || res.Header.Get(names.Missing) != "0" {
				t.Errorf("%s after the evacuations: got %+v", host(i), res)
			}
		}
	})
}
