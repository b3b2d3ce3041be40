package gossip

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/config"
	"oriolebarrow/core/member"
	"oriolebarrow/io/wire"
)

const (
	// chunkBytes limits the text of one reply, so that a document of 1 MB does not
	// delay other frames of the same link for long. A single larger section is sent
	// as one chunk.
	chunkBytes = 128 << 10
	// maxChunks limits the chunks that are accepted from one exchange.
	maxChunks = 64

	readerCheckInterval = time.Second // how often a host checks whether it is a reader
	// readerRotation is the time after which other hosts become the readers if no
	// new revision is found. Two rotations end within 11 s, the limit for activating a
	// revision on all hosts, so that it is still read in time if all readers of one
	// rotation are dead, paused or cut off from the platform.
	readerRotation = 4 * time.Second
	startInterval  = 200 * time.Millisecond // between comparisons of a starting host
	backoffMin     = 200 * time.Millisecond
	backoffMax     = 5 * time.Second
	// watchTimeout exceeds the 10 s for which the platform itself holds a watch open.
	watchTimeout = 30 * time.Second
	// minWatchTime is the duration below which a watch that returns no newer revision
	// is followed by a pause.
	minWatchTime = time.Second
	// hostListWait is how long a starting host waits for the host list before it reads
	// the document. Without the list it cannot determine whether it is a reader, and in
	// a cold start every host would read the document.
	hostListWait = 2 * time.Second
	// informTimeout ends the wait for owners that do not answer. The failure detector
	// removes a lost host from the view of this host sooner.
	informTimeout      = 2 * time.Second
	informPollInterval = 20 * time.Millisecond
	startIntervalMax   = 500 * time.Millisecond // startInterval doubles up to it while nothing changes
)

// ErrTooManyChunks is returned when another host sends more than maxChunks chunks in one
// exchange.
var ErrTooManyChunks = errors.New("gossip: exchange has too many chunks")

// readerEpoch is the time during which one revision is active on this host. The readers
// of the platform are chosen by the revision and the time since the epoch began.
type readerEpoch struct {
	revision core.Revision
	since    time.Time
	ended    chan struct{} // closed when a higher revision becomes active
}

// currentEpoch returns the epoch of the active revision. It starts a new epoch if the
// revision has increased.
func (a *Agent) currentEpoch() readerEpoch {
	revision := a.Ledger.Revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch.ended == nil || revision > a.epoch.revision {
		if a.epoch.ended != nil {
			close(a.epoch.ended)
		}
		a.epoch = readerEpoch{revision: revision, since: time.Now(), ended: make(chan struct{})}
	}
	return a.epoch
}

// isReader reports whether this host is to watch the platform. A host that knows no other
// host is a reader, so that it can find the others.
func (a *Agent) isReader() bool {
	epoch := a.currentEpoch()
	rotation := uint64(time.Since(epoch.since) / readerRotation)
	for _, id := range a.Placer.Readers(a.Detector.Reachable(time.Now()), a.Self.DataCentre(), epoch.revision, rotation) {
		if id == a.Self.ID() {
			return true
		}
	}
	return false
}

// watchConfig watches the platform for new documents whenever this host is a reader.
func (a *Agent) watchConfig(ctx context.Context) error {
	a.awaitHostList(ctx)
	delay := backoffMin
	for ctx.Err() == nil {
		if !a.isReader() {
			sleep(ctx, jitter(readerCheckInterval))
			continue
		}
		started := time.Now()
		epoch := a.currentEpoch()
		// A watch for the active revision returns only a newer document.
		doc, err := a.readDocument(ctx, epoch)
		if errors.Is(err, context.Canceled) {
			continue // the epoch ended, so other hosts may be the readers
		}
		if err != nil {
			a.Log.Warn("config: document cannot be read or applied", "revision", doc.Revision, "err", err)
			sleep(ctx, jitter(delay))
			delay = min(2*delay, backoffMax)
			continue
		}
		delay = backoffMin
		// Prevents a busy loop if the platform answers a watch at once without a newer
		// revision.
		if doc.Revision <= epoch.revision && time.Since(started) < minWatchTime {
			sleep(ctx, jitter(minWatchTime))
		}
	}
	return nil
}

