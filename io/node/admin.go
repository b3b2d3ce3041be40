package node

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oriolebarrow/core"
	"oriolebarrow/core/order"
	"oriolebarrow/io/admin"
	"oriolebarrow/io/telem"
)

// AdminOptions are the settings of the HTTP interface for operators.
type AdminOptions struct {
	Address string // if empty, the interface is not served
	Token   string
	Version string
	Levels  core.LogLevels
	Metrics *telem.Registry // may be nil
	Drain   func()          // starts the shutdown of this host
}

// serveAdmin serves the interface for operators until ctx ends.
func (n *Node) serveAdmin(ctx context.Context) error {
	o := n.opts.Admin
	if o.Address == "" {
		return nil
	}
	h, err := n.adminHandler()
	if err != nil {
		return errors.Wrap(err, "node: create admin handler")
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return errors.Wrap(err, "node: listen for operators")
	}
	n.log.Info("admin: listening", "address", l.Addr().String(), "bearer_token", o.Token != "")
	return n.opts.Clients.ServeSmall(ctx, "administration", h.Server(), l)
}

func (n *Node) adminHandler() (*admin.Handler, error) {
	o := n.opts.Admin
	deps := admin.Deps{
		Self:      n.self,
		Version:   o.Version,
		Settings:  n.ledger,
		Views:     n.detector,
		Readiness: n,
		Hosts:     hostSource{n},
		Sections:  sectionSource{n},
		Replicas:  replicaSource{n},
		Budgets:   n.owner,
		Pauses:    n,
		Tokens:    tokenSource{n.tokens},
		Levels:    o.Levels,
		Drain:     o.Drain,
		Log:       n.log,
	}
	if o.Metrics != nil {
		deps.Metrics = metricsHandler(n, o.Metrics)
	}
	return admin.New(admin.Options{Address: o.Address, Token: o.Token}, deps)
}

func metricsHandler(n *Node, m *telem.Registry) http.Handler {
	for _, state := range []order.State{order.Issued, order.Running, order.Done, order.Refused} {
		m.Gauge("order_tokens_"+string(state), func() int64 { return int64(n.tokens.Counts()[state]) })
	}
	m.CounterFunc("entry_results_rejected", func() int64 { return int64(n.entry.RejectedResults()) })
	m.Gauge("config_revision", func() int64 { return int64(n.ledger.Revision()) })
	m.Gauge("config_sections", func() int64 { return int64(len(n.ledger.Versions())) })
	m.Gauge("config_sections_refused", func() int64 { return int64(len(n.ledger.Refused())) })
	m.Gauge("member_hosts_in_view", func() int64 { return int64(len(n.detector.View(time.Now()).Hosts())) })
	m.Gauge("owner_groups_in_use", func() int64 { return int64(n.owner.Load().Groups) })
	m.Gauge("owner_queue_length", func() int64 { return int64(n.owner.Load().Waiting) })
	m.Gauge("owner_slots_in_use", func() int64 { return int64(n.owner.Load().Running) })
	m.Gauge("peer_links_open", func() int64 {
		closed := m.Counter("peer_links_closed").Count() // read first, so that the difference is never negative
		return m.Counter("peer_links_opened").Count() - closed
	})
	m.CounterFunc("node_pauses", func() int64 { return int64(n.Pauses()) })
	m.CounterFunc("gossip_packets_sent", func() int64 { return int64(n.agent.Stats().Sent) })
	m.CounterFunc("gossip_sent_bytes", func() int64 { return int64(n.agent.Stats().SentBytes) })
	m.CounterFunc("gossip_packets_received", func() int64 { return int64(n.agent.Stats().Received) })
	m.CounterFunc("gossip_packets_malformed", func() int64 { return int64(n.agent.Stats().Malformed) })
	m.CounterFunc("gossip_pulls", func() int64 { return int64(n.agent.Stats().Pulls) })
	m.CounterFunc("gossip_pulls_failed", func() int64 { return int64(n.agent.Stats().PullErrors) })
	m.CounterFunc("gossip_sections_refused", func() int64 { return int64(n.agent.Stats().RefusedSections) })
	m.Gauge("node_ready", func() int64 {
		if n.Ready() {
			return 1
		}
		return 0
	})
	return m.Handler()
}

