package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolebarrow/core"
	"oriolebarrow/core/fleet"
	"oriolebarrow/io/client"
)

// emptied opens a connection again that the replica closed for want of use: its
// set-up time would fall into the next query.
func (e *Edge) emptied(id core.InstanceID) {
	if in, ok := e.fleet.Chosen(id); ok {
		e.appeared(in) // warm looks whether it is still used
	}
}

// becomeReady waits for the directory, for the other hosts, with whom calls and limits
// are shared, and for warm connections.
func (e *Edge) becomeReady(ctx context.Context) error {
	ticker := time.NewTicker(tick / 4)
	defer ticker.Stop()
	bound := time.Now().Add(coverBound)
	for !e.mirror.Known() || !e.prepared() && time.Now().Before(bound) {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	bounded, cancel := context.WithTimeout(ctx, warmBound)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(warmAtOnce)
	for _, in := range e.fleet.Instances() {
		group.Go(func() error {
			e.warmOne(bounded, in)
			return nil
		})
	}
	_ = group.Wait() // warming reports no error
	e.ready.Store(true)
	e.crew.SetReady(true)
	e.log.Info("node: host is ready", "host", e.opts.Host, "replicas", e.fleet.Size(), "connections", e.client.Connections(),
		"without_replica", e.uncovered())
	return nil
}

func (e *Edge) prepared() bool {
	return e.crew.Known(time.Now()) && e.relay.Table().Covered(e.fleet.Available)
}

// uncovered returns the services of the routes that have no replica.
func (e *Edge) uncovered() (services []core.ServiceName) {
	for _, s := range e.relay.Table().Services() {
		if !e.fleet.Available(s) {
			services = append(services, s)
		}
	}
	return services
}

func (e *Edge) warmOne(ctx context.Context, in core.Instance) {
	t := e.relay.Table()
	if t == nil {
		return
	}
	if !e.used(t, in.Service) {
		return
	}
	e.client.Warm(ctx, client.Target{ID: in.ID, Address: in.Address, Connections: e.relay.Share(t, in.Service).Calls})
}

// warm opens connections to replicas that appear while the host serves.
func (e *Edge) warm(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-e.warming:
			if e.ready.Load() {
				e.warmOne(ctx, in)
			}
		}
	}
}

// probe asks ejected replicas whether they are healthy again.
func (e *Edge) probe(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		e.share()
		for _, r := range e.fleet.Probes(time.Now()) {
			running.Go(func() { e.probeOne(ctx, r) })
		}
	}
}

func (e *Edge) probeOne(ctx context.Context, r *fleet.Replica) {
	in := r.Instance()
	t := e.relay.Table()
	path := "/"
	if u, ok := t.Upstream(in.Service); ok {
		path = u.HealthPath
	}
	result := make(chan client.Result, 1)
	call := e.client.Send(client.Target{ID: in.ID, Address: in.Address, Connections: e.relay.Share(t, in.Service).Calls},
		client.Request{Method: http.MethodGet, URI: path, Host: in.Address},
		func(res client.Result) { result <- res })
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	healthy := false
	select {
	case res := <-result:
		healthy = res.Err == nil && !res.Reply.Moved && (res.Reply.Status == http.StatusOK || res.NotRun)
	case <-timer.C:
		call.Abandon(0)
	case <-ctx.Done():
		call.Abandon(0)
	}
	if e.fleet.Probed(time.Now(), r, healthy) {
		e.log.Info("relay: replica is back", "replica", in.ID, "service", in.Service)
	}
}
