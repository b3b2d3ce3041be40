package admin

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"oriolebarrow/core"
)

// Status is a summary of the state of one host. The status command compares the
// summaries of several hosts.
type Status struct {
	Host            string   `json:"host"`
	DataCentre      string   `json:"data_centre"`
	Version         string   `json:"version"`
	Ready           bool     `json:"ready"`
	Reasons         []string `json:"reasons"`
	Revision        uint64   `json:"revision"`
	Sections        int      `json:"sections"`
	SectionsDigest  string   `json:"sections_digest"`
	RefusedSections int      `json:"refused_sections"`
	View            []string `json:"view"`
	ViewVersion     uint64   `json:"view_version"`
	Services        int      `json:"services"`
	OwnedGroups     int      `json:"owned_groups"`
	Pauses          uint64   `json:"pauses"`
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	ready := h.readiness()
	out := Status{
		Host:       string(h.Self.ID()),
		DataCentre: string(h.Self.DataCentre()),
		Version:    h.Version,
		Ready:      ready.Ready,
		Reasons:    ready.Reasons,
		View:       []string{},
	}
	if h.Settings != nil {
		out.Revision = uint64(h.Settings.Revision())
		out.Services = len(h.Settings.Services())
	}
	if h.Replicas != nil {
		out.OwnedGroups = ownedGroups(h.Replicas.ReplicaReports(h.now()), h.Self.ID())
	}
	if h.Pauses != nil {
		out.Pauses = h.Pauses.Pauses()
	}
	if h.Sections != nil {
		all := h.Sections.SectionStatuses()
		out.Sections = len(all)
		out.SectionsDigest = sectionsDigest(all)
		out.RefusedSections = len(h.Sections.RefusedSections())
	}
	if h.Views != nil {
		view := h.Views.View(h.now())
		out.ViewVersion = view.Version()
		for _, host := range view.Hosts() {
			out.View = append(out.View, string(host.ID()))
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// sectionsDigest returns a digest that is equal on hosts with the same sections and
// the same content in them. It doesn't cover revisions, since they depend on how a
// host got a section and not on the content.
func sectionsDigest(all []core.SectionStatus) string {
	sum := fnv.New64a()
	for _, s := range all {
		_, _ = fmt.Fprintf(sum, "%s/%s %d %x %t\n", s.Kind, s.Name, s.Edition, s.Hash, s.Removed)
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}

// ownedGroups returns the number of replica groups that a host owns.
func ownedGroups(all []core.ReplicaReport, host core.HostID) int {
	type group struct {
		service core.ServiceName
		id      core.GroupID
	}
	owned := make(map[group]bool)
	for _, r := range all {
		if r.Owner == host {
			owned[group{r.Service, r.Group}] = true
		}
	}
	return len(owned)
}

// writeList writes a JSON object with one list, which is never null.
func writeList[T, O any](w http.ResponseWriter, name string, items []T, convert func(T) O) {
	out := make([]O, 0, len(items))
	for _, item := range items {
		out = append(out, convert(item))
	}
	writeJSON(w, http.StatusOK, map[string]any{name: out})
}

type hostOut struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
	Self       bool   `json:"self"`
}

func (h *Handler) hosts(w http.ResponseWriter, _ *http.Request) {
	if h.Hosts == nil {
		writeUnavailable(w, "hosts")
		return
	}
	writeList(w, "hosts", h.Hosts.HostStatuses(h.now()), func(s core.HostStatus) hostOut {
		return hostOut{
			Host:       string(s.Host.ID()),
			DataCentre: string(s.Host.DataCentre()),
			Address:    s.Host.Address(),
			State:      s.State.String(),
			Self:       s.Self,
		}
	})
}

type sectionOut struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Team     string `json:"team"`
	Edition  uint64 `json:"edition"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Removed  bool   `json:"removed"`
	Since    string `json:"since,omitempty"`
	Source   string `json:"source,omitempty"`
}

func (h *Handler) sections(w http.ResponseWriter, _ *http.Request) {
	if h.Sections == nil {
		writeUnavailable(w, "sections")
		return
	}
	writeList(w, "sections", h.Sections.SectionStatuses(), func(s core.SectionStatus) sectionOut {
		o := sectionOut{
			Kind: s.Kind, Name: s.Name, Team: s.Team, Edition: uint64(s.Edition), Revision: uint64(s.Revision),
			Hash: fmt.Sprintf("%016x", s.Hash), Removed: s.Removed, Source: s.Source,
		}
		if !s.Since.IsZero() {
			o.Since = s.Since.UTC().Format(time.RFC3339Nano)
		}
		return o
	})
}

type refusedOut struct {
	Section  string `json:"section"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

func (h *Handler) refused(w http.ResponseWriter, _ *http.Request) {
	if h.Sections == nil {
		writeUnavailable(w, "sections")
		return
	}
	writeList(w, "refused", h.Sections.RefusedSections(), func(r core.RefusedSection) refusedOut {
		return refusedOut{Section: r.Section, Revision: uint64(r.Revision), Reason: r.Reason}
	})
}

type serviceOut struct {
	Service     string `json:"service"`
	Groups      int    `json:"groups"`
	Replicas    int    `json:"replicas"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	QueueLength int    `json:"queue_length"`
}

func (h *Handler) services(w http.ResponseWriter, _ *http.Request) {
	if h.Settings == nil {
		writeUnavailable(w, "services")
		return
	}
	writeList(w, "services", h.Settings.Services(), func(s core.Service) serviceOut {
		o := serviceOut{
			Service: string(s.Name()), Groups: len(s.Groups()), Slots: s.Limits().Slots,
			Connections: s.Limits().Connections, QueueLength: s.Limits().QueueLength,
		}
		for _, g := range s.Groups() {
			o.Replicas += len(g)
		}
		return o
	})
}

type replicaOut struct {
	Service     string `json:"service"`
	Group       int32  `json:"group"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Owner       string `json:"owner"`
	SlotsInUse  int    `json:"slots_in_use"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       string `json:"state"`
	Reason      string `json:"reason"`
}

func (h *Handler) replicas(w http.ResponseWriter, _ *http.Request) {
	if h.Replicas == nil {
		writeUnavailable(w, "replicas")
		return
	}
	writeList(w, "replicas", h.Replicas.ReplicaReports(h.now()), func(r core.ReplicaReport) replicaOut {
		return replicaOut{
			Service: string(r.Service), Group: int32(r.Group), Address: r.Address, DataCentre: string(r.DataCentre),
			Owner: string(r.Owner), SlotsInUse: r.SlotsInUse, Slots: r.Slots, Connections: r.Connections,
			State: r.State, Reason: r.Reason,
		}
	})
}

func (h *Handler) tokens(w http.ResponseWriter, _ *http.Request) {
	if h.Tokens == nil {
		writeUnavailable(w, "tokens")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"tokens": h.Tokens.TokenCounts()})
}

type budgetOut struct {
	Service   string  `json:"service"`
	Kind      string  `json:"kind"`
	Share     float64 `json:"share"`
	Available float64 `json:"available"`
	Used      uint64  `json:"used"`
	Denied    uint64  `json:"denied"`
	DelayUS   int64   `json:"hedge_delay_us,omitempty"`
}

func (h *Handler) budgets(w http.ResponseWriter, _ *http.Request) {
	if h.Budgets == nil {
		writeUnavailable(w, "budgets")
		return
	}
	writeList(w, "budgets", h.Budgets.BudgetReports(h.now()), func(b core.BudgetReport) budgetOut {
		return budgetOut{
			Service: string(b.Service), Kind: b.Kind, Share: b.Share,
			Available: b.Available, Used: b.Used, Denied: b.Denied, DelayUS: b.Delay.Microseconds(),
		}
	})
}
