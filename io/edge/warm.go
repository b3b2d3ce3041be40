package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/picker"
	"oriolebarrow/io/client"
)

// reconnect queues a new connection to an instance that closed its last one while
// it was idle. Otherwise the next query would wait until the connection is set up.
func (e *Edge) reconnect(id core.InstanceID) {
	if in, ok := e.replicas.InSubset(time.Now(), id); ok {
		e.queueWarming(in) // warmInstance checks whether this host still calls the service
	}
}

// applyEvacuation adapts this host after a change of the evacuated data centres: waiting calls
// pick a replica again, and replicas that may now be used get a connection.
func (e *Edge) applyEvacuation() {
	e.relay.ReassignWaiting(time.Now())
	for _, in := range e.replicas.Instances() {
		e.queueWarming(in)
	}
}

// becomeReady marks the host as ready. It first waits for the directory, for the
// other hosts, which share calls and limits with this one, and for connections to
// replicas. Only the wait for the directory is unlimited.
func (e *Edge) becomeReady(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval / 4)
	defer ticker.Stop()
	deadline := time.Now().Add(prepareTimeout)
	for !e.mirror.Loaded() || !e.prepared() && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	warmCtx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(warmConcurrency)
	for _, in := range e.replicas.Instances() {
		group.Go(func() error {
			e.warmInstance(warmCtx, in)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	e.ready.Store(true)
	e.members.SetReady(true)
	e.log.Info("node: host is ready", "host", e.opts.Host, "replicas", e.replicas.Size(), "connections", e.client.Connections(),
		"without_replica", e.servicesWithoutReplica())
	return nil
}

// prepared reports whether this host knows the other hosts and enough replicas to
// serve the active routing document.
func (e *Edge) prepared() bool {
	return e.members.Joined(time.Now()) && e.relay.Table().Servable(e.available)
}

// available reports whether a service has a usable replica.
func (e *Edge) available(s core.ServiceName) bool { return e.replicas.Available(time.Now(), s) }

// servicesWithoutReplica returns the routed services without an available replica.
func (e *Edge) servicesWithoutReplica() (services []core.ServiceName) {
	for _, s := range e.relay.Table().Services() {
		if !e.available(s) {
			services = append(services, s)
		}
	}
	return services
}

// warmInstance opens a connection to an instance unless there is one or this host
// does not call its service.
func (e *Edge) warmInstance(ctx context.Context, in core.Instance) {
	t := e.relay.Table()
	if t == nil {
		return
	}
	if !e.callsService(t, in.Service) || e.replicas.Evacuated(in.DataCentre) {
		return
	}
	e.client.Warm(ctx, client.Target{ID: in.ID, Address: in.Address, Connections: e.relay.HostLimits(t, in.Service).Calls})
}

// warmQueued opens connections to the queued replicas until ctx ends. Before the
// host is ready it only empties the queue, because becomeReady then connects to
// all replicas.
func (e *Edge) warmQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-e.warming:
			if e.ready.Load() {
				e.warmInstance(ctx, in)
			}
		}
	}
}

// probeEjected checks the health of ejected replicas until ctx ends. Each round also
// updates the shares of this host.
func (e *Edge) probeEjected(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.updateShares()
		e.updateWarmLimit(time.Now())
		e.trimConnections()
		for _, r := range e.replicas.Probes(time.Now()) {
			running.Go(func() { e.probeReplica(ctx, r) })
		}
	}
}

// probeReplica sends one health check and returns the replica to service if it is
// healthy.
func (e *Edge) probeReplica(ctx context.Context, r *picker.Replica) {
	in := r.Instance()
	t := e.relay.Table()
	path := "/"
	if u, ok := t.Upstream(in.Service); ok {
		path = u.HealthPath
	}
	result := make(chan client.Result, 1)
	call := e.client.Send(client.Target{ID: in.ID, Address: in.Address, Connections: e.relay.HostLimits(t, in.Service).Calls},
		client.Request{Method: http.MethodGet, URI: path, Host: in.Address},
		func(res client.Result) { result <- res })
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	healthy := false
	select {
	case res := <-result:
		e.relay.Note(time.Now(), r, res)
		healthy = res.Err == nil && !res.Reply.AddressReused && (res.Reply.Status == http.StatusOK || res.NotRun)
	case <-timer.C:
		call.Abandon(0)
	case <-ctx.Done():
		call.Abandon(0)
	}
	if e.replicas.Probed(time.Now(), r, healthy) {
		e.log.Info("relay: replica is back", "replica", in.ID, "service", in.Service)
	}
}
