package assign_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
)

// deployment draws hosts in data centres, and the data centres of the replicas
// of each shard.
func deployment(t *rapid.T) (v core.View, self core.Host, services []core.ServiceName, near func(core.ServiceName, core.DataCentre) bool) {
	dcs := rapid.IntRange(1, 5).Draw(t, "data_centres")
	var hosts []core.Host
	for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
		dc := core.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, dcs-1).Draw(t, "dc")))
		hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), dc, fmt.Sprintf("10.0.0.%d:1", i)))
	}
	held := map[core.ServiceName]map[core.DataCentre]bool{}
	for i := range rapid.IntRange(1, 130).Draw(t, "shards") {
		s := core.ServiceName(fmt.Sprint("shard-", i))
		services = append(services, s)
		held[s] = map[core.DataCentre]bool{}
		for range rapid.IntRange(0, 3).Draw(t, "replicas") {
			held[s][core.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, dcs-1).Draw(t, "replica_dc")))] = true
		}
	}
	near = func(s core.ServiceName, dc core.DataCentre) bool { return held[s][dc] }
	return core.NewView(1, hosts), hosts[0], services, near
}

// TestEachShardOnce guards against shards that are called twice, and against a
// host that calls replicas far away although another data centre with hosts has
// one.
func TestEachShardOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, self, services, near := deployment(t)
		planned := map[int]bool{}
		for _, b := range assign.New(self).Plan(v, services, near) {
			for _, i := range b.Shards {
				if planned[i] {
					t.Fatalf("shard %d is planned twice", i)
				}
				planned[i] = true
				if b.Host.DataCentre() != self.DataCentre() && !near(services[i], b.Host.DataCentre()) {
					t.Fatalf("shard %d goes to %s, where no replica is", i, b.Host.DataCentre())
				}
				if b.Host.DataCentre() != self.DataCentre() && near(services[i], self.DataCentre()) {
					t.Fatalf("shard %d leaves the data centre although a replica is there", i)
				}
			}
		}
	})
}

// TestShardsKeepTheirHost is the load of a query over 90 shards: two hosts of a
// data centre send a shard to the same host, query after query, and no host gets
// many more than its part.
func TestShardsKeepTheirHost(t *testing.T) {
	var hosts []core.Host
	for i := range 21 {
		hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), "a", fmt.Sprintf("10.0.0.%d:1", i)))
	}
	var services []core.ServiceName
	for i := range 90 {
		services = append(services, core.ServiceName(fmt.Sprint("shard-", i)))
	}
	v := core.NewView(1, hosts)
	owner := map[int]core.HostID{}
	for _, self := range hosts[:2] {
		a := assign.New(self)
		for range 3 {
			plan := a.Plan(v, services, func(core.ServiceName, core.DataCentre) bool { return true })
			if len(plan) < 6 {
				t.Fatalf("90 shards are spread over %d hosts, want 6 or more", len(plan))
			}
			for _, b := range plan {
				if len(b.Shards) > 25 {
					t.Errorf("%s has %d shards", b.Host.ID(), len(b.Shards))
				}
				for _, i := range b.Shards {
					if id, ok := owner[i]; ok && id != b.Host.ID() {
						t.Fatalf("shard %d moved from %s to %s", i, id, b.Host.ID())
					}
					owner[i] = b.Host.ID()
				}
			}
		}
	}
}

// TestFewShardsStay guards against messages that cost more than the calls.
func TestFewShardsStay(t *testing.T) {
	hosts := []core.Host{core.NewHost("host-0", "a", "10.0.0.1:1"), core.NewHost("host-1", "b", "10.0.0.2:1")}
	services := []core.ServiceName{"s0", "s1", "s2", "s3"}
	far := func(s core.ServiceName, dc core.DataCentre) bool {
		return dc == "b" && s < "s2" || dc == "a" && s >= "s2"
	}
	if plan := assign.New(hosts[0]).Plan(core.NewView(1, hosts), services, far); len(plan) != 0 {
		t.Errorf("two far shards were sent away: %+v", plan)
	}
}
