package member

import "oriolebarrow/core"

// comparePeers is the number of hosts with which a starting host compares its
// configuration document.
const comparePeers = 3

// ReadyRule names the rule by which a starting host became ready.
type ReadyRule string

// The rules of readiness. NotReady means that none has applied yet.
const (
	NotReady  ReadyRule = ""
	Compared  ReadyRule = "compared"   // compared its document with enough hosts, at least one of them ready
	ColdStart ReadyRule = "cold_start" // more than half of the fleet answered, and none is ready
	Alone     ReadyRule = "alone"      // the host list has no other live host
)

// Readiness decides when a starting host may serve. A host that has become ready
// stays ready: if it becomes isolated, it keeps serving with the configuration that
// it has. Readiness is not safe for concurrent use.
type Readiness struct {
	rule     ReadyRule
	compared map[core.HostID]bool // true if the host was ready at the comparison
	answered map[core.HostID]bool // true if the host was ready at its last answer
}

// NewReadiness returns the Readiness of a starting host.
func NewReadiness() *Readiness {
	return &Readiness{compared: make(map[core.HostID]bool), answered: make(map[core.HostID]bool)}
}

// Answered records that a host answered and whether it was ready.
func (r *Readiness) Answered(id core.HostID, ready bool) { r.answered[id] = ready }

// Compared records that the configuration document was compared with that of a host,
// and whether the host was ready.
func (r *Readiness) Compared(id core.HostID, ready bool) {
	r.compared[id] = ready
	r.answered[id] = ready
}

// HasCompared reports whether the configuration document was compared with that of a host
// which was ready at that time.
func (r *Readiness) HasCompared(id core.HostID) bool { return r.compared[id] }

// Check applies the rules and returns the one that made the host ready. live lists the
// other hosts that are live according to the host list. dead is how many of them the
// failure detector has declared dead: a starting host does not wait for a dead host that
// a lagging list still contains.
func (r *Readiness) Check(hasDocument, hasList bool, live []core.HostID, dead int) ReadyRule {
	if r.rule != NotReady || !hasDocument || !hasList {
		return r.rule
	}
	compared, comparedReady, answered, ready := 0, 0, 0, 0
	for _, id := range live {
		if isReady, ok := r.compared[id]; ok {
			compared++
			comparedReady += boolToInt(isReady)
		}
		if isReady, ok := r.answered[id]; ok {
			answered++
			ready += boolToInt(isReady)
		}
	}
	switch {
	case len(live) == 0:
		r.rule = Alone
	case compared >= min(comparePeers, len(live)-dead) && comparedReady > 0:
		r.rule = Compared
	case 2*answered > len(live) && ready == 0:
		r.rule = ColdStart
	}
	return r.rule
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
