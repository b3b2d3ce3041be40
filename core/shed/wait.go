package shed

import "time"

// Wait decides about a request to one replica of a service without a free slot: ahead requests
// get one before it, of the slots that this host may use. It is rejected if it would not be
// answered before its deadline. Costs of the requests ahead are taken to be like its own.
func Wait(d Demand, ahead, slots int) Decision {
	wait := time.Duration(float64(d.Cost) * float64(ahead+1) / float64(max(1, slots)))
	if wait+d.Cost <= d.Remaining {
		return Decision{Admitted: true, Share: 1, Chance: 1}
	}
	// Those ahead that are late by then yield, so that a return within the longest wait that
	// callers observe is worth it even if the queue is longer.
	after := min(wait, time.Duration(maxWaitFraction*float64(d.Remaining)))
	after -= time.Duration(lateSpread * d.spread() * float64(after))
	if after+d.Cost > d.Remaining {
		after = 0
	}
	return Decision{Reason: ReasonQueue, RetryAfter: after, Share: 1}
}
