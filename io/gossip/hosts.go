package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"oriolebarrow/core"
	"oriolebarrow/io/wire"
)

const (
	hostsInterval = time.Second
	hostsTimeout  = 5 * time.Second
	// statesIntervalMin is the first interval of state pulls. It doubles up to
	// statesInterval: if all hosts of a fleet start together, their views converge
	// during the first few pulls.
	statesIntervalMin = 2 * time.Second
	// statesInterval is the longest interval of state pulls; jitter shortens it to no
	// less than half. The states of 3,300 hosts are 73 KB compressed
	// (TestStatesFitTheBudget), and a host pulls and serves them once in 22.5 s on
	// average: 6.5 KB/s in both directions together.
	statesInterval = 30 * time.Second
)

func randomIndex(n int) int { return rand.IntN(n) }

// pollHosts polls the host list of the platform while this host is a reader.
func (a *Agent) pollHosts(ctx context.Context) error {
	delay := backoffMin
	for ctx.Err() == nil {
		if !a.isReader() {
			sleep(ctx, jitter(readerCheckInterval))
			continue
		}
		if err := a.readHosts(ctx); err != nil {
			a.Log.Warn("member: host list cannot be read", "err", err)
			sleep(ctx, jitter(delay))
			delay = min(2*delay, backoffMax)
			continue
		}
		delay = backoffMin
		sleep(ctx, jitter(hostsInterval))
	}
	return nil
}

func (a *Agent) readHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	entries, err := a.Platform.Hosts(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	changed := a.hosts.Fetched(time.Now(), entries)
	a.mu.Unlock()
	if changed {
		a.applyHosts("platform")
	}
	return nil
}

// pullHosts fetches the parts of another host's list that differ from the host list of
// this host, and merges them.
func (a *Agent) pullHosts(ctx context.Context, from core.Host) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a.mu.Lock()
	digests := a.hosts.Digests()
	a.mu.Unlock()
	a.pulled.Add(1)
	update, err := a.Exchange.Hosts(ctx, from, digests)
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("member: host list cannot be pulled", "host", from.ID(), "err", err)
		return
	}
	a.mu.Lock()
	changed := a.hosts.Merge(time.Now(), update.Version, update.Buckets)
	a.mu.Unlock()
	if changed {
		a.applyHosts(string(from.ID()))
	}
}

// applyHosts passes a changed host list to the failure detector and announces it.
func (a *Agent) applyHosts(from string) {
	a.mu.Lock()
	entries, version := a.hosts.Entries(), a.hosts.Version()
	a.mu.Unlock()
	a.Log.Info("member: host list in force", "version", version, "hosts", len(entries), "from", from)
	a.Detector.SetHostList(time.Now(), entries)
	a.announce()
}

// HostsReply returns the reply to another host's request for the host list: the buckets
// that differ from its digests.
func (a *Agent) HostsReply(get *wire.HostsGet) (*wire.HostsReply, error) {
	a.mu.Lock()
	version, differing := a.hosts.Version(), a.hosts.Differing(get.Buckets)
	a.mu.Unlock()
	set := new(wire.HostSet)
	for index, entries := range differing {
		set.Buckets = append(set.Buckets, hostBucket(index, entries))
	}
	raw, err := a.packer.Pack(set)
	if err != nil {
		return nil, err
	}
	a.Meter.Count("gossip_exchange_sent_bytes", int64(len(raw)))
	return &wire.HostsReply{Version: version, Compressed: raw}, nil
}

// pullStates fetches and merges the states of all hosts that another host knows, and
// reports whether it succeeded. Without it, a starting host would detect lost hosts only
// by its own probes.
func (a *Agent) pullStates(ctx context.Context, from core.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a.pulled.Add(1)
	states, err := a.Exchange.States(ctx, from)
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("member: host states cannot be pulled", "host", from.ID(), "err", err)
		return false
	}
	a.Detector.Merge(time.Now(), states)
	a.Log.Debug("member: host states merged", "hosts", len(states), "from", from.ID())
	return true
}

// syncStates periodically pulls the states of all hosts from a random host. In a cold
// start there are more updates than fit into the packets, so that views would otherwise
// take longer to become complete.
func (a *Agent) syncStates(ctx context.Context) error {
	for delay := statesIntervalMin; ctx.Err() == nil; delay = min(2*delay, statesInterval) {
		sleep(ctx, jitter(delay))
		hosts := a.Detector.View(time.Now()).Hosts()
		if len(hosts) == 0 {
			continue
		}
		if h := hosts[randomIndex(len(hosts))]; h.ID() != a.Self.ID() {
			a.pullStates(ctx, h)
		}
	}
	return nil
}

// StatesReply returns the states of all hosts known to this host, as a reply to another
// host.
func (a *Agent) StatesReply() (*wire.StatesReply, error) {
	set := new(wire.StateSet)
	for _, u := range a.Detector.Updates() {
		set.Updates = append(set.Updates, plainUpdate(u))
	}
	raw, err := a.packer.Pack(set)
	if err != nil {
		return nil, err
	}
	return &wire.StatesReply{Compressed: raw}, nil
}

func hostBucket(index int, entries []core.HostEntry) *wire.HostBucket {
	b := &wire.HostBucket{Index: int32(index)}
	for _, e := range entries {
		b.Hosts = append(b.Hosts, &wire.HostEntry{
			Host:       string(e.Host.ID()),
			DataCentre: string(e.Host.DataCentre()),
			Address:    e.Host.Address(),
			Leaving:    e.Leaving,
		})
	}
	return b
}
