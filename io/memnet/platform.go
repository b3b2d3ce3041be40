package memnet

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
)

// watchWait is how long the configuration service holds a watch.
const watchWait = 10 * time.Second

// ErrDown is what a read of a service that is down returns.
var ErrDown = errors.New("memnet: platform is down")

// Platform is a configuration service and host list in memory. It is safe for
// concurrent use; its one lock covers all fields.
type Platform struct {
	mu      sync.Mutex
	history []core.Document
	hosts   []core.HostEntry
	down    bool
	staleAt core.Revision // 0 when the service is up to date
	changed chan struct{}
	reads   int
	bytes   uint64
}

var _ core.Platform = (*Platform)(nil)

// NewPlatform returns a platform without document and hosts.
func NewPlatform() *Platform { return &Platform{changed: make(chan struct{})} }

func (p *Platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish stores a revision of the document.
func (p *Platform) Publish(r core.Revision, text []byte) {
	p.change(func() { p.history = append(p.history, core.Document{Revision: r, Text: text}) })
}

// SetHosts publishes a host list.
func (p *Platform) SetHosts(hosts []core.HostEntry) { p.change(func() { p.hosts = hosts }) }

// SetDown makes both services fail, or work again.
func (p *Platform) SetDown(down bool) { p.change(func() { p.down = down }) }

// SetStale makes the service show revision r at most; 0 ends that.
func (p *Platform) SetStale(r core.Revision) { p.change(func() { p.staleAt = r }) }

// Reads returns how many calls the services got.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Bytes returns the size of the documents that the service sent.
func (p *Platform) Bytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// send counts a document that a call returns.
func (p *Platform) send(doc core.Document) core.Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += uint64(len(doc.Text))
	return doc
}

// Document implements core.Platform.
func (p *Platform) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	t := time.NewTimer(watchWait)
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
			return p.send(doc), nil
		}
		select {
		case <-changed:
		case <-t.C:
			if doc.Revision == after {
				return core.Document{Revision: after, Unchanged: true}, nil
			}
			return p.send(doc), nil
		case <-ctx.Done():
			return core.Document{}, ctx.Err()
		}
	}
}

func (p *Platform) current() (core.Document, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var doc core.Document
	for _, d := range p.history {
		if p.staleAt == 0 || d.Revision <= p.staleAt {
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

// platform is the platform as one host reads it, which may be paused.
type platform struct {
	*Platform
	host *Host
}

// Document implements core.Platform.
func (p platform) Document(ctx context.Context, after core.Revision) (core.Document, error) {
	doc, err := p.Platform.Document(ctx, after)
	p.host.await(nil)
	if p.host.noPlatform.Load() {
		return core.Document{}, ErrDown
	}
	if err == nil && !doc.Unchanged {
		p.host.documents.Add(1)
	}
	return doc, err
}

// Hosts implements core.Platform.
func (p platform) Hosts(ctx context.Context) ([]core.HostEntry, error) {
	hosts, err := p.Platform.Hosts(ctx)
	p.host.await(nil)
	if p.host.noPlatform.Load() {
		return nil, ErrDown
	}
	return hosts, err
}
