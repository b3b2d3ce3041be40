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
	// statesFirst doubles up to statesInterval: the views of a fleet that starts
	// together converge by the first few exchanges.
	statesFirst = 2 * time.Second
	// statesInterval is shortened to half of it at most. The states of 3,300
	// hosts are 73 KB compressed (TestStatesFitTheBudget), and a host takes and
	// serves them once in 22.5 s on average: 6.5 KB/s in both directions.
	statesInterval = 30 * time.Second
)

func pick(n int) int { return rand.IntN(n) }

// watchHosts reads the host list as long as this host is a reader.
func (a *Agent) watchHosts(ctx context.Context) error {
	delay := backoffMin
	for ctx.Err() == nil {
		if !a.reader() {
			pause(ctx, jitter(readerCheck))
			continue
		}
		if err := a.readHosts(ctx); err != nil {
			a.Log.Warn("member: host list not read", "err", err)
			pause(ctx, jitter(delay))
			delay = min(2*delay, backoffMax)
			continue
		}
		delay = backoffMin
		pause(ctx, jitter(hostsInterval))
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
		a.publishHosts("platform")
	}
	return nil
}

func (a *Agent) pullHosts(ctx context.Context, from core.Host) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a.mu.Lock()
	digests := a.hosts.Digests()
	a.mu.Unlock()
	a.pulled.Add(1)
	news, err := a.Exchange.Hosts(ctx, from, digests)
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("member: host list not pulled", "host", from.ID(), "err", err)
		return
	}
	a.mu.Lock()
	changed := a.hosts.Merge(time.Now(), news.Version, news.Buckets)
	a.mu.Unlock()
	if changed {
		a.publishHosts(string(from.ID()))
	}
}

func (a *Agent) publishHosts(from string) {
	a.mu.Lock()
	entries, version := a.hosts.Entries(), a.hosts.Version()
	a.mu.Unlock()
	a.Log.Info("member: host list in force", "version", version, "hosts", len(entries), "from", from)
	a.Detector.Publish(time.Now(), entries)
	a.announce()
}

// HostsReply answers another host with the part of the host list that differs.
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

// pullStates learns once from another host what it knows of all hosts. Without
// it a starting host would learn of lost hosts by its own probes only.
func (a *Agent) pullStates(ctx context.Context, from core.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	a.pulled.Add(1)
	states, err := a.Exchange.States(ctx, from)
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("member: states not pulled", "host", from.ID(), "err", err)
		return false
	}
	a.Detector.Merge(time.Now(), states)
	a.Log.Debug("member: states taken", "hosts", len(states), "from", from.ID())
	return true
}

// syncStates pulls the states of all hosts from a random host now and then. In
// a cold start the many updates wait for each other in the packets, so that the
// views would take longer to be complete.
func (a *Agent) syncStates(ctx context.Context) error {
	for delay := statesFirst; ctx.Err() == nil; delay = min(2*delay, statesInterval) {
		pause(ctx, jitter(delay))
		hosts := a.Detector.View(time.Now()).Hosts()
		if len(hosts) == 0 {
			continue
		}
		if h := hosts[pick(len(hosts))]; h.ID() != a.Self.ID() {
			a.pullStates(ctx, h)
		}
	}
	return nil
}

// StatesReply answers another host with what this one knows of all hosts.
func (a *Agent) StatesReply() (*wire.StatesReply, error) {
	set := new(wire.StateSet)
	for _, u := range a.Detector.Updates() {
		set.Updates = append(set.Updates, update(u))
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
