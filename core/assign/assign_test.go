package assign_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
)

// drawDeployment draws hosts in data centres, and the data centres in which each
// shard has replicas.
func drawDeployment(t *rapid.T) (v core.View, self core.Host, services []core.ServiceName, hasReplica func(core.ServiceName, core.DataCentre) bool) {
	dcs := rapid.IntRange(1, 5).Draw(t, "data_centres")
	var hosts []core.Host
	for i := range rapid.IntRange(1, 40).Draw(t, "hosts") {
		dc := core.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, dcs-1).Draw(t, "dc")))
		hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), dc, fmt.Sprintf("10.0.0.%d:1", i)))
	}
	replicas := map[core.ServiceName]map[core.DataCentre]bool{}
	for i := range rapid.IntRange(1, 130).Draw(t, "shards") {
		s := core.ServiceName(fmt.Sprint("shard-", i))
		services = append(services, s)
		replicas[s] = map[core.DataCentre]bool{}
		for range rapid.IntRange(0, 3).Draw(t, "replicas") {
			replicas[s][core.DataCentre(fmt.Sprint("dc-", rapid.IntRange(0, dcs-1).Draw(t, "replica_dc")))] = true
		}
	}
	hasReplica = func(s core.ServiceName, dc core.DataCentre) bool { return replicas[s][dc] }
	return core.NewView(1, hosts), hosts[0], services, hasReplica
}

// TestEachShardPlannedOnce guards against shards that are called twice, against
// shards that are delegated to a data centre without a replica, and against shards
// that are delegated to another data centre although the local one has a replica.
func TestEachShardPlannedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, self, services, hasReplica := drawDeployment(t)
		planned := map[int]bool{}
		for _, b := range assign.New(self).Plan(v, services, rapid.Bool().Draw(t, "divide"), hasReplica) {
			for _, i := range b.Shards {
				if planned[i] {
					t.Fatalf("shard %d is planned twice", i)
				}
				planned[i] = true
				if b.Host.DataCentre() != self.DataCentre() && !hasReplica(services[i], b.Host.DataCentre()) {
					t.Fatalf("shard %d is delegated to %s, which has no replica", i, b.Host.DataCentre())
				}
				if b.Host.DataCentre() != self.DataCentre() && hasReplica(services[i], self.DataCentre()) {
					t.Fatalf("shard %d is delegated to another data centre although the local one has a replica", i)
				}
			}
		}
	})
}

// TestStableOwners guards against hosts of a data centre that assign a shard of a
// large query to different hosts, against owners that change from query to query, and
// against a host that gets far more shards than the average.
func TestStableOwners(t *testing.T) {
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
			plan := a.Plan(v, services, false, func(core.ServiceName, core.DataCentre) bool { return true })
			if len(plan) < 6 {
				t.Fatalf("90 shards are distributed to %d hosts, want 6 or more", len(plan))
			}
			for _, b := range plan {
				if len(b.Shards) > 25 {
					t.Errorf("%s has %d shards, want at most 25", b.Host.ID(), len(b.Shards))
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

// TestFewRemoteShardsNotDelegated guards against delegating so few shards to another
// data centre that the messages cost more than the calls.
func TestFewRemoteShardsNotDelegated(t *testing.T) {
	hosts := []core.Host{core.NewHost("host-0", "a", "10.0.0.1:1"), core.NewHost("host-1", "b", "10.0.0.2:1")}
	services := []core.ServiceName{"s0", "s1", "s2", "s3"}
	hasReplica := func(s core.ServiceName, dc core.DataCentre) bool {
		return dc == "b" && s < "s2" || dc == "a" && s >= "s2"
	}
	if plan := assign.New(hosts[0]).Plan(core.NewView(1, hosts), services, false, hasReplica); len(plan) != 0 {
		t.Errorf("two remote shards were delegated: %+v", plan)
	}
}