// awaitHostList waits up to hostListWait for the first host list.
func (a *Agent) awaitHostList(ctx context.Context) {
	for end := time.Now().Add(hostListWait); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, startInterval/4) {
		a.mu.Lock()
		known := a.hosts.Version() > 0
		a.mu.Unlock()
		if known {
			return
		}
	}
}

// readDocument watches the platform for a document that is newer than the epoch's revision
// and applies it. It cancels the watch when the epoch ends: this host then has the newer
// revision already, and other hosts may be the readers of the next epoch.
func (a *Agent) readDocument(ctx context.Context, epoch readerEpoch) (core.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	watched := make(chan struct{})
	defer close(watched)
	go func() {
		select {
		case <-epoch.ended:
			cancel()
		case <-watched:
		}
	}()
	doc, err := a.Platform.Document(ctx, epoch.revision)
	if err != nil || doc.Unchanged {
		return doc, err
	}
	digest, revision := a.Ledger.Digest(), a.Ledger.Revision()
	changed, err := a.Ledger.Apply(doc)
	if err != nil {
		return doc, err
	}
	for _, key := range changed {
		a.Log.Info("config: section in force", "section", key.String(), "revision", doc.Revision, "from", "platform")
	}
	if a.Ledger.Digest() != digest {
		a.origins.record(time.Now(), "platform", a.Ledger.Versions())
	}
	// A new revision starts a new epoch even if it changes no section.
	if a.Ledger.Digest() != digest || a.Ledger.Revision() != revision {
		a.announce()
	}
	return doc, nil
}

// pullSections fetches the sections of another host that differ from those of this host,
// and merges them.
func (a *Agent) pullSections(ctx context.Context, from core.Host) (core.SectionsState, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	digest := a.Ledger.Digest()
	a.pulled.Add(1)
	chunks := 0
	state, err := a.Exchange.Sections(ctx, from, a.Ledger.Digests(), func(texts []core.SectionText) {
		if chunks++; chunks <= maxChunks {
			a.mergeSections(from, texts)
			a.guard.progress(time.Now())
		}
	})
	if err == nil && chunks > maxChunks {
		err = ErrTooManyChunks
	}
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("config: sections cannot be pulled", "host", from.ID(), "err", err)
	} else if state.HasDocument {
		a.Ledger.MarkDocumentComplete()
	}
	if a.Ledger.Digest() != digest {
		a.origins.record(time.Now(), string(from.ID()), a.Ledger.Versions())
		a.announce()
	}
	return state, err
}

func (a *Agent) mergeSections(from core.Host, texts []core.SectionText) {
	for _, t := range texts {
		changed, err := a.Ledger.MergeText(t)
		if err != nil {
			a.refused.Add(1)
			a.Log.Warn("config: section not taken", "host", from.ID(), "revision", t.Revision, "err", err)
			continue
		}
		if changed {
			a.Log.Info("config: section in force", "revision", t.Revision, "from", from.ID())
		}
	}
}

// SectionsReplies returns the replies to another host's request for sections: those that
// differ from its digests, in chunks. There is at least one reply, and the last one ends
// the exchange.
func (a *Agent) SectionsReplies(get *wire.SectionsGet) ([]*wire.SectionsReply, error) {
	// Read before the sections, so that a reply never claims readiness or a complete
	// document for sections that it does not contain.
	ready, complete := a.joined.Load(), a.Ledger.HasDocument()
	var out []*wire.SectionsReply
	for _, set := range splitSections(a.Ledger.Differing(get.Buckets)) {
		raw, err := a.packer.Pack(set)
		if err != nil {
			return nil, err
		}
		a.Meter.Count("gossip_exchange_sent_bytes", int64(len(raw)))
		out = append(out, &wire.SectionsReply{Compressed: raw, Ready: ready, HasDocument: complete})
	}
	return out, nil
}

