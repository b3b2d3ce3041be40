package assign_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"oriolebarrow/core"
	"oriolebarrow/core/assign"
)

// TestCallersOfOwnedServices guards against more hosts that call a service while its owner
// changes than its connections are divided by: its replicas would reset connections. Some hosts
// are lost, or return; the hosts that know of the change and those that don't call side by side.
func TestCallersOfOwnedServices(t *testing.T) {
	var services []core.ServiceName
	for i := range 90 {
		services = append(services, core.ServiceName(fmt.Sprint("shard-", i)))
	}
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.IntRange(1, 5).Draw(t, "data_centres")
		var before, after []core.Host
		for i := range rapid.IntRange(dcs, 81).Draw(t, "hosts") {
			h := core.NewHost(core.HostID(fmt.Sprint("host-", i)), core.DataCentre(fmt.Sprint("dc-", i%dcs)), fmt.Sprintf("10.0.0.%d:1", i))
			lost, returned := rapid.IntRange(0, 9).Draw(t, "lost") == 0, rapid.IntRange(0, 9).Draw(t, "returned") == 0
			if !returned {
				before = append(before, h)
			}
			if !lost {
				after = append(after, h)
			}
		}
		callers := make(map[core.ServiceName]map[core.HostID]bool)
		for _, hosts := range [][]core.Host{before, after} {
			v := core.NewView(1, hosts)
			for _, h := range hosts {
				owned, divided := assign.New(h).Owned(v, services)
				if !divided {
					t.Fatalf("%s calls all shards", h.ID())
				}
				for _, s := range owned {
					if callers[s] == nil {
						callers[s] = make(map[core.HostID]bool)
					}
					callers[s][h.ID()] = true
				}
			}
		}
		for s, ids := range callers {
			if len(ids) > assign.MaxCallers(dcs) {
				t.Fatalf("%s has %d callers, want at most %d", s, len(ids), assign.MaxCallers(dcs))
			}
		}
	})
}
