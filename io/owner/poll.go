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

// poll asks every replica for its status and waits for the answers. A replica
// that has not answered the previous request is skipped, so that status requests
// to a hanging replica don't use up its connections.
func (g *group) poll(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range g.replicas {
		if g.polling[i].CompareAndSwap(false, true) {
			wg.Go(func() {
				defer g.polling[i].Store(false)
				g.pollReplica(ctx, i)
			})
		}
	}
	wg.Wait()
}

func (g *group) pollReplica(ctx context.Context, i int) {
	askedAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := g.owner.backend.Status(callCtx, g.replicas[i].Address())
	if ctx.Err() != nil {
		return // a cancelled poll says nothing about the replica
	}
	var before, after eject.State
	g.step(func(now time.Time) []queue.Action {
		before = g.health.State(i)
		if err != nil {
			g.health.PollFailed(askedAt, i)
		} else {
			g.health.SetStatus(askedAt, i, status)
		}
		after = g.health.State(i)
		return g.sched.HealthChanged(now)
	})
	if before != after {
		g.owner.log.Info("owner: replica state changed", "service", g.service.Name(), "group", g.id,
			"replica", g.replicas[i].Address(), "from", before, "to", after)
	}
}

// heldSnapshots returns the snapshots and shards that replicas of the group can
// serve. If there are none, it returns core.EmptyGroup once the status of every
// replica is known, and nil before.
func (g *group) heldSnapshots() []core.GroupSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastUsed = time.Now()
	index := make(map[core.SnapshotID]int)
	known := true
	var out []core.GroupSnapshot
	for i := range g.replicas {
		known = known && g.health.SnapshotsKnown(i)
		for _, s := range g.health.Snapshots(i) {
			n, ok := index[s.Snapshot]
			if !ok {
				index[s.Snapshot] = len(out)
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
		return []core.GroupSnapshot{core.EmptyGroup(g.id)}
	}
	return out
}
