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
	// chunkBytes bounds the text of one reply, so that a document of 1 MB does
	// not delay other frames of the same link for long.
	chunkBytes = 128 << 10
	// maxChunks bounds what one exchange may bring.
	maxChunks = 64

	readerCheck = time.Second // how often a host looks whether it is a reader
	// dutyTurn is how long two readers are on duty while no revision comes. Two
	// turns pass within 11 s, so that a revision is read in time when the readers
	// of one turn are dead, paused or cut off from the platform.
	dutyTurn      = 4 * time.Second
	startInterval = 200 * time.Millisecond
	backoffMin    = 200 * time.Millisecond
	backoffMax    = 5 * time.Second
	// watchTimeout is above the service's own wait time of 10 s.
	watchTimeout = 30 * time.Second
	quickWatch   = time.Second
	// hostsFirst is how long a starting host waits for the host list before it
	// reads the document. Without the list it can't tell whether it is a reader,
	// and in a cold start every host would read the document.
	hostsFirst = 2 * time.Second
	// informBound ends the wait for owners that do not answer: the failure
	// detector takes a lost host out of the view of this host sooner.
	informBound = 2 * time.Second
	informCheck = 20 * time.Millisecond
	startMax    = 500 * time.Millisecond // between comparisons that bring nothing
)

// ErrTooMuch is returned when an exchange brings more than a document can hold.
var ErrTooMuch = errors.New("gossip: exchange brings too much")

// duty is what decides who reads the platform: the revision in force and the
// time since it is. moved is closed when the revision moves on.
type duty struct {
	revision core.Revision
	since    time.Time
	moved    chan struct{}
}

// onDuty returns the duty for the revision in force.
func (a *Agent) onDuty() duty {
	revision := a.Ledger.Revision()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.duty.moved == nil || revision > a.duty.revision {
		if a.duty.moved != nil {
			close(a.duty.moved)
		}
		a.duty = duty{revision: revision, since: time.Now(), moved: make(chan struct{})}
	}
	return a.duty
}

// reader reports whether this host watches the platform. A host that knows no
// other host does, so that it learns of them.
func (a *Agent) reader() bool {
	d := a.onDuty()
	turn := uint64(time.Since(d.since) / dutyTurn)
	for _, id := range a.Placer.Readers(a.Detector.Reachable(time.Now()), a.Self.DataCentre(), d.revision, turn) {
		if id == a.Self.ID() {
			return true
		}
	}
	return false
}

func (a *Agent) watchConfig(ctx context.Context) error {
	a.awaitHosts(ctx)
	delay := backoffMin
	for ctx.Err() == nil {
		if !a.reader() {
			pause(ctx, jitter(readerCheck))
			continue
		}
		started := time.Now()
		d := a.onDuty()
		// With the revision in force a watch brings only news.
		doc, err := a.readDocument(ctx, d)
		if errors.Is(err, context.Canceled) {
			continue // the revision moved on, and the duty with it
		}
		if err != nil {
			a.Log.Warn("config: document not taken", "revision", doc.Revision, "err", err)
			pause(ctx, jitter(delay))
			delay = min(2*delay, backoffMax)
			continue
		}
		delay = backoffMin
		// A service that answers a watch at once without news must not be asked
		// in a loop.
		if doc.Revision <= d.revision && time.Since(started) < quickWatch {
			pause(ctx, jitter(quickWatch))
		}
	}
	return nil
}

func (a *Agent) awaitHosts(ctx context.Context) {
	for end := time.Now().Add(hostsFirst); ctx.Err() == nil && time.Now().Before(end); pause(ctx, startInterval/4) {
		a.mu.Lock()
		known := a.hosts.Version() > 0
		a.mu.Unlock()
		if known {
			return
		}
	}
}

// readDocument ends the watch when the revision moves on: other hosts have the
// duty for the next one, and this one would take a document that it has.
func (a *Agent) readDocument(ctx context.Context, d duty) (core.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	watched := make(chan struct{})
	defer close(watched)
	go func() {
		select {
		case <-d.moved:
			cancel()
		case <-watched:
		}
	}()
	doc, err := a.Platform.Document(ctx, d.revision)
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
		a.origins.note(time.Now(), "platform", a.Ledger.Versions())
	}
	// A revision that changes no section still moves the duty.
	if a.Ledger.Digest() != digest || a.Ledger.Revision() != revision {
		a.announce()
	}
	return doc, nil
}

