package peer

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

// maxRemaining limits a received duration, since an invalid one could overflow
// time.Duration. It is far above the largest deadline of a caller section, 10
// minutes.
const maxRemaining = time.Hour

// Deadline returns the deadline, on this host's clock, of a message that was
// received now. A negative remaining time counts as 0, and one above maxRemaining
// as maxRemaining.
func Deadline(now time.Time, remainingUs int64) time.Time {
	us := min(max(remainingUs, 0), maxRemaining.Microseconds())
	return now.Add(time.Duration(us) * time.Microsecond)
}

func batchToWire(b core.ReadBatch) *wire.ReadBatch {
	w := &wire.ReadBatch{
		RequestId:   string(b.Query.ID),
		Caller:      string(b.Query.Caller),
		Priority:    int32(b.Query.Priority),
		Service:     string(b.Query.Service),
		Snapshot:    uint64(b.Snapshot),
		Body:        b.Query.Body,
		RemainingUs: time.Until(b.Query.Deadline).Microseconds(),
		Repeatable:  b.Query.Repeatable,
	}
	for _, s := range b.Shards {
		w.Shards = append(w.Shards, &wire.ShardRef{Shard: int32(s.Shard), Group: int32(s.Group)})
	}
	return w
}

// BatchFromWire converts a batch that was received now. Its deadline is on this
// host's clock.
func BatchFromWire(w *wire.ReadBatch, now time.Time) core.ReadBatch {
	b := core.ReadBatch{
		Query: core.Query{
			ID:         core.RequestID(w.RequestId),
			Caller:     core.CallerName(w.Caller),
			Service:    core.ServiceName(w.Service),
			Body:       w.Body,
			Deadline:   Deadline(now, w.RemainingUs),
			Priority:   int(w.Priority),
			Repeatable: w.Repeatable,
		},
		Snapshot: core.SnapshotID(w.Snapshot),
	}
	for _, s := range w.Shards {
		b.Shards = append(b.Shards, core.ShardRef{Shard: core.ShardID(s.Shard), Group: core.GroupID(s.Group)})
	}
	return b
}

// ResultToWire converts a shard result for sending.
func ResultToWire(r core.ShardResult) *wire.ShardResult {
	return &wire.ShardResult{
		Shard:    int32(r.Shard),
		Snapshot: uint64(r.Snapshot),
		Rows:     r.Rows,
		Missing:  string(r.Missing),
		Attempts: int32(r.Attempts),
	}
}

func resultFromWire(w *wire.ShardResult) core.ShardResult {
	return core.ShardResult{
		Shard:    core.ShardID(w.Shard),
		Snapshot: core.SnapshotID(w.Snapshot),
		Rows:     w.Rows,
		Missing:  core.Reason(w.Missing),
		Attempts: int(w.Attempts),
	}
}

func orderToWire(o core.Order) *wire.Order {
	return &wire.Order{Caller: string(o.Caller), Service: string(o.Service), Key: o.Key, Body: o.Body}
}

// OrderFromWire converts a received order.
func OrderFromWire(w *wire.Order) core.Order {
	return core.Order{
		Caller:  core.CallerName(w.GetCaller()),
		Service: core.ServiceName(w.GetService()),
		Key:     w.GetKey(),
		Body:    w.GetBody(),
	}
}

// OrderResultToWire converts an order's result for sending.
func OrderResultToWire(r core.OrderResult) *wire.OrderResult {
	return &wire.OrderResult{
		Outcome:      string(r.Outcome),
		Reason:       string(r.Reason),
		Body:         r.Body,
		RetryAfterUs: r.RetryAfter.Microseconds(),
	}
}

func orderResultFromWire(w *wire.OrderResult) core.OrderResult {
	return core.OrderResult{
		Outcome:    core.Outcome(w.Outcome),
		Reason:     core.Reason(w.Reason),
		Body:       w.Body,
		RetryAfter: time.Duration(min(max(w.RetryAfterUs, 0), maxRemaining.Microseconds())) * time.Microsecond,
	}
}

// SnapshotsToWire converts the snapshots of replica groups for sending.
func SnapshotsToWire(snapshots []core.GroupSnapshot) *wire.SnapshotsReply {
	w := new(wire.SnapshotsReply)
	for _, snap := range snapshots {
		g := &wire.GroupSnapshot{Group: int32(snap.Group), Snapshot: uint64(snap.Snapshot), ShardCount: int32(snap.ShardCount)}
		for _, s := range snap.Shards {
			g.Shards = append(g.Shards, int32(s))
		}
		w.Snapshots = append(w.Snapshots, g)
	}
	return w
}

func snapshotsFromWire(w *wire.SnapshotsReply) []core.GroupSnapshot {
	out := make([]core.GroupSnapshot, 0, len(w.Snapshots))
	for _, g := range w.Snapshots {
		snap := core.GroupSnapshot{
			Group:      core.GroupID(g.Group),
			Snapshot:   core.SnapshotID(g.Snapshot),
			ShardCount: int(g.ShardCount),
		}
		for _, s := range g.Shards {
			snap.Shards = append(snap.Shards, core.ShardID(s))
		}
		out = append(out, snap)
	}
	return out
}
