package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/eject"
	"oriolebarrow/core/queue"
)

// poll asks every replica for its status. A replica that has not answered the
// last request yet is not asked again, so that requests to a replica that hangs
// do not take up its connections.
func (g *group) poll(ctx context.Context) {
	var wait sync.WaitGroup
	for i := range g.replicas {
		if g.polling[i].CompareAndSwap(false, true) {
			wait.Go(func() {
				defer g.polling[i].Store(false)
				g.pollOne(ctx, i)
			})
		}
	}
	wait.Wait()
}

func (g *group) pollOne(ctx context.Context, i int) {
	asked := time.Now()
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := g.owner.backend.Status(limited, g.replicas[i].Address())
	if ctx.Err() != nil {
		return // says nothing about the replica
	}
	var before, after eject.State
	g.step(func(now time.Time) []queue.Action {
		before = g.health.State(i)
		if err != nil {
			g.health.Unreachable(asked, i)
		} else {
			g.health.Status(asked, i, status)
		}
		after = g.health.State(i)
		return g.sched.Recheck(now)
	})
	if before != after {
		g.owner.log.Info("owner: replica state changed", "service", g.service.Name(), "group", g.id,
			"replica", g.replicas[i].Address(), "from", before, "to", after)
	}
}

// held returns the snapshots and shards that live replicas of the group hold,
// or core.HoldsNothing when every replica is known and none holds any. It
// returns nothing while a replica that may hold some was not asked yet.
func (g *group) held() []core.GroupSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used = time.Now()
	at := make(map[core.SnapshotID]int)
	known := true
	var out []core.GroupSnapshot
	for i := range g.replicas {
		known = known && g.health.Known(i)
		for _, s := range g.health.Snapshots(i) {
			n, ok := at[s.Snapshot]
			if !ok {
				at[s.Snapshot] = len(out)
				s.Group = g.id
				s.Shards = slices.Clone(s.Shards)
				out = append(out, s)
				continue
			}
			for _, shard := range s.Shards {
				if !slices.Contains(out[n].Shards, shard) {
					out[n].Shards = append(out[n].Shards, shard)
				}
			}
		}
	}
	if len(out) == 0 && known {
		return []core.GroupSnapshot{core.HoldsNothing(g.id)}
	}
	return out
}