// pullSections takes from another host what differs.
func (a *Agent) pullSections(ctx context.Context, from core.Host) (core.SectionsNews, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	digest := a.Ledger.Digest()
	a.pulled.Add(1)
	chunks := 0
	news, err := a.Exchange.Sections(ctx, from, a.Ledger.Digests(), func(texts []core.SectionText) {
		if chunks++; chunks <= maxChunks {
			a.mergeTexts(from, texts)
			a.flight.progress(time.Now())
		}
	})
	if err == nil && chunks > maxChunks {
		err = ErrTooMuch
	}
	if err != nil {
		a.pullFails.Add(1)
		a.Log.Debug("config: exchange failed", "host", from.ID(), "err", err)
	} else if news.HasDocument {
		a.Ledger.NoteDocument()
	}
	if a.Ledger.Digest() != digest {
		a.origins.note(time.Now(), string(from.ID()), a.Ledger.Versions())
		a.announce()
	}
	return news, err
}

func (a *Agent) mergeTexts(from core.Host, texts []core.SectionText) {
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

// SectionsReplies answers another host: the sections that differ, in chunks. The
// last reply ends the exchange; there is always one.
func (a *Agent) SectionsReplies(get *wire.SectionsGet) ([]*wire.SectionsReply, error) {
	// Read before the sections, so that a reply never claims more than it brings.
	ready, document := a.joined.Load(), a.Ledger.HasDocument()
	var out []*wire.SectionsReply
	for _, set := range chunk(a.Ledger.Differing(get.Buckets)) {
		raw, err := a.packer.Pack(set)
		if err != nil {
			return nil, err
		}
		a.Meter.Count("gossip_exchange_sent_bytes", int64(len(raw)))
		out = append(out, &wire.SectionsReply{Compressed: raw, Ready: ready, HasDocument: document})
	}
	return out, nil
}

func chunk(versions []config.Version) []*wire.SectionSet {
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

// Refresh compares sections and host list with one usable host at once. Without
// such a host it asks the platform.
func (a *Agent) Refresh(ctx context.Context) error {
	var usable []core.Host
	for _, h := range a.Detector.View(time.Now()).Hosts() {
		if h.ID() != a.Self.ID() {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		_, err := a.readDocument(ctx, duty{})
		return err
	}
	from := usable[pick(len(usable))]
	a.pullHosts(ctx, from)
	_, err := a.pullSections(ctx, from)
	return err
}

// start compares the document with other hosts until this host is ready.
func (a *Agent) start(ctx context.Context) error {
	hasStates := false
	delay := startInterval
	for ctx.Err() == nil {
		digest := a.Ledger.Digest()
		roster, dead, candidate, found := a.survey()
		if found && a.flight.begin(time.Now()) {
			if news, err := a.pullSections(ctx, candidate); err == nil {
				a.mu.Lock()
				a.readiness.Compared(candidate.ID(), news.Ready)
				a.mu.Unlock()
				// A host that is not ready knows as little as this one.
				if news.Ready && !hasStates {
					hasStates = a.pullStates(ctx, candidate)
				}
			}
			a.flight.end()
		}
		a.mu.Lock()
		known := a.hosts.Version() > 0
		rule := a.readiness.Check(a.Ledger.HasDocument(), known, roster, dead)
		a.mu.Unlock()
		if rule != member.NotReady {
			a.join(ctx, rule)
			return a.syncStates(ctx)
		}
		pause(ctx, jitter(delay))
		delay = min(2*delay, startMax)
		if a.Ledger.Digest() != digest {
			delay = startInterval
		}
	}
	return nil
}

// join takes this host into the view and then admits callers. It learns what it
// needs to answer from the owners in the view, which without ready hosts are those
// that just joined, this one included.
func (a *Agent) join(ctx context.Context, rule member.Rule) {
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

// awaitInformed waits until this host knows what it needs to answer, for as long
// as owners that are lost stay in the view at most.
func (a *Agent) awaitInformed(ctx context.Context) {
	if a.Informed == nil {
		return
	}
	bound := time.Now().Add(informBound)
	for !a.Informed() && time.Now().Before(bound) && ctx.Err() == nil {
		pause(ctx, informCheck)
	}
	a.Log.Info("gossip: host is informed", "complete", a.Informed())
}

// survey returns the other live hosts of the roster, how many of them are held
// dead, and one to compare with next, preferring hosts that said they are ready.
func (a *Agent) survey() (roster []core.HostID, dead int, candidate core.Host, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var good, rest []core.Host
	for _, i := range a.Detector.Peers() {
		if i.Heard {
			a.readiness.Answered(i.Host.ID(), i.Status.Ready)
		}
		if !i.Listed {
			continue
		}
		roster = append(roster, i.Host.ID())
		if i.State == core.PeerDead {
			dead++
		}
		switch {
		case i.State == core.PeerDead || a.readiness.HasCompared(i.Host.ID()):
		case i.Status.Ready:
			good = append(good, i.Host)
		default:
			rest = append(rest, i.Host)
		}
	}
	if len(good) == 0 {
		good = rest
	}
	if len(good) == 0 {
		return roster, dead, core.Host{}, false
	}
	return roster, dead, good[pick(len(good))], true
}