// callerObserver returns a function that counts answers to callers by path and
// outcome, and records their latency. It returns nil without a registry.
func callerObserver(m *telem.Registry) func(string, core.Outcome, time.Duration) {
	if m == nil {
		return nil
	}
	return func(path string, o core.Outcome, latency time.Duration) {
		name := "caller_" + strings.TrimPrefix(path, "/v1/")
		m.Counter(name + "_" + string(o)).Inc(1)
		m.Histogram(name + "_us").Update(latency.Microseconds())
	}
}

// meterOf returns the registry as a meter, or one that discards all counts if there
// is no registry. A nil *telem.Registry in a core.Meter would not equal nil.
func meterOf(m *telem.Registry) core.Meter {
	if m == nil {
		return core.NoMeter{}
	}
	return m
}

func (n *Node) meter() core.Meter { return meterOf(n.opts.Admin.Metrics) }

// Pauses implements core.PauseSource.
func (n *Node) Pauses() uint64 { return n.gate.Pauses() }

// Readiness implements core.Readiness.
func (n *Node) Readiness() (bool, []string) {
	var reasons []string
	if !n.agent.Ready() {
		reasons = append(reasons, "not_compared")
	}
	if !n.gate.Open() {
		reasons = append(reasons, "paused")
	}
	if n.leaving.Load() {
		reasons = append(reasons, "leaving")
	}
	return len(reasons) == 0, reasons
}

// hostSource implements core.HostSource.
type hostSource struct{ node *Node }

// HostStatuses returns the state of this host and of all other hosts that it
// knows.
func (s hostSource) HostStatuses(time.Time) []core.HostStatus {
	self := core.HostStatus{Host: s.node.self, State: core.PeerAlive, Self: true}
	if s.node.leaving.Load() {
		self.State = core.PeerLeaving
	}
	out := []core.HostStatus{self}
	for _, p := range s.node.detector.Peers() {
		out = append(out, core.HostStatus{Host: p.Host, State: p.State})
	}
	return out
}

// sectionSource implements core.SectionSource.
type sectionSource struct{ node *Node }

func (s sectionSource) SectionStatuses() []core.SectionStatus {
	var out []core.SectionStatus
	for _, v := range s.node.ledger.Versions() {
		section := v.Section()
		since, source := s.node.agent.Origin(section.Key())
		out = append(out, core.SectionStatus{
			Kind:     string(section.Key().Kind),
			Name:     section.Key().Name,
			Team:     section.Team(),
			Edition:  section.Edition(),
			Revision: v.Revision(),
			Hash:     section.Hash(),
			Removed:  section.Removed(),
			Since:    since,
			Source:   source,
		})
	}
	return out
}

func (s sectionSource) RefusedSections() []core.RefusedSection {
	var out []core.RefusedSection
	for _, r := range s.node.ledger.Refused() {
		out = append(out, core.RefusedSection{Section: r.Key, Revision: r.Revision, Reason: r.Reason})
	}
	return out
}

// replicaSource implements core.ReplicaSource.
type replicaSource struct{ node *Node }

// replicaKey identifies a replica of a replica group.
type replicaKey struct {
	service core.ServiceName
	group   core.GroupID
	address string
}

// ReplicaReports returns all configured replicas with the owner of their group and
// the connections that this host has open. The state and the slots are those of this
// host; for a group that it does not use, the state is unknown.
func (s replicaSource) ReplicaReports(now time.Time) []core.ReplicaReport {
	inUse := make(map[replicaKey]core.ReplicaReport)
	for _, r := range s.node.owner.ReplicaReports(now) {
		inUse[replicaKey{r.Service, r.Group, r.Address}] = r
	}
	view := s.node.detector.View(now)
	var out []core.ReplicaReport
	for _, service := range s.node.ledger.Services() {
		for i, group := range service.Groups() {
			owner, _ := s.node.entry.Placer.Owner(view, service.Name(), core.GroupID(i))
			for _, r := range group {
				report, ok := inUse[replicaKey{service.Name(), core.GroupID(i), r.Address()}]
				if !ok {
					report = core.ReplicaReport{
						Service: service.Name(), Group: core.GroupID(i), Address: r.Address(), DataCentre: r.DataCentre(),
						State: "unknown", Reason: "group not in use on this host",
					}
				}
				report.Owner, report.Connections = owner, s.node.backend.OpenConnections(r.Address())
				out = append(out, report)
			}
		}
	}
	return out
}

// tokenSource implements core.TokenSource.
type tokenSource struct{ table *order.Table }

func (s tokenSource) TokenCounts() map[string]int {
	out := make(map[string]int)
	for state, count := range s.table.Counts() {
		out[string(state)] = count
	}
	return out
}
