package memnet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// watchTimeout bounds how long a Document call waits for a newer revision.
const watchTimeout = 10 * time.Second

// ErrDown is returned by a read of the platform while it is down or cut off from the
// host that reads.
var ErrDown = errors.New("memnet: platform is down")

// Platform is an in-memory stand-in for the configuration service and the host
// list. It is safe for concurrent use; mu guards all fields.
type Platform struct {
	mu          sync.Mutex
	history     []core.Document
	hosts       []core.HostEntry
	down        bool
	maxRevision core.Revision // newest revision that is returned; 0 for no limit
	changed     chan struct{}
	reads       int
	bytes       uint64
}

var _ core.Platform = (*Platform)(nil)

// NewPlatform returns a platform without a document or hosts.
func NewPlatform() *Platform { return &Platform{changed: make(chan struct{})} }

// update calls f under the lock and wakes the Document calls that wait.
func (p *Platform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish stores a revision of the configuration document.
func (p *Platform) Publish(r core.Revision, text []byte) {
	p.update(func() { p.history = append(p.history, core.Document{Revision: r, Text: text}) })
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []core.HostEntry) { p.update(func() { p.hosts = hosts }) }

// SetDown makes reads of the document and of the host list fail while down is true.
func (p *Platform) SetDown(down bool) { p.update(func() { p.down = down }) }

// SetStale hides revisions of the document above r, like a configuration service with
// stale data; 0 shows all revisions again.
func (p *Platform) SetStale(r core.Revision) { p.update(func() { p.maxRevision = r }) }

// Reads returns the number of Document and Hosts calls so far.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Bytes returns the total size of the documents that were returned.
func (p *Platform) Bytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// countBytes adds the size of doc to the total and returns doc.
func (p *Platform) countBytes(doc core.Document) core.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += uint64(len(doc.Text))
	return doc
}

// Document implements core.Platform.
func (p *Platform) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	t := time.NewTimer(watchTimeout)
	defer t.Stop()
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		doc, down, changed := p.current()
		if down {
			return core.Document{}, ErrDown
		}
		if after == 0 || doc.Revision > after {
			return p.countBytes(doc), nil
		}
		select {
		case <-changed:
		case <-t.C:
			if doc.Revision == after {
				return core.Document{Revision: after, Unchanged: true}, nil
			}
			return p.countBytes(doc), nil
		case <-ctx.Done():
			return core.Document{}, ctx.Err()
		}
	}
}

// current returns the newest visible document, whether the platform is down, and a
// channel that the next change closes.
func (p *Platform) current() (core.Document, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var doc core.Document
	for _, d := range p.history {
		if p.maxRevision == 0 || d.Revision <= p.maxRevision {
			doc = d
		}
	}
	return doc, p.down, p.changed
}

// Hosts implements core.Platform.
func (p *Platform) Hosts(context.Context) ([]core.HostEntry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, ErrDown
	}
	return p.hosts, nil
}

// hostPlatform is the platform as one host reads it: a pause of that host delays
// the result, and CutPlatform makes the read fail.
type hostPlatform struct {
	*Platform
	host *Host
}

// Document implements core.Platform.
func (p hostPlatform) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	doc, err := p.Platform.Document(ctx, after)
	p.host.waitWhilePaused(nil)
	if p.host.platformCut.Load() {
		return core.Document{}, ErrDown
	}
	if err == nil && !doc.Unchanged {
		p.host.documentReads.Add(1)
	}
	return doc, err
}

// Hosts implements core.Platform.
func (p hostPlatform) Hosts(ctx context.Context) ([]core.HostEntry, error) {
	hosts, err := p.Platform.Hosts(ctx)
	p.host.waitWhilePaused(nil)
	if p.host.platformCut.Load() {
		return nil, ErrDown
	}
	return hosts, err
}
