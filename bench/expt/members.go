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
	memberLatency      = 500 * time.Microsecond
	memberDataCentres  = 3
	memberReadyTimeout = 30 * time.Second
	memberPollInterval = 2 * time.Millisecond
	changingCaller     = "changing" // name of the section that changes
)

// everyHostReads is a placement in which every host watches the platform itself.
type everyHostReads struct{ core.Placer }

// Readers implements core.Placer.
func (everyHostReads) Readers(v core.View, _ core.DataCentre, _ core.Revision, _ uint64) []core.HostID {
	var out []core.HostID
	for _, h := range v.Hosts() {
		out = append(out, h.ID())
	}
	return out
}

// memberVariants returns the design and the baseline in which every host watches
// the platform. Membership works the same in both.
func memberVariants(run func(ctx context.Context, s settings, p core.Placer) (Points, error)) []variant {
	designed := place.New(place.DefaultSetSize)
	return []variant{
		{name: string(design), run: func(ctx context.Context, s settings) (Points, error) { return run(ctx, s, designed) }},
		{name: "every_host_reads", run: func(ctx context.Context, s settings) (Points, error) {
			return run(ctx, s, everyHostReads{designed})
		}},
	}
}

// member is a running host and the latest edition observed on it.
type member struct {
	*memnet.Host
	started time.Time
	ready   bool // whether it was observed as ready
	edition int
}

// members is a set of hosts that run only membership and configuration and serve no
// requests.
type members struct {
	cluster  *memnet.Cluster
	hosts    []*member
	next     int    // number of the next host to start
	edition  int    // latest edition published
	fixed    string // sections that don't change
	services int    // number of services listed in the section that changes
}

func newMembers(p core.Placer, fixed string) *members {
	c := memnet.New(slog.New(slog.DiscardHandler), memberLatency)
	c.Placer = p
	return &members{cluster: c, fixed: fixed, services: 1}
}

// publish publishes a new edition of the section that changes. The rate in it
// equals the edition, so that the active edition of a host is cheap to read.
func (m *members) publish() {
	m.edition++
	var b strings.Builder
	fmt.Fprintf(&b, "kind: caller\nname: %s\nteam: t\nedition: %d\nrate: %d\nservices:\n", changingCaller, m.edition, m.edition)
	for n := range m.services {
		fmt.Fprintf(&b, "  - service_%d\n", n)
	}
	b.WriteString("---\n")
	b.WriteString(m.fixed)
	b.WriteString("kind: end\n")
	m.cluster.Platform.Publish(core.Revision(m.edition), []byte(b.String()))
}

// start starts n hosts and publishes the new host list.
func (m *members) start(n int) error {
	for range n {
		id := core.HostID(fmt.Sprintf("host-%d", m.next))
		dc := core.DataCentre(fmt.Sprintf("dc-%d", m.next%memberDataCentres))
		m.next++
		h, err := m.cluster.Start(id, dc)
		if err != nil {
			return errors.Wrapf(err, "expt: start %s", id)
		}
		m.hosts = append(m.hosts, &member{Host: h, started: time.Now()})
	}
	m.cluster.Platform.SetHosts(m.cluster.HostList())
	return nil
}

// kill stops a host without notice. The platform's host list is updated at once,
// but the other hosts still have to detect the failure.
func (m *members) kill(i int) {
	m.hosts[i].Stop()
	m.hosts = append(m.hosts[:i], m.hosts[i+1:]...)
	m.cluster.Platform.SetHosts(m.cluster.HostList())
}

func (m *members) stop() {
	for _, h := range m.hosts {
		h.Stop()
	}
}

// activeEdition returns the active edition of the section that changes.
func (h *member) activeEdition() int {
	c, _ := h.Ledger.Caller(changingCaller)
	return int(c.Policy().Rate)
}

// settled reports whether the latest edition is active on every host and every
// host is ready.
func (m *members) settled() bool {
	for _, h := range m.hosts {
		if !h.Agent.Ready() || h.activeEdition() != m.edition {
			return false
		}
	}
	return true
}

func (m *members) waitSettled(ctx context.Context) error {
	for end := time.Now().Add(memberReadyTimeout); !m.settled(); sleep(ctx, memberPollInterval) {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Errorf("expt: not all of %d hosts are ready with edition %d active after %s", len(m.hosts), m.edition, memberReadyTimeout)
		}
	}
	return nil
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
