package assist_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/assist"
)

// fleet is two views of twelve hosts: those that are ready, and those that run.
type fleet struct{ ready, running int }

func (f fleet) view(n int) core.View {
	var hosts []core.Host
	for i := range n {
		hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), "a", fmt.Sprintf("10.0.0.%d:1", i)))
	}
	return core.NewView(1, hosts)
}

func (f fleet) View(time.Time) core.View      { return f.view(f.ready) }
func (f fleet) Reachable(time.Time) core.View { return f.view(f.running) }
func (fleet) MarkDown(time.Time, core.HostID) {}

// TestPlanWhileHostsStart is the load of a restart of all hosts: guards against tasks
// that all go to the first hosts that are ready, and against tasks for a few starting
// hosts while the others serve.
func TestPlanWhileHostsStart(t *testing.T) {
	var services []core.ServiceName
	for i := range 90 {
		services = append(services, core.ServiceName(fmt.Sprint("shard-", i)))
	}
	for _, c := range []struct {
		ready, running, want int // hosts that get tasks; 90 shards are for 8
	}{
		{0, 12, 8},
		{1, 12, 8},
		{5, 12, 8},
		{6, 12, 6},
		{11, 12, 8},
		{12, 12, 8},
	} {
		f := fleet{ready: c.ready, running: c.running}
		a := assist.New(assist.Parts{
			Self: core.NewHost("host-0", "a", "10.0.0.0:1"), Views: f, Reach: f, Log: slog.New(slog.DiscardHandler),
			Near: func(core.ServiceName, core.DataCentre) bool { return true },
		})
		shards := 0
		hosts := make(map[core.HostID]bool)
		for _, b := range a.Plan(time.Now(), services) {
			shards += len(b.Shards)
			hosts[b.Host.ID()] = true
		}
		if len(hosts) != c.want || shards != len(services) {
			t.Errorf("%d of %d hosts ready: %d shards for %d hosts, want %d hosts", c.ready, c.running, shards, len(hosts), c.want)
		}
	}
}