// splitSections distributes sections over sets of up to chunkBytes of text. It returns at
// least one set, which may be empty.
func splitSections(versions []config.Version) []*wire.SectionSet {
	sets := []*wire.SectionSet{{}}
	size := 0
	for _, v := range versions {
		text := v.Section().Text()
		if size > 0 && size+len(text) > chunkBytes {
			sets = append(sets, &wire.SectionSet{})
			size = 0
		}
		set := sets[len(sets)-1]
		set.Sections = append(set.Sections, &wire.Section{Revision: uint64(v.Revision()), Text: text})
		size += len(text)
	}
	return sets
}

// Refresh immediately compares sections and host list with one random host of the view. If
// the view contains no other host, it reads the document from the platform.
func (a *Agent) Refresh(ctx context.Context) error {
	var others []core.Host
	for _, h := range a.Detector.View(time.Now()).Hosts() {
		if h.ID() != a.Self.ID() {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		_, err := a.readDocument(ctx, readerEpoch{})
		return err
	}
	from := others[randomIndex(len(others))]
	a.pullHosts(ctx, from)
	_, err := a.pullSections(ctx, from)
	return err
}

// start compares the document with other hosts until a readiness rule applies, joins, and
// then keeps synchronising the states of hosts.
func (a *Agent) start(ctx context.Context) error {
	hasStates := false
	delay := startInterval
	for ctx.Err() == nil {
		digest := a.Ledger.Digest()
		listed, dead, candidate, found := a.collectPeers()
		if found && a.guard.begin(time.Now()) {
			if state, err := a.pullSections(ctx, candidate); err == nil {
				a.mu.Lock()
				a.readiness.Compared(candidate.ID(), state.Ready)
				a.mu.Unlock()
				// A host that is not ready has no better knowledge of the other hosts.
				if state.Ready && !hasStates {
					hasStates = a.pullStates(ctx, candidate)
				}
			}
			a.guard.end()
		}
		a.mu.Lock()
		known := a.hosts.Version() > 0
		rule := a.readiness.Check(a.Ledger.HasDocument(), known, listed, dead)
		a.mu.Unlock()
		if rule != member.NotReady {
			a.join(ctx, rule)
			return a.syncStates(ctx)
		}
		sleep(ctx, jitter(delay))
		delay = min(2*delay, startIntervalMax)
		if a.Ledger.Digest() != digest {
			delay = startInterval
		}
	}
	return nil
}

// join adds this host to the view and admits callers. It first waits for snapshots from
// the owners in the view. If no other host is ready, those owners are the hosts that have
// just joined, including this one, so it enters the view before it waits.
func (a *Agent) join(ctx context.Context, rule member.ReadyRule) {
	if rule == member.Compared {
		a.awaitInformed(ctx)
	}
	a.joined.Store(true)
	a.setStatus()
	if rule != member.Compared {
		a.awaitInformed(ctx)
	}
	a.ready.Store(true)
	a.Log.Info("node: host is ready", "rule", rule, "revision", a.Ledger.Revision())
	a.announce()
}

// awaitInformed waits until Informed returns true, up to informTimeout.
func (a *Agent) awaitInformed(ctx context.Context) {
	if a.Informed == nil {
		return
	}
	deadline := time.Now().Add(informTimeout)
	for !a.Informed() && time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, informPollInterval)
	}
	a.Log.Info("gossip: host is informed", "complete", a.Informed())
}

// collectPeers returns the other hosts of the host list that are not leaving, how many of
// them the failure detector considers dead, and a random candidate for the next
// comparison. Hosts that report readiness are preferred. found is false if there is no
// candidate. It also records which hosts have sent a packet and whether they are ready.
func (a *Agent) collectPeers() (listed []core.HostID, dead int, candidate core.Host, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var preferred, others []core.Host
	for _, p := range a.Detector.Peers() {
		if p.Heard {
			a.readiness.Answered(p.Host.ID(), p.Status.Ready)
		}
		if !p.Listed {
			continue
		}
		listed = append(listed, p.Host.ID())
		if p.State == core.PeerDead {
			dead++
		}
		switch {
		case p.State == core.PeerDead || a.readiness.HasCompared(p.Host.ID()):
		case p.Status.Ready:
			preferred = append(preferred, p.Host)
		default:
			others = append(others, p.Host)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return listed, dead, core.Host{}, false
	}
	return listed, dead, preferred[randomIndex(len(preferred))], true
}
