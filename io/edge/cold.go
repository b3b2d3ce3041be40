package edge

import (
	"time"

	"oriolebarrow/core"
	"oriolebarrow/core/warm"
)

// updateWarmLimit tells the table of replicas which hosts share the requests to cold replicas, and
// logs the replicas that became cold.
func (e *Edge) updateWarmLimit(now time.Time) {
	m := warm.Members{Known: e.members.Joined(now), DataCentres: e.opts.DataCentres}
	for _, h := range e.members.Detector.Reachable(now).Hosts() {
		if h.DataCentre() == e.opts.DataCentre {
			m.Local = append(m.Local, h.ID())
		}
	}
	if t := e.relay.Table(); t != nil {
		m.Owned = make(map[core.ServiceName]bool)
		for s, share := range e.extraShares(t) {
			m.Owned[s] = share > 0
		}
	}
	e.replicas.SetWarmMembers(now, m)
	e.withheld = e.relay.LogCold(e.withheld)
}
