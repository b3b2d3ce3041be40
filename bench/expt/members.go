package expt

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/place"
	"oriolebarrow/io/memnet"
)

const (
	memberLatency = 500 * time.Microsecond
	memberCentres = 3
	memberReady   = 30 * time.Second
	memberPoll    = 2 * time.Millisecond
	changingName  = "changing"
)

// everyHostReads makes every host watch the platform itself.
type everyHostReads struct{ core.Placer }

// Readers implements core.Placer.
func (everyHostReads) Readers(v core.View, _ core.DataCentre, _ core.Revision, _ uint64) []core.HostID {
	var out []core.HostID
	for _, h := range v.Hosts() {
		out = append(out, h.ID())
	}
	return out
}

// memberVariants are the design and the baseline in which every host watches
// the platform. Membership is the same in both.
func memberVariants(run func(ctx context.Context, s settings, p core.Placer) (Points, error)) []variant {
	designed := place.New(place.DefaultSetSize)
	return []variant{
		{name: string(design), run: func(ctx context.Context, s settings) (Points, error) { return run(ctx, s, designed) }},
		{name: "every_host_reads", run: func(ctx context.Context, s settings) (Points, error) {
			return run(ctx, s, everyHostReads{designed})
		}},
	}
}

// member is a running host and the newest edition seen in force on it.
type member struct {
	*memnet.Host
	started time.Time
	ready   bool
	edition int
}

// members are hosts without services: membership and configuration only.
type members struct {
	cluster *memnet.Cluster
	hosts   []*member
	next    int
	edition int
	filler  string // sections that don't change
	// services are listed in the section that changes.
	services int
}

func newMembers(p core.Placer, filler string) *members {
	c := memnet.New(slog.New(slog.DiscardHandler), memberLatency)
	c.Placer = p
	return &members{cluster: c, filler: filler, services: 1}
}

// publish changes one section. Its rate is the edition, which makes the edition
// in force on a host cheap to read.
func (m *members) publish() {
	m.edition++
	var b strings.Builder
	fmt.Fprintf(&b, "kind: caller\nname: %s\nteam: t\nedition: %d\nrate: %d\nservices:\n", changingName, m.edition, m.edition)
	for n := range m.services {
		fmt.Fprintf(&b, "  - service_%d\n", n)
	}
	b.WriteString("---\n")
	b.WriteString(m.filler)
	b.WriteString("kind: end\n")
	m.cluster.Platform.Publish(core.Revision(m.edition), []byte(b.String()))
}

func (m *members) start(n int) error {
	for range n {
		id := core.HostID(fmt.Sprintf("host-%d", m.next))
		dc := core.DataCentre(fmt.Sprintf("dc-%d", m.next%memberCentres))
		m.next++
		h, err := m.cluster.Start(id, dc)
		if err != nil {
			return errors.Wrapf(err, "expt: start %s", id)
		}
		m.hosts = append(m.hosts, &member{Host: h, started: time.Now()})
	}
	m.cluster.Platform.SetHosts(m.cluster.Entries())
	return nil
}

// kill stops a host without notice. The host list follows at once; the
// detector of the others has to find out all the same.
func (m *members) kill(i int) {
	m.hosts[i].Stop()
	m.hosts = append(m.hosts[:i], m.hosts[i+1:]...)
	m.cluster.Platform.SetHosts(m.cluster.Entries())
}

func (m *members) stop() {
	for _, h := range m.hosts {
		h.Stop()
	}
}

// inForce returns the edition of the changing section on a host.
func (h *member) inForce() int {
	c, _ := h.Ledger.Caller(changingName)
	return int(c.Policy().Rate)
}

// settled reports whether every host is ready and holds the newest edition.
func (m *members) settled() bool {
	for _, h := range m.hosts {
		if !h.Agent.Ready() || h.inForce() != m.edition {
			return false
		}
	}
	return true
}

func (m *members) waitSettled(ctx context.Context) error {
	for end := time.Now().Add(memberReady); !m.settled(); pause(ctx, memberPoll) {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Errorf("expt: %d hosts don't hold edition %d after %s", len(m.hosts), m.edition, memberReady)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
