package relay_test

import (
	"context"
	"sync/atomic"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/relay"
)

// fakeTasks is a stand-in for the tasks of another host. Depending on its mode, the host
// executes them with relay or fails.
type fakeTasks struct {
	relay   *relay.Relay
	mode    string
	queries atomic.Int64 // sum of core.Task.Queries
	divide  atomic.Bool  // the last argument of Plan
	all     bool         // whether the host gets all shards
}

func (f *fakeTasks) Plan(_ time.Time, services []core.ServiceName, divide bool) []core.TaskBatch {
	f.divide.Store(divide)
	if f.all {
		b := core.TaskBatch{Host: core.NewHost("host-1", "b", "10.0.9.9:1")}
		for i := range services {
			b.Shards = append(b.Shards, i)
		}
		return []core.TaskBatch{b}
	}
	return []core.TaskBatch{{Host: core.NewHost("host-1", "b", "10.0.9.9:1"), Shards: []int{2, 3, 5, 7, 11, 13}}}
}

func (f *fakeTasks) Run(ctx context.Context, _ core.Host, t core.Task, sink func(core.TaskResult)) error {
	f.queries.Add(int64(t.Queries))
	switch f.mode {
	case "not run":
		return &core.CallError{Op: "read", Reason: core.ReasonOwnerLost, NotRun: true}
	case "no memory":
		return &core.CallError{Op: "task", Reason: core.ReasonOverload, NotRun: true}
	case "lost":
		<-time.After(40 * time.Millisecond)
		return &core.CallError{Op: "read", Reason: core.ReasonOwnerLost}
	case "no link":
		<-ctx.Done()
		return &core.CallError{Op: "read", Reason: core.ReasonOwnerLost, NotRun: true}
	case "silent":
		<-ctx.Done()
		return &core.CallError{Op: "read", Reason: core.ReasonOwnerLost}
	case "overloaded":
		sink(core.TaskResult{AdmitShare: 0.3})
	case "wrong":
		sink(core.TaskResult{Parts: []core.TaskPart{{Shard: 99, Stamp: "x"}}, Records: []byte("zzzzzzzzzzzzzzzz")})
		return nil
	}
	return f.relay.Execute(ctx, t, sink)
}
