package member

import "oriolebarrow/core"

// comparePeers is how many hosts a starting host compares its document with.
const comparePeers = 3

// Rule names the reason why a starting host is ready.
type Rule string

// Rules of readiness.
const (
	NotReady Rule = ""
	Compared Rule = "compared"   // with enough hosts, at least one of them ready
	ColdAll  Rule = "cold_start" // most of the fleet answered and no host is ready
	Alone    Rule = "alone"      // the roster names no other live host
)

// Readiness decides when a starting host may serve. It never takes readiness
// back: a host that becomes isolated keeps serving what it has. It is not safe
// for concurrent use.
type Readiness struct {
	rule     Rule
	compared map[core.HostID]bool // whether the host was ready at the comparison
	answered map[core.HostID]bool // whether the host was ready at its last answer
}

// NewReadiness returns the readiness of a starting host.
func NewReadiness() *Readiness {
	return &Readiness{compared: make(map[core.HostID]bool), answered: make(map[core.HostID]bool)}
}

// Answered notes that a host answered and whether it was ready.
func (r *Readiness) Answered(id core.HostID, ready bool) { r.answered[id] = ready }

// Compared notes that the document was compared with a host's.
func (r *Readiness) Compared(id core.HostID, ready bool) {
	r.compared[id] = ready
	r.answered[id] = ready
}

// HasCompared reports whether the document was compared with the host's while
// the host was ready.
func (r *Readiness) HasCompared(id core.HostID) bool { return r.compared[id] }

// Check applies the rules. The roster holds the other hosts that the host list
// names as live, and dead those of them that the failure detector holds dead:
// a lagging list must not keep a host waiting for one that is gone. known is
// false while there is no host list.
func (r *Readiness) Check(hasDocument, known bool, roster []core.HostID, dead int) Rule {
	if r.rule != NotReady || !hasDocument || !known {
		return r.rule
	}
	compared, comparedReady, answered, ready := 0, 0, 0, 0
	for _, id := range roster {
		if isReady, ok := r.compared[id]; ok {
			compared++
			comparedReady += count(isReady)
		}
		if isReady, ok := r.answered[id]; ok {
			answered++
			ready += count(isReady)
		}
	}
	switch {
	case len(roster) == 0:
		r.rule = Alone
	case compared >= min(comparePeers, len(roster)-dead) && comparedReady > 0:
		r.rule = Compared
	case 2*answered > len(roster) && ready == 0:
		r.rule = ColdAll
	}
	return r.rule
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
