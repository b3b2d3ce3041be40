package server_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/remote"
	"oriolebarrow/standin/server"
)

const service core.ServiceName = "s"

// startFleet starts the servers of two groups with one replica each on loopback and
// also returns their addresses.
func startFleet(t *testing.T, o server.Options, limits core.Limits) (*server.Fleet, [2]string) {
	t.Helper()
	opened := make(map[string]net.Listener)
	var addresses [2]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = l.Addr().String()
		opened[addresses[i]] = l
	}
	o.Listen = func(network, address string) (net.Listener, error) {
		if l := opened[address]; l != nil {
			delete(opened, address)
			return l, nil
		}
		return net.Listen(network, address) // the server restarts
	}
	f := server.NewFleet(o)
	groups := [][]core.Replica{{core.NewReplica(addresses[0], "dc")}, {core.NewReplica(addresses[1], "dc")}}
	if err := f.Start(core.NewService(service, groups, limits)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f, addresses
}

// read sends a read call and returns the reason if it fails, or an empty reason.
func read(t *testing.T, c *remote.Client, address string, snapshot core.SnapshotID, shard core.ShardID) core.Reason {
	t.Helper()
	_, err := c.Read(t.Context(), address, core.ReadCall{
		CallID: "c", RequestID: "r", Service: service, Snapshot: snapshot, Shard: shard, Deadline: time.Now().Add(time.Minute),
	})
	var call *core.CallError
	if errors.As(err, &call) {
		return call.Reason
	}
	return ""
}

var ampleLimits = core.Limits{Slots: 4, Connections: 10}

// Guards against a stand-in that uses one shard map for all snapshots, or that still
// serves a removed snapshot.
func TestAddAndRemoveSnapshot(t *testing.T) {
	f, addresses := startFleet(t, server.Options{}, ampleLimits)
	c := remote.New(remote.Options{Connections: 2})
	defer c.Close()
	f.AddSnapshot(service, 42, 3)
	for shard, address := range []string{addresses[0], addresses[1], addresses[0]} {
		if got := read(t, c, address, 42, core.ShardID(shard)); got != "" {
			t.Errorf("shard %d of snapshot 42: %s", shard, got)
		}
	}
	if got := read(t, c, addresses[1], 42, 2); got != core.ReasonSnapshotGone {
		t.Errorf("shard of another group: %q", got)
	}
	f.RemoveSnapshot(service, server.FirstSnapshot)
	if got := read(t, c, addresses[0], server.FirstSnapshot, 0); got != core.ReasonSnapshotGone {
		t.Errorf("removed snapshot: %q", got)
	}
}

// Guards against a draining server that runs new calls, and against a restart that
// keeps the incarnation.
func TestDrainAndRestart(t *testing.T) {
	f, addresses := startFleet(t, server.Options{}, ampleLimits)
	c := remote.New(remote.Options{Connections: 2})
	defer c.Close()
	f.UpdateFaults(addresses[0], func(x *server.Faults) { x.State = string(core.ReplicaDraining) })
	if got := read(t, c, addresses[0], server.FirstSnapshot, 0); got != core.ReasonDraining {
		t.Errorf("draining server: %q", got)
	}
	before, _ := c.Status(t.Context(), addresses[0])
	if err := f.Restart(addresses[0], time.Hour); err != nil {
		t.Fatal(err)
	}
	c.Close()
	after, err := c.Status(context.WithoutCancel(t.Context()), addresses[0])
	if err != nil || after.Incarnation <= before.Incarnation || after.State != core.ReplicaCold {
		t.Errorf("after the restart: %+v, %v; before: %+v", after, err, before)
	}
}

// Guards against a journal that grows without bound, and against executions that are
// no longer counted once it is full.
func TestJournalIsBounded(t *testing.T) {
	f, addresses := startFleet(t, server.Options{JournalMax: 2}, ampleLimits)
	c := remote.New(remote.Options{Connections: 2})
	defer c.Close()
	for range 5 {
		read(t, c, addresses[0], server.FirstSnapshot, 0)
	}
	stats := f.Stats()
	if len(f.Journal()) != 2 || stats.Executions != 5 || stats.JournalDropped != 3 {
		t.Errorf("%d entries, stats %+v", len(f.Journal()), stats)
	}
}

// Guards against connections above the limit that are counted but stay open.
func TestConnectionLimitIsEnforced(t *testing.T) {
	f, addresses := startFleet(t, server.Options{}, core.Limits{Slots: 1, Connections: 1})
	first, err := net.Dial("tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	second, err := net.Dial("tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Error("the connection above the limit stays open")
	}
	if got := f.Stats(); got.OverConnections != 1 || got.MaxConnections != 2 {
		t.Errorf("stats %+v", got)
	}
}

// Guards against a load report that contains the current load although LoadLagMS asks for
// an older one.
func TestLoadReportLags(t *testing.T) {
	f, addresses := startFleet(t, server.Options{}, ampleLimits)
	c := remote.New(remote.Options{Connections: 4})
	defer c.Close()
	f.UpdateFaults(addresses[0], func(x *server.Faults) { x.Stuck, x.LoadLagMS = true, time.Hour.Milliseconds() })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Read(ctx, addresses[0], core.ReadCall{CallID: "c", Service: service, Snapshot: server.FirstSnapshot, Deadline: time.Now().Add(time.Minute)})
	}()
	for f.Stats().Executions == 0 {
		runtime.Gosched()
	}
	lagging, _ := c.Status(t.Context(), addresses[0])
	f.UpdateFaults(addresses[0], func(x *server.Faults) { x.LoadLagMS = 0 })
	current, err := c.Status(t.Context(), addresses[0])
	if err != nil || lagging.Load != 0 || current.Load != 1 {
		t.Errorf("lagging load %d, current %d, want 0 and 1; %v", lagging.Load, current.Load, err)
	}
	cancel()
	<-done
}

// Guards against a set-up cost that delays no read or every read of a connection.
func TestSetupCostIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := server.NewDelayedConn(near, 6*time.Millisecond)
		go func() { _, _ = far.Write([]byte("ab")) }()
		started := time.Now()
		_, _ = c.Read(make([]byte, 1))
		_, _ = c.Read(make([]byte, 1))
		if got := time.Since(started); got != 6*time.Millisecond {
			t.Errorf("two reads cost %s of simulated time, want 6ms", got)
		}
		_ = near.Close()
	})
}

// Guards against a cold server that is fast at once or never warms up.
func TestColdFactorFallsLinearly(t *testing.T) {
	for since, want := range map[time.Duration]float64{0: 5, time.Second: 3, 2 * time.Second: 1, time.Minute: 1} {
		if got := server.ColdFactor(5, since, 2*time.Second); got != want {
			t.Errorf("after %s: %v, want %v", since, got, want)
		}
	}
}
