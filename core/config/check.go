package config

import (
	"fmt"
	"net/netip"
	"time"

	"oriolebarrow/core"
)

const (
	maxNameBytes = 64
	nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789_-"

	defaultQueueLength  = 256
	defaultHedgeFloor   = "5ms"
	defaultHedgeCeiling = "200ms"
	defaultHedgeBudget  = 0.03
	defaultRetryBudget  = 0.10
	defaultMaxRowsBytes = 1 << 20
	defaultDeadline     = "1s"
	defaultRate         = 1000
	defaultConcurrency  = 256
)

// setDefaults sets the keys that a section leaves out to their defaults.
func setDefaults(f *sectionFields) {
	setDefault(&f.NewConnectionCost, "0s")
	setDefault(&f.QueueLength, defaultQueueLength)
	setDefault(&f.HedgeFloor, defaultHedgeFloor)
	setDefault(&f.HedgeCeiling, defaultHedgeCeiling)
	setDefault(&f.MaxRowsBytes, defaultMaxRowsBytes)
	setDefault(&f.Deadline, defaultDeadline)
	setDefault(&f.Rate, defaultRate)
	setDefault(&f.Concurrency, defaultConcurrency)
	setDefault(&f.Burst, max(1, int(f.Rate/10)))
	setDefaultPointer(&f.HedgeBudget, defaultHedgeBudget)
	setDefaultPointer(&f.RetryBudget, defaultRetryBudget)
	setDefaultPointer(&f.MinCoverage, 1.0)
	setDefaultPointer(&f.Repeatable, true)
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

func setDefaultPointer[T any](p **T, value T) {
	if *p == nil {
		*p = &value
	}
}

func (c *checker) section() *Section {
	f := c.fields
	s := &Section{
		key:     Key{Kind: Kind(f.Kind), Name: f.Name},
		team:    f.Team,
		edition: core.Edition(f.Edition),
		removed: f.Removed,
	}
	c.identifier("name", f.Name)
	c.identifier("team", f.Team)
	if f.Edition == 0 {
		c.fail("edition", "want an integer above 0, raised with each change")
	}
	switch s.key.Kind {
	case KindBackend:
		c.rejectKeys("deadline", "min_coverage", "priority", "rate", "burst", "concurrency", "repeatable", "services")
		if !f.Removed {
			s.service = c.service()
		}
	case KindCaller:
		c.rejectKeys("slots", "connections", "new_connection_cost", "queue_length", "hedge_floor",
			"hedge_ceiling", "hedge_budget", "retry_budget", "max_rows_bytes", "groups")
		if !f.Removed {
			s.caller = c.caller()
		}
	default:
		c.fail("kind", "want backend or caller, got %q", f.Kind)
	}
	return s
}

// rejectKeys reports those of the keys that the section has. They belong to the
// other kind of section.
func (c *checker) rejectKeys(keys ...string) {
	for _, key := range keys {
		if c.lines[key] > 0 {
			c.fail(key, "does not belong in a %s section", c.fields.Kind)
		}
	}
}

func (c *checker) service() core.Service {
	f := c.fields
	c.integer("slots", f.Slots, 1, 10_000)
	c.integer("connections", f.Connections, 2, 100_000)
	c.integer("queue_length", f.QueueLength, 1, 100_000)
	c.integer("max_rows_bytes", f.MaxRowsBytes, 1, 64<<20)
	c.number("hedge_budget", *f.HedgeBudget, 0, 1)
	c.number("retry_budget", *f.RetryBudget, 0, 1)
	limits := core.Limits{
		Slots:             f.Slots,
		Connections:       f.Connections,
		NewConnectionCost: c.duration("new_connection_cost", f.NewConnectionCost, 0, 10*time.Second),
		QueueLength:       f.QueueLength,
		HedgeFloor:        c.duration("hedge_floor", f.HedgeFloor, time.Millisecond, time.Minute),
		HedgeCeiling:      c.duration("hedge_ceiling", f.HedgeCeiling, time.Millisecond, time.Minute),
		HedgeBudget:       *f.HedgeBudget,
		RetryBudget:       *f.RetryBudget,
		MaxRowsBytes:      f.MaxRowsBytes,
	}
	if limits.HedgeCeiling < limits.HedgeFloor {
		c.fail("hedge_ceiling", "want at least hedge_floor (%s), got %s", limits.HedgeFloor, limits.HedgeCeiling)
	}
	return core.NewService(core.ServiceName(f.Name), c.groups(), limits)
}

func (c *checker) groups() [][]core.Replica {
	if len(c.fields.Groups) == 0 {
		c.fail("groups", "want at least one replica group")
	}
	seen := make(map[string]bool)
	groups := make([][]core.Replica, 0, len(c.fields.Groups))
	for i, replicas := range c.fields.Groups {
		if len(replicas) == 0 {
			c.fail(fmt.Sprintf("groups[%d]", i), "group %d has no replica", i)
		}
		group := make([]core.Replica, 0, len(replicas))
		for j, r := range replicas {
			if _, err := netip.ParseAddrPort(r.Address); err != nil {
				c.fail(replicaPath(i, j)+".address", "group %d: want an IP number and port, got %q", i, r.Address)
			}
			if seen[r.Address] {
				c.fail(replicaPath(i, j)+".address", "group %d: address %s is listed twice", i, r.Address)
			}
			if r.DataCentre == "" {
				c.fail(replicaPath(i, j), "group %d: replica %s has no data_centre", i, r.Address)
			}
			seen[r.Address] = true
			group = append(group, core.NewReplica(r.Address, core.DataCentre(r.DataCentre)))
		}
		groups = append(groups, group)
	}
	return groups
}

func replicaPath(group, replica int) string { return fmt.Sprintf("groups[%d][%d]", group, replica) }

func (c *checker) caller() core.Caller {
	f := c.fields
	c.number("min_coverage", *f.MinCoverage, 0, 1)
	c.number("rate", f.Rate, 0.001, 1e9)
	c.integer("priority", f.Priority, 0, 9)
	c.integer("burst", f.Burst, 1, 1_000_000)
	c.integer("concurrency", f.Concurrency, 1, 1_000_000)
	if len(f.Services) == 0 {
		c.fail("services", "want at least one service")
	}
	services := make([]core.ServiceName, 0, len(f.Services))
	for _, name := range f.Services {
		services = append(services, core.ServiceName(name))
	}
	return core.NewCaller(core.CallerName(f.Name), core.CallerPolicy{
		Deadline:    c.duration("deadline", f.Deadline, time.Millisecond, 10*time.Minute),
		MinCoverage: *f.MinCoverage,
		Priority:    f.Priority,
		Rate:        f.Rate,
		Burst:       f.Burst,
		Concurrency: f.Concurrency,
		Services:    services,
		Repeatable:  *f.Repeatable,
	})
}
