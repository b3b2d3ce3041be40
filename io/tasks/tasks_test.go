package tasks_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/tasks"
)

// views implements core.Views and core.Reachability with the given numbers of hosts.
type views struct{ ready, running int }

func (v views) view(n int) core.View {
	var hosts []core.Host
	for i := range n {
		hosts = append(hosts, core.NewHost(core.HostID(fmt.Sprint("host-", i)), "a", fmt.Sprintf("10.0.0.%d:1", i)))
	}
	return core.NewView(1, hosts)
}

func (v views) View(time.Time) core.View      { return v.view(v.ready) }
func (v views) Reachable(time.Time) core.View { return v.view(v.running) }
func (views) MarkDown(time.Time, core.HostID) {}

// TestPlanWhileHostsStart guards against two faults after a restart of all hosts: all
// tasks go to the first hosts that are ready, or some tasks go to the last starting
// hosts although the others are ready.
func TestPlanWhileHostsStart(t *testing.T) {
	var services []core.ServiceName
	for i := range 90 {
		services = append(services, core.ServiceName(fmt.Sprint("shard-", i)))
	}
	for _, c := range []struct {
		ready, running, want int // want: hosts that get tasks; 90 shards are divided among 8
	}{
		{0, 12, 8},
		{1, 12, 8},
		{5, 12, 8},
		{6, 12, 6},
		{11, 12, 8},
		{12, 12, 8},
	} {
		v := views{ready: c.ready, running: c.running}
		a := tasks.New(tasks.Deps{
			Self: core.NewHost("host-0", "a", "10.0.0.0:1"), Views: v, Reachability: v, Log: slog.New(slog.DiscardHandler),
			Near: func(core.ServiceName, core.DataCentre) bool { return true },
		})
		shards := 0
		hosts := make(map[core.HostID]bool)
		for _, b := range a.Plan(time.Now(), services, false) {
			shards += len(b.Shards)
			hosts[b.Host.ID()] = true
		}
		if len(hosts) != c.want || shards != len(services) {
			t.Errorf("%d of %d hosts ready: %d shards for %d hosts, want %d hosts", c.ready, c.running, shards, len(hosts), c.want)
		}
	}
}
